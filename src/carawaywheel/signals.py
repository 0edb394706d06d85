"""Waiting for operating system signals on curio's event loop."""

import signal

from curio import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class SignalWaiter:
    """Wakes a task when a signal asks the process to stop or to reload its settings.

    The interpreter writes the number of an arriving signal to a socket
    (``signal.set_wakeup_fd``). The handlers do nothing, so they cannot disturb the
    event loop.

    Attributes:
        stop_requested: Whether a signal to stop was read.
    """

    def __init__(self) -> None:
        """Install the signal handlers; must be called in the main thread.

        A reload that was requested while the signal was blocked comes now.
        """
        self.stop_requested = False
        self.reader, self.writer = socket.socketpair()
        self.writer.setblocking(False)
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {RELOAD_SIGNAL})

    async def wait(self) -> bool:
        """Wait for a signal; return True to reload the settings, False to stop."""
        number = await self.reader.recv(1)
        reload = number == bytes([RELOAD_SIGNAL])
        self.stop_requested = self.stop_requested or not reload
        return reload
