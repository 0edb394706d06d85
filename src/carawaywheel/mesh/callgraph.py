"""Which services a route leads to, learned from the calls that targets make.

A target's calls do not name the request that they serve. In each short window a node
knows how many requests of each route its target ran and how many calls of each route
it made; the calls for each request follow from a regression over these windows.
"""

from collections import Counter

from .messages import ServiceDemand

# Windows are longer than most requests, so that calls fall into that of their request.
WINDOW_SECONDS = 0.5
# Step of the regression: a weight is learned within about ten windows.
LEARNING_RATE = 0.3
# Calls a request below which a route does not count as leading to a service.
MIN_CALLS_PER_REQUEST = 0.03
MAX_SERVICES = 16


class FanoutEstimator:
    """Calls that one request of a route causes, at the node of its target.

    Attributes:
        weights: Calls for each request, by route of the request and of the call.
        owed: Calls by route that repeated requests cause and that are still to come.
    """

    def __init__(self) -> None:
        self.weights: dict[str, dict[str, float]] = {}
        self.requests: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.pending_retries: dict[str, float] = {}
        self.window_ends_at = 0.0

    def record_request(self, route: str, repeat: bool = False) -> None:
        """Count a request that the target began to run.

        Args:
            route: Its route.
            repeat: Whether it may have run before.
        """
        self.requests[route] += 1
        if repeat:
            for called, count in self.calls_per_request(route).items():
                self.pending_retries[called] = (
                    self.pending_retries.get(called, 0.0) + count
                )

    def record_call(self, route: str) -> bool:
        """Count a call of the target; return whether it counts as repeated.

        Which call belongs to a repeated request is not known, but how many do is.
        """
        self.calls[route] += 1
        if self.pending_retries.get(route, 0.0) < 1.0:
            return False
        self.pending_retries[route] -= 1.0
        return True

    def update(self, now: float) -> None:
        """Learn from the present window once it is over."""
        if now < self.window_ends_at:
            return
        self.window_ends_at = now + WINDOW_SECONDS
        requests, self.requests = self.requests, Counter()
        calls, self.calls = self.calls, Counter()
        if requests:
            self.fit_window(requests, calls)

    def fit_window(self, requests: Counter[str], calls: Counter[str]) -> None:
        """Move the weights towards what one window shows."""
        norm = sum(count * count for count in requests.values())
        called = set(calls)
        for route in requests:
            called |= set(self.weights.get(route, ()))
        for name in called:
            expected = sum(
                count * self.weights.get(route, {}).get(name, 0.0)
                for route, count in requests.items()
            )
            error = LEARNING_RATE * (calls[name] - expected) / norm
            for route, count in requests.items():
                row = self.weights.setdefault(route, {})
                row[name] = max(0.0, row.get(name, 0.0) + error * count)

    def calls_per_request(self, route: str) -> dict[str, float]:
        """Return the calls that one request of a route causes, by route."""
        return self.weights.get(route, {})


class CallGraph:
    """Services that each route leads to, learned from answers.

    Attributes:
        demands: Calls to each service for one request, by route.
    """

    def __init__(self) -> None:
        self.demands: dict[str, dict[str, float]] = {}

    def update(self, route: str, demands: list[ServiceDemand]) -> None:
        """Take what an answer says of its route."""
        if demands:
            self.demands[route] = {item.service: item.calls for item in demands}

    def downstream_calls(
        self, fanout: FanoutEstimator, route: str, service: str
    ) -> dict[str, float]:
        """Return the calls to each service that a local request causes."""
        total = {service: 1.0}
        for called, count in fanout.calls_per_request(route).items():
            if count < MIN_CALLS_PER_REQUEST:
                continue
            for name, calls in self.demands.get(called, {}).items():
                total[name] = total.get(name, 0.0) + count * calls
        if len(total) > MAX_SERVICES:
            largest = sorted(total, key=lambda name: -total[name])[:MAX_SERVICES]
            return {name: total[name] for name in largest}
        return total
