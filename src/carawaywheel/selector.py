"""Selector that asks the operating system less often.

curio registers a socket for each wait and unregisters it when its task waits for
something else, and it polls between any two rounds of tasks. On hosts where a system
call costs as much as the work between two of them, that is most of a node's time.
"""

import math
import select
import selectors
import time
from collections.abc import Mapping
from typing import Any

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
# Rounds of tasks between two polls while tasks are ready: bounds how long input waits.
MAX_SKIPPED_POLLS = 4
MAX_EVENTS = 256
# Timers that are due within this many seconds of each other fire together. Deadlines
# are told apart by tens of milliseconds.
TIMER_SLACK_SECONDS = 0.01


def epoll_mask(events: int) -> int:
    """Return the epoll events for those of the selector interface."""
    mask = select.EPOLLIN if events & READ else 0
    return mask | select.EPOLLOUT if events & WRITE else mask


def coalesced_timeout(timeout: float, now: float) -> float:
    """Return the time until timers that are due after ``timeout`` fire, in seconds."""
    due = math.ceil((now + timeout) / TIMER_SLACK_SECONDS) * TIMER_SLACK_SECONDS
    return due - now


class LazySelector(selectors.BaseSelector):
    """Selector on epoll that keeps the registration of sockets nobody waits for.

    Attributes:
        keys: Sockets that a task waits for, by file descriptor.
        kept: Sockets that nobody waits for but epoll still watches, by file
            descriptor. An event on one of them ends that.
        skipped: Polls that were left out since the last one.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.keys: dict[int, selectors.SelectorKey] = {}
        self.idle_keys: dict[int, selectors.SelectorKey] = {}
        self.skipped_polls = 0

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Wait for events on a file; see the base class."""
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, fd, events, data)
        kept = self.idle_keys.pop(fd, None)
        if kept is None or kept.fileobj is not fileobj:
            # A file that was closed meanwhile has left epoll by itself.
            self.epoll.register(fd, epoll_mask(events))
        elif kept.events != events:
            self.epoll.modify(fd, epoll_mask(events))
        self.keys[fd] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Stop waiting for a file, which epoll goes on watching."""
        key = self.get_key(fileobj)
        del self.keys[key.fd]
        if isinstance(fileobj, int):
            # The number may soon stand for another file.
            self.epoll.unregister(key.fd)
        else:
            self.idle_keys[key.fd] = key
        return key

    def modify(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Change what is waited for; see the base class."""
        key = self.get_key(fileobj)
        if key.events != events:
            self.epoll.modify(key.fd, epoll_mask(events))
        changed = self.keys[key.fd] = key._replace(events=events, data=data)
        return changed

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the key of a file that a task waits for.

        Raises:
            KeyError: If none does.
        """
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = self.keys.get(fd)
        if key is None:
            raise KeyError(fileobj)
        return key

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the files that tasks wait for, by file descriptor."""
        return self.keys

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files with events; see the base class."""
        if timeout == 0 and self.skipped_polls < MAX_SKIPPED_POLLS:
            self.skipped_polls += 1
            return []
        self.skipped_polls = 0
        if timeout:
            timeout = coalesced_timeout(timeout, time.monotonic())
        ready = []
        for fd, mask in self.epoll.poll(timeout, MAX_EVENTS):
            key = self.keys.get(fd)
            if key is None:
                self.unwatch(fd)
                continue
            events = 0
            if mask & ~select.EPOLLOUT:
                events |= READ
            if mask & ~select.EPOLLIN:
                events |= WRITE
            if events & key.events:
                ready.append((key, events & key.events))
        return ready

    def unwatch(self, fd: int) -> None:
        """Stop watching a file that nobody waits for."""
        self.idle_keys.pop(fd, None)
        try:
            self.epoll.unregister(fd)
        except OSError:
            # It was closed after the poll, which ended the watch as well.
            pass

    def close(self) -> None:
        """Close the epoll object."""
        self.epoll.close()
        self.keys.clear()
        self.idle_keys.clear()
