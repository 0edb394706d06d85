"""A node that stops cuts off answers to clients that send reads in advance.

Clients send reads on kept connections at random times, also before earlier ones are
answered, until they have read that a response closes the connection. A link with the
delay of the site and the window of a new connection lies between them and their node.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from review.common.endpoint import signature
from review.common.installation import (
    BROKEN,
    HELD,
    NOT_RUN,
    READ,
    Installation,
    client_request,
    new_id,
    run_case,
)
from review.common.link import Link
from review.common.wire import Message, read_body, read_head

SERVICES = ["desk", "yard", "yard", "desk"]
CLIENT_HOSTS = (2, 3)
CONNECTIONS = 30
READS_PER_SECOND = 10.0
MOST_IN_ADVANCE = 4
# Reads of the site: permit-read works for 88 ms and returns at most 30,000 bytes.
PATH = f"{READ}permit?work=0.088&bytes=30000"
LINK_DELAY_SECONDS = 0.008
CALM_SECONDS = 2.0
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
UNANSWERED, ANSWERED, CUT = "unanswered", "answered", "cut"


class Attempt:
    """One read of a client.

    Attributes:
        id: Its id.
        sent_at: Time at which it was sent.
        outcome: What the client has seen of it.
        status: Status of the response; 0 without one.
        received: Bytes of the response's body.
        ended_at: Time at which its outcome was known.
    """

    def __init__(self) -> None:
        self.id = new_id()
        self.sent_at = time.time()
        self.outcome = UNANSWERED
        self.status = 0
        self.received = 0
        self.ended_at = 0.0


class Client:
    """A client with one kept connection at a time.

    Attributes:
        attempts: All reads that it has sent.
        ending: Whether it sends no more.
        closing: Whether a response has said that it closes the connection.
    """

    def __init__(self, port: int, rng: random.Random) -> None:
        self.port = port
        self.rng = rng
        self.attempts: list[Attempt] = []
        self.ending = False
        self.closing = False

    async def run(self) -> None:
        """Use one connection after the other until the end."""
        while not self.ending:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.port, limit=1 << 20
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self.use(reader, writer)
            writer.close()
            await asyncio.sleep(0.2)

    async def use(self, reader: Any, writer: Any) -> None:
        """Send reads on a connection until it ends or a response closes it."""
        waiting: list[Attempt] = []
        self.closing = False
        receiving = asyncio.ensure_future(self.receive(reader, waiting))
        while not (receiving.done() or self.closing or self.ending):
            pause = self.rng.expovariate(READS_PER_SECOND)
            await asyncio.wait([receiving], timeout=pause)
            stays = not (receiving.done() or self.closing)
            if stays and len(waiting) < MOST_IN_ADVANCE:
                attempt = Attempt()
                waiting.append(attempt)
                self.attempts.append(attempt)
                writer.write(client_request("GET", PATH, attempt.id))
        await asyncio.wait([receiving], timeout=8.0)
        receiving.cancel()

    async def receive(self, reader: Any, waiting: list[Attempt]) -> None:
        """Read responses in order until one closes the connection."""
        while True:
            head = await read_head(reader)
            self.closing = head.headers.get("connection") == "close"
            answer = await read_body(reader, head)
            if not waiting:
                return
            attempt = waiting[0]
            attempt.ended_at = time.time()
            attempt.status = answer.status
            attempt.received = len(answer.body)
            attempt.outcome = ANSWERED if is_whole(answer) else CUT
            waiting.pop(0)
            if not answer.complete or self.closing:
                return
            if self.ending and not waiting:
                return


def is_whole(answer: Message) -> bool:
    """Return whether an answer has arrived up to its end."""
    if not answer.complete:
        return False
    digest = answer.headers.get("x-response-signature")
    return digest is None or digest == signature(answer.body)


async def stop_node(installation: Installation, host: int) -> float:
    """Stop a node as the platform does and start it again; return when it began."""
    process = installation.nodes[host]
    began = time.time()
    process.send_signal(signal.SIGTERM)
    installation.note(f"SIGTERM to node {host}")
    while process.poll() is None and time.time() < began + GRACE_SECONDS:
        await asyncio.sleep(0.02)
    installation.note(f"node {host} has ended: {process.poll()}")
    if process.poll() is None:
        installation.kill_node(host)
    await asyncio.sleep(1.0)
    installation.start_node(host)
    await asyncio.sleep(3.0)
    return began


async def play(installation: Installation, troubled: bool) -> int:
    """Play the case."""
    clients: dict[int, list[Client]] = {}
    tasks = []
    for host in CLIENT_HOSTS:
        link = Link(installation.address(host, "outbound"), LINK_DELAY_SECONDS)
        port = await link.start()
        clients[host] = [
            Client(port, random.Random(host * 1000 + number))
            for number in range(CONNECTIONS)
        ]
        tasks += [asyncio.ensure_future(client.run()) for client in clients[host]]
    await asyncio.sleep(CALM_SECONDS)
    began = {}
    for host in CLIENT_HOSTS:
        if troubled:
            began[host] = await stop_node(installation, host)
        else:
            await asyncio.sleep(5.0)
    for host in CLIENT_HOSTS:
        for client in clients[host]:
            client.ending = True
    await asyncio.wait(tasks, timeout=10.0)
    return judge(installation, clients, began)


def judge(
    installation: Installation,
    clients: dict[int, list[Client]],
    began: dict[int, float],
) -> int:
    """Count the reads that were passed on and whose answers were cut."""
    answered = set()
    for host in installation.services:
        installation.note_endpoint(host, ("check-in",))
        for event in installation.endpoint_events(host):
            if event["event"] == "answered":
                answered.add(event["id"])
    sent = whole = lost = 0
    for host, group in clients.items():
        for client in group:
            for attempt in client.attempts:
                sent += 1
                whole += attempt.outcome == ANSWERED
                passed_on = attempt.id in answered
                lost += passed_on and attempt.outcome != ANSWERED
                text = f"host {host}: read {attempt.id} sent"
                if host in began:
                    text += f" {attempt.sent_at - began[host]:.3f} s after SIGTERM"
                installation.note(
                    f"{text}: {attempt.outcome}, status {attempt.status}, "
                    f"{attempt.received} bytes of body; passed on to an endpoint that "
                    f"has answered it: {passed_on}",
                    attempt.sent_at,
                )
    installation.note(
        f"LOST: {lost} of {sent} reads were passed on, answered by their endpoint and "
        f"cut off on the way to the client; {whole} were answered"
    )
    if lost:
        return BROKEN
    return HELD if whole > 0.9 * sent else NOT_RUN


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, SERVICES, play))
