"""Repair of views that differ for long, by digests of buckets of members.

Carried updates reach almost every member, but not one that was frozen or cut off
while they were carried.
"""

import random

from .members import Member, MemberTable
from .settings import MembershipSettings

MAX_RECORDS_PER_ANSWER = 40


class Reconciler:
    """Decides when a digest is sent and which records answer one.

    Attributes:
        differing_in_a_row: Messages in a row that carried another view.
        next_at: Earliest time in seconds of the next digest.
    """

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, rng: random.Random
    ) -> None:
        self.settings = settings
        self.table = table
        self.rng = rng
        self.consecutive_differences = 0
        self.next_at = 0.0

    def should_send_digest(self, view: int, now: float) -> bool:
        """Note the view of another node; return whether to send it a digest.

        Views differ for a while after each change, so one difference is no reason.
        """
        if view == self.table.view_digest:
            self.consecutive_differences = 0
            return False
        self.consecutive_differences += 1
        if self.consecutive_differences < self.settings.digest_after:
            return False
        if now < self.next_at:
            return False
        self.next_at = now + self.settings.digest_interval * (1 + self.rng.random())
        return True

    def differing_records(
        self, buckets: list[int], room: int, now: float
    ) -> list[list[Member]]:
        """Return the records of the buckets that differ, in lists of one datagram.

        Args:
            buckets: Digests of the other node.
            room: Bytes for records in a datagram.
            now: Time in seconds.
        """
        pairs = enumerate(zip(buckets, self.table.buckets, strict=False))
        wanted = {index for index, (theirs, ours) in pairs if theirs != ours}
        entries = list(self.table.in_buckets(wanted)) if wanted else []
        if len(entries) > MAX_RECORDS_PER_ANSWER:
            entries = self.rng.sample(entries, MAX_RECORDS_PER_ANSWER)
        lists: list[list[Member]] = []
        left = 0
        for entry in entries:
            if entry.size > left:
                lists.append([])
                left = room
            lists[-1].append(entry.current(now))
            left -= entry.size
        return lists
