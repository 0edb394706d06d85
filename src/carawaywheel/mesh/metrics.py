"""Counters and histograms in the text format of Prometheus."""

from collections.abc import Iterator
from typing import Any

from ..http import Request
from ..listener import RequestHandler
from ..serverexchange import ServerExchange
from .evacuation import Evacuations
from .journal import LATENCY_BUCKETS_SECONDS, Journal

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class MetricsHandler(RequestHandler):
    """Handles scrapes of the metrics address."""

    def __init__(self, journal: Journal, evacuations: Evacuations) -> None:
        self.journal = journal
        self.evacuations = evacuations

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request; see the base class."""
        await connection.read_body(0)
        content = render_metrics(self.journal, self.evacuations)
        await connection.respond(200, [CONTENT_TYPE], content)


class JournalCollector:
    """Collector that exports the counters and histograms of a journal."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    def collect(self) -> Iterator[Any]:
        """Yield all counters and histograms."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        events = CounterMetricFamily(
            "carawaywheel_events",
            "Decisions by event and outcome.",
            labels=["event", "outcome"],
        )
        for labels, count in self.journal.counters.items():
            events.add_metric(list(labels), count)
        yield events
        latencies = HistogramMetricFamily(
            "carawaywheel_answer_seconds",
            "Seconds until an answer was passed on.",
            labels=["route"],
        )
        bounds = [*map(str, LATENCY_BUCKETS_SECONDS), "+Inf"]
        for route, histogram in self.journal.latencies.items():
            cumulative = 0
            buckets = []
            for bound, count in zip(bounds, histogram.counts, strict=True):
                cumulative += count
                buckets.append((bound, float(cumulative)))
            latencies.add_metric([route], buckets, histogram.total)
        yield latencies


class EvacuationCollector:
    """Collector that exports which failure domains are evacuated."""

    def __init__(self, evacuations: Evacuations) -> None:
        self.evacuations = evacuations

    def collect(self) -> Iterator[Any]:
        """Yield one gauge for all domains that are or were evacuated."""
        from prometheus_client.core import GaugeMetricFamily

        gauge = GaugeMetricFamily(
            "carawaywheel_evacuated",
            "Whether the evacuation of a failure domain is in effect.",
            labels=["domain"],
        )
        for evacuation in self.evacuations.newest.values():
            gauge.add_metric([evacuation.domain], float(evacuation.active))
        yield gauge


def render_metrics(journal: Journal, evacuations: Evacuations) -> bytes:
    """Return all metrics as text.

    The metrics library is imported at the first scrape, because it takes 3 MB of memory
    that nodes without scrapes do not need.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(JournalCollector(journal))
    registry.register(EvacuationCollector(evacuations))
    return generate_latest(registry)
