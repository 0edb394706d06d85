"""Immutable views of the configuration with lookups for the request path."""

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .keys import matches_digest, parse_key_id
from .policies import (
    AccountDocument,
    PolicyDocument,
    Preference,
    RetryDocument,
    RouteDocument,
    ServiceDocument,
)
from .refusals import Importance, Reason, Refusal
from .settings import RetrySettings

DEFAULT_PREFERENCE: Preference = "goodput"
DEFAULT_COLD_START_SECONDS = 10.0
DEFAULT_DEADLINE_SECONDS = 10.0
DEFAULT_METHODS = ("GET",)
IMPORTANCE_BY_NAME = {
    "critical": Importance.CRITICAL,
    "normal": Importance.NORMAL,
    "sheddable": Importance.SHEDDABLE,
}

# Paths that a target may resolve to another route than the node does: empty and dot
# segments, encoded separators and encoded characters that need no encoding.
AMBIGUOUS_PATH_PATTERN = re.compile(
    r"//|\\|[\x00-\x20\x7f#]|/\.{1,2}(?:[/;]|\Z)"
    r"|%(?:00|2[DEF]|3[0-9]|[46][1-9A-F]|[57][0-9A]|5[CF]|7E)",
    re.IGNORECASE,
)


class Service(NamedTuple):
    """A service; slots and connections are those of one endpoint.

    Attributes:
        name: Name of the service.
        team: Team that owns it.
        slots: Declared limit of concurrent requests.
        connections: Declared limit of connections.
        cold_start: Seconds that a new target needs to warm up.
        endpoints: Usual number of targets, 0 if not given.
        preference: Whether the mesh favors goodput or fairness.
    """

    name: str
    team: str
    slots: int
    connections: int
    cold_start: float
    endpoints: int
    preference: Preference


class Route(NamedTuple):
    """A route of a policy.

    Attributes:
        name: Name of the route, unique in its team.
        team: Team that owns it.
        path_prefix: Path prefix, matched by whole segments.
        methods: HTTP methods.
        service: Service that handles the requests.
        allow_anonymous: Whether requests need no key.
        importance: Importance class of its requests.
        idempotent: Whether its requests may be retried.
        deadline: Longest time for a request, in seconds.
        accounts: Qualified client accounts allowed, or None for all of the team.
    """

    name: str
    team: str
    path_prefix: str
    methods: tuple[str, ...]
    service: str
    allow_anonymous: bool
    importance: Importance
    idempotent: bool
    deadline: float
    accounts: frozenset[str] | None

    def allows(self, account: "Account") -> bool:
        """Return whether a client account may use this route."""
        if self.allow_anonymous:
            return True
        if self.accounts is None:
            return account.team == self.team
        return account.name in self.accounts


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Qualified name, ``team/account``.
        team: Team that owns it.
        rate: Rate limit in requests per second over the whole fleet.
        burst: Requests that may arrive at once over the whole fleet.
    """

    name: str
    team: str
    rate: float
    burst: float


class KeyEntry(NamedTuple):
    """A key of a client account; ``account`` is the qualified name of the account."""

    key_id: str
    team: str
    account: str
    digest: str
    withdrawn: bool


class Team(NamedTuple):
    """Compiled policy of one team, with defaults filled in."""

    name: str
    version: int
    preference: Preference
    retries: RetrySettings
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    accounts: tuple[Account, ...]


class ConfigurationView(NamedTuple):
    """The configuration at one position of the stream; immutable.

    Attributes:
        position: Position of the stream that the view reflects.
        teams: Compiled policies by team.
        services: Services by name.
        accounts: Client accounts by qualified name.
        routes: Routes by prefix and method.
        keys: Keys by key id.
        max_prefix_segments: Largest number of path segments in a prefix.
    """

    position: int
    teams: Mapping[str, Team]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    routes: Mapping[str, Mapping[str, Route]]
    keys: Mapping[str, KeyEntry]
    max_prefix_segments: int

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None if there is none.

        The longest matching prefix decides even if it lacks the method, so that a
        request never falls through to a shorter prefix with weaker rules. A path that
        a target could resolve differently has no route.

        Args:
            method: HTTP method in upper case.
            path: Path of the request, with or without a query.
        """
        path = path.partition("?")[0]
        if not path.startswith("/") or AMBIGUOUS_PATH_PATTERN.search(path):
            return None
        parts = path.split("/", self.max_prefix_segments + 1)
        for length in range(min(len(parts), self.max_prefix_segments + 1), 0, -1):
            methods = self.routes.get("/".join(parts[:length]) or "/")
            if methods is not None:
                return methods.get(method)
        return None

    def authenticate_key(self, text: str) -> KeyEntry | Refusal:
        """Return the key whose text a caller sent, or the refusal of the request."""
        if not text:
            return key_refusal(Reason.KEY_MISSING)
        entry = self.keys.get(parse_key_id(text) or "")
        if entry is None:
            return key_refusal(Reason.KEY_UNKNOWN)
        if entry.withdrawn:
            return key_refusal(Reason.KEY_WITHDRAWN, entry.key_id)
        if not matches_digest(text, entry.digest):
            return key_refusal(Reason.KEY_UNKNOWN, entry.key_id)
        if entry.account not in self.accounts:
            return key_refusal(Reason.FORBIDDEN, entry.account)
        return entry

    def account(self, name: str) -> Account | None:
        """Return a client account by its qualified name, ``team/account``."""
        return self.accounts.get(name)

    def service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self.services.get(name)

    def team(self, name: str) -> Team | None:
        """Return the compiled policy of a team."""
        return self.teams.get(name)

    def ownership_conflicts(self, document: PolicyDocument) -> list[str]:
        """Return the conflicts of a document with the policies of other teams.

        All teams share one namespace of services and path prefixes. A prefix conflicts
        with an equal one and with one that contains it or that it contains. A document
        is checked before it is published; if two teams publish at the same time, the
        first team by name gets the service or route.
        """
        others = [team for team in self.teams.values() if team.name != document["team"]]
        names = {service["name"] for service in document["services"]}
        prefixes = [route["path"] for route in document["routes"]]
        lines = []
        for team in others:
            for service in team.services:
                if service.name in names:
                    lines.append(f"service {service.name} belongs to team {team.name}")
            for route in team.routes:
                if any(
                    prefixes_overlap(route.path_prefix, prefix) for prefix in prefixes
                ):
                    lines.append(
                        f"path {route.path_prefix} belongs to team {team.name}"
                    )
        return lines


def key_refusal(reason: Reason, peer: str = "") -> Refusal:
    """Return the refusal of a request because of its key."""
    return Refusal(reason, step="authenticate", peer=peer)


def prefixes_overlap(first: str, second: str) -> bool:
    """Return whether one of two prefixes contains the other."""
    first = first.rstrip("/") + "/"
    second = second.rstrip("/") + "/"
    return first.startswith(second) or second.startswith(first)


def qualified_account_name(team: str, account: str) -> str:
    """Return the name of a client account that is unique across teams."""
    return f"{team}/{account}"


def compile_team(document: PolicyDocument, version: int) -> Team:
    """Compile a policy document; missing fields get their defaults."""
    team = document["team"]
    preference = document.get("preference", DEFAULT_PREFERENCE)
    return Team(
        name=team,
        version=version,
        preference=preference,
        retries=compile_retries(document.get("retries", {})),
        services=tuple(
            compile_service(service, team, preference)
            for service in document["services"]
        ),
        routes=tuple(compile_route(route, team) for route in document["routes"]),
        accounts=tuple(
            compile_account(account, team) for account in document["accounts"]
        ),
    )


def compile_service(
    service: ServiceDocument, team: str, preference: Preference
) -> Service:
    """Compile one service."""
    return Service(
        name=service["name"],
        team=team,
        slots=service["slots"],
        connections=service["connections"],
        cold_start=service.get("cold_start", DEFAULT_COLD_START_SECONDS),
        endpoints=service.get("endpoints", 0),
        preference=preference,
    )


def compile_route(route: RouteDocument, team: str) -> Route:
    """Compile one route."""
    accounts = route.get("accounts")
    return Route(
        name=route["name"],
        team=team,
        path_prefix=route["path"],
        methods=tuple(route.get("methods", DEFAULT_METHODS)),
        service=route["service"],
        allow_anonymous=route.get("access") == "open",
        importance=IMPORTANCE_BY_NAME[route.get("importance", "normal")],
        idempotent=route.get("idempotent", False),
        deadline=route.get("deadline", DEFAULT_DEADLINE_SECONDS),
        accounts=None
        if accounts is None
        else frozenset(qualified_account_name(team, name) for name in accounts),
    )


def compile_account(account: AccountDocument, team: str) -> Account:
    """Compile one client account."""
    name = qualified_account_name(team, account["name"])
    return Account(name, team, account["rate"], account["burst"])


def compile_retries(retries: RetryDocument) -> RetrySettings:
    """Compile the retry limits of a team."""
    defaults = RetrySettings()
    return defaults._replace(
        attempts=retries.get("attempts", defaults.attempts),
        service_share=retries.get("service_share", defaults.service_share),
    )


def build_view(
    position: int, teams: Iterable[Team], keys: Mapping[str, KeyEntry]
) -> ConfigurationView:
    """Build a view; if teams share a service or route, the first by name gets it."""
    sorted_teams = sorted(teams, key=lambda team: team.name)
    services: dict[str, Service] = {}
    accounts: dict[str, Account] = {}
    routes: dict[str, dict[str, Route]] = {}
    for team in sorted_teams:
        accounts.update((account.name, account) for account in team.accounts)
        for service in team.services:
            services.setdefault(service.name, service)
        for route in team.routes:
            methods = routes.setdefault(route.path_prefix, {})
            for method in route.methods:
                methods.setdefault(method, route)
    return ConfigurationView(
        position=position,
        teams={team.name: team for team in sorted_teams},
        services=services,
        accounts=accounts,
        routes=routes,
        keys=dict(keys),
        max_prefix_segments=max((prefix.count("/") for prefix in routes), default=0),
    )
