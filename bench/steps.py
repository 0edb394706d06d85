"""Counts the instructions of single steps of a node.

Each step runs alone in a process of its own, with warm caches. Rounds alternate between
the directories of sources; ratios are to the first one.

    python -m bench.steps --rounds 3 --sources build/base/src,src
"""

import argparse
import os
import statistics
import subprocess
import sys
from typing import NamedTuple

RUNS = 2000
HEADERS = (
    "[(b'host', b'mesh.example'), (b'x-attempt-id', b'0123456789abcdef'),"
    " (b'x-deadline-ms', b'5000'), (b'authorization', b'Token abc'),"
    " (b'content-length', b'300')]"
)
RESPONSE_HEADERS = (
    "[(b'x-attempt-id', b'0123456789abcdef'), (b'x-response-signature', b'digest'),"
    " (b'content-type', b'text/plain'), (b'content-length', b'5000')]"
)
HOSTS = """
from types import SimpleNamespace
from carawaywheel.clock import SystemClock
from carawaywheel.mesh.journal import Journal
from carawaywheel.mesh.monitor import PeerMonitor
from carawaywheel.mesh.quotas import *
from carawaywheel.mesh.ratelimiter import RateLimiter
from carawaywheel.mesh.replication.directory import Directory, HostRecord
from carawaywheel.mesh.replication.store import Position
from carawaywheel.mesh.target import Phase
from carawaywheel.routing import Router
from carawaywheel.settings import RoutingSettings
def record(n, sequence):
    address = f"10.0.0.{n}:1"
    return HostRecord(f"h{n}", address, "a", "desk", 1, sequence, Phase.READY, 9)
directory, journal, clock = Directory(), Journal("h1"), SystemClock()
for n in range(72):
    directory.merge(record(n, 1))
directory.hosts_known = True
router = Router(RoutingSettings(), "a", random.Random(1))
monitor = PeerMonitor("10.0.0.1:1", directory, router, journal, clock)
monitor.update_router()
quotas = Quotas("10.0.0.1:1")
sock = SimpleNamespace(address="10.0.0.1:2", handlers={})
limiter = RateLimiter(quotas, sock, monitor, journal, clock)
limiter.refresh_nodes()
times = itertools.count(1000)
"""
QUEUE = """
from carawaywheel.admission import AdmissionQueue
from carawaywheel.fairness import Ticket
from carawaywheel.limits import FixedLimit
from carawaywheel.refusals import Importance, Outcome
from carawaywheel.settings import AdmissionSettings
queue = AdmissionQueue(
    AdmissionSettings(fair=False), FixedLimit(9), 10, random.Random(1)
)
ticket = Ticket("1", "mill", Importance.NORMAL, 1e9)
"""


class Step(NamedTuple):
    """A step of a node.

    Attributes:
        name: What it does, and how often.
        setup: Statements that prepare it.
        statement: Statement that is measured.
    """

    name: str
    setup: str
    statement: str


STEPS = (
    Step(
        "request: parse",
        "from carawaywheel.framing import RequestReader\n"
        "reader = RequestReader(16384)\n"
        "data = b'POST /order/1 HTTP/1.1\\r\\n' + b''.join(n + b': ' + v + b'\\r\\n'"
        f" for n, v in {HEADERS}) + b'\\r\\n' + b'x' * 300",
        "reader.feed(data); [reader.next_event() for _ in range(3)]",
    ),
    Step(
        "request: check the head",
        "from carawaywheel.http import *\n"
        "connection = ServerConnection(None, '10.0.0.1:5', BodyBudget(1))\n"
        f"head = RequestHead(b'POST', b'/order/1', {HEADERS}, '1.1')",
        "connection.start_request(head)",
    ),
    Step(
        "request: metadata of the caller",
        "from carawaywheel.platform.headers import *\n"
        f"request = Request('POST', '/order/1', {HEADERS})",
        "decode_caller_headers(request)",
    ),
    Step(
        "request: encode for the target",
        "from carawaywheel.framing import encode_request_head\n"
        f"headers = {HEADERS} + [(b'x-expected-instance', b'i-1')]",
        "encode_request_head('POST', '/order/1', headers)",
    ),
    Step(
        "request: take and free a slot",
        QUEUE,
        "queue.offer(ticket, 1.0); queue.finish('1', 1.0, Outcome.OK, 0.01)",
    ),
    Step(
        "request: choose among 72 targets",
        HOSTS + "from carawaywheel.refusals import Outcome\n"
        "def choose(now):\n"
        "    target = router.choose('desk', now, []).target_id\n"
        "    router.record_start(target, now)\n"
        "    router.record_finish(target, now + 0.1, Outcome.OK, 0.1, 0.1)\n",
        "choose(next(times) / 100)",
    ),
    Step(
        "reply: metadata",
        "from tests.test_acceptance import Fixture\nrunner = Fixture().runner",
        "runner.build_reply('r', None)",
    ),
    Step(
        "reply: decode the frame",
        "from carawaywheel.mesh.frames import *\n"
        "from carawaywheel.mesh.messages import ServiceDemand\n"
        "reply = CallReply('', '', None, 0.1, True, 1, [ServiceDemand('y', 1, 3)])\n"
        f"frame = ResponseFrame(7, reply, 200, {RESPONSE_HEADERS}, b'x' * 5000, '')\n"
        "data, reader = encode_frame(frame), FrameDecoder('p')",
        "reader.feed(data)",
    ),
    Step(
        "reply: headers for the caller",
        "from carawaywheel.mesh.responses import buffered_headers\n"
        f"headers = {RESPONSE_HEADERS}",
        "buffered_headers(headers)",
    ),
    Step(
        "refusal: body for the caller",
        "from carawaywheel.serverexchange import refusal_body\n"
        "from carawaywheel.refusals import *\n"
        "refusal = Refusal(Reason.QUEUE_FULL, Ran.NOT_RUN, 0.3, 'target', 'a:1')",
        "refusal_body(refusal)",
    ),
    Step(
        "refusal: line of the log",
        "from carawaywheel.mesh.journal import Journal\n"
        "journal = Journal('n')\n"
        "def write():\n"
        "    journal.lines_by_event.clear(); journal.lines.clear()\n"
        "    journal.buffered_bytes = 0\n"
        "    journal.write('refused', request='0123456789abcdef', status=503,"
        " reason='overload', ran='no', step='entry', peer='yard', waited=0.003)",
        "write()",
    ),
    Step(
        "record: merge one of 72",
        HOSTS,
        "monitor.merge_hosts([(Position(1, 2), record(5, next(times)))], "
        "Position(1, 3), 'store'); journal.lines.clear()",
    ),
    Step(
        "datagram: tag",
        "from carawaywheel.signing import Signer\n"
        "signer = Signer(b'carawaywheel mesh 1')",
        "signer.datagram_tag(b'x' * 60)",
    ),
    Step(
        "datagram: report of one of 72 to a slot owner",
        HOSTS + "reports = [encode_message(TokenRequest(node, 5, 1, {}))"
        " for node in quotas.nodes]\n"
        "def answer(n):\n"
        "    report = decode_message(reports[n % 72])\n"
        "    return encode_message(quotas.grant(report, 0.3 / 72 * n))",
        "answer(next(times))",
    ),
    Step(
        "tick: nodes of the rate limiter, 72",
        HOSTS + "refresh = getattr(limiter, "
        "'refresh_changed_nodes', limiter.refresh_nodes)\n",
        "refresh()",
    ),
)
PROGRAM = """
import itertools, random, sys
import carawaywheel.http
from bench.counters import InstructionCounter
{setup}
def loop():
    for _ in range({runs}):
        {statement}
loop()
counter = InstructionCounter(0)
before = counter.read()
loop()
print((counter.read() - before) / {runs})
"""


def count(step: Step, source: str) -> float:
    """Return the instructions of a step with the package of a directory.

    Raises:
        CalledProcessError: If the step failed.
    """
    program = PROGRAM.format(setup=step.setup, statement=step.statement, runs=RUNS)
    path = f"{os.path.abspath(source)}:{os.getcwd()}"
    result = subprocess.run(
        [sys.executable, "-c", program],
        env=os.environ | {"PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    return float(result.stdout)


def main() -> None:
    """Count and print the instructions of all steps."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--sources", default="src", help="directories, by commas")
    options = parser.parse_args()
    sources = options.sources.split(",")
    for step in STEPS:
        counts: dict[str, list[float]] = {source: [] for source in sources}
        for _ in range(options.rounds):
            for source in sources:
                counts[source].append(count(step, source))
        line = f"{step.name}: {statistics.median(counts[sources[0]]):.0f}"
        for source in sources[1:]:
            pairs = zip(counts[sources[0]], counts[source], strict=True)
            ratios = sorted(after / before for before, after in pairs)
            line += (
                f", {statistics.median(counts[source]):.0f}, ratio "
                f"{statistics.median(ratios):.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f})"
            )
        print(line, flush=True)


if __name__ == "__main__":
    main()
