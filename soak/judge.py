"""Reads what targets recorded, and judges it with the rest while the soak runs."""

import json
import time
from pathlib import Path
from typing import Any

import curio

from .promises import PROMISES, Promise, Violation
from .record import Acknowledgement, Attempt, Lifetime, Record, Run

CHECK_INTERVAL_SECONDS = 0.25
# Targets' records of a run are there so long after its answer at the latest.
SETTLE_SECONDS = 1.0
LEAVING_PHASES = frozenset({"draining", "gone"})


class RunFile:
    """Follows the file in which the targets of a host record what they do."""

    def __init__(self, host: str, path: Path) -> None:
        self.host = host
        self.path = path
        self.offset = 0

    def read(self) -> list[dict[str, Any]]:
        """Return the events since the last call."""
        if not self.path.exists():
            return []
        with self.path.open("rb") as file:
            file.seek(self.offset)
            data = file.read()
        data = data[: data.rfind(b"\n") + 1]
        self.offset += len(data)
        return [json.loads(line) for line in data.splitlines()]


class Judge:
    """Checks all promises.

    Attributes:
        violations: What broke them so far.
    """

    def __init__(self, record: Record, directory: Path, hosts: list[str]) -> None:
        self.record = record
        self.files = [RunFile(host, directory / f"{host}.runs") for host in hosts]
        self.promises: list[Promise] = [promise(record) for promise in PROMISES]
        self.violations: list[Violation] = []
        self.judged: dict[str, Attempt] = {}
        self.judged_lifetimes: set[Lifetime] = set()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.check(time.time() - SETTLE_SECONDS)
            await curio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self, settled_before: float) -> None:
        """Check new runs, and the attempts and processes that ended before a time."""
        for file in self.files:
            for event in file.read():
                self.take(file.host, event)
        attempts = list(self.record.attempts.values())
        settled = [item for item in attempts if item.ended_at < settled_before]
        settled = [item for item in settled if item.id not in self.judged]
        for attempt in sorted(settled, key=lambda item: item.sent_at):
            self.judged[attempt.id] = attempt
            for promise in self.promises:
                self.violations += promise.check_attempt(attempt)
        for lifetime in self.record.lifetimes:
            if lifetime.ended_at < settled_before:
                self.check_lifetime(lifetime)

    def check_lifetime(self, lifetime: Lifetime) -> None:
        """Check a start of a node once."""
        if lifetime not in self.judged_lifetimes:
            self.judged_lifetimes.add(lifetime)
            for promise in self.promises:
                self.violations += promise.check_lifetime(lifetime)

    def finish(self) -> None:
        """Check what is left at the end."""
        self.check(time.time())
        for lifetime in self.record.lifetimes:
            self.check_lifetime(lifetime)
        for promise in self.promises:
            self.violations += promise.check_end()

    def take(self, host: str, event: dict[str, Any]) -> None:
        """Take one event of a target."""
        at, target = event["at"], event["target"]
        for promise in self.promises:
            self.violations += promise.check_event(host, event)
        if event["event"] == "acknowledged":
            if event["phase"] in LEAVING_PHASES:
                acknowledgement = Acknowledgement(host, at)
                self.record.acknowledgements.setdefault(target, acknowledgement)
        elif event["event"] == "run":
            run = Run(event["id"], host, target, at, event["mode"])
            self.record.runs.setdefault(run.id, []).append(run)
            for promise in self.promises:
                self.violations += promise.check_run(run)
        elif event["event"] == "end":
            for run in self.record.runs.get(event["id"], []):
                if run.target == target:
                    run.ended_at = min(run.ended_at, at)
