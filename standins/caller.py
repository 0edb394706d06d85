"""HTTP client and load generator that stands in for the callers of a mesh."""

import argparse
import json
import os
import random
import secrets
import time
from collections import Counter
from typing import Any, NamedTuple

import curio
import h11
from curio import socket

READ_CHUNK_BYTES = 65536
NO_RESPONSE = 0
MAX_OUTSTANDING_REQUESTS = 2000
RETRYABLE_STATUSES = frozenset({429, 502, 503})


class ClientResponse(NamedTuple):
    """An HTTP response as the client received it.

    Attributes:
        status: HTTP status; 0 if no response head arrived.
        headers: Headers by lower-case name; the last value of a repeated name wins.
        body: The part of the body that arrived.
        complete: Whether the response arrived up to its announced end.
        seconds: Time until the exchange ended, without that to copy a large body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    seconds: float = 0.0

    def refusal_reason(self) -> str:
        """Return the reason of a refusal by a node, or an empty string."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return ""
        return str(document.get("reason", "")) if isinstance(document, dict) else ""


async def request(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
    timeout: float | None = None,
    source: str = "",
) -> ClientResponse:
    """Send one request on a new connection and read its response.

    Args:
        address: ``HOST:PORT`` with a numeric host.
        method: HTTP method.
        path: Path with its query.
        headers: Extra headers.
        body: Request body.
        timeout: Seconds to wait for the complete response, or None for no timeout.
        source: IP address to connect from; empty for any.

    Returns:
        The response. A failed connection gives status 0, and a truncated response
        is not complete.
    """
    exchange = ClientExchange(source)
    exchange_run = exchange.run(address, method, path, headers or [], body)
    started_at = time.monotonic()
    if timeout is None:
        await exchange_run
    else:
        await curio.ignore_after(timeout, exchange_run)
    seconds = time.monotonic() - started_at
    return exchange.received()._replace(seconds=seconds)


class ClientExchange:
    """Client side of one HTTP request."""

    def __init__(self, source: str = "") -> None:
        self.source = source
        self.protocol = h11.Connection(h11.CLIENT)
        self.status = NO_RESPONSE
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False

    def received(self) -> ClientResponse:
        """Return what has arrived of the response so far."""
        return ClientResponse(
            self.status, self.headers, bytes(self.body), self.complete
        )

    async def run(
        self,
        address: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send the request and read its response."""
        fields = [("connection", "close"), *headers]
        if not any(name == "host" for name, _ in headers):
            fields.append(("host", address))
        if body or method in ("POST", "PUT", "PATCH"):
            fields.append(("content-length", str(len(body))))
        head = h11.Request(method=method, target=path, headers=fields)
        data = self.protocol.send(head) or b""
        if body:
            data += self.protocol.send(h11.Data(body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        host, _, port = address.rpartition(":")
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with connection:
            try:
                if self.source:
                    connection.bind((self.source, 0))
                await connection.connect((host, int(port)))
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await connection.sendall(data)
                await self.read(connection)
            except (OSError, h11.ProtocolError):
                return

    async def read(self, connection: Any) -> None:
        """Read events until the end of the response or of the connection."""
        while not self.complete:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await connection.recv(READ_CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
            elif isinstance(event, h11.ConnectionClosed):
                return


class LoadGenerator:
    """Open-loop load: requests start at a constant rate, whatever the responses."""

    def __init__(self, options: argparse.Namespace, key: str) -> None:
        self.options = options
        self.key = key
        self.nodes = options.node.split(",")
        self.statuses: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.results_by_second: list[list[int]] = []
        self.latencies: list[float] = []
        self.succeeded = 0
        self.retries = 0
        self.outstanding = 0
        self.not_sent = 0

    async def run(self) -> None:
        """Send the load, then wait for the outstanding responses."""
        start = time.monotonic()
        total = int(self.options.rate * self.options.seconds)
        async with curio.TaskGroup() as group:
            reaper = await curio.spawn(self.join_finished, group, daemon=True)
            for i in range(total):
                due = start + i / self.options.rate
                await curio.sleep(max(0.0, due - time.monotonic()))
                if self.outstanding >= MAX_OUTSTANDING_REQUESTS:
                    self.not_sent += 1
                    continue
                self.outstanding += 1
                await group.spawn(self.send, i, int(due - start))
            await reaper.cancel()

    async def join_finished(self, group: Any) -> None:
        """Join finished tasks, so that a long run does not accumulate them."""
        while True:
            if await group.next_done() is None:
                await curio.sleep(0.05)

    async def send(self, number: int, second: int) -> None:
        """Send one request with its retries and record the result."""
        node = self.nodes[number % len(self.nodes)]
        headers = self.make_headers()
        started_at = time.monotonic()
        for attempt in range(self.options.retries + 1):
            self.retries += attempt > 0
            response = await request(
                node,
                self.options.method,
                self.options.path,
                headers,
                self.options.body.encode(),
                self.options.timeout,
            )
            self.count_attempt(response)
            if response.complete and response.status not in RETRYABLE_STATUSES:
                break
            await curio.sleep(random.uniform(0, self.options.backoff))
        self.record_result(response, second, time.monotonic() - started_at)

    def make_headers(self) -> list[tuple[str, str]]:
        """Return the headers of one request, which its retries repeat."""
        headers = []
        if self.key:
            headers.append(("authorization", f"Bearer {self.key}"))
        if self.options.deadline_ms:
            headers.append(("x-deadline-ms", str(self.options.deadline_ms)))
        if self.options.dispatch:
            dispatch_id = secrets.token_hex(8)
            headers.append(("x-dispatch-id", dispatch_id))
            headers.append(("idempotency-key", dispatch_id))
        return headers

    def count_attempt(self, response: ClientResponse) -> None:
        """Count the response to one attempt by its status and refusal reason."""
        if not response.complete:
            name = "no_answer" if response.status == NO_RESPONSE else "cut"
            self.statuses[name] += 1
            return
        self.statuses[str(response.status)] += 1
        if response.status >= 400:
            self.reasons[response.refusal_reason() or "none"] += 1

    def record_result(
        self, response: ClientResponse, second: int, latency: float
    ) -> None:
        """Record the final result of a request, under the second it was due in."""
        self.outstanding -= 1
        succeeded = response.complete and response.status < 400
        while len(self.results_by_second) <= second:
            self.results_by_second.append([0, 0])
        self.results_by_second[second][0 if succeeded else 1] += 1
        if succeeded:
            self.succeeded += 1
            self.latencies.append(latency)

    def summary(self) -> dict[str, Any]:
        """Return the counts; latencies are in seconds, of successful requests only."""
        return {
            "requests": sum(sum(pair) for pair in self.results_by_second),
            "whole": self.succeeded,
            "retries": self.retries,
            "not_sent": self.not_sent,
            "by_status": dict(self.statuses),
            "by_reason": dict(self.reasons),
            "by_second": self.results_by_second,
            "latency": latency_quantiles(self.latencies),
        }


def latency_quantiles(values: list[float]) -> dict[str, float]:
    """Return the median, the 95th and 99th percentile and the maximum."""
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    ranks = {"p50": 0.5, "p95": 0.95, "p99": 0.99, "max": 1.0}
    return {name: ordered[round(rank * last)] for name, rank in ranks.items()}


async def run(options: argparse.Namespace) -> None:
    """Generate the load and print its counts as one JSON line."""
    key = os.environ[options.key_env] if options.key_env else ""
    load = LoadGenerator(options, key)
    await load.run()
    print(json.dumps(load.summary()), flush=True)


def main() -> None:
    """Run the load generator from the command line."""
    parser = argparse.ArgumentParser(prog="standins.caller", description=__doc__)
    parser.add_argument(
        "--node", required=True, help="HOST:PORT[,HOST:PORT], used in turn"
    )
    parser.add_argument("--path", required=True)
    parser.add_argument("--rate", type=float, required=True, help="requests/s")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--key-env", help="environment variable with the key")
    parser.add_argument("--retries", type=int, default=0)
    parser.add_argument(
        "--backoff", type=float, default=0.1, help="maximum, in seconds"
    )
    parser.add_argument("--method", default="GET")
    parser.add_argument("--body", default="")
    parser.add_argument("--timeout", type=float, default=30.0, help="seconds")
    parser.add_argument("--deadline-ms", type=int, default=0)
    parser.add_argument(
        "--dispatch",
        action="store_true",
        help="give each request its own x-dispatch-id and idempotency-key",
    )
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
