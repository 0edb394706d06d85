"""What nodes tell each other about versions, reachability and state.

Answers carry the version of the configuration. A node that hears of a newer one reads
the store at once, and one that hears of an older one passes on what it knows. A host
that cannot be reached, or whose target takes no work, gets no requests until a
background check finds it well.
"""

from typing import Any

import curio
import msgspec

from ..answering import JSON_HEADER, ServerExchange
from ..clock import Clock
from ..errors import PeerError, PolicyError, ProtocolError
from ..http import Request
from ..platform.configuration import decode_configuration
from ..pool import Pool
from ..routing import Router
from .calls import Reply
from .directory import Directory, HostRecord
from .document import MeshConfiguration
from .journal import Journal
from .settings import CONNECT_SECONDS

STATE_PATH = "/-/state"
STATE_LIMIT = 4 * 1024 * 1024
CHECK_SECONDS = 0.4
CHECK_TIMEOUT_SECONDS = 0.6
# Longest pause between two checks of a host that does not answer.
CHECK_SECONDS_MAX = 2.0
PUSH_SECONDS = 1.0


class State(msgspec.Struct):
    """What one node passes on to another.

    Attributes:
        configuration: The document as it was published; empty for none.
        hosts: Records of hosts.
        hosts_known: Whether the sender knows all hosts.
    """

    configuration: bytes
    hosts: list[HostRecord]
    hosts_known: bool = False


class Standing(msgspec.Struct):
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
        self.due = due
        self.pause = CHECK_SECONDS
        self.reason = reason


class News:
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
        self.own = own
        self.directory = directory
        self.router = router
        self.journal = journal
        self.clock = clock
        self.pool = Pool(CONNECT_SECONDS)
        self.wanted = 0
        self.newer = curio.Event()
        self.suspended: dict[str, Suspension] = {}
        self.pushed_at: dict[str, float] = {}
        self.behind: set[str] = set()
        self.serving: Any = lambda: False
        self.on_configuration: Any = lambda configuration: None
        self.on_hosts: Any = lambda: None

    def heard(self, address: str, reply: Reply) -> None:
        """Take what an answer says of its node."""
        self.heard_version(reply.version)
        if reply.version < self.directory.version:
            self.behind.add(address)
        if not reply.serving:
            self.suspend(address, "takes no work")

    def heard_version(self, version: int) -> None:
        """Note the version of the configuration at another node."""
        if version > max(self.wanted, self.directory.version):
            self.wanted = version

    def unreachable(self, address: str) -> None:
        """Note that a connection to a host could not be opened."""
        self.suspend(address, "cannot be reached")

    def suspend(self, address: str, reason: str) -> None:
        """Send a host no requests until a check finds it well."""
        if address in self.suspended or address == self.own:
            return
        now = self.clock.now()
        self.suspended[address] = Suspension(now + CHECK_SECONDS, reason)
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
        self.router.update(candidates, self.clock.now())
        self.on_hosts()

    def live(self) -> list[str]:
        """Return the hosts that can be reached."""
        return sorted(
            address
            for address in self.directory.hosts
            if address not in self.suspended
            or self.suspended[address].reason == "takes no work"
        )

    def add_host(self, record: HostRecord) -> None:
        """Take the record of a host."""
        known = self.directory.hosts.get(record.address)
        if not self.directory.add(record):
            return
        self.journal.write(
            "host",
            host=record.address,
            id=record.node_id,
            service=record.service,
            phase=record.phase,
            order=record.order,
        )
        if known is None or known.incarnation != record.incarnation:
            self.suspended.pop(record.address, None)
        elif record.phase == 0 and record.address in self.suspended:
            self.suspended.pop(record.address)
        self.update_router()

    def note_hosts_known(self) -> None:
        """Note that the records of all other hosts were read."""
        if not self.directory.hosts_known:
            self.directory.hosts_known = True
            self.journal.write("hosts_known", hosts=len(self.directory.hosts))
            self.update_router()

    def take_configuration(self, source: bytes, origin: str) -> None:
        """Take a configuration document if it is valid and newer."""
        try:
            configuration = decode_configuration(source)
        except PolicyError as error:
            self.journal.write("configuration_invalid", error=str(error), origin=origin)
            return
        self.use(configuration, origin)

    def use(self, configuration: MeshConfiguration, origin: str) -> None:
        """Put a configuration in force if it is newer."""
        former = self.directory.version
        if not self.directory.configure(configuration):
            return
        self.journal.write(
            "configuration",
            version=configuration.version,
            former=former,
            origin=origin,
        )
        self.on_configuration(configuration)

    async def answer(self, connection: ServerExchange, request: Request) -> None:
        """Answer a check, or take the state that another node passes on."""
        if request.path != STATE_PATH:
            raise ProtocolError("the request is no call", "read head", connection.peer)
        if request.method == "POST":
            body = await connection.read_body(STATE_LIMIT)
            self.take_state(body, connection.peer)
        else:
            await connection.read_body(0)
        standing = Standing(self.directory.version, self.serving())
        content = msgspec.json.encode(standing)
        await connection.respond(200, [JSON_HEADER], content)

    def take_state(self, body: bytes, peer: str) -> None:
        """Take over what another node knows.

        Raises:
            ProtocolError: If it cannot be read.
        """
        try:
            state = msgspec.msgpack.decode(body, type=State)
        except msgspec.DecodeError as error:
            raise ProtocolError(str(error), "take state", peer) from error
        if state.configuration:
            self.take_configuration(state.configuration, peer)
        for record in state.hosts:
            self.add_host(record)
        if state.hosts_known:
            self.note_hosts_known()

    def state(self) -> bytes:
        """Return what this node passes on."""
        configuration = self.directory.configuration
        source = configuration.source if configuration else b""
        return msgspec.msgpack.encode(
            State(
                source,
                list(self.directory.hosts.values()),
                self.directory.hosts_known,
            )
        )

    async def run(self) -> None:
        """Check suspended hosts and pass news on until cancelled."""
        while True:
            await curio.sleep(CHECK_SECONDS / 2)
            now = self.clock.now()
            if self.wanted > self.directory.version and not self.newer.is_set():
                await self.newer.set()
            due = [
                address for address, item in self.suspended.items() if item.due <= now
            ]
            behind, self.behind = self.behind, set()
            async with curio.TaskGroup() as group:
                for address in due:
                    await group.spawn(self.check, address)
                for address in behind - set(due):
                    await group.spawn(self.push, address)

    async def check(self, address: str) -> None:
        """Ask a suspended host how it is."""
        suspension = self.suspended.get(address)
        if suspension is None:
            return
        standing = await self.ask(address, "GET", b"")
        pause = min(suspension.pause * 1.5, CHECK_SECONDS_MAX)
        suspension.pause = pause
        suspension.due = self.clock.now() + pause
        if standing is None:
            suspension.reason = "cannot be reached"
            return
        suspension.reason = "takes no work"
        suspension.due = self.clock.now() + CHECK_SECONDS
        if standing.version < self.directory.version:
            await self.push(address)
        if standing.serving:
            self.resume(address)

    async def push(self, address: str) -> None:
        """Pass on what this node knows, not too often."""
        now = self.clock.now()
        if now - self.pushed_at.get(address, -PUSH_SECONDS) < PUSH_SECONDS:
            return
        self.pushed_at[address] = now
        self.journal.write("state_passed_on", host=address)
        await self.ask(address, "POST", self.state())

    async def tell_all(self) -> None:
        """Pass this node's state on to all others, while the store cannot."""
        async with curio.TaskGroup() as group:
            for address in self.live():
                if address != self.own:
                    await group.spawn(self.ask, address, "POST", self.state())

    async def ask(self, address: str, method: str, body: bytes) -> Standing | None:
        """Send a check or a state on a new connection; None without an answer."""
        headers = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        try:
            return await curio.timeout_after(
                CHECK_TIMEOUT_SECONDS, self.exchange, address, method, headers, body
            )
        except (PeerError, curio.TaskTimeout, msgspec.DecodeError) as error:
            self.journal.count("check_failed", type(error).__name__)
            return None

    async def exchange(
        self, address: str, method: str, headers: Any, body: bytes
    ) -> Standing:
        """Run one exchange on a connection of its own, as kept ones may be lost."""
        connection = await self.pool.connect(address)
        try:
            await connection.send(method, STATE_PATH, headers, body)
            answer = await connection.receive_head()
            content = await answer.read(STATE_LIMIT)
        finally:
            await self.pool.discard(connection)
        return msgspec.json.decode(content, type=Standing)
