"""The promises that a soak checks, from what callers and targets saw."""

import math
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Any, NamedTuple

from standins.platform import DRAIN_SECONDS, GRACE_SECONDS, WARMUP_OVERAGE, WARMUP_SLACK

from .client import DEADLINE_SECONDS, PROMISE_STATUSES
from .record import (
    ANSWERED,
    CLOSED,
    STORE,
    Attempt,
    Evacuation,
    Lifetime,
    Record,
    Run,
)

# Bounds in seconds from the users' installations.
STABLE_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
ROLLBACK_SLACK_SECONDS = 0.25
EVACUATE_SECONDS = 5.0
WARMUP_SECONDS, WARMUP_PER_SECOND = 3.0, 3.1
COLD_LIMIT = math.floor(WARMUP_PER_SECOND * WARMUP_OVERAGE + WARMUP_SLACK)
# Chosen, not from the users: a warm-up and two seconds for the news and a next request.
SERVED_AGAIN_SECONDS = WARMUP_SECONDS + 2.0
# A node that stood still may take so many times longer, by the users' rules.
SLOWED_FACTOR = 8
# What is sent so late after SIGTERM is owed an answer however long its target works.
LATE_REQUEST_SECONDS = 3.0
LAST_PART_OF_GRACE = 5 / 6
MEMORY_BYTES = 150 << 20
# The start of a target's handler takes this long at most.
OBSERVATION_SECONDS = 0.1
CALL_PREFIX = "call-"
DENIAL_STATUSES = frozenset({401, 403, 404})
FAULTS_OF_PROCESSES = frozenset({"kill", "freeze"})
FAULTS_OF_TARGETS = frozenset({"target-kill", "target-link", "target-mode"})
FAULTS_OF_HOSTS = FAULTS_OF_PROCESSES | FAULTS_OF_TARGETS
# At the end of a delay, requests arrive closer together than their node sent them.
END_OF_DELAY = frozenset({"target-link-delay-ends"})
FAULTS_OF_NODES = frozenset({"kill", "freeze", "stop", "store-link"})
FAULTS_OF_STORE = frozenset({"store-down", "store-slow", "store-lose", "store-compact"})


class Violation(NamedTuple):
    """A broken promise.

    Attributes:
        promise: Name of the promise.
        text: What was seen.
        begin: Unix time from which a time line shows it.
        end: Unix time until which a time line shows it.
        hosts: Hosts that took part.
        attempt: Id of the attempt; empty if there is none.
    """

    promise: str
    text: str
    begin: float
    end: float
    hosts: frozenset[str]
    attempt: str = ""


class Promise(ABC):
    """One promise; each method yields what breaks it.

    Attributes:
        record: What was seen.
        judged: How often the promise was owed and checked.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.judged = 0

    @property
    @abstractmethod
    def name(self) -> str:
        """Name of the promise."""

    def check_run(self, run: Run) -> Iterator[Violation]:
        """Check a run as soon as its target has recorded it."""
        yield from ()

    def check_event(self, host: str, event: dict[str, Any]) -> Iterator[Violation]:
        """Check any event that a target has recorded."""
        yield from ()

    def check_end(self) -> Iterator[Violation]:
        """Check what can only be judged at the end."""
        yield from ()

    def check_attempt(self, attempt: Attempt) -> Iterator[Violation]:
        """Check an attempt some time after it has ended."""
        yield from ()

    def check_lifetime(self, lifetime: Lifetime) -> Iterator[Violation]:
        """Check a start of a node once its process is gone, or at the end."""
        yield from ()

    def attempt_violation(self, attempt: Attempt, text: str) -> Violation:
        """Return the violation that an attempt shows."""
        runs = self.record.runs.get(attempt.id, [])
        hosts = frozenset({attempt.host, *(run.host for run in runs)})
        end = attempt.ended_at
        return Violation(self.name, text, attempt.sent_at, end, hosts, attempt.id)

    def lifetime_violation(self, lifetime: Lifetime, text: str) -> Violation:
        """Return the violation that the life of a process shows."""
        end = min(time.time(), lifetime.ended_at)
        begin = min(lifetime.stopped_at, end)
        text = f"{lifetime.host} (start {lifetime.number}) {text}"
        return Violation(self.name, text, begin, end, frozenset({lifetime.host}))


class AtMostOnce(Promise):
    """What is not idempotent runs at most once; nothing runs unasked."""

    name = "runs at most once"

    def check_run(self, run: Run) -> Iterator[Violation]:
        """Check that the run is the only one, unless it may be repeated."""
        if run.id.startswith(CALL_PREFIX) or not run.id:
            return
        self.judged += 1
        attempt = self.record.attempts.get(run.id)
        if attempt is None:
            hosts = frozenset({run.host})
            text = f"{run.target} ran {run.id}, which no client sent"
            yield Violation(self.name, text, run.at, run.at, hosts, run.id)
        elif attempt.kind != "idempotent" and len(self.record.runs[run.id]) > 1:
            targets = [item.target for item in self.record.runs[run.id]]
            yield self.attempt_violation(attempt, f"ran at {', '.join(targets)}")


class WholeAnswer(Promise):
    """An answer belongs to its request and is whole."""

    name = "whole answers"

    def check_attempt(self, attempt: Attempt) -> Iterator[Violation]:
        """Check the answer, and that a success was run."""
        self.judged += attempt.outcome == ANSWERED
        if attempt.fault:
            yield self.attempt_violation(attempt, attempt.fault)
        is_success = attempt.outcome == ANSWERED and 200 <= attempt.status < 300
        if is_success and attempt.id not in self.record.runs:
            yield self.attempt_violation(attempt, "success of a request that never ran")


class Refusal(Promise):
    """A refusal means that the request has not run and will not run."""

    name = "refused means not run"

    def check_attempt(self, attempt: Attempt) -> Iterator[Violation]:
        """Check the runs that came before the refusal."""
        if attempt.outcome == ANSWERED and attempt.status in PROMISE_STATUSES:
            self.judged += 1
            for run in self.record.runs.get(attempt.id, []):
                yield self.attempt_violation(
                    attempt,
                    f"{attempt.kind}: {attempt.status}, but {run.target} ran it",
                )

    def check_run(self, run: Run) -> Iterator[Violation]:
        """Check that the run did not come long after a refusal."""
        attempt = self.record.attempts.get(run.id)
        if attempt is not None and attempt.ended_at + 1 < run.at:
            yield from self.check_attempt(attempt)


class CutOff(Promise):
    """No request that was passed on to a target is cut off, in a stop or not."""

    name = "nothing is cut off"

    def check_attempt(self, attempt: Attempt) -> Iterator[Violation]:
        """Check a request whose connection ended without its answer."""
        runs = self.record.runs.get(attempt.id, [])
        lifetime = self.record.lifetime_of(attempt.host, attempt.lifetime)
        if lifetime is None or not runs:
            return
        in_stop = attempt.ended_at >= lifetime.stopped_at
        self.judged += in_stop
        if attempt.outcome != CLOSED:
            return
        since = attempt.sent_at - STABLE_SECONDS
        places = [(attempt.host, FAULTS_OF_PROCESSES)]
        places += [(run.host, FAULTS_OF_HOSTS) for run in runs]
        if any(
            self.record.disturbed(host, kinds, since, attempt.ended_at)
            for host, kinds in places
        ):
            return
        if attempt.ended_at - attempt.sent_at >= DEADLINE_SECONDS:
            return
        late = attempt.sent_at > lifetime.stopped_at + LATE_REQUEST_SECONDS
        last_part = lifetime.stopped_at + GRACE_SECONDS * LAST_PART_OF_GRACE
        if in_stop and not late and any(run.ended_at >= last_part for run in runs):
            return
        when = "while its node ran"
        if in_stop:
            seconds = attempt.sent_at - lifetime.stopped_at
            when = f"in a stop, sent {seconds:.2f} s after SIGTERM"
        yield self.attempt_violation(attempt, f"run, and cut off {when}")


class GraceTime(Promise):
    """A stopping process is gone within the grace time."""

    name = "gone within the grace time"

    def check_lifetime(self, lifetime: Lifetime) -> Iterator[Violation]:
        """Check the time from SIGTERM to the end."""
        seconds = lifetime.running_at - lifetime.stopped_at
        self.judged += lifetime.stopped_at <= time.time()
        if seconds > GRACE_SECONDS and not lifetime.frozen_during_stop:
            yield self.lifetime_violation(
                lifetime, f"still there {seconds:.2f} s after SIGTERM"
            )


class OwnEnd(Promise):
    """A process never ends by itself."""

    name = "no end by itself"

    def check_lifetime(self, lifetime: Lifetime) -> Iterator[Violation]:
        """Check that the end followed a signal, with the status of a stop."""
        self.judged += 1
        if lifetime.ended_at > time.time() or lifetime.killed:
            return
        excused = lifetime.ended_at - lifetime.stopped_at > GRACE_SECONDS or (
            lifetime.status == -signal.SIGTERM and not self.has_served(lifetime)
        )
        if lifetime.stopped_at > lifetime.ended_at or (lifetime.status and not excused):
            yield self.lifetime_violation(
                lifetime, f"ended with status {lifetime.status}"
            )

    def has_served(self, lifetime: Lifetime) -> bool:
        """Return whether a client had a connection to a start of a node."""
        return any(
            (attempt.host, attempt.lifetime) == (lifetime.host, lifetime.number)
            for attempt in self.record.attempts.values()
        )


class Memory(Promise):
    """A process stays below its memory."""

    name = "memory"

    def check_lifetime(self, lifetime: Lifetime) -> Iterator[Violation]:
        """Check the highest memory that was measured."""
        self.judged += lifetime.memory > 0
        if lifetime.memory > MEMORY_BYTES:
            megabytes = lifetime.memory / (1 << 20)
            yield self.lifetime_violation(lifetime, f"used {megabytes:.0f} MB")


class Drain(Promise):
    """A draining target gets nothing late."""

    name = "nothing for a drained target"

    def check_run(self, run: Run) -> Iterator[Violation]:
        """Check a run against the acknowledgement of its target's leaving."""
        self.judged = len(self.record.acknowledgements)
        acknowledgement = self.record.acknowledgements.get(run.target)
        if acknowledgement is None:
            return
        seconds = run.at - acknowledgement.at
        if seconds <= DRAIN_SECONDS + OBSERVATION_SECONDS:
            return
        kinds = frozenset({"freeze", "target-link"})
        if self.record.disturbed(run.host, kinds, acknowledgement.at, run.at):
            return
        text = f"{run.target} ran it {seconds:.2f} s after its leaving was acknowledged"
        hosts = frozenset({run.host})
        attempt = self.record.attempts.get(run.id)
        begin = attempt.sent_at if attempt is not None else run.at
        if attempt is not None:
            hosts |= {attempt.host}
        yield Violation(self.name, text, begin, run.at, hosts, run.id)


class Configuration(Promise):
    """A confirmed configuration is in force in time and never goes back."""

    name = "configuration"

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.seen: dict[tuple[str, int], list[tuple[float, int]]] = {}

    def check_attempt(self, attempt: Attempt) -> Iterator[Violation]:
        """Check what an answer says about the version in force at the node."""
        if attempt.outcome != ANSWERED:
            return
        denied = attempt.status in DENIAL_STATUSES
        if not attempt.version:
            if denied or attempt.status in (400, 413, 431):
                yield self.attempt_violation(
                    attempt, f"{attempt.status}, though all configurations allow it"
                )
            return
        accepted = 200 <= attempt.status < 300
        if not (accepted or denied):
            return
        what = "key" if attempt.withdrawn_key else "route"
        if accepted and self.is_withdrawn(attempt):
            yield self.attempt_violation(
                attempt, f"{what} of r{attempt.version} accepted after a new start"
            )
        bound = self.lower_bound(attempt)
        self.judged += bound > 0
        if accepted and attempt.version < bound:
            yield self.attempt_violation(
                attempt, f"{what} of r{attempt.version} accepted, r{bound} is owed"
            )
        if denied and self.version_is_owed(attempt, bound):
            yield self.attempt_violation(
                attempt, f"{what} of r{attempt.version} denied, though it is owed"
            )
        if accepted:
            place = attempt.host, attempt.lifetime
            self.seen.setdefault(place, []).append((attempt.ended_at, attempt.version))

    def lower_bound(self, attempt: Attempt) -> int:
        """Return the oldest version by which the node may handle an attempt."""
        bound = 0
        if self.is_in_touch(attempt):
            bound = self.confirmed(attempt.sent_at - CONFIG_APPLY_SECONDS)
        slack = ROLLBACK_SLACK_SECONDS
        if self.is_slowed(attempt):
            slack *= SLOWED_FACTOR
        for at, version in self.seen.get((attempt.host, attempt.lifetime), []):
            if at + slack < attempt.sent_at:
                bound = max(bound, version)
        return bound

    def confirmed(self, at: float) -> int:
        """Return the newest version that the store had confirmed at a time."""
        return max(
            (
                item.version
                for item in self.record.publications
                if item.confirmed_at < at
            ),
            default=0,
        )

    def version_is_owed(self, attempt: Attempt, bound: int) -> bool:
        """Return whether the version of an attempt must have been in force."""
        newer_sent = any(
            item.version > attempt.version and item.sent_at < attempt.ended_at
            for item in self.record.publications
        )
        return bound == attempt.version and not newer_sent

    def is_withdrawn(self, attempt: Attempt) -> bool:
        """Return whether the version had long gone when the node started."""
        lifetime = self.record.lifetime_of(attempt.host, attempt.lifetime)
        if lifetime is None:
            return False
        settled = lifetime.started_at - STABLE_SECONDS - CONFIG_APPLY_SECONDS
        return self.confirmed(settled) > attempt.version

    def is_in_touch(self, attempt: Attempt) -> bool:
        """Return whether node and store were undisturbed long enough."""
        lifetime = self.record.lifetime_of(attempt.host, attempt.lifetime)
        return is_in_touch(self.record, lifetime, attempt.sent_at, attempt.ended_at)

    def is_slowed(self, attempt: Attempt) -> bool:
        """Return whether the node stood still shortly before."""
        since = attempt.sent_at - STABLE_SECONDS
        freeze = frozenset({"freeze"})
        return self.record.disturbed(attempt.host, freeze, since, attempt.ended_at)


class ColdLimit(Promise):
    """A cold target gets no more requests in any second than it takes."""

    name = "limit of a cold target"

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.turned: dict[str, float] = {}
        self.excused_until: dict[str, float] = {}
        self.found: set[str] = set()

    def check_event(self, host: str, event: dict[str, Any]) -> Iterator[Violation]:
        """Check the requests of the last second that a cold target has counted."""
        target, at = event["target"], event["at"]
        if event["event"] == "turned_cold":
            self.turned[target], self.excused_until[target] = at, math.inf
        elif event["event"] == "acknowledged":
            is_excused = self.excused_until.get(target) == math.inf
            if is_excused and event["sent"] >= self.turned[target]:
                self.excused_until[target] = at + OBSERVATION_SECONDS
        elif event["event"] == "cold":
            if at <= self.excused_until.get(target, 0.0):
                return
            self.judged += 1
            if event["count"] <= COLD_LIMIT or target in self.found:
                return
            if self.record.disturbed(host, END_OF_DELAY, at - 1, at):
                return
            self.found.add(target)
            text = f"{target} got {event['count']} requests in a second while cold"
            yield Violation(self.name, text, at - 1, at, frozenset({host}))


class Evacuated(Promise):
    """Nothing reaches the targets of an evacuated domain."""

    name = "nothing for an evacuated domain"

    def check_event(self, host: str, event: dict[str, Any]) -> Iterator[Violation]:
        """Check a request that a target got against the evacuations of its domain."""
        if event["event"] not in ("run", "health", "shed"):
            return
        at, attempt_id = event["at"], event.get("id", "")
        zone = self.record.zones.get(host)
        for evacuation in self.record.evacuations:
            begin = evacuation.confirmed_at + EVACUATE_SECONDS + OBSERVATION_SECONDS
            if evacuation.zone != zone or not begin < at < evacuation.removed_at:
                continue
            # The node beside the target refuses what the sender does not know.
            hosts = frozenset({host, self.sender(host, attempt_id)})
            if not any(
                is_in_touch(self.record, self.record.lifetime_at(name, at), at, at)
                for name in hosts
            ):
                continue
            seconds = at - evacuation.confirmed_at
            text = f"{event['target']} got a request ({event['event']}) {seconds:.2f} s"
            text += f" after the evacuation of {zone} was confirmed"
            yield Violation(self.name, text, at, at, hosts, attempt_id)

    def sender(self, host: str, attempt_id: str) -> str:
        """Return the host whose node sent a request that a target of a host got."""
        if attempt_id in self.record.attempts:
            return self.record.attempts[attempt_id].host
        if attempt_id.startswith(CALL_PREFIX):
            # A call is named after the target that makes it: call-i-HOST-NUMBER-COUNT.
            return attempt_id.split("-")[2]
        return host

    def check_end(self) -> Iterator[Violation]:
        """Count the targets whose nodes were in touch in the time that is judged."""
        for item in self.record.evacuations:
            begin = item.confirmed_at + EVACUATE_SECONDS
            if begin == math.inf:
                continue
            steps = range(math.ceil(min(item.removed_at, begin + 60) - begin) * 4)
            for host, zone in self.record.zones.items():
                self.judged += zone == item.zone and any(
                    is_in_touch(self.record, self.record.lifetime_at(host, at), at, at)
                    for at in (begin + step / 4 for step in steps)
                    if at < item.removed_at
                )
        yield from ()


class ServedAgain(Promise):
    """Targets of a domain are used again after the end of its evacuation."""

    name = "served again after an evacuation"

    def check_end(self) -> Iterator[Violation]:
        """Check the targets that had a calm time before the clients ended."""
        last_sent = max(
            (item.sent_at for item in self.record.attempts.values()), default=0.0
        )
        for evacuation in self.record.evacuations:
            for host, zone in self.record.zones.items():
                due = self.due_at(evacuation, host)
                if evacuation.zone != zone or due == math.inf:
                    continue
                served = self.is_served(host, evacuation.ended_at, due)
                # A target that is used early has kept the promise, whatever follows.
                self.judged += served or due < last_sent
                if not served and due < last_sent:
                    yield self.violation(evacuation, host, due)

    def due_at(self, evacuation: Evacuation, host: str) -> float:
        """Return until when the target of a host must have run a request.

        The time begins anew after each disturbance of the host or the store; it is
        infinite if the domain is evacuated again before.
        """
        due = evacuation.ended_at + SERVED_AGAIN_SECONDS
        spans = [
            (span.begin, span.end)
            for span in self.record.spans
            if span.place in (host, STORE)
        ]
        spans += [
            (item.started_at, item.started_at)
            for item in self.record.lifetimes
            if item.host == host
        ]
        for begin, end in sorted(spans):
            if begin <= due and end >= evacuation.ended_at - STABLE_SECONDS:
                due = max(due, end + STABLE_SECONDS + SERVED_AGAIN_SECONDS)
        if any(
            item.zone == evacuation.zone
            and evacuation.ended_at < item.confirmed_at < due
            for item in self.record.evacuations
        ):
            return math.inf
        return due

    def is_served(self, host: str, begin: float, end: float) -> bool:
        """Return whether the target of a host has begun to run a request in a span."""
        runs = (run for item in self.record.runs.values() for run in item)
        return any(run.host == host and begin <= run.at <= end for run in runs)

    def violation(self, evacuation: Evacuation, host: str, due: float) -> Violation:
        """Return the violation that the target of a host shows."""
        begin = evacuation.ended_at
        text = f"the target of {host} ran nothing in the {due - begin:.2f} s"
        text += f" after the evacuation of {evacuation.zone}"
        return Violation(self.name, text, begin, due, frozenset({host}))


def is_in_touch(
    record: Record, lifetime: Lifetime | None, begin: float, end: float
) -> bool:
    """Return whether a node and the store were undisturbed long enough."""
    since = begin - STABLE_SECONDS
    return (
        lifetime is not None
        and lifetime.started_at < since
        and end < lifetime.stopped_at
        and not record.disturbed(lifetime.host, FAULTS_OF_NODES, since, end)
        and not record.disturbed(STORE, FAULTS_OF_STORE, since, end)
    )


PROMISES: tuple[type[Promise], ...] = (
    AtMostOnce,
    WholeAnswer,
    Refusal,
    CutOff,
    GraceTime,
    OwnEnd,
    Memory,
    Drain,
    Configuration,
    ColdLimit,
    Evacuated,
    ServedAgain,
)
