"""What nodes tell each other about versions, reachability and state.

Answers carry the version of the configuration. A node that hears of a newer one reads
the store at once, and one that hears of an older one passes on what it knows. A host
that cannot be reached, or whose target takes no work, gets no requests until a
background check finds it well.
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
# Longest pause between two checks of a host that does not answer.
MAX_PROBE_INTERVAL_SECONDS = 2.0
MIN_PUSH_INTERVAL_SECONDS = 1.0


class MeshState(msgspec.Struct):
    """What one node passes on to another.

    Attributes:
        configuration: The document as it was published; empty for none.
        hosts: Records of hosts.
        hosts_known: Whether the sender knows all hosts.
    """

    configuration: bytes
    hosts: list[HostRecord]
    hosts_known: bool = False


class ProbeReply(msgspec.Struct):
    """Answer to a check.

    Attributes:
        version: Version of the configuration.
        serving: Whether the target takes new work.
    """

    version: int
    serving: bool


class Suspension:
    """A host that gets no requests.

    Attributes:
        due: Time of the next check, in seconds.
        pause: Seconds until the check after it.
        reason: Why the host gets no requests.
    """

    def __init__(self, due: float, reason: str) -> None:
        self.next_probe_at = due
        self.interval = PROBE_INTERVAL_SECONDS
        self.reason = reason


class PeerMonitor:
    """Hears and tells what changes outside the store.

    Attributes:
        wanted: Highest version of the configuration that another node knows.
        suspended: Hosts that get no requests, by address.
    """

    def __init__(
        self,
        own: str,
        directory: Directory,
        router: Router,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.own_address = own
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
        """Take what an answer says of its node."""
        self.observe_version(reply.version)
        if reply.version < self.directory.configuration_version:
            self.outdated.add(address)
        if not reply.serving:
            self.suspend(address, "takes no work")

    def observe_version(self, version: int) -> None:
        """Note the version of the configuration at another node."""
        if version > max(self.newest_version, self.directory.configuration_version):
            self.newest_version = version

    def report_unreachable(self, address: str) -> None:
        """Note that a connection to a host could not be opened."""
        self.suspend(address, "cannot be reached")

    def suspend(self, address: str, reason: str) -> None:
        """Send a host no requests until a check finds it well."""
        if address in self.suspended or address == self.own_address:
            return
        now = self.clock.now()
        self.suspended[address] = Suspension(now + PROBE_INTERVAL_SECONDS, reason)
        self.journal.write("host_suspended", host=address, reason=reason)
        self.update_router()

    def resume(self, address: str) -> None:
        """Send a host requests again."""
        if self.suspended.pop(address, None) is not None:
            self.journal.write("host_resumed", host=address)
            self.update_router()

    def update_router(self) -> None:
        """Give the router the targets that may be given work."""
        candidates = [
            candidate
            for candidate in self.directory.candidates()
            if candidate.address not in self.suspended
        ]
        self.router.set_candidates(candidates, self.clock.now())
        self.on_hosts_changed()

    def reachable_hosts(self) -> list[str]:
        """Return the hosts that can be reached."""
        return sorted(
            address
            for address in self.directory.hosts
            if address not in self.suspended
            or self.suspended[address].reason == "takes no work"
        )

    def merge_host(self, record: HostRecord) -> None:
        """Take the record of a host."""
        known = self.directory.hosts.get(record.address)
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
        if known is None or known.incarnation != record.incarnation:
            self.suspended.pop(record.address, None)
        elif record.phase == 0 and record.address in self.suspended:
            self.suspended.pop(record.address)
        self.update_router()

    def mark_hosts_known(self) -> None:
        """Note that the records of all other hosts were read."""
        if not self.directory.hosts_known:
            self.directory.hosts_known = True
            self.journal.write("hosts_known", hosts=len(self.directory.hosts))
            self.update_router()

    def receive_configuration(self, source: bytes, origin: str) -> None:
        """Take a configuration document if it is valid and newer."""
        try:
            configuration = decode_configuration(source)
        except PolicyError as error:
            self.journal.write("configuration_invalid", error=str(error), origin=origin)
            return
        self.apply_configuration(configuration, origin)

    def apply_configuration(
        self, configuration: MeshConfiguration, origin: str
    ) -> None:
        """Put a configuration in force if it is newer."""
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
        """Answer a check, or take the state that another node passes on."""
        if request.path != STATE_PATH:
            raise ProtocolError("the request is no call", "read head", connection.peer)
        if request.method == "POST":
            body = await connection.read_body(MAX_STATE_BYTES)
            self.merge_state(body, connection.peer)
        else:
            await connection.read_body(0)
        standing = ProbeReply(self.directory.configuration_version, self.serving())
        content = msgspec.json.encode(standing)
        await connection.respond(200, [JSON_HEADER], content)

    def merge_state(self, body: bytes, peer: str) -> None:
        """Take over what another node knows.

        Raises:
            ProtocolError: If it cannot be read.
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
        """Return what this node passes on."""
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
        """Check suspended hosts and pass news on until cancelled."""
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
                for address, item in self.suspended.items()
                if item.next_probe_at <= now
            ]
            behind, self.outdated = self.outdated, set()
            async with curio.TaskGroup() as group:
                for address in due:
                    await group.spawn(self.probe, address)
                for address in behind - set(due):
                    await group.spawn(self.push_state, address)

    async def probe(self, address: str) -> None:
        """Ask a suspended host how it is."""
        suspension = self.suspended.get(address)
        if suspension is None:
            return
        standing = await self.request_probe(address, "GET", b"")
        pause = min(suspension.interval * 1.5, MAX_PROBE_INTERVAL_SECONDS)
        suspension.interval = pause
        suspension.next_probe_at = self.clock.now() + pause
        if standing is None:
            suspension.reason = "cannot be reached"
            return
        suspension.reason = "takes no work"
        suspension.next_probe_at = self.clock.now() + PROBE_INTERVAL_SECONDS
        if standing.version < self.directory.configuration_version:
            await self.push_state(address)
        if standing.serving:
            self.resume(address)

    async def push_state(self, address: str) -> None:
        """Pass on what this node knows, not too often."""
        now = self.clock.now()
        if (
            now - self.pushed_at.get(address, -MIN_PUSH_INTERVAL_SECONDS)
            < MIN_PUSH_INTERVAL_SECONDS
        ):
            return
        self.pushed_at[address] = now
        self.journal.write("state_passed_on", host=address)
        await self.request_probe(address, "POST", self.encode_state())

    async def broadcast_state(self) -> None:
        """Pass this node's state on to all others, while the store cannot."""
        async with curio.TaskGroup() as group:
            for address in self.reachable_hosts():
                if address != self.own_address:
                    await group.spawn(
                        self.request_probe, address, "POST", self.encode_state()
                    )

    async def request_probe(
        self, address: str, method: str, body: bytes
    ) -> ProbeReply | None:
        """Send a check or a state on a new connection; None without an answer."""
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
        """Run one exchange on a connection of its own, as kept ones may be lost."""
        connection = await self.pool.connect(address)
        try:
            await connection.send(method, STATE_PATH, headers, body)
            answer = await connection.receive_head()
            content = await answer.read(MAX_STATE_BYTES)
        finally:
            await self.pool.discard(connection)
        return msgspec.json.decode(content, type=ProbeReply)
