"""SWIM-style gossip membership of one node, without I/O.

Nodes probe one random member a second. News travels on probes and their
acknowledgements. A node that is wrongly suspected refutes it with a higher
incarnation. Nodes whose views differ for long compare digests and repair them.
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
HOUSEKEEPING_INTERVAL_S = 10.0


class Membership:
    """View that one node has of the fleet.

    Attributes:
        own: Description of this node.
        table: What is known about all members.
        contacts: Members of the log's join records that were not heard yet.
        newest_position: Highest log position heard, and the id of its reader.
    """

    def __init__(
        self, settings: MembershipSettings, self_member: Member, rng: random.Random
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.own = self_member
        self.table = MemberTable(self_member.node_id)
        self.queue = UpdateQueue(settings)
        self.composer = MessageComposer(self.table, self.queue)
        self.prober = Prober(settings, rng)
        self.reconciler = Reconciler(settings, self.table, rng)
        self.contacts: dict[str, Member] = {}
        self.contact_times: dict[str, float] = {}
        self.suspects: dict[str, float] = {}
        self.merged = False
        self.newest_log_offset = (self_member.log_offset, self_member.node_id)
        self.ticked_at: float | None = None
        self.reconnect_at = 0.0
        self.housekeeping_at = 0.0
        self.table.store(self_member, 0.0)
        if self.composer.own_size() > MAX_MEMBER_BYTES:
            raise SettingsError(
                f"a node description is over {MAX_MEMBER_BYTES} bytes",
                "membership",
                self_member.node_id,
            )

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Do what is due; call this about every 0.1 s.

        Args:
            now: Time in seconds.

        Returns:
            The messages to send.
        """
        self._allow_for_freeze(now)
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
            self.housekeeping_at = now + HOUSEKEEPING_INTERVAL_S
            self._forget(now - self.settings.forget_time)
        out += self._push_urgent(now)
        return out

    def receive(
        self, message: Message, sender: str, now: float
    ) -> list[OutgoingMessage]:
        """Handle a message.

        Args:
            message: The message; its signature has been checked.
            sender: Address that it came from, as ``ip:port``.
            now: Time in seconds.

        Returns:
            The messages to send.
        """
        author = message.sender
        if author.node_id == self.own.node_id:
            return []
        incarnation = self.own.incarnation
        tell = self._hear_author(author, now)
        self._hear_position(author.node_id, message.log_offset)
        spread = message.kind is not MessageKind.RECORDS
        for member in message.updates:
            self._hear(member, now, spread)
        for judgement in message.judgements:
            self._hear_judgement(judgement, now)
        out = self._handle(message, sender, tell, now)
        refuted = self.own.incarnation != incarnation
        if not out and (tell or refuted):
            # The sender must learn at once what is wrong in its view.
            out.append(self._update(sender, tell, now))
        if self.reconciler.should_send_digest(message.view, now):
            out.append(OutgoingMessage(sender, self.composer.digest_message(1, now)))
        return out

    def members(self, now: float) -> list[Member]:
        """Return the live members, including this node, at ``now`` in seconds."""
        live = [self.table.current(node_id, now) for node_id in self.table.live]
        if is_live(self.own):
            live.append(self.table.current(self.own.node_id, now))
        return live

    def update_self(self, now: float, **changes: object) -> None:
        """Change the description of this node and spread it.

        Args:
            now: Time in seconds.
            **changes: New values of fields of `Member`.
        """
        self._restate(self.own.incarnation + 1, now, **changes)

    def set_log_offset(self, log_offset: int) -> None:
        """Store the log position that this node has read; every message tells it."""
        self.own = self.own._replace(log_offset=log_offset)
        self.table.record_log_offset(self.own.node_id, log_offset)
        self._hear_position(self.own.node_id, log_offset)

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Announce that this node leaves; it answers pings until it stops."""
        self._restate(self.own.incarnation, now, state=MemberState.LEFT)
        return self._push_urgent(now)

    def add_contacts(self, members: Iterable[Member], now: float) -> None:
        """Store contacts from the log's join records.

        Contacts are pinged, and become members when they are heard.
        """
        for member in members:
            known = self.table.get(member.node_id)
            if known is None:
                self.contacts[member.node_id] = member
                self.contact_times[member.node_id] = now
        self.reconnect_at = min(self.reconnect_at, now)

    def full_state(self, now: float) -> list[Member]:
        """Return all descriptions, for the exchange at join."""
        return self.table.all(now)

    def merge(self, state: Iterable[Member], now: float) -> None:
        """Take over the state of another node, without spreading it again."""
        for member in state:
            self._hear(member, now, spread=False)
        self.merged = True

    def state_exchange_peer(self) -> Member | None:
        """Return a member to exchange the full state with, until that was done."""
        if self.merged or not self.table.live:
            return None
        return self.table.sample(self.rng, 1)[0]

    def drain_changes(self) -> list[MemberChange]:
        """Return the members that joined, left or changed since the last call."""
        return self.table.drain_changes()

    def _allow_for_freeze(self, now: float) -> None:
        """Grant others the time during which this node itself stood still."""
        last, self.ticked_at = self.ticked_at, now
        if last is None or now - last <= self.settings.probe_interval:
            return
        self.prober.pending = None
        for node_id in self.suspects:
            self.suspects[node_id] += now - last

    def _probe(self, now: float, out: list[OutgoingMessage]) -> None:
        failed = self.prober.fail_pending_probe()
        if failed is not None:
            self._suspect(failed, now, out)
        for member in self.table.sample(self.rng, 1):
            sequence = self.prober.start_probe(member.node_id, now)
            out.append(self._ping(member, sequence, now))

    def _continue_probe(self, now: float, out: list[OutgoingMessage]) -> None:
        probe = self.prober.take_due_indirect_probe(now)
        subject = self.table.get(probe.node_id) if probe else None
        if probe is not None and subject is not None:
            for helper in self.table.sample(self.rng, self.settings.indirect_probes):
                if helper.node_id != subject.node_id:
                    request = self.composer.with_updates(
                        MessageKind.PING_REQ,
                        now,
                        probe.sequence,
                        subject.node_id,
                        subject.gossip_address,
                    )
                    out.append(OutgoingMessage(helper.gossip_address, request))

    def _reconnect(self, now: float, out: list[OutgoingMessage]) -> None:
        """Ping members that were lost, so that the parts of a fleet find each other."""
        pool = self.table.departed() + list(self.contacts.values())
        pool = [member for member in pool if member.state is not MemberState.LEFT]
        count = 1 if self.table.live else CONTACTS_PER_ROUND_ALONE
        for member in self.rng.sample(pool, min(count, len(pool))):
            out.append(self._ping(member, self.prober.next_sequence(), now))
        if not self.table.live:
            self.reconnect_at = now + self.settings.probe_interval

    def _forget(self, before: float) -> None:
        self.table.evict_departed(before)
        old = [key for key, time in self.contact_times.items() if time < before]
        for node_id in old:
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

    def _handle(
        self, message: Message, sender: str, tell: Member | None, now: float
    ) -> list[OutgoingMessage]:
        match message.kind:
            case MessageKind.PING:
                ack = self.composer.with_updates(
                    MessageKind.ACK, now, message.sequence, self.own.node_id, first=tell
                )
                return [OutgoingMessage(sender, ack)]
            case MessageKind.ACK:
                return self._relay_ack(message, now)
            case MessageKind.PING_REQ:
                relay = IndirectPing(sender, message.sequence, message.subject)
                ping = self.composer.with_updates(
                    MessageKind.PING,
                    now,
                    self.prober.add_indirect_ping(relay),
                    message.subject,
                )
                return [OutgoingMessage(message.subject_address, ping)]
            case MessageKind.DIGEST:
                return self._answer_digest(message, sender, now)
            case _:
                return []

    def _relay_ack(self, message: Message, now: float) -> list[OutgoingMessage]:
        relay = self.prober.handle_ack(message.sequence, message.subject)
        if relay is None:
            return []
        ack = self.composer.with_updates(
            MessageKind.ACK, now, relay.sequence, relay.node_id
        )
        return [OutgoingMessage(relay.address, ack)]

    def _answer_digest(
        self, message: Message, sender: str, now: float
    ) -> list[OutgoingMessage]:
        out = []
        room = update_bytes_left(self.composer.own_size())
        for updates in self.reconciler.differing_records(message.buckets, room, now):
            records = self.composer.without_updates(MessageKind.RECORDS, now)._replace(
                updates=updates
            )
            out.append(OutgoingMessage(sender, records))
        if message.sequence:
            out.append(OutgoingMessage(sender, self.composer.digest_message(0, now)))
        return out

    def _hear_author(self, author: Member, now: float) -> Member | None:
        """Take over what a member says of itself.

        Returns:
            What the member must be told about itself, or None.
        """
        self.contacts.pop(author.node_id, None)
        known = self.table.get(author.node_id)
        if known is None or supersedes(author, known):
            self._accept(author, known, now, spread=True)
            return None
        return None if same_identity(author, known) else known

    def _hear(self, member: Member, now: float, spread: bool) -> None:
        """Take over what one member says of another."""
        if member.node_id == self.own.node_id:
            self._check_own(member, now)
            return
        known = self.table.get(member.node_id)
        if known is None:
            self._accept(member, None, now, spread)
        elif supersedes(member, known):
            if member.state is MemberState.DEAD and known.state is MemberState.ALIVE:
                # Old news of a death, as after a short partition, must not remove
                # a member before it had the time to refute it.
                member = member._replace(state=MemberState.SUSPECT)
                spread = True
            self._accept(member, known, now, spread)

    def _hear_judgement(self, judgement: Judgement, now: float) -> None:
        known = self.table.get(judgement.node_id)
        # Most judgements are old news: return before a description is built.
        if known is None or judgement[1:] <= (known.incarnation, known.state):
            return
        current = self.table.current(judgement.node_id, now)
        judged = current._replace(
            incarnation=judgement.incarnation, state=judgement.state
        )
        self._hear(judged, now, spread=True)

    def _check_own(self, member: Member, now: float) -> None:
        """Refute what others hold about this node if it is wrong."""
        if member.incarnation < self.own.incarnation:
            return
        if same_identity(member, self.own):
            return
        newer = member.incarnation > self.own.incarnation
        if not newer and member.state < self.own.state:
            return
        self._restate(member.incarnation + 1, now)

    def _accept(
        self, member: Member, known: Member | None, now: float, spread: bool
    ) -> None:
        self.table.store(member, now)
        if member.state is not MemberState.SUSPECT:
            self.suspects.pop(member.node_id, None)
        else:
            self.suspects.setdefault(member.node_id, now + self.settings.suspect_time)
        if spread:
            self.queue.add(member.node_id, is_urgent(member, known))

    def _suspect(self, node_id: str, now: float, out: list[OutgoingMessage]) -> None:
        known = self.table.get(node_id)
        if known is not None and known.state is MemberState.ALIVE:
            current = self.table.current(node_id, now)
            suspect = current._replace(state=MemberState.SUSPECT)
            self._accept(suspect, known, now, spread=True)
            # A member that is merely slow refutes this before it counts as dead.
            out.append(self._update(known.gossip_address, suspect, now))

    def _expire_suspects(self, now: float) -> None:
        if not self.suspects:
            return
        expired = [node_id for node_id, end in self.suspects.items() if now >= end]
        for node_id in expired:
            known = self.table.current(node_id, now)
            dead = known._replace(state=MemberState.DEAD)
            # Each node that heard of the suspicion comes to this by itself.
            self._accept(dead, known, now, spread=False)

    def _restate(self, incarnation: int, now: float, **changes: object) -> None:
        current = self.table.current(self.own.node_id, now)
        known = self.own
        fields: dict[str, object] = {"incarnation": incarnation, **changes}
        self.own = current._replace(**fields)  # type: ignore[arg-type]
        self.table.store(self.own, now)
        urgent = is_urgent(self.own, known) or not changes
        self.queue.add(self.own.node_id, urgent)

    def _hear_position(self, node_id: str, log_offset: int) -> None:
        self.table.record_log_offset(node_id, log_offset)
        if log_offset > self.newest_log_offset[0]:
            self.newest_log_offset = (log_offset, node_id)

    def _ping(self, member: Member, sequence: int, now: float) -> OutgoingMessage:
        known = self.table.get(member.node_id)
        wrong = known if known and known.state is not MemberState.ALIVE else None
        ping = self.composer.with_updates(
            MessageKind.PING, now, sequence, member.node_id, first=wrong
        )
        return OutgoingMessage(member.gossip_address, ping)

    def _update(self, address: str, tell: Member | None, now: float) -> OutgoingMessage:
        return OutgoingMessage(
            address, self.composer.with_updates(MessageKind.UPDATE, now, first=tell)
        )
