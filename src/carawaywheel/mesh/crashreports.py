"""Reports between nodes of the requests under which targets ended.

The node beside a target tells all others when the target ends. It repeats that for lost
datagrams, and for as long as a request is quarantined for nodes that start meanwhile.
"""

from collections.abc import Iterable

import msgspec

from ..clock import Clock
from ..datagrams import Address, DatagramHandler, DatagramSocket
from ..ticks import sleep_until_tick
from .journal import Journal
from .quarantine import MAX_CRASHES, Quarantine
from .replication.directory import Directory

DATAGRAM_KIND = b"c"
# Ages at which a report is sent again in full.
REPEAT_AGES_SECONDS = (0.2, 0.8)
# Interval at which the quarantined requests of a report are repeated, for nodes that
# have started meanwhile.
REMINDER_SECONDS = 2.0
POLL_SECONDS = 0.2
# Reports are forgotten at this age unless a request in them is quarantined.
REPORT_SECONDS = 60.0
MAX_REPORTS = 64
# Keeps a datagram below the largest size that is received.
MAX_FINGERPRINTS = 400


class CrashMessage(msgspec.Struct, array_like=True, omit_defaults=True):
    """What one node tells the others.

    Attributes:
        crashes: Requests that were in flight at crashes, by name of the crash.
        exonerated: Requests that got a response after crashes, by name of the crash.
    """

    crashes: dict[str, list[bytes]] = {}
    exonerated: dict[str, list[bytes]] = {}


decoder = msgspec.msgpack.Decoder(CrashMessage)


class SentReport:
    """A message that is repeated.

    Attributes:
        message: The message.
        sent_at: Time at which it was sent first, in seconds.
        repeats: How often it was sent again in full.
        reminded_at: Time at which its quarantined requests were repeated last.
    """

    def __init__(self, message: CrashMessage, sent_at: float) -> None:
        self.message = message
        self.sent_at = sent_at
        self.repeats = 0
        self.reminded_at = sent_at


class CrashReporter(DatagramHandler):
    """Tells the other nodes of crashes, and keeps what they tell.

    Attributes:
        reports: Own reports that are still repeated, oldest first.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        sock: DatagramSocket,
        directory: Directory,
        own_address: str,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.quarantine = quarantine
        self.sock = sock
        self.directory = directory
        self.own_address = own_address
        self.journal = journal
        self.clock = clock
        self.port = sock.address.rpartition(":")[2]
        self.reports: list[SentReport] = []
        sock.handlers[DATAGRAM_KIND] = self

    async def report_crash(self, crash: str, fingerprints: list[bytes]) -> None:
        """Blame the requests that were in flight at a crash, and tell all nodes."""
        self.journal.write("target_crashed", target=crash, in_flight=len(fingerprints))
        await self.start_report(
            CrashMessage(crashes={crash: fingerprints[-MAX_FINGERPRINTS:]})
        )

    async def exonerate(self, fingerprint: bytes) -> None:
        """Clear a request that got a response, and tell all nodes.

        One that was in flight at few crashes is not worth telling.
        """
        crashes = self.quarantine.blamed_crashes(fingerprint)
        if len(crashes) >= MAX_CRASHES - 1:
            self.journal.count("suspect_cleared")
            await self.start_report(
                CrashMessage(exonerated={crash: [fingerprint] for crash in crashes})
            )

    async def start_report(self, message: CrashMessage) -> None:
        """Apply a message here, send it and note it for repetition."""
        self.apply(message, self.own_address)
        if len(self.reports) >= MAX_REPORTS:
            self.reports.remove(self.least_needed())
        self.reports.append(SentReport(message, self.clock.now()))
        await self.broadcast(message)

    def least_needed(self) -> SentReport:
        """Return the oldest report of no crash, or the oldest one if there is none."""
        clearances = (one for one in self.reports if not one.message.crashes)
        return next(clearances, self.reports[0])

    async def broadcast(self, message: CrashMessage) -> None:
        """Send a message to all other nodes."""
        data = msgspec.msgpack.encode(message)
        for address in list(self.directory.hosts):
            if address != self.own_address:
                host = address.rpartition(":")[0]
                await self.sock.send(DATAGRAM_KIND, data, f"{host}:{self.port}")

    async def receive(self, data: bytes, sender: Address) -> None:
        """Handle a datagram; see the base class."""
        try:
            message = decoder.decode(data)
        except msgspec.DecodeError as error:
            self.journal.write("crash_report_invalid", host=sender[0], error=str(error))
            return
        self.apply(message, sender[0])

    def apply(self, message: CrashMessage, origin: str) -> None:
        """Apply a message, and log each request that is quarantined by it."""
        now = self.clock.now()
        for crash, fingerprints in message.exonerated.items():
            for fingerprint in fingerprints:
                self.quarantine.exonerate(fingerprint, [crash], now)
        for crash, fingerprints in message.crashes.items():
            for fingerprint in self.quarantine.record_crash(crash, fingerprints, now):
                self.journal.write(
                    "quarantined",
                    fingerprint=fingerprint.hex(),
                    crashes=self.quarantine.blamed_crashes(fingerprint),
                    seconds=round(self.quarantine.remaining(fingerprint, now), 1),
                    origin=origin,
                )

    def quarantined(self, fingerprints: Iterable[bytes], now: float) -> list[bytes]:
        """Return those of the requests that are quarantined."""
        return [one for one in fingerprints if self.quarantine.remaining(one, now) > 0]

    def reminders(self, report: SentReport, now: float) -> list[CrashMessage]:
        """Return all that is known of the quarantined requests of a report."""
        crashes: dict[str, list[bytes]] = {}
        for fingerprints in report.message.crashes.values():
            for fingerprint in self.quarantined(fingerprints, now):
                for crash in self.quarantine.blamed_crashes(fingerprint):
                    crashes.setdefault(crash, []).append(fingerprint)
        return [CrashMessage(crashes={crash: crashes[crash]}) for crash in crashes]

    async def repeat(self, report: SentReport, now: float) -> None:
        """Send a report again if that is due."""
        age = now - report.sent_at
        if report.repeats < len(REPEAT_AGES_SECONDS):
            if age >= REPEAT_AGES_SECONDS[report.repeats]:
                report.repeats += 1
                await self.broadcast(report.message)
        elif now - report.reminded_at >= REMINDER_SECONDS:
            report.reminded_at = now
            for message in self.reminders(report, now):
                await self.broadcast(message)

    async def run(self) -> None:
        """Repeat reports until cancelled."""
        while True:
            await sleep_until_tick(POLL_SECONDS)
            now = self.clock.now()
            for report in list(self.reports):
                await self.repeat(report, now)
            self.reports = [
                report
                for report in self.reports
                if now - report.sent_at < REPORT_SECONDS or self.reminders(report, now)
            ]
            self.quarantine.forget_old(now)
