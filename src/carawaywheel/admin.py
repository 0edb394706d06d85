"""Handler of the administration API, for the local target and for operators."""

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
from .intake import Intake
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
STEP = "administration"
BINARY_HEADER = (b"content-type", b"application/msgpack")
MISSING_NODES_HEADER = b"x-missing-nodes"


class AdminHandler(RequestHandler):
    """Handles the requests of the admin listener."""

    def __init__(
        self,
        announced_target: AnnouncedTarget,
        replica: ConfigurationReplica,
        change_service: ChangeService,
        fleet: FleetCollector,
        slots: SlotService,
        on_announce: Callable[[], None],
        intake: Intake,
        clock: Clock,
    ) -> None:
        self.announced_target = announced_target
        self.replica = replica
        self.change_service = change_service
        self.fleet = fleet
        self.slots = slots
        self.on_announce = on_announce
        self.intake = intake
        self.clock = clock
        self.post_handlers: dict[str, Callable[..., Awaitable[None]]] = {
            "/policies": self.publish,
            "/policies/rollback": self.rollback,
            "/keys": self.issue,
            "/keys/withdraw": self.withdraw,
            "/tokens": self.set_token,
            "/nodes/forget": self.forget,
        }
        self.get_handlers: dict[str, Callable[..., Awaitable[None]]] = {
            "/policies": self.show,
            "/keys": self.list_keys,
            "/fleet/status": self.show_status,
            "/fleet/events": self.show_events,
            "/fleet/summaries": self.show_summaries,
        }

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request of the local target or of an operator."""
        body = await connection.read_body(MAX_BODY_BYTES)
        if request.path == "/announce":
            await self.announce(connection, request, body)
            return
        if self.intake.closed:
            refusal = self.intake.refusal(STEP)
            response = refusal_body(refusal)
            await connection.respond(refusal.status, [JSON_HEADER], response)
            return
        with self.intake.take():
            await self.handle_operator(connection, request, body)

    async def handle_operator(
        self, connection: ServerExchange, request: Request, body: bytes
    ) -> None:
        """Handle one request of an operator."""
        routes = self.post_handlers if request.method == "POST" else self.get_handlers
        handler = routes.get(request.path)
        if handler is None or request.method not in ("GET", "POST"):
            response = json_body({"reason": "no_route", "path": request.path})
            await connection.respond(404, [JSON_HEADER], response)
            return
        token = bearer_key(request.header(AUTHORIZATION_HEADER))
        if request.method == "GET":
            await handler(connection, token, request)
        else:
            await handler(connection, token, body)

    async def announce(
        self, connection: ServerExchange, request: Request, body: bytes
    ) -> None:
        """Handle the announcement of the local target.

        Raises:
            ProtocolError: If it comes from another host or is malformed.
        """
        if not connection.peer.startswith(LOOPBACK_PREFIX) or request.method != "POST":
            raise ProtocolError(
                "expected a POST request from a loopback address",
                "announce",
                connection.peer,
            )
        self.announced_target.apply_announcement(
            body, connection.peer, self.clock.now()
        )
        self.on_announce()
        await self.respond_json(connection, {})

    async def authorise(
        self, connection: ServerExchange, token: str, path: str
    ) -> str | None:
        """Return the author whom a token identifies, or refuse the request."""
        author = self.replica.configuration.authorise(token, path)
        if isinstance(author, Refusal):
            await connection.respond(author.status, [JSON_HEADER], refusal_body(author))
            return None
        return author

    async def publish(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Publish a policy, or in a dry run return what would change."""
        payload = decode_body(body, PublishPolicyRequest, connection.peer)
        path = policy_path(payload["team"])
        author = await self.authorise(connection, token, path)
        if author is None:
            return
        try:
            document = parse_policy(payload["text"], payload.get("source", "document"))
            check_policy_document(document, path)
            self.check_ownership(document)
        except PolicyError as error:
            await self.respond_json(connection, policy_error_to_dict(error), 422)
            return
        current = self.replica.configuration.entries.get(path)
        lines = render_changes(current.document if current else None, document)
        base_version = payload.get(
            "base_version", self.replica.configuration.version(path)
        )
        if payload.get("dry_run", False):
            fields = {
                "result": "dry_run",
                "difference": lines,
                "base_version": base_version,
            }
            conflict = self.replica.configuration.check_base_version(path, base_version)
            fields["refused"] = refusal_text(conflict)
            await self.respond_json(connection, fields)
            return
        await self.publish_document(
            connection,
            document,
            base_version,
            author,
            payload["reason"],
            payload,
            lines,
        )

    def check_ownership(self, document: PolicyDocument) -> None:
        """Reject a policy that conflicts with the policy of another team.

        Raises:
            PolicyError: If services or paths belong to another team.
        """
        conflicts = self.replica.view().ownership_conflicts(document)
        if conflicts:
            raise PolicyError("; ".join(conflicts), "check", "$")

    async def publish_document(
        self,
        connection: ServerExchange,
        document: PolicyDocument,
        base_version: int,
        author: str,
        reason: str,
        payload: PublishPolicyRequest | RollbackPolicyRequest,
        lines: list[str],
    ) -> None:
        """Append a policy and send the operator the outcome."""
        path = policy_path(document["team"])
        change_id = payload.get("change_id") or random_id()
        conflict = self.replica.configuration.check_base_version(path, base_version)
        if isinstance(conflict, Refusal):
            body = refusal_body(conflict)
            await connection.respond(conflict.status, [JSON_HEADER], body)
            return
        record = PolicyPublished(
            change_id,
            path,
            base_version,
            self.replica.configuration.position,
            author,
            reason,
            time.time(),
            document,
        )
        result = await self.change_service.append_and_wait(record, change_id)
        fields = result_to_dict(result) | {"difference": lines, "change_id": change_id}
        await self.respond_json(connection, fields)

    async def rollback(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Publish an earlier version of a policy as a new change."""
        payload = decode_body(body, RollbackPolicyRequest, connection.peer)
        path = policy_path(payload["team"])
        author = await self.authorise(connection, token, path)
        if author is None:
            return
        configuration = self.replica.configuration
        document = configuration.document_at(path, payload["version"])
        if document is None:
            known = [entry.version for entry in configuration.history(path)]
            message = f"version {payload['version']} of {path} is not known"
            await self.respond_json(connection, {"error": message, "known": known}, 404)
            return
        current = configuration.entries[path]
        lines = render_changes(current.document, document)
        await self.publish_document(
            connection,
            document,
            current.version,
            author,
            payload["reason"],
            payload,
            lines,
        )

    async def issue(self, connection: ServerExchange, token: str, body: bytes) -> None:
        """Issue a key."""
        payload = decode_body(body, IssueKeyRequest, connection.peer)
        author = await self.authorise(connection, token, policy_path(payload["team"]))
        if author is None:
            return
        change_id = payload.get("change_id") or random_id()
        record = KeyIssued(
            change_id,
            payload["team"],
            payload["key_id"],
            self.replica.configuration.position,
            payload["digest"],
            payload["account"],
            author,
            payload["reason"],
            time.time(),
        )
        if (
            self.replica.view().account(f"{payload['team']}/{payload['account']}")
            is None
        ):
            message = f"team {payload['team']} has no account {payload['account']!r}"
            await self.respond_json(connection, {"error": message}, 422)
            return
        result = await self.change_service.append_and_wait(record, change_id)
        await self.respond_json(
            connection, result_to_dict(result) | {"change_id": change_id}
        )

    async def withdraw(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Withdraw a key at all nodes."""
        payload = decode_body(body, WithdrawKeyRequest, connection.peer)
        author = await self.authorise(connection, token, policy_path(payload["team"]))
        if author is None:
            return
        entry = self.replica.view().keys.get(payload["key_id"])
        if entry is None or entry.team != payload["team"]:
            message = f"team {payload['team']} has no key {payload['key_id']!r}"
            await self.respond_json(connection, {"error": message}, 404)
            return
        record = KeyWithdrawn(
            payload.get("change_id") or random_id(),
            payload["key_id"],
            payload["team"],
            author,
            payload["reason"],
            time.time(),
        )
        result = await self.change_service.withdraw(
            record, self.fleet.other_live_nodes()
        )
        await self.respond_json(connection, result_to_dict(result))

    async def set_token(
        self, connection: ServerExchange, token: str, body: bytes
    ) -> None:
        """Set the token of a team; requires the root token."""
        payload = decode_body(body, SetTokenRequest, connection.peer)
        author = await self.authorise(connection, token, TEAMS_PREFIX)
        if author is None:
            return
        path = token_path(payload["team"])
        change_id = payload.get("change_id") or random_id()
        record = TeamTokenSet(
            change_id,
            payload["team"],
            self.replica.configuration.version(path),
            self.replica.configuration.position,
            payload["digest"],
            author,
            payload["reason"],
            time.time(),
        )
        result = await self.change_service.append_and_wait(record, change_id)
        await self.respond_json(
            connection, result_to_dict(result) | {"change_id": change_id}
        )

    async def forget(self, connection: ServerExchange, token: str, body: bytes) -> None:
        """Declare a node gone, which frees its slots; requires the root token."""
        payload = decode_body(body, ForgetNodeRequest, connection.peer)
        author = await self.authorise(connection, token, TEAMS_PREFIX)
        if author is None:
            return
        now = self.clock.now()
        live = [member.node_id for member in self.fleet.membership.members(now)]
        if payload["node_id"] in live:
            message = f"node {payload['node_id']} is alive and cannot be declared gone"
            await self.respond_json(connection, {"error": message}, 409)
            return
        incarnation = self.slots.newest_incarnation(payload["node_id"])
        if not incarnation:
            message = f"node {payload['node_id']} has no slots; check the node id"
            await self.respond_json(connection, {"error": message}, 404)
            return
        record = NodeForgotten(
            payload["node_id"], incarnation, author, payload["reason"], time.time()
        )
        is_appended = await self.slots.append(record)
        fields = {"result": "accepted" if is_appended else "refused"}
        await self.respond_json(connection, fields, 200 if is_appended else 503)

    async def show(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the policy of a team with its known versions."""
        team = query_parameters(request).get("team", "")
        path = policy_path(team)
        if await self.authorise(connection, token, path) is None:
            return
        history = self.replica.configuration.history(path)
        if not history:
            message = f"team {team} has no policy"
            await self.respond_json(connection, {"error": message}, 404)
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
        await self.respond_json(connection, {"path": path, "versions": versions})

    async def list_keys(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the keys of a team; their texts are not stored."""
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
        await self.respond_json(connection, {"team": team, "keys": keys})

    async def show_status(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the status of all nodes; any valid token is accepted."""
        if await self.authorise_reader(connection, token, request):
            await self.respond_json(connection, await self.fleet.status())

    async def show_events(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the merged events of all nodes."""
        if not await self.authorise_reader(connection, token, request):
            return
        _, separator, query = request.target.partition("?")
        events, missing = await self.fleet.events(separator + query)
        headers = [BINARY_HEADER, (MISSING_NODES_HEADER, ",".join(missing).encode())]
        await connection.respond(200, headers, encode_events(events))

    async def show_summaries(
        self, connection: ServerExchange, token: str, request: Request
    ) -> None:
        """Send the summaries of all nodes that are still in the log."""
        if not await self.authorise_reader(connection, token, request):
            return
        summaries, error = await self.fleet.summaries()
        body = msgspec.msgpack.encode((summaries, error))
        await connection.respond(200, [BINARY_HEADER], body)

    async def authorise_reader(
        self, connection: ServerExchange, token: str, request: Request
    ) -> bool:
        """Return whether a token may read data of the whole fleet."""
        team = query_parameters(request).get("team", "")
        path = policy_path(team) if team else TEAMS_PREFIX
        return await self.authorise(connection, token, path) is not None

    async def respond_json(
        self, connection: ServerExchange, value: object, status: int = 200
    ) -> None:
        """Send a JSON response."""
        await connection.respond(status, [JSON_HEADER], json_body(value))


def query_parameters(request: Request) -> dict[str, str]:
    """Return the query parameters of a request, with the first value of each."""
    pairs = parse_qs(request.target.partition("?")[2])
    return {name: values[0] for name, values in pairs.items()}


def refusal_text(conflict: Conflict | Refusal | None) -> str:
    """Return why a change would be refused, or "" if it would be accepted."""
    if conflict is None:
        return ""
    if isinstance(conflict, Refusal):
        return "this node has not read enough of the log to check the base version"
    return f"version {conflict.version} by {conflict.author} is in force"


def policy_error_to_dict(error: PolicyError) -> dict[str, Any]:
    """Return the error of a policy document as JSON data."""
    return {
        "result": "invalid",
        "error": error.message,
        "step": error.step,
        "path": error.peer,
    }
