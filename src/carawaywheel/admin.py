"""The administration API: announcements of targets and requests of operators."""

import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from .adminrequests import (
    ForgetNodeRequest,
    IssueKeyRequest,
    PublishPolicyRequest,
    RollbackPolicyRequest,
    SetTokenRequest,
    WithdrawKeyRequest,
    decode_body,
)
from .changes import Conflict
from .changeservice import ChangeService, result_to_dict
from .clock import Clock
from .contexts import random_id
from .errors import PolicyError, ProtocolError
from .events import encode_events
from .fleetcollector import FleetCollector
from .headers import AUTHORIZATION_HEADER, bearer_key
from .http import Request
from .listener import RequestHandler
from .policies import (
    PolicyDocument,
    check_policy_document,
    parse_policy,
    render_changes,
)
from .records import (
    TEAMS_PREFIX,
    KeyIssued,
    KeyWithdrawn,
    NodeForgotten,
    PolicyPublished,
    TeamTokenSet,
    policy_path,
    token_path,
)
from .refusals import Refusal
from .replica import ConfigurationReplica
from .serverexchange import JSON_HEADER, ServerExchange, json_body, refusal_body
from .slotservice import SlotService
from .targets import AnnouncedTarget

MAX_BODY_BYTES = 256 * 1024
LOOPBACK_PREFIX = "127."
BINARY_HEADER = (b"content-type", b"application/msgpack")
MISSING_NODES_HEADER = b"x-missing-nodes"


class AdminHandler(RequestHandler):
    """Answers the requests of the admin listener."""

    def __init__(
        self,
        targets: AnnouncedTarget,
        state: ConfigurationReplica,
        changes: ChangeService,
        fleet: FleetCollector,
        slots: SlotService,
        on_announce: Callable[[], None],
        clock: Clock,
    ) -> None:
        self.targets = targets
        self.replica = state
        self.changes = changes
        self.fleet = fleet
        self.slots = slots
        self.on_announce = on_announce
        self.clock = clock
        self.posts: dict[str, Callable[..., Awaitable[None]]] = {
            "/policies": self.publish,
            "/policies/rollback": self.rollback,
            "/keys": self.issue,
            "/keys/withdraw": self.withdraw,
            "/tokens": self.set_token,
            "/nodes/forget": self.forget,
        }
        self.gets: dict[str, Callable[..., Awaitable[None]]] = {
            "/policies": self.show,
            "/keys": self.list_keys,
            "/fleet/status": self.show_status,
            "/fleet/events": self.show_events,
            "/fleet/summaries": self.show_summaries,
        }

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Answer one request of the local target or of an operator."""
        body = await connection.read_body(MAX_BODY_BYTES)
        if request.path == "/announce":
            await self.announce(connection, request, body)
            return
        routes = self.posts if request.method == "POST" else self.gets
        handler = routes.get(request.path)
        if handler is None or request.method not in ("GET", "POST"):
            answer = json_body({"reason": "no_route", "path": request.path})
            await connection.respond(404, [JSON_HEADER], answer)
            return
        token = bearer_key(request.header(AUTHORIZATION_HEADER))
        if request.method == "GET":
            await handler(connection, token, request)
        else:
            await handler(connection, token, body)

    async def announce(
        self, connection: ServerExchange, request: Request, body: bytes
    ) -> None:
        """Take the announcement of the local target.

        Raises:
            ProtocolError: If it comes from another host or is malformed.
        """
        if not connection.peer.startswith(LOOPBACK_PREFIX) or request.method != "POST":
            raise ProtocolError(
                "targets announce themselves by POST from the same host",
                "announce",
                connection.peer,
            )
        self.targets.apply_announcement(body, connection.peer, self.clock.now())
        self.on_announce()
        await self.reply(connection, {})

    async def authorise(
        self, connection: ServerExchange, token: str, path: str
    ) -> str | None:
        """Return the author that a token stands for, or refuse the request."""
        author = self.replica.configuration.authorise(token, path)
        if isinstance(author, Refusal):
            await connection.respond(author.status, [JSON_HEADER], refusal_body(author))
            return None
        return author

    async def publish(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Publish a policy, or show what a publication would change."""
        wanted = decode_body(body, PublishPolicyRequest, connection.peer)
        path = policy_path(wanted["team"])
        author = await self.authorise(connection, token, path)
        if author is None:
            return
        try:
            document = parse_policy(wanted["text"], wanted.get("source", "document"))
            check_policy_document(document, path)
            self.check_clashes(document)
        except PolicyError as error:
            await self.reply(connection, policy_error_to_dict(error), 422)
            return
        held = self.replica.configuration.entries.get(path)
        lines = render_changes(held.document if held else None, document)
        base = wanted.get("base_version", self.replica.configuration.version(path))
        if wanted.get("dry_run", False):
            plain = {"result": "dry_run", "difference": lines, "base_version": base}
            conflict = self.replica.configuration.check_base_version(path, base)
            plain["refused"] = refusal_text(conflict)
            await self.reply(connection, plain)
            return
        await self.publish_document(
            connection, document, base, author, wanted["reason"], wanted, lines
        )

    def check_clashes(self, document: PolicyDocument) -> None:
        """Refuse a policy that collides with one of another team.

        Raises:
            PolicyError: If services or paths belong to another team.
        """
        clashes = self.replica.view().ownership_conflicts(document)
        if clashes:
            raise PolicyError("; ".join(clashes), "check", "$")

    async def publish_document(
        self,
        connection: ServerExchange,
        document: PolicyDocument,
        base: int,
        author: str,
        reason: str,
        wanted: PublishPolicyRequest | RollbackPolicyRequest,
        lines: list[str],
    ) -> None:
        """Append a policy and tell the operator what became of it."""
        path = policy_path(document["team"])
        change_id = wanted.get("change_id") or random_id()
        conflict = self.replica.configuration.check_base_version(path, base)
        if isinstance(conflict, Refusal):
            body = refusal_body(conflict)
            await connection.respond(conflict.status, [JSON_HEADER], body)
            return
        record = PolicyPublished(
            change_id,
            path,
            base,
            self.replica.configuration.position,
            author,
            reason,
            time.time(),
            document,
        )
        result = await self.changes.append_and_wait(record, change_id)
        plain = result_to_dict(result) | {"difference": lines, "change_id": change_id}
        await self.reply(connection, plain)

    async def rollback(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Publish an earlier version of a policy as a new change."""
        wanted = decode_body(body, RollbackPolicyRequest, connection.peer)
        path = policy_path(wanted["team"])
        author = await self.authorise(connection, token, path)
        if author is None:
            return
        configuration = self.replica.configuration
        document = configuration.document_at(path, wanted["version"])
        if document is None:
            known = [entry.version for entry in configuration.history(path)]
            message = f"version {wanted['version']} of {path} is not known"
            await self.reply(connection, {"error": message, "known": known}, 404)
            return
        held = configuration.entries[path]
        lines = render_changes(held.document, document)
        await self.publish_document(
            connection, document, held.version, author, wanted["reason"], wanted, lines
        )

    async def issue(self, connection: ServerExchange, token: str, body: bytes) -> None:
        """Issue a key."""
        wanted = decode_body(body, IssueKeyRequest, connection.peer)
        author = await self.authorise(connection, token, policy_path(wanted["team"]))
        if author is None:
            return
        change_id = wanted.get("change_id") or random_id()
        record = KeyIssued(
            change_id,
            wanted["team"],
            wanted["key_id"],
            self.replica.configuration.position,
            wanted["digest"],
            wanted["account"],
            author,
            wanted["reason"],
            time.time(),
        )
        if self.replica.view().account(f"{wanted['team']}/{wanted['account']}") is None:
            message = f"team {wanted['team']} has no account {wanted['account']!r}"
            await self.reply(connection, {"error": message}, 422)
            return
        result = await self.changes.append_and_wait(record, change_id)
        await self.reply(connection, result_to_dict(result) | {"change_id": change_id})

    async def withdraw(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Withdraw a key everywhere."""
        wanted = decode_body(body, WithdrawKeyRequest, connection.peer)
        author = await self.authorise(connection, token, policy_path(wanted["team"]))
        if author is None:
            return
        entry = self.replica.view().keys.get(wanted["key_id"])
        if entry is None or entry.team != wanted["team"]:
            message = f"team {wanted['team']} has no key {wanted['key_id']!r}"
            await self.reply(connection, {"error": message}, 404)
            return
        record = KeyWithdrawn(
            wanted.get("change_id") or random_id(),
            wanted["key_id"],
            wanted["team"],
            author,
            wanted["reason"],
            time.time(),
        )
        result = await self.changes.withdraw(record, self.fleet.other_live_nodes())
        await self.reply(connection, result_to_dict(result))

    async def set_token(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Set a team's token; needs the root token."""
        wanted = decode_body(body, SetTokenRequest, connection.peer)
        author = await self.authorise(connection, token, TEAMS_PREFIX)
        if author is None:
            return
        path = token_path(wanted["team"])
        change_id = wanted.get("change_id") or random_id()
        record = TeamTokenSet(
            change_id,
            wanted["team"],
            self.replica.configuration.version(path),
            self.replica.configuration.position,
            wanted["digest"],
            author,
            wanted["reason"],
            time.time(),
        )
        result = await self.changes.append_and_wait(record, change_id)
        await self.reply(connection, result_to_dict(result) | {"change_id": change_id})

    async def forget(self, connection: ServerExchange, token: str, body: bytes) -> None:
        """Declare a node gone, so that others take its slots; needs the root token."""
        wanted = decode_body(body, ForgetNodeRequest, connection.peer)
        author = await self.authorise(connection, token, TEAMS_PREFIX)
        if author is None:
            return
        now = self.clock.now()
        live = [member.node_id for member in self.fleet.membership.members(now)]
        if wanted["node_id"] in live:
            message = f"node {wanted['node_id']} is alive and cannot be forgotten"
            await self.reply(connection, {"error": message}, 409)
            return
        incarnation = self.slots.newest_incarnation(wanted["node_id"])
        if not incarnation:
            message = f"node {wanted['node_id']} holds nothing; is its name right?"
            await self.reply(connection, {"error": message}, 404)
            return
        record = NodeForgotten(
            wanted["node_id"], incarnation, author, wanted["reason"], time.time()
        )
        taken = await self.slots.append(record)
        plain = {"result": "accepted" if taken else "refused"}
        await self.reply(connection, plain, 200 if taken else 503)

    async def show(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Show the policy of a team and its versions."""
        team = query_parameters(request).get("team", "")
        path = policy_path(team)
        if await self.authorise(connection, token, path) is None:
            return
        history = self.replica.configuration.history(path)
        if not history:
            message = f"team {team} has no policy"
            await self.reply(connection, {"error": message}, 404)
            return
        versions = [
            {
                "version": entry.version,
                "author": entry.author,
                "reason": entry.reason,
                "time": entry.time,
                "document": entry.document,
            }
            for entry in history
        ]
        await self.reply(connection, {"path": path, "versions": versions})

    async def list_keys(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """List the keys of a team without their texts."""
        team = query_parameters(request).get("team", "")
        if await self.authorise(connection, token, policy_path(team)) is None:
            return
        entries = self.replica.configuration.entries
        keys = [
            {
                "key_id": path.rpartition("/")[2],
                "account": entry.account,
                "withdrawn": entry.withdrawn,
                "author": entry.author,
                "reason": entry.reason,
                "time": entry.time,
            }
            for path, entry in sorted(entries.items())
            if path.startswith(f"{policy_path(team)}/keys/")
        ]
        await self.reply(connection, {"team": team, "keys": keys})

    async def show_status(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Show the status of all nodes; any valid token may ask."""
        if await self.authorise_reader(connection, token, request):
            await self.reply(connection, await self.fleet.status())

    async def show_events(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the merged events of all nodes."""
        if not await self.authorise_reader(connection, token, request):
            return
        _, mark, query = request.target.partition("?")
        events, missing = await self.fleet.events(mark + query)
        headers = [BINARY_HEADER, (MISSING_NODES_HEADER, ",".join(missing).encode())]
        await connection.respond(200, headers, encode_events(events))

    async def show_summaries(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the summaries of all nodes that the log still has."""
        if not await self.authorise_reader(connection, token, request):
            return
        summaries, fault = await self.fleet.summaries()
        body = msgspec.msgpack.encode((summaries, fault))
        await connection.respond(200, [BINARY_HEADER], body)

    async def authorise_reader(
        self, connection: ServerExchange, token: str, request: Request
    ) -> bool:
        """Return whether a token may read what concerns the whole fleet."""
        team = query_parameters(request).get("team", "")
        path = policy_path(team) if team else TEAMS_PREFIX
        return await self.authorise(connection, token, path) is not None

    async def reply(
        self, connection: ServerExchange, value: object, status: int = 200
    ) -> None:
        """Send a JSON answer."""
        await connection.respond(status, [JSON_HEADER], json_body(value))


def query_parameters(request: Request) -> dict[str, str]:
    """Return the query of a request, with the first value of each name."""
    pairs = parse_qs(request.target.partition("?")[2])
    return {name: values[0] for name, values in pairs.items()}


def refusal_text(conflict: Conflict | Refusal | None) -> str:
    """Return why a change would be refused, empty if it would not."""
    if conflict is None:
        return ""
    if isinstance(conflict, Refusal):
        return "this node has not read enough to know"
    return f"version {conflict.version} by {conflict.author} is in force"


def policy_error_to_dict(error: PolicyError) -> dict[str, Any]:
    """Describe what is wrong with a policy document."""
    return {
        "result": "invalid",
        "error": error.message,
        "step": error.step,
        "path": error.peer,
    }
