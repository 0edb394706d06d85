"""Quarantine of requests under which targets end, without I/O.

A request that crashes its target is known by what it asks for, since each attempt has
another id. All requests that were in flight when a target ended are suspects. One that
was in flight at several crashes and never got a response is quarantined: no node sends
it to a target. A response shows that it was not to blame for the crashes so far.

Crashes and responses are kept as sets, so that reports may arrive in any order and more
than once.
"""

import hashlib
from collections.abc import Iterable

from ..http import Request
from ..refusals import Ran, Reason, Refusal

STEP = "quarantine"

# Crashes with a request in flight after which it is quarantined. Others that are in
# flight at one crash mostly get their response from the next target.
MAX_CRASHES = 3
# First duration of a quarantine. After it the request may run once more, and a further
# crash doubles the duration.
QUARANTINE_SECONDS = 60.0
MAX_DOUBLINGS = 3
# Age of the newest crash from which a suspect is forgotten; longer than a quarantine.
SUSPECT_SECONDS = 600.0
MAX_SUSPECTS = 4096
# Part of the suspects that is forgotten when there are too many.
EVICTED_SHARE = 0.25
FINGERPRINT_BYTES = 8


def request_fingerprint(
    route: str, account: str, request: Request, body: bytes
) -> bytes:
    """Return what a request has in common with its repetitions.

    Args:
        route: Name of its route.
        account: Client account; empty if there is none.
        request: Method and path.
        body: Complete body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (route, account, request.method, request.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()


class Suspect:
    """A request that was in flight when targets ended.

    Attributes:
        crashes: Crashes that it was in flight at.
        exonerated: Those of them that a later response cleared it of.
        crashed_at: Time at which the newest crash became known, in seconds.
    """

    def __init__(self, now: float) -> None:
        self.crashes: set[str] = set()
        self.exonerated: set[str] = set()
        self.crashed_at = now

    @property
    def blamed(self) -> int:
        """Number of crashes that it may be to blame for."""
        return len(self.crashes - self.exonerated)

    @property
    def quarantined_until(self) -> float:
        """Time at which its quarantine ends, in seconds; 0 if there is none."""
        excess = self.blamed - MAX_CRASHES
        if excess < 0:
            return 0.0
        return self.crashed_at + QUARANTINE_SECONDS * 2 ** min(excess, MAX_DOUBLINGS)


class Quarantine:
    """Suspects that one node knows of.

    Attributes:
        suspects: Suspects by fingerprint.
    """

    def __init__(self) -> None:
        self.suspects: dict[bytes, Suspect] = {}

    def record_crash(
        self, crash: str, fingerprints: Iterable[bytes], now: float
    ) -> list[bytes]:
        """Note which requests were in flight when a target ended.

        Args:
            crash: Name of the crash, the same at all nodes.
            fingerprints: Fingerprints of the requests.
            now: Time in seconds.

        Returns:
            The requests that are quarantined from now on.
        """
        caught = []
        for fingerprint in fingerprints:
            suspect = self.suspect(fingerprint, now)
            if crash in suspect.crashes:
                continue
            suspect.crashes.add(crash)
            suspect.crashed_at = now
            if crash not in suspect.exonerated and suspect.quarantined_until > now:
                caught.append(fingerprint)
        return caught

    def suspect(self, fingerprint: bytes, now: float) -> Suspect:
        """Return a suspect, adding it if necessary."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            if len(self.suspects) >= MAX_SUSPECTS:
                self.evict()
            suspect = self.suspects[fingerprint] = Suspect(now)
        return suspect

    def evict(self) -> None:
        """Forget the suspects that are blamed for the fewest crashes, oldest first."""
        ranked = sorted(
            self.suspects.items(), key=lambda item: (item[1].blamed, item[1].crashed_at)
        )
        for fingerprint, _ in ranked[: int(EVICTED_SHARE * MAX_SUSPECTS)]:
            del self.suspects[fingerprint]

    def exonerate(self, fingerprint: bytes, crashes: Iterable[str], now: float) -> None:
        """Clear a request of crashes since it got a response after them."""
        self.suspect(fingerprint, now).exonerated.update(crashes)

    def blamed_crashes(self, fingerprint: bytes) -> list[str]:
        """Return the crashes that a request may be to blame for."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return []
        return sorted(suspect.crashes - suspect.exonerated)

    def remaining(self, fingerprint: bytes, now: float) -> float:
        """Return for how many seconds a request is quarantined; 0 if it is not."""
        suspect = self.suspects.get(fingerprint)
        return max(0.0, suspect.quarantined_until - now) if suspect else 0.0

    def check(self, fingerprint: bytes, now: float) -> Refusal | None:
        """Refuse a request that is quarantined."""
        remaining = self.remaining(fingerprint, now)
        if not remaining:
            return None
        return Refusal(
            Reason.RETRIES_SPENT, Ran.NOT_RUN, remaining, STEP, fingerprint.hex()
        )

    def forget_old(self, now: float) -> None:
        """Forget the suspects whose newest crash is long ago."""
        for fingerprint, suspect in list(self.suspects.items()):
            if now - suspect.crashed_at > SUSPECT_SECONDS:
                del self.suspects[fingerprint]
