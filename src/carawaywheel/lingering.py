"""Lingering close: how long a connection is read on after its last response.

Closing a connection with unread bytes resets it, and what the client has not yet
received is lost. A connection whose output has ended is therefore read on, and what
arrives is discarded, until the client closes it or has had enough time.
"""

# Time for a client that has received everything to close the connection: some round
# trips, or the rest of a body that it sends before it reads.
LINGER_SECONDS = 1.0
# The same for an idle connection, on which no response is outstanding.
IDLE_LINGER_SECONDS = 0.2
# A client that receives nothing for this long is given up.
STALL_SECONDS = 10.0
# Any client is given up after this time.
MAX_LINGER_SECONDS = 30.0


class Linger:
    """Decides when a connection whose output has ended is given up.

    Attributes:
        linger_seconds: Time for which the client must neither send nor receive.
        started_at: Time at which the output ended, in seconds.
        active_at: Time at which the client last sent or received bytes.
        unacknowledged: Bytes that it had not acknowledged then.
    """

    def __init__(self, now: float, linger_seconds: float = LINGER_SECONDS) -> None:
        self.linger_seconds = linger_seconds
        self.started_at = self.active_at = now
        self.unacknowledged = 0

    def is_over(self, now: float, received: bool, unacknowledged: int) -> bool:
        """Return whether to close the connection.

        Args:
            now: Time in seconds.
            received: Whether the client has sent bytes since the last call.
            unacknowledged: Bytes sent to the client that it has not acknowledged.
        """
        if received or unacknowledged != self.unacknowledged:
            self.active_at = now
        self.unacknowledged = unacknowledged
        if now - self.started_at >= MAX_LINGER_SECONDS:
            return True
        patience = STALL_SECONDS if unacknowledged else self.linger_seconds
        return now - self.active_at >= patience
