"""What callers, targets and the operator saw during a soak, and what was done."""

import math
from typing import NamedTuple

STORE = "store"
ANSWERED, CLOSED, GAVE_UP, NOT_SENT = "answered", "closed", "gave up", "not sent"


class Attempt:
    """One attempt of a client's request.

    Attributes:
        id: Attempt id.
        host: Host whose node got it.
        kind: Kind of its route.
        path: Path with the query.
        version: Configuration that alone allows it; 0 if all do.
        withdrawn_key: Whether it is the key that only ``version`` allows.
        lifetime: Number of the node's start, counted at the host from 1.
        sent_at: Unix time at which it was sent.
        ended_at: Unix time of the outcome; infinite before.
        outcome: How it ended.
        status: Status of the answer; 0 if there was none.
        fault: What is wrong with the answer; empty for nothing.
    """

    def __init__(self, attempt_id: str, host: str, kind: str, path: str) -> None:
        self.id = attempt_id
        self.host = host
        self.kind = kind
        self.path = path
        self.version = 0
        self.withdrawn_key = False
        self.lifetime = 0
        self.sent_at = math.inf
        self.ended_at = math.inf
        self.outcome = NOT_SENT
        self.status = 0
        self.fault = ""

    def __str__(self) -> str:
        """Return the attempt as a line of a time line."""
        result = f"{self.outcome} {self.status or ''} {self.fault}".strip()
        seconds = self.ended_at - self.sent_at
        return f"{self.kind} {self.path} at {self.host}: {result} after {seconds:.3f} s"


class Run:
    """One run of a request at a target.

    Attributes:
        id: Attempt id.
        host: Host of the target.
        target: Id of the target.
        at: Unix time of its begin.
        ended_at: Unix time of its end; infinite while it runs.
        mode: Fault mode of the target at the begin.
    """

    def __init__(
        self, attempt_id: str, host: str, target: str, at: float, mode: str
    ) -> None:
        self.id = attempt_id
        self.host = host
        self.target = target
        self.at = at
        self.ended_at = math.inf
        self.mode = mode


class Span:
    """A disturbance with the time that it lasts.

    Attributes:
        place: Host, or ``store``.
        kind: Name of the disturbance.
        begin: Unix time of its begin.
        end: Unix time of its end; infinite while it lasts.
    """

    def __init__(self, place: str, kind: str, begin: float) -> None:
        self.place = place
        self.kind = kind
        self.begin = begin
        self.end = math.inf

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether it lasted at some moment of a span."""
        return self.begin <= until and self.end >= since


class Acknowledgement(NamedTuple):
    """The first acknowledgement of a target's leaving.

    Attributes:
        host: Host of the target.
        at: Unix time.
    """

    host: str
    at: float


class Lifetime:
    """One start of a node.

    Attributes:
        host: Host of the node.
        number: Starts of the host's node so far.
        started_at: Unix time of the start.
        ended_at: Unix time at which the process was seen to be gone; infinite before.
        running_at: Unix time at which it was last seen to run.
        stopped_at: Unix time of the first SIGTERM; infinite before.
        killed: Whether it got SIGKILL.
        frozen_during_stop: Whether it stood still after SIGTERM.
        status: Exit status, once it is gone.
        memory: Highest resident memory in bytes.
    """

    def __init__(self, host: str, number: int, started_at: float) -> None:
        self.host = host
        self.number = number
        self.started_at = started_at
        self.running_at = started_at
        self.ended_at = math.inf
        self.stopped_at = math.inf
        self.killed = False
        self.frozen_during_stop = False
        self.status = 0
        self.memory = 0


class Publication:
    """A version of the configuration.

    Attributes:
        version: Its number.
        sent_at: Unix time at which it was sent to the store.
        confirmed_at: Unix time of the store's confirmation; infinite before.
    """

    def __init__(self, version: int, sent_at: float) -> None:
        self.version = version
        self.sent_at = sent_at
        self.confirmed_at = math.inf


class Evacuation:
    """An evacuation of a failure domain.

    Attributes:
        zone: The domain.
        confirmed_at: Unix time of the store's confirmation; infinite before.
        removed_at: Unix time at which the removal was sent; infinite before.
        ended_at: Unix time of the confirmation of the removal; infinite before.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.confirmed_at = math.inf
        self.removed_at = math.inf
        self.ended_at = math.inf


class Record:
    """Everything that the promises are judged by.

    Attributes:
        attempts: Attempts by id.
        runs: Runs by attempt id.
        lifetimes: Starts of all nodes.
        spans: Disturbances that were in force, with their times.
        acknowledgements: First acknowledgement of leaving, by target.
        publications: Versions of the configuration, oldest first.
        evacuations: Evacuations, oldest first.
        zones: Failure domain of each host.
        events: Unix time and text of what was done to the system.
    """

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[Run]] = {}
        self.lifetimes: list[Lifetime] = []
        self.spans: list[Span] = []
        self.acknowledgements: dict[str, Acknowledgement] = {}
        self.publications: list[Publication] = []
        self.evacuations: list[Evacuation] = []
        self.zones: dict[str, str] = {}
        self.events: list[tuple[float, str]] = []

    def begin(self, place: str, kind: str, now: float) -> Span:
        """Record that a disturbance begins; the caller sets its end."""
        span = Span(place, kind, now)
        self.spans.append(span)
        return span

    def disturbed(
        self, place: str, kinds: frozenset[str], since: float, until: float
    ) -> bool:
        """Return whether a disturbance of some kinds overlaps a span."""
        return any(
            span.place == place and span.kind in kinds and span.overlaps(since, until)
            for span in self.spans
        )

    def lifetime_of(self, host: str, number: int) -> Lifetime | None:
        """Return one start of a host's node."""
        for lifetime in self.lifetimes:
            if lifetime.host == host and lifetime.number == number:
                return lifetime
        return None

    def lifetime_at(self, host: str, at: float) -> Lifetime | None:
        """Return the last start of a host's node before a time."""
        started = [
            item
            for item in self.lifetimes
            if item.host == host and item.started_at <= at
        ]
        return max(started, key=lambda item: item.number, default=None)

    def current_lifetime(self, host: str) -> int:
        """Return the number of the last start of a host's node."""
        return max(
            (item.number for item in self.lifetimes if item.host == host), default=0
        )
