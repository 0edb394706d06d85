"""Monitoring of peers: reachability, readiness and configuration versions.

Replies carry the configuration version of the replying node. A node that sees a newer
version reads the store at once; one that sees an older version pushes its own state to
that peer. A host that is unreachable, or whose target accepts no work, is suspended: it
gets no requests until a background probe succeeds.
"""

from typing import Any

import curio
import msgspec

from ..clock import Clock
from ..errors import PeerError, PolicyError, ProtocolError
from ..http import Request
from ..platform.configuration import decode_configuration
from ..pool import ConnectionPool
from ..routing import Router
from ..serverexchange import JSON_HEADER, ServerExchange
from .configuration import MeshConfiguration
from .directory import Directory, HostRecord
from .journal import Journal
from .messages import CallReply
from .settings import CONNECT_TIMEOUT_SECONDS

STATE_PATH = "/-/state"
MAX_STATE_BYTES = 4 * 1024 * 1024
PROBE_INTERVAL_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 0.6
# Upper bound of the backoff between probes of an unreachable host.
MAX_PROBE_INTERVAL_SECONDS = 2.0
MIN_PUSH_INTERVAL_SECONDS = 1.0


class MeshState(msgspec.Struct):
    """State that one node sends to another.

    Attributes:
        configuration: The configuration document as published; empty for none.
        hosts: Host records.
        hosts_known: Whether the sender has read the records of all hosts.
    """

    configuration: bytes
    hosts: list[HostRecord]
    hosts_known: bool = False


class ProbeReply(msgspec.Struct):
    """Reply to a probe.

    Attributes:
        version: Configuration version of the replying node.
        serving: Whether the target accepts new work.
    """

    version: int
    serving: bool


class Suspension:
    """Suspension of a host, which gets no requests meanwhile.

    Attributes:
        next_probe_at: Time of the next probe, in seconds.
        interval: Current backoff between probes of an unreachable host, in seconds.
        reason: Why the host is suspended.
    """

    def __init__(self, next_probe_at: float, reason: str) -> None:
        self.next_probe_at = next_probe_at
        self.interval = PROBE_INTERVAL_SECONDS
        self.reason = reason


class PeerMonitor:
    """Tracks the reachability, readiness and configuration versions of peers.

    Attributes:
        own_address: Address of this node.
        newest_version: Highest configuration version that a peer has reported.
        newer_available: Set when a peer has a newer version, until the store is read.
        suspended: Suspensions by host address.
        pushed_at: Time of the last state push to each host, in seconds.
        outdated: Hosts with an older configuration version than this node.
        serving: Returns whether the local target accepts new work.
        on_configuration_changed: Called with each configuration that takes effect.
        on_hosts_changed: Called when host records or suspensions change.
    """

    def __init__(
        self,
        own_address: str,
        directory: Directory,
        router: Router,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.own_address = own_address
        self.directory = directory
        self.router = router
        self.journal = journal
        self.clock = clock
        self.pool = ConnectionPool(CONNECT_TIMEOUT_SECONDS)
        self.newest_version = 0
        self.newer_available = curio.Event()
        self.suspended: dict[str, Suspension] = {}
        self.pushed_at: dict[str, float] = {}
        self.outdated: set[str] = set()
        self.serving: Any = lambda: False
        self.on_configuration_changed: Any = lambda configuration: None
        self.on_hosts_changed: Any = lambda: None

    def observe_reply(self, address: str, reply: CallReply) -> None:
        """Process the version and readiness that a reply carries."""
        self.observe_version(reply.version)
        if reply.version < self.directory.configuration_version:
            self.outdated.add(address)
        if not reply.serving:
            self.suspend(address, "takes no work")

    def observe_version(self, version: int) -> None:
        """Process the configuration version of a peer."""
        if version > max(self.newest_version, self.directory.configuration_version):
            self.newest_version = version

    def report_unreachable(self, address: str) -> None:
        """Suspend a host to which no connection could be opened."""
        self.suspend(address, "cannot be reached")

    def suspend(self, address: str, reason: str) -> None:
        """Stop sending requests to a host until a probe succeeds."""
        if address in self.suspended or address == self.own_address:
            return
        now = self.clock.now()
        self.suspended[address] = Suspension(now + PROBE_INTERVAL_SECONDS, reason)
        self.journal.write("host_suspended", host=address, reason=reason)
        self.update_router()

    def resume(self, address: str) -> None:
        """End the suspension of a host."""
        if self.suspended.pop(address, None) is not None:
            self.journal.write("host_resumed", host=address)
            self.update_router()

    def update_router(self) -> None:
        """Pass the targets of all hosts that are not suspended to the router."""
        candidates = [
            candidate
            for candidate in self.directory.candidates()
            if candidate.address not in self.suspended
        ]
        self.router.set_candidates(candidates, self.clock.now())
        self.on_hosts_changed()

    def reachable_hosts(self) -> list[str]:
        """Return the addresses of all hosts that are not suspended as unreachable."""
        return sorted(
            address
            for address in self.directory.hosts
            if address not in self.suspended
            or self.suspended[address].reason == "takes no work"
        )

    def merge_host(self, record: HostRecord) -> None:
        """Merge the record of a host if it is newer."""
        former = self.directory.hosts.get(record.address)
        if not self.directory.merge(record):
            return
        self.journal.write(
            "host",
            host=record.address,
            id=record.node_id,
            service=record.service,
            phase=record.phase,
            order=record.revision,
        )
        if former is None or former.incarnation != record.incarnation:
            self.suspended.pop(record.address, None)
        elif record.phase == 0 and record.address in self.suspended:
            self.suspended.pop(record.address)
        self.update_router()

    def mark_hosts_known(self) -> None:
        """Record that the records of all other hosts have been read."""
        if not self.directory.hosts_known:
            self.directory.hosts_known = True
            self.journal.write("hosts_known", hosts=len(self.directory.hosts))
            self.update_router()

    def receive_configuration(self, source: bytes, origin: str) -> None:
        """Decode a configuration document; apply it if it is valid and newer."""
        try:
            configuration = decode_configuration(source)
        except PolicyError as error:
            self.journal.write("configuration_invalid", error=str(error), origin=origin)
            return
        self.apply_configuration(configuration, origin)

    def apply_configuration(
        self, configuration: MeshConfiguration, origin: str
    ) -> None:
        """Apply a configuration if it is newer."""
        former = self.directory.configuration_version
        if not self.directory.update_configuration(configuration):
            return
        self.journal.write(
            "configuration",
            version=configuration.version,
            former=former,
            origin=origin,
        )
        self.on_configuration_changed(configuration)

    async def handle_state_request(
        self, connection: ServerExchange, request: Request
    ) -> None:
        """Reply to a probe or to a peer that pushes its state.

        Raises:
            ProtocolError: If the request is neither, or the state is malformed.
        """
        if request.path != STATE_PATH:
            raise ProtocolError(
                f"expected a call or a request for {STATE_PATH}",
                "read head",
                connection.peer,
            )
        if request.method == "POST":
            body = await connection.read_body(MAX_STATE_BYTES)
            self.merge_state(body, connection.peer)
        else:
            await connection.read_body(0)
        reply = ProbeReply(self.directory.configuration_version, self.serving())
        content = msgspec.json.encode(reply)
        await connection.respond(200, [JSON_HEADER], content)

    def merge_state(self, body: bytes, peer: str) -> None:
        """Merge the state that a peer has pushed.

        Raises:
            ProtocolError: If the body is malformed; ``peer`` holds the peer's address.
        """
        try:
            state = msgspec.msgpack.decode(body, type=MeshState)
        except msgspec.DecodeError as error:
            raise ProtocolError(str(error), "take state", peer) from error
        if state.configuration:
            self.receive_configuration(state.configuration, peer)
        for record in state.hosts:
            self.merge_host(record)
        if state.hosts_known:
            self.mark_hosts_known()

    def encode_state(self) -> bytes:
        """Return the encoded state of this node."""
        configuration = self.directory.configuration
        source = configuration.source if configuration else b""
        return msgspec.msgpack.encode(
            MeshState(
                source,
                list(self.directory.hosts.values()),
                self.directory.hosts_known,
            )
        )

    async def run(self) -> None:
        """Probe suspended hosts and push state to outdated ones until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL_SECONDS / 2)
            now = self.clock.now()
            if (
                self.newest_version > self.directory.configuration_version
                and not self.newer_available.is_set()
            ):
                await self.newer_available.set()
            due = [
                address
                for address, suspension in self.suspended.items()
                if suspension.next_probe_at <= now
            ]
            outdated, self.outdated = self.outdated, set()
            async with curio.TaskGroup() as group:
                for address in due:
                    await group.spawn(self.probe, address)
                for address in outdated - set(due):
                    await group.spawn(self.push_state, address)

    async def probe(self, address: str) -> None:
        """Probe a suspended host; end its suspension if its target accepts work."""
        suspension = self.suspended.get(address)
        if suspension is None:
            return
        reply = await self.try_exchange(address, "GET", b"")
        backoff = min(suspension.interval * 1.5, MAX_PROBE_INTERVAL_SECONDS)
        suspension.interval = backoff
        suspension.next_probe_at = self.clock.now() + backoff
        if reply is None:
            suspension.reason = "cannot be reached"
            return
        suspension.reason = "takes no work"
        suspension.next_probe_at = self.clock.now() + PROBE_INTERVAL_SECONDS
        if reply.version < self.directory.configuration_version:
            await self.push_state(address)
        if reply.serving:
            self.resume(address)

    async def push_state(self, address: str) -> None:
        """Push this node's state to a host, at most once per minimum interval."""
        now = self.clock.now()
        if (
            now - self.pushed_at.get(address, -MIN_PUSH_INTERVAL_SECONDS)
            < MIN_PUSH_INTERVAL_SECONDS
        ):
            return
        self.pushed_at[address] = now
        self.journal.write("state_passed_on", host=address)
        await self.try_exchange(address, "POST", self.encode_state())

    async def broadcast_state(self) -> None:
        """Push this node's state to all reachable hosts while the store is down."""
        async with curio.TaskGroup() as group:
            for address in self.reachable_hosts():
                if address != self.own_address:
                    await group.spawn(
                        self.try_exchange, address, "POST", self.encode_state()
                    )

    async def try_exchange(
        self, address: str, method: str, body: bytes
    ) -> ProbeReply | None:
        """Send a probe or a state; return None if the exchange fails or times out."""
        headers = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        try:
            return await curio.timeout_after(
                PROBE_TIMEOUT_SECONDS, self.exchange, address, method, headers, body
            )
        except (PeerError, curio.TaskTimeout, msgspec.DecodeError) as error:
            self.journal.count("check_failed", type(error).__name__)
            return None

    async def exchange(
        self, address: str, method: str, headers: Any, body: bytes
    ) -> ProbeReply:
        """Run one exchange on a new connection; a pooled one may be broken."""
        connection = await self.pool.connect(address)
        try:
            await connection.send(method, STATE_PATH, headers, body)
            response = await connection.receive_head()
            content = await response.read(MAX_STATE_BYTES)
        finally:
            await self.pool.discard(connection)
        return msgspec.json.decode(content, type=ProbeReply)
