"""Service that runs the membership protocol over UDP and discovers members."""

import curio
import msgspec
from loguru import logger

from .clock import Clock
from .control import ControlClient
from .datagrams import Address, DatagramHandler, DatagramSocket, format_address
from .errors import LogError, ProtocolError, RecordError
from .events import EventKind
from .incarnations import NODES_STREAM
from .logservice import LogService
from .members import Member, MemberChange, MemberState
from .membership import Membership
from .recorder import Recorder
from .records import NodeJoined, NodeLeft, decode, encode
from .routing import Candidate, Router, TargetState
from .signing import Signer
from .swim import OutgoingMessage
from .swim import decode as decode_message
from .swim import encode as encode_message

GOSSIP_KIND = b"m"
TICK_INTERVAL_SECONDS = 0.1
JOIN_REPEAT_SECONDS = 60.0
DISCOVERY_INTERVAL_SECONDS = 10.0
DISCOVERY_RETRY_SECONDS = 1.0
READ_LIMIT_RECORDS = 1000
EXCHANGE_TIMEOUT_SECONDS = 2.0

members_encoder = msgspec.msgpack.Encoder()
members_decoder = msgspec.msgpack.Decoder(list[Member])


class GossipService(DatagramHandler):
    """Runs the membership protocol on the gossip socket.

    Attributes:
        membership: The protocol, without I/O.
        router: Router that gets the targets of all live members.
        joined: Whether a join record of this node was appended to the log.
        join_at: Time in seconds at which to append the next join record.
        position: Offset of the next record of the nodes stream to read.
        last_received_at: Time in seconds of the last valid message.
    """

    def __init__(
        self,
        membership: Membership,
        router: Router,
        sock: DatagramSocket,
        log: LogService,
        signer: Signer,
        recorder: Recorder,
        clock: Clock,
        seeds: tuple[str, ...],
    ) -> None:
        self.seeds = seeds
        self.membership = membership
        self.router = router
        self.sock = sock
        self.log = log
        self.signer = signer
        self.recorder = recorder
        self.clock = clock
        self.control_client = ControlClient(signer)
        self.position = 0
        self.joined = False
        self.join_at = 0.0
        self.last_received_at = float("-inf")
        sock.handlers[GOSSIP_KIND] = self

    async def run(self) -> None:
        """Run the protocol and report membership changes until cancelled."""
        while True:
            now = self.clock.now()
            await self.send(self.membership.tick(now))
            self.report_changes()
            await curio.sleep(TICK_INTERVAL_SECONDS)

    async def send(self, messages: list[OutgoingMessage]) -> None:
        """Send messages of the protocol."""
        for outgoing in messages:
            data = encode_message(outgoing.message)
            await self.sock.send(GOSSIP_KIND, data, outgoing.address)

    async def receive(self, data: bytes, sender: Address) -> None:
        """Handle a message of another node; a malformed one is counted as rejected."""
        try:
            message = decode_message(data)
        except ProtocolError:
            self.sock.rejected += 1
            return
        now = self.clock.now()
        self.last_received_at = now
        await self.send(self.membership.receive(message, format_address(sender), now))

    def report_changes(self) -> None:
        """Report membership changes and update the router."""
        changes = self.membership.drain_changes()
        for change in changes:
            self.report_change(change)
        if changes:
            self.update_router()

    def report_change(self, change: MemberChange) -> None:
        """Record one membership change as an event."""
        member = change.member
        text = f"{member.node_id} {change.kind.value}: {member.state.name.lower()}"
        if member.service:
            text += f", {member.service} {member.target_state.name.lower()}"
        self.recorder.state_event(EventKind.MEMBER_CHANGED, text)
        logger.info("member {}", text)

    def update_router(self) -> None:
        """Set the targets of all live members as the candidates of the router."""
        now = self.clock.now()
        members = self.membership.members(now)
        self.router.set_candidates(
            [routing_candidate(member, now) for member in members if member.service],
            now,
        )

    async def run_discovery(self) -> None:
        """Publish this node in the log and discover others until cancelled."""
        while True:
            await self.discover_members()
            is_connected = self.joined and len(self.membership.table.live) > 0
            await curio.sleep(
                DISCOVERY_INTERVAL_SECONDS if is_connected else DISCOVERY_RETRY_SECONDS
            )

    async def discover_members(self) -> None:
        """Append the join record if it is due, and discover other members.

        The record is repeated so that the newest one stays within the retention of
        the log. Until a full state exchange succeeds, one is attempted each time.
        """
        now = self.clock.now()
        try:
            if now >= self.join_at:
                await self.append_join()
                self.join_at = now + JOIN_REPEAT_SECONDS
            await self.read_contacts()
        except LogError:
            # Members may be known already, or from the seeds in the settings.
            pass
        for address in self.exchange_addresses():
            if await self.exchange_state(address):
                return

    def exchange_addresses(self) -> list[str]:
        """Return the peers to try for a full state exchange; none once it succeeded."""
        peer = self.membership.state_exchange_peer()
        if peer is not None:
            return [peer.peer_address]
        return [] if self.membership.merged else list(self.seeds)

    async def append_join(self) -> None:
        """Append the join record of this node."""
        own = self.membership.own
        record = NodeJoined(
            own.node_id,
            own.incarnation,
            own.domain,
            [own.peer_address, own.gossip_address],
            self.recorder.wall_time(),
        )
        await self.log.append(NODES_STREAM, encode(record, self.signer.secret))
        self.joined = True

    async def read_contacts(self) -> None:
        """Add the nodes that have join records in the log as contacts."""
        batch = await self.log.read(
            NODES_STREAM, self.position, READ_LIMIT_RECORDS, 0.0
        )
        contacts: dict[str, Member] = {}
        for _, data in batch.records:
            try:
                record = decode(data, self.signer.secret)
            except RecordError:
                continue
            if isinstance(record, NodeJoined) and len(record.addresses) == 2:
                contacts[record.node_id] = contact_from_join(record)
            elif isinstance(record, NodeLeft):
                contacts.pop(record.node_id, None)
        self.position = max(self.position, batch.next_offset)
        contacts.pop(self.membership.own.node_id, None)
        self.membership.add_contacts(contacts.values(), self.clock.now())

    async def exchange_state(self, address: str) -> bool:
        """Exchange the full state with one node and return whether it succeeded."""
        body = members_encoder.encode(self.membership.full_state(self.clock.now()))
        response = await self.control_client.request(
            address, "POST", "/members", EXCHANGE_TIMEOUT_SECONDS, body
        )
        if response is None:
            return False
        try:
            state = members_decoder.decode(response)
        except msgspec.DecodeError:
            return False
        self.membership.merge(state, self.clock.now())
        return True

    async def leave(self) -> None:
        """Announce to the other nodes, and in the log, that this node leaves."""
        await self.send(self.membership.leave(self.clock.now()))
        record = NodeLeft(
            self.membership.own.node_id,
            self.membership.own.incarnation,
            self.recorder.wall_time(),
        )
        try:
            await self.log.append(NODES_STREAM, encode(record, self.signer.secret))
        except LogError:
            return


def routing_candidate(member: Member, now: float) -> Candidate:
    """Return the target of a member as a candidate for routing.

    A node has one target, so the node id also serves as the target id.
    """
    return Candidate(
        target_id=member.node_id,
        node_id=member.node_id,
        service=member.service,
        address=member.peer_address,
        domain=member.domain,
        slots=member.slots,
        state=member.target_state,
        cold_until=now + member.cold_remaining,
    )


def contact_from_join(record: NodeJoined) -> Member:
    """Return the contact that a join record describes, without a target."""
    peer_address, gossip_address = record.addresses
    return Member(
        record.node_id,
        record.incarnation,
        MemberState.ALIVE,
        record.domain,
        peer_address,
        gossip_address,
        "",
        "",
        TargetState.LEFT,
        0,
        0.0,
        0,
    )
