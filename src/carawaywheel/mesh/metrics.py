"""Counters, gauges and histograms in the text format of Prometheus."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from ..http import Request
from ..listener import RequestHandler
from ..serverexchange import ServerExchange
from .journal import LATENCY_BUCKETS_SECONDS, Journal

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class Gauge(NamedTuple):
    """One value of a gauge.

    Attributes:
        name: Name of the gauge.
        help: What it tells, in one sentence.
        labels: Labels of the value.
        value: The value.
    """

    name: str
    help: str
    labels: dict[str, str]
    value: float


class MetricsHandler(RequestHandler):
    """Handles scrapes of the metrics address.

    Attributes:
        read_gauges: Returns the present values of all gauges.
    """

    def __init__(
        self, journal: Journal, read_gauges: Callable[[], list[Gauge]]
    ) -> None:
        self.journal = journal
        self.read_gauges = read_gauges

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request; see the base class."""
        await connection.read_body(0)
        content = render_metrics(self.journal, self.read_gauges())
        await connection.respond(200, [CONTENT_TYPE], content)


class JournalCollector:
    """Collector that exports gauges, and the counters and histograms of a journal."""

    def __init__(self, journal: Journal, gauges: Iterable[Gauge]) -> None:
        self.journal = journal
        self.gauges = gauges

    def collect(self) -> Iterator[Any]:
        """Yield all counters, histograms and gauges."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

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
        families: dict[str, Any] = {}
        for gauge in self.gauges:
            family = families.get(gauge.name)
            if family is None:
                family = families[gauge.name] = GaugeMetricFamily(
                    gauge.name, gauge.help, labels=list(gauge.labels)
                )
            family.add_metric(list(gauge.labels.values()), gauge.value)
        yield from families.values()


def render_metrics(journal: Journal, gauges: Iterable[Gauge] = ()) -> bytes:
    """Return all metrics as text.

    The metrics library is imported at the first scrape, because it takes 3 MB of memory
    that nodes without scrapes do not need.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(JournalCollector(journal, gauges))
    return generate_latest(registry)
