"""Detection of crashes of the local target, with the requests in flight at them."""

import itertools
from typing import NamedTuple

import curio

from ..errors import PeerError
from ..http import Request
from ..pool import ConnectionPool
from ..refusals import Refusal
from .crashreports import CrashReporter
from .messages import Call
from .quarantine import request_fingerprint
from .target import Heartbeat, LocalTarget, Phase

# Delays before the checks whether a target accepts connections. The first one may reach
# the listener of a process that is just ending.
CHECK_DELAYS_SECONDS = (0.0, 0.1)
# Time after a failed connection in which another incarnation shows that the former one
# has ended then.
DOUBT_SECONDS = 5.0


class RunningRequest(NamedTuple):
    """A request that the target may run.

    Attributes:
        call: Metadata of the call.
        request: Method and path.
        body: Complete body.
        target: Name of the incarnation that it was sent to.
    """

    call: Call
    request: Request
    body: bytes
    target: str

    def fingerprint(self) -> bytes:
        """Return what the request has in common with its repetitions."""
        return call_fingerprint(self.call, self.request, self.body)


class Doubts(NamedTuple):
    """Requests in flight at a failed connection, whose target may have ended.

    Attributes:
        name: Name of the incarnation.
        suspects: Fingerprints of the requests.
        noted_at: Time of the failure, in seconds.
    """

    name: str
    suspects: list[bytes]
    noted_at: float


class CrashDetector:
    """Notes which requests the target may run, and blames them when it ends.

    A connection may fail while the target lives. It has ended if it accepts no new one,
    or if another incarnation takes its place.

    Attributes:
        running: Requests without a response, by number.
        checked: Incarnation that is being checked, or that has ended.
        doubts: Requests in flight when a connection failed last; None before that.
        current: Newest incarnation; empty before the first one.
        current_phase: Its phase.
    """

    def __init__(
        self, target: LocalTarget, pool: ConnectionPool, reporter: CrashReporter
    ) -> None:
        self.target = target
        self.pool = pool
        self.reporter = reporter
        self.numbers = itertools.count()
        self.running: dict[int, RunningRequest] = {}
        self.checked = ""
        self.doubts: Doubts | None = None
        self.current = ""
        self.current_phase: Phase | None = None

    def begin(
        self, call: Call, request: Request, body: bytes, heartbeat: Heartbeat
    ) -> int:
        """Note that a request is about to be sent; return its number."""
        number = next(self.numbers)
        name = incarnation_name(heartbeat)
        self.running[number] = RunningRequest(call, request, body, name)
        return number

    def check_quarantine(
        self, call: Call, request: Request, body: bytes, now: float
    ) -> Refusal | None:
        """Refuse a call whose request is quarantined."""
        quarantine = self.reporter.quarantine
        if not quarantine.suspects:
            return None
        return quarantine.check(call_fingerprint(call, request, body), now)

    async def end(self, number: int, responded: bool) -> None:
        """Note the end of a request.

        Args:
            number: Number of the request.
            responded: Whether the target has run it and responded.
        """
        running = self.running.pop(number, None)
        if running is not None and responded and self.reporter.quarantine.suspects:
            await self.reporter.exonerate(running.fingerprint())

    async def check(self, heartbeat: Heartbeat) -> None:
        """Check in the background whether an incarnation has ended.

        Args:
            heartbeat: Newest heartbeat of the incarnation to which a connection failed.
        """
        name = incarnation_name(heartbeat)
        if name == self.checked or self.target.phase is not Phase.READY:
            return
        self.checked = name
        await curio.spawn(
            self.confirm, name, heartbeat.address, self.suspects(name), daemon=True
        )

    async def confirm(self, name: str, address: str, suspects: list[bytes]) -> None:
        """Blame the suspects if the target accepts no connection."""
        self.doubts = Doubts(name, suspects, self.reporter.clock.now())
        for delay in CHECK_DELAYS_SECONDS:
            await curio.sleep(delay)
            if not await self.accepts_connection(address):
                self.doubts = None
                if self.target.phase is Phase.READY:
                    await self.reporter.report_crash(name, suspects)
                return
        if self.checked == name:
            self.checked = ""

    async def accepts_connection(self, address: str) -> bool:
        """Return whether the target keeps a connection open or accepts a new one."""
        try:
            connection = await self.pool.acquire(address)
        except PeerError:
            return False
        await self.pool.release(connection)
        return True

    async def observe(self, heartbeat: Heartbeat) -> None:
        """Blame the requests of an incarnation in whose place another one has come.

        Args:
            heartbeat: Newest heartbeat of the target.
        """
        former, former_phase = self.current, self.current_phase
        self.current, self.current_phase = incarnation_name(heartbeat), heartbeat.phase
        if former == self.current or former_phase is not Phase.READY:
            return
        doubts, self.doubts = self.doubts, None
        if doubts is None and former == self.checked:
            # It has been reported.
            return
        suspects = self.suspects(former)
        if doubts is not None and doubts.name == former:
            if self.reporter.clock.now() - doubts.noted_at <= DOUBT_SECONDS:
                suspects += doubts.suspects
        if suspects:
            await self.reporter.report_crash(former, suspects)

    def suspects(self, name: str) -> list[bytes]:
        """Return the fingerprints of the requests in flight at an incarnation."""
        fingerprints = [
            running.fingerprint()
            for running in self.running.values()
            if running.target == name
        ]
        return list(dict.fromkeys(fingerprints))


def incarnation_name(heartbeat: Heartbeat) -> str:
    """Return the name of an incarnation, the same at all nodes."""
    return f"{heartbeat.target_id}/{heartbeat.incarnation}"


def call_fingerprint(call: Call, request: Request, body: bytes) -> bytes:
    """Return the fingerprint of the request that a call carries."""
    return request_fingerprint(call.route, call.account, request, body)
