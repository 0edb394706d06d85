"""The time line of a violation: schedule, request, target and nodes' log lines."""

import json
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from .promises import Violation
from .record import Record

SECONDS_BEFORE, SECONDS_AFTER = 8.0, 2.0
SHOWN_CHARACTERS = 200
LIFE_EVENTS = frozenset(
    {
        "start",
        "stop",
        "stopped",
        "configuration",
        "store_lost",
        "part_failed",
        "evacuation",
        "target_cold",
        "target_warm",
    }
)


def format_violation(
    violation: Violation, record: Record, directory: Path, started_at: float
) -> str:
    """Return the time line of a violation as text.

    Args:
        violation: What to show.
        record: What was seen.
        directory: Directory of the nodes' logs.
        started_at: Unix time of the start of the schedule, from which seconds count.
    """
    begin = violation.begin - SECONDS_BEFORE
    end = violation.end + SECONDS_AFTER
    rows = [
        *disturbance_rows(record, begin, end),
        *request_rows(violation, record),
        *log_rows(violation, directory, begin, end),
    ]
    lines = [f"{violation.promise}: {violation.text}"]
    if violation.attempt in record.attempts:
        lines.append(f"  {violation.attempt} {record.attempts[violation.attempt]}")
    lines += [f"  {at - started_at:8.3f} {text}" for at, text in sorted(rows)]
    return "\n".join(lines)


def disturbance_rows(
    record: Record, begin: float, end: float
) -> Iterator[tuple[float, str]]:
    """Yield what was done to the system in a span."""
    for at, text in record.events:
        if begin <= at <= end:
            yield at, text
    for span in record.spans:
        if span.overlaps(begin, end):
            yield span.begin, f"{span.place}: {span.kind} begins"
            if span.end <= end:
                yield span.end, f"{span.place}: {span.kind} ends"


def request_rows(violation: Violation, record: Record) -> Iterator[tuple[float, str]]:
    """Yield the request's events at its caller and at targets."""
    attempt = record.attempts.get(violation.attempt)
    if attempt is not None:
        yield (
            attempt.sent_at,
            f"caller of {attempt.host} (start {attempt.lifetime}) sends",
        )
        yield attempt.ended_at, f"caller: {attempt.outcome} {attempt.status or ''}"
    for run in record.runs.get(violation.attempt, []):
        yield run.at, f"{run.target} begins to run it {run.mode}"
        if run.ended_at < float("inf"):
            yield run.ended_at, f"{run.target} ends it"


def log_rows(
    violation: Violation, directory: Path, begin: float, end: float
) -> Iterator[tuple[float, str]]:
    """Yield the nodes' log lines with the request's id, and the life of its nodes."""
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            has_id = bool(violation.attempt) and violation.attempt in line
            if not has_id and path.stem not in violation.hosts:
                continue
            try:
                entry = json.loads(line)
                at = log_time(entry["time"])
            except (ValueError, KeyError, TypeError):
                # The line of a crash; the log itself shows it.
                continue
            is_life = entry.get("event") in LIFE_EVENTS and begin <= at <= end
            if has_id or is_life:
                yield at, f"log of {path.stem}: {line[:SHOWN_CHARACTERS]}"


def log_time(value: float | str) -> float:
    """Return the Unix time of a log line, in which it is a number or a date."""
    if isinstance(value, str):
        return datetime.fromisoformat(value).timestamp()
    return float(value)
