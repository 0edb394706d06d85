"""Queue of the updates that are carried on messages, and their composition.

Each update is sent about ``3 * log2(n)`` times, the least often sent first. Urgent
updates are also pushed to a few random members, with a bounded rate.
"""

import heapq
import math

from .members import Member, MemberEntry, MemberState, MemberTable
from .routing import TargetState
from .settings import MembershipSettings
from .swim import JUDGEMENT_BYTES, Judgement, Message, MessageKind, update_bytes_left

TRANSMIT_FACTOR = 3


class UpdateQueue:
    """Updates that are still to be carried, by node id.

    Attributes:
        sent: How often each update has been carried.
        urgent: How many more times each urgent update is pushed.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.send_counts: dict[str, int] = {}
        self.urgent_pushes_left: dict[str, int] = {}
        self.tokens = float(settings.urgent_burst)
        self.refilled_at: float | None = None

    def add(self, node_id: str, urgent: bool) -> None:
        """Queue the newest description of a member, in place of an older one."""
        self.send_counts[node_id] = 0
        if urgent:
            self.urgent_pushes_left[node_id] = self.settings.urgent_rounds

    def take(self, table: MemberTable, room: int) -> list[str]:
        """Return the ids to carry on one message of ``room`` bytes."""
        if not self.send_counts:
            return []
        count = self.settings.updates_per_message
        count += self.settings.judgements_per_message
        if len(self.send_counts) <= count:
            ids = sorted(self.send_counts, key=self.send_counts.__getitem__)
        else:
            ids = heapq.nsmallest(
                count, self.send_counts, key=self.send_counts.__getitem__
            )
        taken = self._fit(table, ids, room)
        limit = self.max_sends(len(table.entries))
        for node_id in taken:
            self.send_counts[node_id] += 1
            if self.send_counts[node_id] >= limit:
                del self.send_counts[node_id]
        return taken

    def take_urgent(self, table: MemberTable, room: int, now: float) -> list[str]:
        """Return the ids to push now; empty when there are none or too early."""
        if not self.urgent_pushes_left:
            return []
        self._refill(now)
        fanout = self.settings.urgent_fanout
        leaving = [
            node_id for node_id in self.urgent_pushes_left if is_leaving(table, node_id)
        ]
        # On a lossy network, refutations would use up what draining targets need.
        reserve = 0 if leaving else fanout * self.settings.urgent_rounds
        if self.tokens < fanout + reserve:
            return []
        self.tokens -= fanout
        ids = leaving or list(self.urgent_pushes_left)
        taken = self._fit(table, ids, room)
        for node_id in taken:
            rounds = self.urgent_pushes_left.pop(node_id) - 1
            if rounds:
                # Goes to the end of the queue, behind those never pushed.
                self.urgent_pushes_left[node_id] = rounds
        return taken

    def max_sends(self, size: int) -> int:
        """Return how often an update is carried among ``size`` members."""
        return TRANSMIT_FACTOR * max(1, math.ceil(math.log2(max(2, size))))

    def _fit(self, table: MemberTable, ids: list[str], room: int) -> list[str]:
        taken = []
        updates = self.settings.updates_per_message
        judgements = self.settings.judgements_per_message
        for node_id in ids:
            entry = table.entries.get(node_id)
            if entry is None:
                self.send_counts.pop(node_id, None)
                self.urgent_pushes_left.pop(node_id, None)
                continue
            short = is_sent_as_judgement(entry)
            size = len(node_id.encode()) + JUDGEMENT_BYTES if short else entry.size
            if size > room or not (judgements if short else updates):
                continue
            judgements -= short
            updates -= not short
            room -= size
            taken.append(node_id)
        return taken

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None:
            earned = (now - self.refilled_at) * self.settings.urgent_rate
            self.tokens = min(self.settings.urgent_burst, self.tokens + earned)
        self.refilled_at = now


def is_leaving(table: MemberTable, node_id: str) -> bool:
    """Return whether the news is that a target takes no new work any more."""
    member = table.get(node_id)
    if member is None:
        return False
    return member.state is MemberState.LEFT or (
        member.target_state >= TargetState.DRAINING
    )


def is_sent_as_judgement(entry: MemberEntry) -> bool:
    """Return whether an update is carried as a judgement."""
    state = entry.member.state
    return state is MemberState.SUSPECT or state is MemberState.DEAD


class MessageComposer:
    """Builds the messages of one node."""

    def __init__(self, table: MemberTable, queue: UpdateQueue) -> None:
        self.table = table
        self.queue = queue

    def own_size(self) -> int:
        """Return the bytes of the description of this node."""
        return self.table.entries[self.table.own_id].size

    def without_updates(
        self,
        kind: MessageKind,
        now: float,
        sequence: int = 0,
        subject: str = "",
        address: str = "",
    ) -> Message:
        """Return a message without updates at ``now``, in seconds."""
        own = self.table.current(self.table.own_id, now)
        view = self.table.view_digest
        offset = own.log_offset
        return Message(kind, sequence, own, subject, address, offset, view, [], [], [])

    def digest_message(self, sequence: int, now: float) -> Message:
        """Return a message with the digests of all buckets."""
        message = self.without_updates(MessageKind.DIGEST, now, sequence)
        return message._replace(buckets=list(self.table.buckets))

    def with_updates(
        self,
        kind: MessageKind,
        now: float,
        sequence: int = 0,
        subject: str = "",
        address: str = "",
        first: Member | None = None,
    ) -> Message:
        """Return a message that carries updates, ``first`` before all others."""
        message = self.without_updates(kind, now, sequence, subject, address)
        room = update_bytes_left(self.own_size(), subject, address)
        if first is not None:
            message.updates.append(first)
            room -= self.table.entries[first.node_id].size
        self.add_updates(message, self.queue.take(self.table, room), now)
        return message

    def add_updates(self, message: Message, node_ids: list[str], now: float) -> None:
        """Add the news of members to a message; the node itself is its sender."""
        for node_id in node_ids:
            entry = self.table.entries[node_id]
            member = entry.member
            if is_sent_as_judgement(entry):
                judgement = Judgement(node_id, member.incarnation, member.state)
                message.judgements.append(judgement)
            elif node_id != self.table.own_id:
                message.updates.append(entry.current(now))
