"""Policy documents: schema, parser, validation and differences.

A policy describes the mesh of one team: its services, routes, client accounts and
retry limits. Rates are in requests per second, times in seconds.
"""

from collections.abc import Iterable, Iterator
from typing import (
    Annotated,
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    TypedDict,
    get_args,
    get_type_hints,
    is_typeddict,
)

import msgspec
import yaml
from msgspec import Meta

from .errors import PolicyError

MAX_DOCUMENT_BYTES = 48 * 1024

# The lookahead rejects a trailing newline, which "$" would accept.
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}(?![\s\S])"
PREFIX_PATTERN = r"^/([A-Za-z0-9_~.-]+(/[A-Za-z0-9_~.-]+)*)?(?![\s\S])"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Prefix = Annotated[str, Meta(pattern=PREFIX_PATTERN, max_length=512)]
Seconds = Annotated[float, Meta(ge=0.0, le=86400.0)]
Deadline = Annotated[float, Meta(gt=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Rate = Annotated[float, Meta(gt=0.0, le=10_000_000.0)]
Burst = Annotated[float, Meta(ge=1.0, le=100_000_000.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Attempts = Annotated[int, Meta(ge=0, le=100)]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
Preference = Literal["goodput", "fairness"]
Access = Literal["keyed", "open"]
ImportanceName = Literal["critical", "normal", "sheddable"]


class ServiceDocument(TypedDict):
    """A service of the mesh; slots and connections are those of one endpoint.

    ``cold_start`` is the time in seconds that a new target needs to warm up.
    ``endpoints`` is the usual number of targets and limits nothing.
    """

    name: Name
    slots: Count
    connections: Count
    cold_start: NotRequired[Seconds]
    endpoints: NotRequired[Count]


class RouteDocument(TypedDict):
    """A path prefix with its methods and the service that answers it.

    ``accounts`` limits a keyed route to some client accounts of the team.
    """

    name: Name
    path: Prefix
    methods: NotRequired[Annotated[list[Method], Meta(min_length=1, max_length=7)]]
    service: Name
    access: NotRequired[Access]
    importance: NotRequired[ImportanceName]
    idempotent: NotRequired[bool]
    deadline: NotRequired[Deadline]
    accounts: NotRequired[Annotated[list[Name], Meta(min_length=1)]]


class AccountDocument(TypedDict):
    """A client account with its rate in requests per second and its burst."""

    name: Name
    rate: Rate
    burst: Burst


class RetryDocument(TypedDict):
    """Retry limits: attempts of a call chain and the share of a service."""

    attempts: NotRequired[Attempts]
    service_share: NotRequired[Share]


class PolicyDocument(TypedDict):
    """Policy of one team, stored at ``/teams/<team>``."""

    team: Name
    preference: NotRequired[Preference]
    services: list[ServiceDocument]
    routes: list[RouteDocument]
    accounts: list[AccountDocument]
    retries: NotRequired[RetryDocument]


class FieldChange(NamedTuple):
    """One difference between two documents.

    Attributes:
        field: Path of the field; list items are identified by their names.
        old: Old value, or None if the field was added.
        new: New value, or None if the field was removed.
    """

    field: str
    old: Any
    new: Any


def parse_policy(text: str | bytes, source: str) -> PolicyDocument:
    """Parse a policy document in YAML or JSON and validate its types.

    Args:
        text: The document, at most 48 KiB of UTF-8.
        source: Name of the document for error messages, such as a file name.

    Returns:
        The document as written, without defaults.

    Raises:
        PolicyError: If the document is invalid; ``peer`` is the JSON path of the fault.
    """
    step = f"parse {source}"
    value = decode_document(as_bytes(text, step), step)
    for json_path in unknown_fields(value, PolicyDocument, "$"):
        raise PolicyError("unknown field", step, json_path)
    try:
        return msgspec.convert(value, PolicyDocument)
    except msgspec.ValidationError as error:
        reason, _, json_path = str(error).partition(" - at `")
        raise PolicyError(reason, step, json_path.rstrip("`") or "$") from None


def as_bytes(text: str | bytes, step: str) -> bytes:
    """Encode the text of a document and check its size.

    Raises:
        PolicyError: If the text is too large or is not valid Unicode.
    """
    try:
        data = text.encode() if isinstance(text, str) else bytes(text)
        data.decode()
    except UnicodeError:
        raise PolicyError("document is not valid UTF-8", step, "$") from None
    if len(data) > MAX_DOCUMENT_BYTES:
        raise PolicyError(
            f"document has {len(data)} bytes, limit is {MAX_DOCUMENT_BYTES}",
            step,
            "$",
        )
    return data


def decode_document(data: bytes, step: str) -> Any:
    """Decode JSON or YAML into plain values.

    Raises:
        PolicyError: If the data is not valid JSON or YAML, or uses YAML aliases.
    """
    if data.lstrip().startswith(b"{"):
        try:
            return msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError):
            pass  # A YAML flow mapping also starts with a brace.
    try:
        reject_aliases(data.decode(), step)
        return yaml.load(data.decode(), Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, ValueError, TypeError, OverflowError) as error:
        reason = " ".join(str(error).split())
        raise PolicyError(
            f"document is not valid YAML or JSON: {reason}", step, "$"
        ) from None


def reject_aliases(text: str, step: str) -> None:
    """Reject YAML aliases, which let a short text expand without bound.

    Raises:
        PolicyError: If the text contains an alias.
    """
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            raise PolicyError("YAML aliases are not allowed", step, "$")


def unknown_fields(value: Any, schema: Any, json_path: str) -> Iterator[str]:
    """Yield the JSON paths of fields that a schema does not define."""
    if is_typeddict(schema) and isinstance(value, dict):
        hints = get_type_hints(schema)
        for field, item in value.items():
            if field not in hints:
                yield f"{json_path}.{field}"
            else:
                yield from unknown_fields(item, hints[field], f"{json_path}.{field}")
    elif isinstance(value, list):
        element = get_args(schema)
        for index, item in enumerate(value):
            if element:
                yield from unknown_fields(item, element[0], f"{json_path}[{index}]")


def check_policy_document(document: PolicyDocument, path: str) -> None:
    """Check the rules that the types cannot express.

    Args:
        document: A parsed document.
        path: Path at which it is to be published.

    Raises:
        PolicyError: For the first fault found; ``peer`` is its JSON path.
    """
    if path != f"/teams/{document['team']}":
        raise PolicyError(
            f"document of team {document['team']} cannot be published at {path}",
            "check",
            "$.team",
        )
    check_names(document["services"], "$.services")
    check_names(document["routes"], "$.routes")
    check_names(document["accounts"], "$.accounts")
    check_routes(document)
    size = len(msgspec.msgpack.encode(document))
    if size > MAX_DOCUMENT_BYTES:
        raise PolicyError(
            f"encoded document has {size} bytes, limit is {MAX_DOCUMENT_BYTES}",
            "check",
            "$",
        )


def check_names(items: Iterable[Any], json_path: str) -> None:
    """Check that the names in one list are unique.

    Raises:
        PolicyError: If a name appears twice.
    """
    seen: set[str] = set()
    for index, item in enumerate(items):
        if item["name"] in seen:
            raise PolicyError(
                f"name {item['name']} appears twice",
                "check",
                f"{json_path}[{index}].name",
            )
        seen.add(item["name"])


def check_routes(document: PolicyDocument) -> None:
    """Check the references of routes, and that no two match the same requests.

    Raises:
        PolicyError: If a reference is unknown or two routes overlap.
    """
    services = {service["name"] for service in document["services"]}
    accounts = {account["name"] for account in document["accounts"]}
    route_names: dict[tuple[str, str], str] = {}
    for index, route in enumerate(document["routes"]):
        json_path = f"$.routes[{index}]"
        if route["service"] not in services:
            message = f"unknown service {route['service']}"
            raise PolicyError(message, "check", f"{json_path}.service")
        check_route_accounts(route, accounts, json_path)
        check_dot_segments(route["path"], json_path)
        for method in route.get("methods", ["GET"]):
            other = route_names.setdefault((route["path"], method), route["name"])
            if other != route["name"]:
                message = f"{method} {route['path']} is also matched by route {other}"
                raise PolicyError(message, "check", f"{json_path}.path")


def check_route_accounts(
    route: RouteDocument, accounts: set[str], json_path: str
) -> None:
    """Check the client accounts that a route allows.

    Raises:
        PolicyError: If an account is unknown or the route is open.
    """
    for position, name in enumerate(route.get("accounts", [])):
        if name not in accounts:
            message = f"unknown client account {name}"
            raise PolicyError(message, "check", f"{json_path}.accounts[{position}]")
    if "accounts" in route and route.get("access") == "open":
        message = "an open route cannot be limited to client accounts"
        raise PolicyError(message, "check", f"{json_path}.accounts")


def check_dot_segments(prefix: str, json_path: str) -> None:
    """Reject path prefixes with dot segments, which no request can match.

    Raises:
        PolicyError: If a segment is ``.`` or ``..``.
    """
    if {".", ".."} & set(prefix.split("/")):
        message = "dot segments are not allowed in a path prefix"
        raise PolicyError(message, "check", f"{json_path}.path")


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of policy documents."""
    schema = msgspec.json.schema(PolicyDocument)
    for definition in schema["$defs"].values():
        definition["additionalProperties"] = False
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    return schema


def flatten(value: Any, json_path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the leaves of a document with their paths.

    Items of a list of objects are identified by their names.
    """
    if isinstance(value, dict):
        for field, item in value.items():
            yield from flatten(item, f"{json_path}.{field}" if json_path else field)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for item in value:
            rest = {field: item[field] for field in item if field != "name"}
            yield from flatten(rest, f"{json_path}[{item['name']}]")
    else:
        yield json_path, value


def field_changes(
    old: PolicyDocument | None, new: PolicyDocument | None
) -> list[FieldChange]:
    """Return the fields that differ, sorted by path."""
    before = dict(flatten(old or {}))
    after = dict(flatten(new or {}))
    fields = sorted(before.keys() | after.keys())
    changes = [
        FieldChange(field, before.get(field), after.get(field)) for field in fields
    ]
    return [change for change in changes if change.old != change.new]


def render_changes(old: PolicyDocument | None, new: PolicyDocument | None) -> list[str]:
    """Return the differences between two documents as readable lines.

    Lines start with ``+`` for a new field, ``-`` for a removed one and ``~`` for a
    changed one.
    """
    return [render_change(change) for change in field_changes(old, new)]


def render_change(change: FieldChange) -> str:
    """Return one difference as a line."""
    if change.old is None:
        return f"+ {change.field}: {change.new}"
    if change.new is None:
        return f"- {change.field}: {change.old}"
    return f"~ {change.field}: {change.old} -> {change.new}"
