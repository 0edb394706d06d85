"""Dissemination of membership updates, piggybacked on messages.

Each update is sent about ``3 * log2(n)`` times among ``n`` members, the least often
sent first. Urgent updates are also pushed to a few random members, at a limited rate.
"""

import heapq
import math

from .members import Member, MemberEntry, MemberState, MemberTable
from .routing import TargetState
from .settings import MembershipSettings
from .swim import JUDGEMENT_BYTES, Judgement, Message, MessageKind, update_bytes_left

TRANSMIT_FACTOR = 3


class UpdateQueue:
    """Updates that are still to be sent.

    Attributes:
        send_counts: How often the update about each node id was sent.
        urgent_pushes_left: How often the urgent update about each node id is still
            to be pushed.
        tokens: Tokens of the bucket that limits pushed messages.
        refilled_at: Time in seconds of the last refill, or None.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.send_counts: dict[str, int] = {}
        self.urgent_pushes_left: dict[str, int] = {}
        self.tokens = float(settings.urgent_burst)
        self.refilled_at: float | None = None

    def add(self, node_id: str, urgent: bool) -> None:
        """Queue the current description of a member; replaces a queued older one."""
        self.send_counts[node_id] = 0
        if urgent:
            self.urgent_pushes_left[node_id] = self.settings.urgent_rounds

    def take(self, table: MemberTable, bytes_left: int) -> list[str]:
        """Return the ids whose updates to send in ``bytes_left`` bytes of a message."""
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
        selected = self._fit(table, ids, bytes_left)
        limit = self.max_sends(len(table.entries))
        for node_id in selected:
            self.send_counts[node_id] += 1
            if self.send_counts[node_id] >= limit:
                del self.send_counts[node_id]
        return selected

    def take_urgent(self, table: MemberTable, bytes_left: int, now: float) -> list[str]:
        """Return the ids whose updates to push now; empty if the rate is used up."""
        if not self.urgent_pushes_left:
            return []
        self._refill(now)
        fanout = self.settings.urgent_fanout
        leaving = [
            node_id for node_id in self.urgent_pushes_left if is_leaving(table, node_id)
        ]
        # On a lossy network, refutations would otherwise use up the tokens that are
        # needed for draining targets.
        reserve = 0 if leaving else fanout * self.settings.urgent_rounds
        if self.tokens < fanout + reserve:
            return []
        self.tokens -= fanout
        ids = leaving or list(self.urgent_pushes_left)
        selected = self._fit(table, ids, bytes_left)
        for node_id in selected:
            pushes_left = self.urgent_pushes_left.pop(node_id) - 1
            if pushes_left:
                # Reinserted at the end, after those not pushed yet.
                self.urgent_pushes_left[node_id] = pushes_left
        return selected

    def max_sends(self, size: int) -> int:
        """Return how often an update is sent in a fleet of ``size`` members."""
        return TRANSMIT_FACTOR * max(1, math.ceil(math.log2(max(2, size))))

    def _fit(self, table: MemberTable, ids: list[str], bytes_left: int) -> list[str]:
        selected = []
        updates_left = self.settings.updates_per_message
        judgements_left = self.settings.judgements_per_message
        for node_id in ids:
            entry = table.entries.get(node_id)
            if entry is None:
                self.send_counts.pop(node_id, None)
                self.urgent_pushes_left.pop(node_id, None)
                continue
            as_judgement = is_sent_as_judgement(entry)
            size = (
                len(node_id.encode()) + JUDGEMENT_BYTES
                if as_judgement
                else entry.max_bytes
            )
            if size > bytes_left or not (
                judgements_left if as_judgement else updates_left
            ):
                continue
            judgements_left -= as_judgement
            updates_left -= not as_judgement
            bytes_left -= size
            selected.append(node_id)
        return selected

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None:
            earned = (now - self.refilled_at) * self.settings.urgent_rate
            self.tokens = min(self.settings.urgent_burst, self.tokens + earned)
        self.refilled_at = now


def is_leaving(table: MemberTable, node_id: str) -> bool:
    """Return whether the target of a node no longer takes new requests."""
    member = table.get(node_id)
    if member is None:
        return False
    return member.state is MemberState.LEFT or (
        member.target_state >= TargetState.DRAINING
    )


def is_sent_as_judgement(entry: MemberEntry) -> bool:
    """Return whether an update is sent as a judgement, without the description."""
    state = entry.member.state
    return state is MemberState.SUSPECT or state is MemberState.DEAD


class MessageComposer:
    """Composes the messages of one node."""

    def __init__(self, table: MemberTable, queue: UpdateQueue) -> None:
        self.table = table
        self.queue = queue

    def own_size(self) -> int:
        """Return the largest encoded size of this node's description, in bytes."""
        return self.table.entries[self.table.own_id].max_bytes

    def without_updates(
        self,
        kind: MessageKind,
        now: float,
        sequence: int = 0,
        subject: str = "",
        address: str = "",
    ) -> Message:
        """Return a message without updates as of ``now``, in seconds."""
        own = self.table.current(self.table.own_id, now)
        view = self.table.view_digest
        offset = own.log_offset
        return Message(kind, sequence, own, subject, address, offset, view, [], [], [])

    def digest_message(self, sequence: int, now: float) -> Message:
        """Return a DIGEST message with the digests of all buckets."""
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
        """Return a message with queued updates; ``first`` is added before them."""
        message = self.without_updates(kind, now, sequence, subject, address)
        bytes_left = update_bytes_left(self.own_size(), subject, address)
        if first is not None:
            message.updates.append(first)
            bytes_left -= self.table.entries[first.node_id].max_bytes
        self.add_updates(message, self.queue.take(self.table, bytes_left), now)
        return message

    def add_updates(self, message: Message, node_ids: list[str], now: float) -> None:
        """Add the updates about members to a message.

        This node's description is left out: the message carries it as its sender.
        """
        for node_id in node_ids:
            entry = self.table.entries[node_id]
            member = entry.member
            if is_sent_as_judgement(entry):
                judgement = Judgement(node_id, member.incarnation, member.state)
                message.judgements.append(judgement)
            elif node_id != self.table.own_id:
                message.updates.append(entry.current(now))
