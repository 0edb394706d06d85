"""Plays one seed: starts an installation, plays its schedule, judges it."""

import json
import random
import shutil
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import curio
import typer

from .client import Client, Prober
from .disturbance import DISTURBANCES
from .installation import Installation
from .judge import SETTLE_SECONDS, Judge
from .record import ANSWERED, Record
from .schedule import Action, draw_schedule
from .timeline import format_violation

START_SECONDS = 30.0
SHOWN_VIOLATIONS = 2
PLAIN_CLIENTS = 3


class SoakSettings(NamedTuple):
    """Settings of one soak.

    Attributes:
        seed: Seed of all choices.
        seconds: Length of the schedule.
        hosts: Number of hosts.
        directory: Where logs are kept; it is emptied first.
    """

    seed: int
    seconds: float
    hosts: int
    directory: Path


class Soak:
    """One seed with its installation, clients and judge."""

    def __init__(self, settings: SoakSettings) -> None:
        self.settings = settings
        shutil.rmtree(settings.directory, ignore_errors=True)
        settings.directory.mkdir(parents=True)
        names = [f"h{index}" for index in range(1, settings.hosts + 1)]
        self.record = Record()
        self.installation = Installation(self.record, settings.directory, names)
        self.judge = Judge(self.record, settings.directory, names)
        self.started_at = 0.0

    async def run(self) -> bool:
        """Play the seed and print the verdict; return whether all promises held.

        Raises:
            RuntimeError: If the installation does not serve at its start.
        """
        settings = self.settings
        schedule = draw_schedule(
            settings.seed, settings.seconds, self.installation.names
        )
        self.show_schedule(schedule)
        try:
            await self.play(schedule)
        finally:
            self.installation.end()
        self.judge.finish()
        self.write_attempts()
        return self.report()

    def show_schedule(self, schedule: list[Action]) -> None:
        """Print the schedule and keep it beside the logs."""
        settings = self.settings
        lines = [
            f"seed {settings.seed}, {settings.seconds:g} s, {settings.hosts} hosts",
            *map(str, schedule),
        ]
        text = "\n".join(lines)
        (settings.directory / "schedule.txt").write_text(f"{text}\n")
        typer.echo(text)

    async def play(self, schedule: list[Action]) -> None:
        """Run installation, clients and schedule to their end."""
        await self.installation.start()
        tasks = [await curio.spawn(self.installation.watch)]
        clients = [await curio.spawn(client.run) for client in self.make_clients()]
        await self.wait_until_served()
        self.started_at = time.time()
        tasks.append(await curio.spawn(self.judge.run))
        actions = [await curio.spawn(self.play_action, action) for action in schedule]
        await curio.sleep(self.settings.seconds)
        for action in actions:
            await action.join()
        for client in clients:
            await client.cancel()
        await curio.sleep(SETTLE_SECONDS)
        for task in tasks:
            await task.cancel()

    def make_clients(self) -> list[Client]:
        """Return the clients of all hosts, each with choices of its own."""
        clients: list[Client] = []
        for name, addresses in self.installation.addresses.items():
            kinds = [Client] * PLAIN_CLIENTS
            for number, kind in enumerate([*kinds, Client, Prober]):
                choices = random.Random(f"{self.settings.seed} {name} {number}")
                in_advance = kind is Client and number == PLAIN_CLIENTS
                clients.append(kind(self.record, name, addresses, choices, in_advance))
        return clients

    async def wait_until_served(self) -> None:
        """Wait until each host has served a read and an order.

        Raises:
            RuntimeError: If that takes too long.
        """
        owed = {
            (name, kind)
            for name in self.installation.names
            for kind in ("idempotent", "non_idempotent")
        }
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            served = {
                (attempt.host, attempt.kind)
                for attempt in self.record.attempts.values()
                if attempt.status == 200
            }
            if owed <= served:
                return
            await curio.sleep(0.1)
        raise RuntimeError(f"not served within {START_SECONDS} s: {owed - served}")

    async def play_action(self, action: Action) -> None:
        """Play one entry of the schedule when its time comes."""
        await curio.sleep(self.started_at + action.at - time.time())
        self.installation.note(f"schedule: {action}")
        await DISTURBANCES[action.kind](self.installation).play(action)

    def write_attempts(self) -> None:
        """Write all attempts to a file beside the logs."""
        with (self.settings.directory / "attempts.jsonl").open("w") as file:
            for attempt in self.record.attempts.values():
                file.write(json.dumps(vars(attempt)) + "\n")

    def report(self) -> bool:
        """Print counts and violations; return whether there are none."""
        statuses = Counter(
            str(attempt.status) if attempt.outcome == ANSWERED else attempt.outcome
            for attempt in self.record.attempts.values()
        )
        violations = self.judge.violations
        lines = [f"attempts: {dict(statuses.most_common())}"]
        shown = list(lines)
        promises: Counter[str] = Counter()
        for violation in violations:
            promises[violation.promise] += 1
            text = format_violation(
                violation, self.record, self.settings.directory, self.started_at
            )
            lines.append(text)
            if promises[violation.promise] <= SHOWN_VIOLATIONS:
                shown.append(text)
        judged = {promise.name: promise.judged for promise in self.judge.promises}
        shown.append(f"judged: {judged}")
        verdict = f"FAILED {dict(promises)}" if violations else "passed"
        lines.append(f"seed {self.settings.seed}: {verdict}")
        (self.settings.directory / "report.txt").write_text("\n\n".join(lines) + "\n")
        typer.echo("\n\n".join([*shown, lines[-1]]))
        return not violations
