"""Selector for curio's event loop that makes fewer system calls.

curio registers a socket each time a task waits for it, unregisters it when the task
waits for something else, and polls between any two rounds of ready tasks. On hosts
where a system call takes as long as the work between two of them, these calls would
take most of a node's processor time.
"""

import math
import select
import selectors
import time
from collections.abc import Mapping
from typing import Any

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
# Polls skipped in a row while tasks are ready, which bounds the latency of input.
MAX_SKIPPED_POLLS = 4
MAX_EVENTS = 256
# Timers due within this time of each other fire together. Deadlines only need a
# resolution of tens of milliseconds.
TIMER_SLACK_SECONDS = 0.01


def epoll_mask(events: int) -> int:
    """Convert events of the selector interface to epoll events."""
    mask = select.EPOLLIN if events & READ else 0
    return mask | select.EPOLLOUT if events & WRITE else mask


def coalesced_timeout(timeout: float, now: float) -> float:
    """Extend a timeout to end at a multiple of the timer slack.

    Args:
        timeout: Time until a timer is due, in seconds.
        now: Time in seconds.
    """
    due = math.ceil((now + timeout) / TIMER_SLACK_SECONDS) * TIMER_SLACK_SECONDS
    return due - now


class LazySelector(selectors.BaseSelector):
    """epoll selector that unregisters a socket only at its next unwanted event.

    A socket that no task waits for stays registered with epoll, since a task usually
    waits for it again soon.

    Attributes:
        epoll: The epoll object.
        keys: Files that a task waits for, by file descriptor.
        idle_keys: Files that no task waits for but that are still registered with
            epoll, by file descriptor.
        skipped_polls: Polls skipped since the last one.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.keys: dict[int, selectors.SelectorKey] = {}
        self.idle_keys: dict[int, selectors.SelectorKey] = {}
        self.skipped_polls = 0

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Start to wait for events on a file; see the base class."""
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, fd, events, data)
        idle = self.idle_keys.pop(fd, None)
        if idle is None or idle.fileobj is not fileobj:
            # A closed file is removed from epoll by the kernel, so if the descriptor is
            # reused, the new file is not registered yet.
            self.epoll.register(fd, epoll_mask(events))
        elif idle.events != events:
            self.epoll.modify(fd, epoll_mask(events))
        self.keys[fd] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Stop waiting for a file, which stays registered with epoll."""
        key = self.get_key(fileobj)
        del self.keys[key.fd]
        if isinstance(fileobj, int):
            # A bare descriptor may be reused for another file unnoticed.
            self.epoll.unregister(key.fd)
        else:
            self.idle_keys[key.fd] = key
        return key

    def modify(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Change the events to wait for; see the base class."""
        key = self.get_key(fileobj)
        if key.events != events:
            self.epoll.modify(key.fd, epoll_mask(events))
        changed = self.keys[key.fd] = key._replace(events=events, data=data)
        return changed

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the key of a file that a task waits for.

        Raises:
            KeyError: If no task waits for it.
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
        """Return the files with events; see the base class.

        A poll that would not block is skipped up to ``MAX_SKIPPED_POLLS`` times in a
        row, with an empty result.
        """
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
                self.unregister_idle(fd)
                continue
            events = 0
            if mask & ~select.EPOLLOUT:
                events |= READ
            if mask & ~select.EPOLLIN:
                events |= WRITE
            if events & key.events:
                ready.append((key, events & key.events))
        return ready

    def unregister_idle(self, fd: int) -> None:
        """Unregister a file that no task waits for from epoll."""
        self.idle_keys.pop(fd, None)
        try:
            self.epoll.unregister(fd)
        except OSError:
            # The file was closed after the poll, which unregistered it already.
            pass

    def close(self) -> None:
        """Close the epoll object."""
        self.epoll.close()
        self.keys.clear()
        self.idle_keys.clear()
