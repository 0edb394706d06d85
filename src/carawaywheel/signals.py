"""Waiting for a signal of the operating system on curio's loop."""

import signal

from curio import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class SignalWaiter:
    """Wakes a task when the process is asked to stop.

    The interpreter writes a byte to a socket when a signal arrives, so the handler
    itself does nothing that could interrupt the loop.
    """

    def __init__(self) -> None:
        """Install the handlers; must run in the main thread."""
        self.reader, self.writer = socket.socketpair()
        self.writer.setblocking(False)
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)

    async def wait(self) -> bool:
        """Wait for a signal; return whether it only asks to reload the settings."""
        number = await self.reader.recv(1)
        return number == bytes([RELOAD_SIGNAL])
