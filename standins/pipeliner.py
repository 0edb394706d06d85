"""Client that sends requests before it has the responses, and reads slowly."""

import socket
import time
from typing import Any, NamedTuple

# Two segments, so that most of a response waits at the sender.
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 2048


class PipelinedResponse(NamedTuple):
    """A response as the client received it.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        size: Bytes of the body that arrived.
        complete: Whether the body arrived up to its announced end.
    """

    status: int
    headers: dict[str, str]
    size: int
    complete: bool

    @property
    def closes(self) -> bool:
        """Whether the response announces that the connection closes."""
        return self.headers.get("connection") == "close"


class PipeliningClient:
    """One connection with a small receive buffer; use it as a context manager.

    Attributes:
        pause: Seconds to wait before each read from the socket.
    """

    def __init__(self, address: str, pause: float = 0.0, timeout: float = 15.0) -> None:
        host, _, port = address.rpartition(":")
        self.pause = pause
        self.sock = socket.socket()
        # The window follows from the buffer that is set before the connection opens.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.settimeout(timeout)
        self.sock.connect((host, int(port)))
        self.received = b""

    def __enter__(self) -> "PipeliningClient":
        return self

    def __exit__(self, *exception: Any) -> None:
        self.sock.close()

    def send(self, *requests: bytes) -> None:
        """Send requests without waiting for their responses."""
        self.sock.sendall(b"".join(requests))

    def receive(self) -> bool:
        """Receive some bytes; return False at the end of the connection or a reset."""
        time.sleep(self.pause)
        try:
            data = self.sock.recv(READ_BYTES)
        except ConnectionError:
            return False
        self.received += data
        return bool(data)

    def read_response(self) -> PipelinedResponse | None:
        """Read the next response; None if the connection ends before its head.

        Responses must announce their length.
        """
        while b"\r\n\r\n" not in self.received:
            if not self.receive():
                return None
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        length = int(headers["content-length"])
        while len(self.received) < length and self.receive():
            pass
        size = min(length, len(self.received))
        self.received = self.received[length:]
        status = int(status_line.split()[1])
        return PipelinedResponse(status, headers, size, size == length)

    def read_responses(self) -> list[PipelinedResponse]:
        """Read responses up to one that closes the connection, or to its end."""
        responses = []
        while (response := self.read_response()) is not None:
            responses.append(response)
            if response.closes or not response.complete:
                break
        return responses

    def is_at_end(self) -> bool:
        """Return whether the connection has ended in order, with no bytes left."""
        try:
            return not self.received and not self.sock.recv(READ_BYTES)
        except ConnectionError:
            return False
