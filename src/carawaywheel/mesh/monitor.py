"""Monitoring of peers: reachability, readiness and configuration versions.

Replies carry the configuration version of the replying node. A node that sees a newer
version fetches it; one that keeps seeing an older version pushes its own state to that
peer. A host that is unreachable, or whose target accepts no work, is suspended: it gets
no requests until a background probe succeeds.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import curio
import msgspec

from ..clock import Clock
from ..errors import PolicyError, ProtocolError, RecordError
from ..http import Request
from ..platform.configuration import decode_configuration, find_version
from ..routing import Router
from ..serverexchange import JSON_HEADER, ServerExchange
from ..ticks import sleep_until_tick
from .configuration import MeshConfiguration
from .evacuation import Evacuation, EvacuationChange
from .journal import Journal
from .messages import CallReply
from .replication.directory import (
    Directory,
    HostRecord,
    check_record,
    routing_candidate,
)
from .replication.messages import MeshState, state_decoder
from .replication.store import START, Position
from .stateclient import (
    CHANGES_PATH_PREFIX,
    KNOWN_ERA_HEADER,
    MAX_STATE_BYTES,
    OK_STATUS,
    STATE_PATH,
    ProbeReply,
    StateClient,
)
from .target import Phase
from .unreadable import UnreadableDocument, UnreadableDocuments
from .warmupshare import INITIAL_SHARE

STATE_HEADER = (b"content-type", b"application/msgpack")
OWN_ORIGIN = "self"
PROBE_INTERVAL_SECONDS = 0.4
# Upper bound of the backoff between probes of an unreachable host.
MAX_PROBE_INTERVAL_SECONDS = 2.0
MIN_PUSH_INTERVAL_SECONDS = 1.0
# Time for which a peer must be seen with an older configuration before the newer one is
# pushed to it: usually it learns of it by itself.
OUTDATED_PATIENCE_SECONDS = 1.5
# Age from which such an observation no longer counts.
OUTDATED_AGE_SECONDS = 0.5
# Peers that a record is sent to at the same time.
BROADCAST_WIDTH = 32
# Hosts of one change that are logged one by one.
MAX_LOGGED_HOSTS = 4


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


class OutdatedPeer(NamedTuple):
    """A peer with an older configuration than this node.

    Attributes:
        first_seen_at: Time at which it was first seen with one, in seconds.
        last_seen_at: Time at which it was last seen with one, in seconds.
    """

    first_seen_at: float
    last_seen_at: float


class PeerMonitor:
    """Tracks the reachability, readiness and configuration versions of peers.

    Attributes:
        own_address: Address of this node.
        suspended: Suspensions by host address.
        pushed_at: Time of the last state push to each host, in seconds.
        outdated: Hosts with an older configuration version than this node.
        generation: Number of changes of the reachable hosts and their phases.
        unreadable: Configuration documents that this node cannot read.
        serving: Returns whether the local target accepts new work.
        on_configuration_changed: Called with each configuration that takes effect.
        on_hosts_changed: Called when host records or the reachable hosts change.
        on_own_record: Called with a record of this host that another node has told.
        on_newer_version: Called with the address of a peer and its newer version.
        on_evacuation_changed: Called with a failure domain and whether it is evacuated
            from now on.
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
        self.state_client = StateClient(journal)
        self.suspended: dict[str, Suspension] = {}
        self.pushed_at: dict[str, float] = {}
        self.outdated: dict[str, OutdatedPeer] = {}
        self.generation = 0
        self.unreadable = UnreadableDocuments()
        self.serving: Any = lambda: False
        self.on_configuration_changed: Any = lambda configuration: None
        self.on_hosts_changed: Any = lambda: None
        self.on_own_record: Any = lambda record: None
        self.on_newer_version: Any = lambda address, version: None
        self.on_evacuation_changed: Any = lambda domain, active: None

    def observe_reply(self, address: str, reply: CallReply) -> None:
        """Process the version and readiness that a reply carries."""
        self.observe_version(address, reply.version)
        if not reply.serving:
            self.suspend(address, "takes no work")

    def observe_version(self, address: str, version: int) -> None:
        """Process the configuration version of a peer."""
        own_version = self.directory.configuration_version
        if version > own_version:
            self.on_newer_version(address, version)
        elif version < own_version:
            now = self.clock.now()
            seen = self.outdated.get(address)
            if seen is None or now - seen.last_seen_at > OUTDATED_PATIENCE_SECONDS:
                # A peer without any configuration cannot serve.
                first_seen_at = now if version else now - OUTDATED_PATIENCE_SECONDS
                seen = OutdatedPeer(first_seen_at, now)
            self.outdated[address] = seen._replace(last_seen_at=now)
        elif self.outdated:
            self.outdated.pop(address, None)

    def observe_caller(self, peer: str, version: int) -> None:
        """Process the configuration version of a peer that calls.

        Args:
            peer: Its address with the port that it calls from.
            version: The version.
        """
        port = self.own_address.rpartition(":")[2]
        self.observe_version(f"{peer.rpartition(':')[0]}:{port}", version)

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
        self.router.remove_candidate(address)
        self.update_reachable()

    def resume(self, address: str) -> None:
        """End the suspension of a host."""
        if self.suspended.pop(address, None) is not None:
            self.journal.write("host_resumed", host=address)
            record = self.directory.hosts.get(address)
            if record is not None and not self.directory.is_evacuated(record):
                self.router.set_candidate(routing_candidate(record))
            self.update_reachable()

    def update_reachable(self) -> None:
        """Note that the reachable hosts have changed."""
        self.generation += 1
        self.on_hosts_changed()

    def update_router(self) -> None:
        """Pass the targets that may get requests to the router.

        These are those of all hosts that are neither suspended nor evacuated.
        """
        candidates = [
            candidate
            for candidate in self.directory.candidates()
            if candidate.address not in self.suspended
        ]
        self.router.set_candidates(candidates, self.clock.now())
        self.update_reachable()

    def reachable_hosts(self) -> list[str]:
        """Return the addresses of all hosts that are not suspended as unreachable."""
        return sorted(
            address
            for address in self.directory.hosts
            if address not in self.suspended
            or self.suspended[address].reason == "takes no work"
        )

    def merge_hosts(
        self,
        changes: list[tuple[Position, HostRecord]],
        hosts_position: Position,
        origin: str,
    ) -> None:
        """Merge the records of hosts that are newer, as one change.

        Args:
            changes: Positions of the records in the store, the start if not known, and
                records.
            hosts_position: Position up to which all records are known now.
            origin: Who told the records.
        """
        former = {
            record.address: self.directory.hosts.get(record.address)
            for _, record in changes
        }
        newest = {
            record.address: record
            for position, record in changes
            if self.merge_host(position, record, origin)
        }
        merged = list(newest.values())
        directory = self.directory
        directory.hosts_position = max(directory.hosts_position, hosts_position)
        if not merged:
            return
        for record in merged[:MAX_LOGGED_HOSTS]:
            self.journal.write(
                "host",
                host=record.address,
                id=record.node_id,
                service=record.service,
                phase=record.phase,
                order=record.revision,
                origin=origin,
            )
        if len(merged) > MAX_LOGGED_HOSTS:
            self.journal.write(
                "hosts",
                changed=len(merged),
                known=len(directory.hosts),
                offset=directory.hosts_position.offset,
                origin=origin,
            )
        self.update_router()
        if directory.hosts_known:
            self.assume_cold(
                record.address
                for record in merged
                if may_be_cold(former[record.address], record)
            )

    def assume_cold(self, addresses: Iterable[str]) -> None:
        """Use targets as cold ones until they tell how long they stay cold.

        Args:
            addresses: Hosts whose targets may have started a moment ago.
        """
        configuration = self.directory.configuration
        services = configuration.services if configuration else {}
        now = self.clock.now()
        for address in addresses:
            service = services.get(self.directory.hosts[address].service)
            if service is None or not service.warmup_rate:
                continue
            if address != self.own_address:
                until = now + service.warmup_duration
                self.router.set_cold(address, until, INITIAL_SHARE, now)

    def merge_host(self, position: Position, record: HostRecord, origin: str) -> bool:
        """Merge the record of a host; return whether it was newer."""
        try:
            check_record(record)
        except RecordError as error:
            self.journal.write("host_invalid", error=str(error), origin=origin)
            return False
        if position > START:
            self.directory.record_position(record.address, position)
        if record.address == self.own_address and origin != OWN_ORIGIN:
            self.on_own_record(record)
            return False
        former = self.directory.hosts.get(record.address)
        if not self.directory.merge(record):
            return False
        restarted = former is None or former.incarnation != record.incarnation
        if restarted or record.phase == Phase.READY:
            self.suspended.pop(record.address, None)
        return True

    def merge_evacuations(self, evacuations: list[Evacuation], origin: str) -> None:
        """Merge the evacuations that a node told."""
        if evacuations:
            changes = self.directory.evacuations.merge_all(evacuations)
            self.apply_evacuations(changes, origin)

    def apply_evacuations(self, changes: list[EvacuationChange], origin: str) -> None:
        """Let changes of evacuations take effect.

        Args:
            changes: The changes.
            origin: Who told them.
        """
        for change in changes:
            evacuation = change.evacuation
            self.journal.write(
                "evacuation_kept" if change.note else "evacuation",
                domain=evacuation.domain,
                active=evacuation.active,
                era=evacuation.era,
                offset=evacuation.offset,
                origin=origin,
                **({"note": change.note} if change.note else {}),
            )
        switched = [change.evacuation for change in changes if change.switched]
        if not switched:
            return
        # The local target refuses calls before others are told to take them.
        for evacuation in switched:
            self.on_evacuation_changed(evacuation.domain, evacuation.active)
        self.update_router()
        ended = {each.domain for each in switched if not each.active}
        returned = [
            record.address
            for record in self.directory.hosts.values()
            if record.domain in ended and record.phase == Phase.READY
        ]
        self.assume_cold(returned)

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
            document = UnreadableDocument(find_version(source), str(error))
            in_force = self.directory.configuration_version
            if self.unreadable.record_unreadable(source, document, in_force):
                self.journal.write(
                    "configuration_invalid",
                    error=document.error,
                    version=document.version,
                    origin=origin,
                )
            return
        self.unreadable.record_readable(configuration.version, origin)
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
        if request.path.startswith(CHANGES_PATH_PREFIX):
            await self.send_changes(connection, request)
            return
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

    async def send_changes(self, connection: ServerExchange, request: Request) -> None:
        """Send what a peer does not know yet.

        Raises:
            ProtocolError: If the path does not tell what the peer knows.
        """
        await connection.read_body(0)
        known = request.path.removeprefix(CHANGES_PATH_PREFIX).split("/")
        known.append(request.header(KNOWN_ERA_HEADER) or "0")
        if len(known) != 3 or not all(value.isdecimal() for value in known):
            raise ProtocolError(
                f"expected {CHANGES_PATH_PREFIX}VERSION/OFFSET and the number of an "
                f"era, got {request.path} and {known[-1]!r}",
                "read head",
                connection.peer,
            )
        version, offset, era = map(int, known)
        position = Position(era or self.directory.hosts_position.era, offset)
        content = self.encode_state(version, position if offset else START)
        await connection.respond(OK_STATUS, [STATE_HEADER], content)

    def merge_state(self, body: bytes, peer: str) -> None:
        """Merge the state that a peer has told.

        Raises:
            ProtocolError: If the body is malformed; ``peer`` holds the peer's address.
        """
        try:
            state = state_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise ProtocolError(str(error), "take state", peer) from error
        # Before the configuration, with which a node that starts becomes ready.
        self.merge_evacuations(state.evacuations, peer)
        if state.configuration:
            self.receive_configuration(state.configuration, peer)
        own_era = self.directory.hosts_position.era
        self.merge_hosts(state.changes(own_era), state.position(own_era), peer)
        if state.hosts_known:
            self.mark_hosts_known()

    def encode_state(self, version: int = 0, position: Position = START) -> bytes:
        """Encode the state of this node.

        Args:
            version: Configuration version that the receiver has.
            position: Position up to which it knows all host records.
        """
        directory = self.directory
        configuration = directory.configuration
        source = b""
        if configuration is not None and configuration.version > version:
            source = configuration.source
        changes = directory.changes_since(position)
        return msgspec.msgpack.encode(
            MeshState(
                source,
                [record for _, record in changes],
                directory.hosts_known,
                [position.offset for position, _ in changes],
                directory.hosts_position.offset,
                directory.hosts_position.era,
                [position.era for position, _ in changes],
                directory.evacuations.history(),
            )
        )

    async def fetch_state(self, address: str) -> bool:
        """Fetch what this node does not know yet from a peer.

        Returns:
            Whether the peer has told it.
        """
        directory = self.directory
        content = await self.state_client.fetch(
            address, directory.configuration_version, directory.hosts_position
        )
        if content is None:
            return False
        try:
            self.merge_state(content, address)
        except ProtocolError as error:
            self.journal.write("state_invalid", host=address, error=str(error))
            return False
        return True

    async def run(self) -> None:
        """Probe suspended hosts and push state to outdated ones until cancelled."""
        while True:
            await sleep_until_tick(PROBE_INTERVAL_SECONDS / 2)
            now = self.clock.now()
            due = [
                address
                for address, suspension in self.suspended.items()
                if suspension.next_probe_at <= now
            ]
            outdated = self.take_outdated(now)
            if not due and not outdated:
                continue
            async with curio.TaskGroup() as group:
                for address in due:
                    await group.spawn(self.probe, address)
                for address in outdated:
                    await group.spawn(self.push_state, address)

    def take_outdated(self, now: float) -> list[str]:
        """Return the peers that have had an older configuration for long."""
        own_version = self.directory.configuration_version
        due = [
            address
            for address, seen in self.outdated.items()
            if seen.last_seen_at - seen.first_seen_at >= OUTDATED_PATIENCE_SECONDS
            and now - seen.last_seen_at <= OUTDATED_AGE_SECONDS
            and own_version
        ]
        for address in due:
            del self.outdated[address]
        return due

    async def probe(self, address: str) -> None:
        """Probe a suspended host; end its suspension if its target accepts work."""
        suspension = self.suspended.get(address)
        if suspension is None:
            return
        reply = await self.state_client.probe(address)
        backoff = min(suspension.interval * 1.5, MAX_PROBE_INTERVAL_SECONDS)
        suspension.interval = backoff
        suspension.next_probe_at = self.clock.now() + backoff
        if reply is None:
            suspension.reason = "cannot be reached"
            return
        suspension.reason = "takes no work"
        suspension.next_probe_at = self.clock.now() + PROBE_INTERVAL_SECONDS
        self.observe_version(address, reply.version)
        if not reply.version and self.directory.configuration_version:
            await self.push_state(address)
        if reply.serving:
            self.resume(address)

    async def check(self, address: str) -> None:
        """Probe a host that is not suspended; suspend it if it cannot be reached."""
        reply = await self.state_client.probe(address)
        if reply is None:
            self.report_unreachable(address)
        elif not reply.version and self.directory.configuration_version:
            await self.push_state(address)

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
        await self.state_client.push(address, self.encode_state())

    async def broadcast_record(
        self, record: HostRecord, on_accepted: Callable[[HostRecord], None]
    ) -> None:
        """Send one record to all reachable hosts while the store is down.

        Args:
            record: The record.
            on_accepted: Called with it for each host that has accepted it.
        """
        state = msgspec.msgpack.encode(MeshState(b"", [record]))
        addresses = [
            address for address in self.reachable_hosts() if address != self.own_address
        ]
        for start in range(0, len(addresses), BROADCAST_WIDTH):
            async with curio.TaskGroup() as group:
                for address in addresses[start : start + BROADCAST_WIDTH]:
                    await group.spawn(
                        self.send_record, address, state, record, on_accepted
                    )

    async def send_record(
        self,
        address: str,
        state: bytes,
        record: HostRecord,
        on_accepted: Callable[[HostRecord], None],
    ) -> None:
        """Send a record to a host and process the version in its reply."""
        reply = await self.state_client.push(address, state)
        if reply is not None:
            on_accepted(record)
            self.observe_version(address, reply.version)


def may_be_cold(former: HostRecord | None, record: HostRecord) -> bool:
    """Return whether a record of a host tells of a target that may have started.

    Args:
        former: Record of the host that was known before; None for none.
        record: The newer record.
    """
    if record.phase != Phase.READY:
        return False
    return (
        former is None
        or former.phase != Phase.READY
        or former.incarnation != record.incarnation
    )
