"""Reading of one table of the platform's store, for as long as a node is a reader."""

import math
import random
from collections.abc import Awaitable, Callable

import curio

from ...clock import Clock
from ...errors import LogError
from ..journal import Journal
from .store import START, Position, Store, TablePage

# Time beyond the wait of a long poll after which its response is overdue.
OVERDUE_SECONDS = 0.5
# Pause after reading a whole table, in which a node finds out whether it needs to read
# on.
SETTLE_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


class TableFollower:
    """Reads a table of the store and follows its changes while it is active.

    Attributes:
        table: Name of the table.
        apply: Awaited with the items of each response and the position after them.
        position: Position of the next change.
        is_stale: Whether changes before it may be unknown, so that the whole table must
            be read.
        wait: Seconds that a request waits for changes. A connection on which the store
            lost a response shows only at the end of that time.
        pause: Seconds between a response with changes and the next request, so that
            changes in quick succession share a request.
        active: Whether the table is followed.
        asked_at: Time of the request in flight in seconds; None between requests.
        confirmed_at: Time in seconds at which all changes in the store were known;
            minus infinity before the first response.
        is_following: Whether the last request asked for changes.
        is_prompt: Whether the first one after a pause does not wait, so that it
            confirms at once what is known.
        failing: Whether the last request failed.
        on_availability_changed: Awaited when this has changed.
    """

    def __init__(
        self,
        table: str,
        store: Store,
        apply: Callable[[TablePage, Position], Awaitable[None]],
        wait: float,
        pause: float,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.store = store
        self.apply = apply
        self.wait = wait
        self.pause = pause
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.position = START
        self.is_stale = True
        self.active = False
        self.activated = curio.Event()
        self.asked_at: float | None = None
        self.confirmed_at = -math.inf
        self.is_following = False
        self.is_prompt = False
        self.failing = False
        self.on_availability_changed: Callable[[], Awaitable[None]] | None = None

    def is_in_touch(self, now: float) -> bool:
        """Return whether the store responds, or may still do so in time."""
        asked_at = self.asked_at
        overdue = asked_at is not None and now - asked_at > self.wait + OVERDUE_SECONDS
        return self.active and not self.failing and not overdue

    async def set_active(self, active: bool) -> None:
        """Start or stop to follow the table; a request in flight is completed."""
        if active == self.active:
            return
        self.active = active
        if active:
            self.failing = False
            self.is_following = False
            await self.activated.set()
        else:
            self.activated.clear()

    async def run(self) -> None:
        """Follow the table whenever the follower is active, until cancelled."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            await self.activated.wait()
            try:
                pause = await self.poll()
            except LogError as error:
                await self.record_availability(error)
                await curio.sleep(backoff * self.rng.uniform(0.5, 1.0))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            backoff = MIN_BACKOFF_SECONDS
            await self.record_availability(None)
            await curio.sleep(pause)

    async def poll(self) -> float:
        """Read the whole table, or wait for its next changes.

        Returns:
            Seconds to pause before the next request.

        Raises:
            LogError: If the store failed or timed out.
        """
        if self.is_stale:
            await self.read_all()
            return SETTLE_SECONDS
        asked = self.position
        asked_at = self.asked_at = self.clock.now()
        wait = self.next_wait()
        try:
            page = await self.store.poll_changes(self.table, asked.offset, wait)
        finally:
            self.asked_at = None
        if page is None or page.era > asked.era:
            self.is_stale = self.position == asked
            return 0.0
        self.is_following = not page.items
        # Changes are returned at once, so their response may be any time on its way.
        waited = 0.0 if page.items else wait
        # A process that stood still reads the response late.
        await self.accept(page, min(asked_at + waited, self.clock.now()))
        return self.pause if page.items else 0.0

    def next_wait(self) -> float:
        """Return how many seconds the next request for changes waits for them."""
        if self.is_prompt and not self.is_following:
            return 0.0
        # A store that has been away shows at once that it is back, and its era.
        return 0.0 if self.failing else self.wait

    async def read_all(self) -> None:
        """Read and apply the newest value of each key.

        Raises:
            LogError: If the store failed or timed out.
        """
        asked_at = self.asked_at = self.clock.now()
        try:
            page = await self.store.read_all(self.table)
        finally:
            self.asked_at = None
        self.is_stale = False
        self.is_following = False
        await self.accept(page._replace(is_whole=True), asked_at)

    async def accept(self, page: TablePage, confirmed_at: float) -> None:
        """Apply a page; the next request asks for the changes after it.

        Args:
            page: The page.
            confirmed_at: Time in seconds at which it held all changes.
        """
        former = self.position
        position = Position(page.era or former.era, page.offset)
        self.position = max(position, former)
        if position.era > former.era > START.era:
            self.journal.write(
                "store_restored", table=self.table, former=former, position=position
            )
        self.confirmed_at = max(confirmed_at, self.confirmed_at)
        await self.apply(page, position)

    def skip_to(self, position: Position) -> None:
        """Continue from a position if all changes before it are known."""
        if position > self.position:
            self.position = position
            self.is_stale = False

    async def record_availability(self, error: LogError | None) -> None:
        """Log when the store becomes unavailable or available again."""
        if (error is not None) == self.failing:
            return
        self.failing = error is not None
        event = "store_lost" if error else "store_regained"
        self.journal.write(event, table=self.table, error=str(error or ""))
        if self.on_availability_changed is not None:
            await self.on_availability_changed()
