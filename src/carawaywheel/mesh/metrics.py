"""Counters and histograms, as text for the metrics address."""

from ..http import Request, ServerConnection
from ..listener import RequestHandler
from .journal import Journal

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class MetricsHandler(RequestHandler):
    """Answers scrapes."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        """Answer one request; see the base class."""
        # Costs memory that a node needs only while somebody looks at it.
        from prometheus_client import CollectorRegistry, Counter, generate_latest

        await connection.read_body(0)
        registry = CollectorRegistry()
        counter = Counter(
            "carawaywheel_events",
            "Decisions by event and outcome.",
            ("event", "outcome"),
            registry=registry,
        )
        for (event, outcome), count in self.journal.counters.items():
            counter.labels(event, outcome).inc(count)
        await connection.respond(200, [CONTENT_TYPE], generate_latest(registry))
