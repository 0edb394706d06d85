"""SWIM membership protocol of one node, without I/O.

Each node probes one random member per second. Updates are piggybacked on probes and
their acknowledgements. A node that is wrongly suspected refutes the suspicion with a
higher incarnation. Nodes whose views differ for long compare digests and exchange the
records that differ.
"""

import random
from collections.abc import Iterable

from .dissemination import MessageComposer, UpdateQueue
from .errors import SettingsError
from .members import (
    Member,
    MemberChange,
    MemberState,
    MemberTable,
    is_live,
    is_urgent,
    same_identity,
    supersedes,
)
from .probing import IndirectPing, Prober
from .reconciliation import Reconciler
from .settings import MembershipSettings
from .swim import (
    MAX_MEMBER_BYTES,
    Judgement,
    Message,
    MessageKind,
    OutgoingMessage,
    update_bytes_left,
)

CONTACTS_PER_ROUND_ALONE = 3
HOUSEKEEPING_INTERVAL_SECONDS = 10.0


class Membership:
    """Membership of the fleet as seen by one node.

    Attributes:
        own: Description of this node.
        table: Table of all members.
        queue: Updates that are still to be sent.
        contacts: Members found in join records that have not sent a message yet.
        contact_times: Times in seconds at which the contacts were added.
        suspects: Times in seconds at which suspected members are declared dead.
        merged: Whether the full state was exchanged with another node.
        newest_log_offset: Highest log offset reported, and the id of that node.
        ticked_at: Time in seconds of the last tick, or None before the first.
        reconnect_at: Time in seconds of the next pings to dead members and contacts.
        housekeeping_at: Time in seconds of the next eviction of old entries.
    """

    def __init__(
        self, settings: MembershipSettings, own: Member, rng: random.Random
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.own = own
        self.table = MemberTable(own.node_id)
        self.queue = UpdateQueue(settings)
        self.composer = MessageComposer(self.table, self.queue)
        self.prober = Prober(settings, rng)
        self.reconciler = Reconciler(settings, self.table, rng)
        self.contacts: dict[str, Member] = {}
        self.contact_times: dict[str, float] = {}
        self.suspects: dict[str, float] = {}
        self.merged = False
        self.newest_log_offset = (own.log_offset, own.node_id)
        self.ticked_at: float | None = None
        self.reconnect_at = 0.0
        self.housekeeping_at = 0.0
        self.table.store(own, 0.0)
        if self.composer.own_size() > MAX_MEMBER_BYTES:
            raise SettingsError(
                f"the description of this node exceeds {MAX_MEMBER_BYTES} bytes",
                "membership",
                own.node_id,
            )

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Probe, expire suspicions and push updates; must be called about every 0.1 s.

        Args:
            now: Time in seconds.

        Returns:
            The messages to send.
        """
        self._extend_deadlines(now)
        if self.own.state is MemberState.LEFT:
            return self._push_urgent(now)
        out: list[OutgoingMessage] = []
        self._expire_suspects(now)
        self._continue_probe(now, out)
        if self.prober.is_due(now):
            self._probe(now, out)
        if now >= self.reconnect_at:
            self.reconnect_at = now + self.settings.reconnect_interval
            self._reconnect(now, out)
        if now >= self.housekeeping_at:
            self.housekeeping_at = now + HOUSEKEEPING_INTERVAL_SECONDS
            self._evict(now - self.settings.forget_time)
        out += self._push_urgent(now)
        return out

    def receive(
        self, message: Message, sender: str, now: float
    ) -> list[OutgoingMessage]:
        """Handle a message.

        Args:
            message: The message, from a datagram whose tag was verified.
            sender: Address of the sender, as ``ip:port``.
            now: Time in seconds.

        Returns:
            The messages to send.
        """
        sender_member = message.sender
        if sender_member.node_id == self.own.node_id:
            return []
        incarnation = self.own.incarnation
        disputed = self._apply_sender(sender_member, now)
        self._record_log_offset(sender_member.node_id, message.log_offset)
        disseminate = message.kind is not MessageKind.RECORDS
        for member in message.updates:
            self._apply_update(member, now, disseminate)
        for judgement in message.judgements:
            self._apply_judgement(judgement, now)
        out = self._respond(message, sender, disputed, now)
        refuted = self.own.incarnation != incarnation
        if not out and (disputed or refuted):
            # The sender must learn at once what to refute, or what was refuted.
            out.append(self._update_message(sender, disputed, now))
        if self.reconciler.should_send_digest(message.view, now):
            out.append(OutgoingMessage(sender, self.composer.digest_message(1, now)))
        return out

    def members(self, now: float) -> list[Member]:
        """Return the live members, including this node, as of ``now`` in seconds."""
        live = [self.table.current(node_id, now) for node_id in self.table.live]
        if is_live(self.own):
            live.append(self.table.current(self.own.node_id, now))
        return live

    def update_self(self, now: float, **changes: object) -> None:
        """Change the description of this node and disseminate it.

        Args:
            now: Time in seconds.
            **changes: New values of fields of `Member`.
        """
        self._update_own(self.own.incarnation + 1, now, **changes)

    def set_log_offset(self, log_offset: int) -> None:
        """Store the log offset of this node, which every message reports."""
        self.own = self.own._replace(log_offset=log_offset)
        self.table.record_log_offset(self.own.node_id, log_offset)
        self._record_log_offset(self.own.node_id, log_offset)

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Announce that this node leaves; it still answers pings until it stops."""
        self._update_own(self.own.incarnation, now, state=MemberState.LEFT)
        return self._push_urgent(now)

    def add_contacts(self, members: Iterable[Member], now: float) -> None:
        """Add contacts from the join records in the log.

        Contacts are pinged, and become members when they send a message.
        """
        for member in members:
            known = self.table.get(member.node_id)
            if known is None:
                self.contacts[member.node_id] = member
                self.contact_times[member.node_id] = now
        self.reconnect_at = min(self.reconnect_at, now)

    def full_state(self, now: float) -> list[Member]:
        """Return all descriptions, for the state exchange after a join."""
        return self.table.all(now)

    def merge(self, state: Iterable[Member], now: float) -> None:
        """Merge the full state of another node, without disseminating it further."""
        for member in state:
            self._apply_update(member, now, disseminate=False)
        self.merged = True

    def state_exchange_peer(self) -> Member | None:
        """Return a member to exchange the full state with, or None if that was done."""
        if self.merged or not self.table.live:
            return None
        return self.table.sample(self.rng, 1)[0]

    def drain_changes(self) -> list[MemberChange]:
        """Return and clear the membership changes since the last call."""
        return self.table.drain_changes()

    def _extend_deadlines(self, now: float) -> None:
        """Extend the deadlines of others by the time this node itself was suspended."""
        last, self.ticked_at = self.ticked_at, now
        if last is None or now - last <= self.settings.probe_interval:
            return
        self.prober.pending = None
        for node_id in self.suspects:
            self.suspects[node_id] += now - last

    def _probe(self, now: float, out: list[OutgoingMessage]) -> None:
        failed = self.prober.fail_pending_probe()
        if failed is not None:
            self._mark_suspect(failed, now, out)
        for member in self.table.sample(self.rng, 1):
            sequence = self.prober.start_probe(member.node_id, now)
            out.append(self._ping_message(member, sequence, now))

    def _continue_probe(self, now: float, out: list[OutgoingMessage]) -> None:
        probe = self.prober.take_due_indirect_probe(now)
        subject = self.table.get(probe.node_id) if probe else None
        if probe is not None and subject is not None:
            for relay in self.table.sample(self.rng, self.settings.indirect_probes):
                if relay.node_id != subject.node_id:
                    request = self.composer.with_updates(
                        MessageKind.PING_REQ,
                        now,
                        probe.sequence,
                        subject.node_id,
                        subject.gossip_address,
                    )
                    out.append(OutgoingMessage(relay.gossip_address, request))

    def _reconnect(self, now: float, out: list[OutgoingMessage]) -> None:
        """Ping dead members and contacts, which reconnects the sides of a partition."""
        pool = self.table.departed() + list(self.contacts.values())
        pool = [member for member in pool if member.state is not MemberState.LEFT]
        count = 1 if self.table.live else CONTACTS_PER_ROUND_ALONE
        for member in self.rng.sample(pool, min(count, len(pool))):
            out.append(self._ping_message(member, self.prober.next_sequence(), now))
        if not self.table.live:
            self.reconnect_at = now + self.settings.probe_interval

    def _evict(self, before: float) -> None:
        self.table.evict_departed(before)
        expired = [key for key, time in self.contact_times.items() if time < before]
        for node_id in expired:
            del self.contact_times[node_id]
            self.contacts.pop(node_id, None)

    def _push_urgent(self, now: float) -> list[OutgoingMessage]:
        ids = self.queue.take_urgent(
            self.table, update_bytes_left(self.composer.own_size()), now
        )
        if not ids:
            return []
        message = self.composer.without_updates(MessageKind.UPDATE, now)
        self.composer.add_updates(message, ids, now)
        receivers = self.table.sample(self.rng, self.settings.urgent_fanout)
        return [OutgoingMessage(member.gossip_address, message) for member in receivers]

    def _respond(
        self, message: Message, sender: str, disputed: Member | None, now: float
    ) -> list[OutgoingMessage]:
        match message.kind:
            case MessageKind.PING:
                ack = self.composer.with_updates(
                    MessageKind.ACK,
                    now,
                    message.sequence,
                    self.own.node_id,
                    first=disputed,
                )
                return [OutgoingMessage(sender, ack)]
            case MessageKind.ACK:
                return self._forward_ack(message, now)
            case MessageKind.PING_REQ:
                indirect = IndirectPing(sender, message.sequence, message.subject)
                ping = self.composer.with_updates(
                    MessageKind.PING,
                    now,
                    self.prober.add_indirect_ping(indirect),
                    message.subject,
                )
                return [OutgoingMessage(message.subject_address, ping)]
            case MessageKind.DIGEST:
                return self._respond_to_digest(message, sender, now)
            case _:
                return []

    def _forward_ack(self, message: Message, now: float) -> list[OutgoingMessage]:
        indirect = self.prober.handle_ack(message.sequence, message.subject)
        if indirect is None:
            return []
        ack = self.composer.with_updates(
            MessageKind.ACK, now, indirect.sequence, indirect.node_id
        )
        return [OutgoingMessage(indirect.address, ack)]

    def _respond_to_digest(
        self, message: Message, sender: str, now: float
    ) -> list[OutgoingMessage]:
        out = []
        bytes_left = update_bytes_left(self.composer.own_size())
        for updates in self.reconciler.differing_records(
            message.buckets, bytes_left, now
        ):
            records = self.composer.without_updates(MessageKind.RECORDS, now)._replace(
                updates=updates
            )
            out.append(OutgoingMessage(sender, records))
        if message.sequence:
            out.append(OutgoingMessage(sender, self.composer.digest_message(0, now)))
        return out

    def _apply_sender(self, sender_member: Member, now: float) -> Member | None:
        """Apply the description that the sender of a message gives of itself.

        Returns:
            The description that the sender must refute, or None.
        """
        self.contacts.pop(sender_member.node_id, None)
        known = self.table.get(sender_member.node_id)
        if known is None or supersedes(sender_member, known):
            self._store(sender_member, known, now, disseminate=True)
            return None
        return None if same_identity(sender_member, known) else known

    def _apply_update(self, member: Member, now: float, disseminate: bool) -> None:
        """Apply the description that one member gives of another."""
        if member.node_id == self.own.node_id:
            self._refute(member, now)
            return
        known = self.table.get(member.node_id)
        if known is None:
            self._store(member, None, now, disseminate)
        elif supersedes(member, known):
            if member.state is MemberState.DEAD and known.state is MemberState.ALIVE:
                # An outdated death, as after a short partition, must not remove a
                # member before it has had time to refute it.
                member = member._replace(state=MemberState.SUSPECT)
                disseminate = True
            self._store(member, known, now, disseminate)

    def _apply_judgement(self, judgement: Judgement, now: float) -> None:
        known = self.table.get(judgement.node_id)
        # Most judgements are known already: return before a description is built.
        if known is None or judgement[1:] <= (known.incarnation, known.state):
            return
        current = self.table.current(judgement.node_id, now)
        update = current._replace(
            incarnation=judgement.incarnation, state=judgement.state
        )
        self._apply_update(update, now, disseminate=True)

    def _refute(self, member: Member, now: float) -> None:
        """Refute a wrong description of this node with a higher incarnation."""
        if member.incarnation < self.own.incarnation:
            return
        if same_identity(member, self.own):
            return
        is_newer = member.incarnation > self.own.incarnation
        if not is_newer and member.state < self.own.state:
            return
        self._update_own(member.incarnation + 1, now)

    def _store(
        self, member: Member, known: Member | None, now: float, disseminate: bool
    ) -> None:
        self.table.store(member, now)
        if member.state is not MemberState.SUSPECT:
            self.suspects.pop(member.node_id, None)
        else:
            self.suspects.setdefault(member.node_id, now + self.settings.suspect_time)
        if disseminate:
            self.queue.add(member.node_id, is_urgent(member, known))

    def _mark_suspect(
        self, node_id: str, now: float, out: list[OutgoingMessage]
    ) -> None:
        known = self.table.get(node_id)
        if known is not None and known.state is MemberState.ALIVE:
            current = self.table.current(node_id, now)
            suspect = current._replace(state=MemberState.SUSPECT)
            self._store(suspect, known, now, disseminate=True)
            # A member that is merely slow refutes this before it is declared dead.
            out.append(self._update_message(known.gossip_address, suspect, now))

    def _expire_suspects(self, now: float) -> None:
        if not self.suspects:
            return
        expired = [node_id for node_id, end in self.suspects.items() if now >= end]
        for node_id in expired:
            known = self.table.current(node_id, now)
            dead = known._replace(state=MemberState.DEAD)
            # Not disseminated: each node that knows the suspicion expires it itself.
            self._store(dead, known, now, disseminate=False)

    def _update_own(self, incarnation: int, now: float, **changes: object) -> None:
        current = self.table.current(self.own.node_id, now)
        known = self.own
        fields: dict[str, object] = {"incarnation": incarnation, **changes}
        self.own = current._replace(**fields)  # type: ignore[arg-type]
        self.table.store(self.own, now)
        urgent = is_urgent(self.own, known) or not changes
        self.queue.add(self.own.node_id, urgent)

    def _record_log_offset(self, node_id: str, log_offset: int) -> None:
        self.table.record_log_offset(node_id, log_offset)
        if log_offset > self.newest_log_offset[0]:
            self.newest_log_offset = (log_offset, node_id)

    def _ping_message(
        self, member: Member, sequence: int, now: float
    ) -> OutgoingMessage:
        known = self.table.get(member.node_id)
        disputed = known if known and known.state is not MemberState.ALIVE else None
        ping = self.composer.with_updates(
            MessageKind.PING, now, sequence, member.node_id, first=disputed
        )
        return OutgoingMessage(member.gossip_address, ping)

    def _update_message(
        self, address: str, disputed: Member | None, now: float
    ) -> OutgoingMessage:
        return OutgoingMessage(
            address,
            self.composer.with_updates(MessageKind.UPDATE, now, first=disputed),
        )
