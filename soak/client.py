"""Clients of the soak: they keep connections, send reads in advance and retry once."""

import json
import random
import time
from typing import Any, NamedTuple

import curio
import h11
from curio import socket

from standins.endpoint import RESPONSE_SIGNATURE
from standins.platform import HOST, KEY, HostAddresses

from .record import ANSWERED, CLOSED, GAVE_UP, NOT_SENT, Attempt, Record

READ_CHUNK_BYTES = 65536
# Users' clients wait five seconds at most, from the users' installations.
DEADLINE_SECONDS = 4.0
# A client that has waited so long after its deadline closes the connection.
PATIENCE_SECONDS = 1.0
CONNECT_SECONDS = 1.0
RECONNECT_PAUSE_SECONDS = 0.1
LONGEST_THINK_SECONDS = 0.25
PROBE_INTERVAL_SECONDS = 0.3
MOST_SENT_IN_ADVANCE = 4
UPLOAD_BYTES = 40000
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
# Share of the time left for which a client honours Retry-After.
RETRY_AFTER_SHARE = 1 / 3
PREFIX_KINDS = {
    "read": "idempotent",
    "order": "non_idempotent",
    "bundle": "upload",
}
# Above 256 KB, nodes stream an answer instead of holding it.
ANSWER_BYTES = (100, 100, 5000, 400000)
EXTRA_WORK_SECONDS = (0, 0, 0, 0, 0.1, 0.5, 1.5)


class Answer(NamedTuple):
    """What a client needs of an answer beyond its attempt.

    Attributes:
        retry_after: Seconds that the answer asks to wait.
        keeps_connection: Whether the connection can be used again.
    """

    retry_after: float
    keeps_connection: bool


class ClientConnection:
    """One kept connection of a client to a node.

    Attributes:
        sock: Its socket.
        lifetime: Number of the node's start that it leads to.
        unread: Bytes after the last answer.
    """

    def __init__(self, sock: Any, lifetime: int) -> None:
        self.sock = sock
        self.lifetime = lifetime
        self.unread = b""

    async def exchange(self, requests: list[tuple[Attempt, str]]) -> list[Answer]:
        """Send requests at once and read their answers in order.

        The outcomes are written to the attempts. The list ends after the last answer
        of the connection.

        Args:
            requests: Attempts with their keys.
        """
        protocols = [h11.Connection(h11.CLIENT) for _ in requests]
        data = b"".join(
            encode_request(protocol, attempt, key)
            for protocol, (attempt, key) in zip(protocols, requests, strict=True)
        )
        for attempt, _ in requests:
            attempt.sent_at = time.time()
        answers: list[Answer] = []
        try:
            await self.sock.sendall(data)
            for protocol, (attempt, _) in zip(protocols, requests, strict=True):
                answers.append(await self.receive(protocol, attempt))
                if not answers[-1].keeps_connection:
                    break
        except OSError:
            pass
        for attempt, _ in requests[len(answers) :]:
            attempt.outcome = CLOSED
            attempt.ended_at = time.time()
        return answers

    async def receive(self, protocol: Any, attempt: Attempt) -> Answer:
        """Read one answer.

        Raises:
            OSError: If the connection ends before the answer does.
        """
        if self.unread:
            protocol.receive_data(self.unread)
        head: Any = None
        body = bytearray()
        while True:
            try:
                event = protocol.next_event()
            except h11.RemoteProtocolError as error:
                attempt.fault = f"no answer in the protocol: {error}"
                raise ConnectionError(str(error)) from error
            if event is h11.NEED_DATA:
                data = await self.sock.recv(READ_CHUNK_BYTES)
                if not data:
                    attempt.status = head.status_code if head else 0
                    raise ConnectionError("closed by the node")
                protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
        self.unread = protocol.trailing_data[0]
        headers = {name.decode(): value.decode() for name, value in head.headers}
        attempt.outcome = ANSWERED
        attempt.ended_at = time.time()
        attempt.status = head.status_code
        attempt.fault = find_fault(attempt, headers, bytes(body))
        closes = headers.get("connection", "").lower() == "close"
        return Answer(float(headers.get("retry-after", "0")), not closes)


def encode_request(protocol: Any, attempt: Attempt, key: str) -> bytes:
    """Return the bytes of a request."""
    body = b"u" * (UPLOAD_BYTES if attempt.kind == "upload" else 0)
    headers = [
        ("host", HOST),
        ("x-attempt-id", attempt.id),
        ("x-deadline-ms", str(int(DEADLINE_SECONDS * 1000))),
        ("authorization", f"Token {key}"),
        ("content-length", str(len(body))),
    ]
    method = "GET" if attempt.kind == "idempotent" else "POST"
    head = h11.Request(method=method, target=attempt.path, headers=headers)
    data: bytes = protocol.send(head) + protocol.send(h11.Data(body))
    return data + (protocol.send(h11.EndOfMessage()) or b"")


def find_fault(attempt: Attempt, headers: dict[str, str], body: bytes) -> str:
    """Return why an answer is not the whole answer to its request, or nothing."""
    if headers.get("x-attempt-id", attempt.id) != attempt.id:
        return f"answer to the attempt {headers['x-attempt-id']}"
    if not 200 <= attempt.status < 300:
        return ""
    if headers.get("x-response-signature") != RESPONSE_SIGNATURE:
        return "success without the signature of its target"
    path, _, query = attempt.path.partition("?")
    try:
        document = json.loads(body)
    except ValueError:
        return f"success with a body that is not whole: {body[:60]!r}"
    if document["path"] != path:
        return f"body of another request: {document['path']}"
    sizes = [part[6:] for part in query.split("&") if part.startswith("bytes=")]
    if sizes and len(body) < int(sizes[0]):
        return f"success with {len(body)} of {sizes[0]} bytes"
    return ""


class Client:
    """A client of one node that sends until it is cancelled.

    Attributes:
        host: Name of the node's host.
        reads_in_advance: Whether it sends reads before earlier ones are answered.
    """

    def __init__(
        self,
        record: Record,
        host: str,
        addresses: HostAddresses,
        choices: random.Random,
        reads_in_advance: bool = False,
    ) -> None:
        self.record = record
        self.host = host
        self.address = addresses.ip, addresses.port_base
        self.choices = choices
        self.reads_in_advance = reads_in_advance
        self.connection: ClientConnection | None = None

    async def run(self) -> None:
        """Send requests with pauses and retry each failure once."""
        while True:
            requests = self.draw_requests()
            answers = await self.send(requests)
            for i, (attempt, key) in enumerate(requests):
                answer = answers[i] if i < len(answers) else None
                if self.may_retry(attempt):
                    await self.retry(attempt, key, answer)
            await curio.sleep(self.choices.uniform(0, LONGEST_THINK_SECONDS))

    def draw_requests(self) -> list[tuple[Attempt, str]]:
        """Return the next requests to be sent together."""
        if self.reads_in_advance:
            count = self.choices.randint(1, MOST_SENT_IN_ADVANCE)
            return [(self.new_attempt("read"), KEY) for _ in range(count)]
        prefix = self.choices.choice(list(PREFIX_KINDS))
        return [(self.new_attempt(prefix), KEY)]

    def new_attempt(self, prefix: str, query: str = "") -> Attempt:
        """Return an attempt with a new id, which its path ends with."""
        attempt_id = f"{self.choices.getrandbits(64):016x}"
        size = self.choices.choice(ANSWER_BYTES)
        work = self.choices.choice(EXTRA_WORK_SECONDS)
        path = f"/{prefix}/{attempt_id}?{query or f'bytes={size}&work={work}'}"
        kind = PREFIX_KINDS.get(prefix, "idempotent")
        attempt = Attempt(attempt_id, self.host, kind, path)
        self.record.attempts[attempt_id] = attempt
        return attempt

    async def send(self, requests: list[tuple[Attempt, str]]) -> list[Answer]:
        """Send requests on the kept connection, or on a new one if there is none."""
        if self.connection is None and not await self.connect():
            for attempt, _ in requests:
                del self.record.attempts[attempt.id]
            await curio.sleep(RECONNECT_PAUSE_SECONDS)
            return []
        connection = self.connection
        assert connection is not None
        for attempt, _ in requests:
            attempt.lifetime = connection.lifetime
        try:
            async with curio.timeout_after(DEADLINE_SECONDS + PATIENCE_SECONDS):
                answers = await connection.exchange(requests)
        except curio.TaskTimeout:
            await self.close()
            for attempt, _ in requests:
                if attempt.outcome != ANSWERED:
                    attempt.outcome = GAVE_UP
                    attempt.ended_at = time.time()
            return []
        if len(answers) < len(requests) or not answers[-1].keeps_connection:
            await self.close()
        elif connection.unread:
            requests[-1][
                0
            ].fault = f"bytes after the answer: {connection.unread[:60]!r}"
            await self.close()
        return answers

    async def connect(self) -> bool:
        """Open the connection; return whether it is open."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            async with curio.timeout_after(CONNECT_SECONDS):
                await sock.connect(self.address)
        except (OSError, curio.TaskTimeout):
            await sock.close()
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lifetime = self.record.current_lifetime(self.host)
        self.connection = ClientConnection(sock, lifetime)
        return True

    async def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            await self.connection.sock.close()
            self.connection = None

    def may_retry(self, attempt: Attempt) -> bool:
        """Return whether users' clients send a failed attempt again."""
        if attempt.outcome == NOT_SENT:
            return False
        if 200 <= attempt.status < 300 and attempt.outcome == ANSWERED:
            return False
        if attempt.status in FINAL_STATUSES:
            return False
        return attempt.kind == "idempotent" or attempt.status in PROMISE_STATUSES

    async def retry(self, failed: Attempt, key: str, answer: Answer | None) -> None:
        """Wait as the answer asks and send the request again on a new connection."""
        time_left = DEADLINE_SECONDS - min(
            DEADLINE_SECONDS, failed.ended_at - failed.sent_at
        )
        if answer is not None:
            await curio.sleep(min(answer.retry_after, time_left * RETRY_AFTER_SHARE))
        await self.close()
        prefix = failed.path.split("/")[1]
        query = failed.path.partition("?")[2]
        await self.send([(self.new_attempt(prefix, query), key)])


class Prober(Client):
    """A client that finds out which configuration is in force at a node."""

    async def run(self) -> None:
        """Ask for the newest and the former version's route and key in turn."""
        while True:
            for publication in self.record.publications[-2:]:
                for is_key in (False, True):
                    version = publication.version
                    attempt = self.new_attempt("read" if is_key else f"v{version}")
                    attempt.path = attempt.path.partition("?")[0]
                    attempt.version = version
                    attempt.withdrawn_key = is_key
                    await self.send(
                        [(attempt, version_key(version) if is_key else KEY)]
                    )
            await curio.sleep(PROBE_INTERVAL_SECONDS)


def version_key(version: int) -> str:
    """Return the key that only one version of the configuration holds."""
    return f"key-of-r{version}"
