"""Anti-entropy between members whose tables differ for long.

Piggybacked updates miss members that were suspended or partitioned while the updates
were sent. Such members exchange digests of buckets and the records that differ.
"""

import random

from .members import Member, MemberTable
from .settings import MembershipSettings

MAX_RECORDS_PER_RESPONSE = 40


class Reconciler:
    """Decides when to send a digest, and with which records to respond to one.

    Attributes:
        consecutive_differences: Consecutive messages whose view digest differed from
            that of this node.
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
        """Compare the view digest of another node; return whether to send a digest.

        Views differ for a while after each change, so a single difference is ignored.
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
        self, buckets: list[int], bytes_left: int, now: float
    ) -> list[list[Member]]:
        """Return the records of the buckets that differ, one list for each datagram.

        At most ``MAX_RECORDS_PER_RESPONSE`` records are returned, chosen at random.

        Args:
            buckets: Bucket digests of the other node.
            bytes_left: Bytes available for records in a datagram.
            now: Time in seconds.
        """
        pairs = enumerate(zip(buckets, self.table.buckets, strict=False))
        differing = {index for index, (theirs, ours) in pairs if theirs != ours}
        entries = list(self.table.in_buckets(differing)) if differing else []
        if len(entries) > MAX_RECORDS_PER_RESPONSE:
            entries = self.rng.sample(entries, MAX_RECORDS_PER_RESPONSE)
        batches: list[list[Member]] = []
        remaining = 0
        for entry in entries:
            if entry.max_bytes > remaining:
                batches.append([])
                remaining = bytes_left
            batches[-1].append(entry.current(now))
            remaining -= entry.max_bytes
        return batches
