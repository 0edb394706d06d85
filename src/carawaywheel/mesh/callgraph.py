"""Call graph: the services that each route leads to, learned from observed calls.

The calls of a target do not name the request for which it makes them. In each short
window a node counts the requests of each route that its target ran and the calls of
each route that it made. A linear regression over these windows estimates the fan-out:
the calls of each route that one request of a route causes.
"""

from collections import Counter

from .messages import ServiceDemand

# Longer than most requests, so that calls fall into the window of their request.
WINDOW_SECONDS = 0.5
# A weight converges within about ten windows.
LEARNING_RATE = 0.3
# Mean calls per request below which a route does not count as called.
MIN_CALLS_PER_REQUEST = 0.03
MAX_SERVICES = 16


class FanoutEstimator:
    """Estimates the calls that one request of a route causes at the local target.

    Attributes:
        weights: Calls per request, by route of the request and route of the call.
        requests: Requests in the current window, by route.
        calls: Calls in the current window, by route.
        pending_retries: Calls expected from retried requests, by route.
        window_ends_at: End of the current window, in seconds.
    """

    def __init__(self) -> None:
        self.weights: dict[str, dict[str, float]] = {}
        self.requests: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.pending_retries: dict[str, float] = {}
        self.window_ends_at = 0.0

    def record_request(self, route: str, is_retry: bool = False) -> None:
        """Count a request that the target begins to run.

        Args:
            route: Its route.
            is_retry: Whether it is a retry or a call of a retried request.
        """
        self.requests[route] += 1
        if is_retry:
            for called_route, count in self.calls_per_request(route).items():
                self.pending_retries[called_route] = (
                    self.pending_retries.get(called_route, 0.0) + count
                )

    def record_call(self, route: str) -> bool:
        """Count a call of the target; return whether it counts as a retry.

        Which call belongs to a retried request is not known, but the expected number of
        such calls is.
        """
        self.calls[route] += 1
        if self.pending_retries.get(route, 0.0) < 1.0:
            return False
        self.pending_retries[route] -= 1.0
        return True

    def update(self, now: float) -> None:
        """Fit the weights to the current window once it has ended."""
        if now < self.window_ends_at:
            return
        self.window_ends_at = now + WINDOW_SECONDS
        requests, self.requests = self.requests, Counter()
        calls, self.calls = self.calls, Counter()
        if requests:
            self.fit_window(requests, calls)

    def fit_window(self, requests: Counter[str], calls: Counter[str]) -> None:
        """Update the weights by one normalized gradient step on a window."""
        squared_norm = sum(count * count for count in requests.values())
        called_routes = set(calls)
        for route in requests:
            called_routes |= set(self.weights.get(route, ()))
        for called_route in called_routes:
            expected = sum(
                count * self.weights.get(route, {}).get(called_route, 0.0)
                for route, count in requests.items()
            )
            error = LEARNING_RATE * (calls[called_route] - expected) / squared_norm
            for route, count in requests.items():
                route_weights = self.weights.setdefault(route, {})
                route_weights[called_route] = max(
                    0.0, route_weights.get(called_route, 0.0) + error * count
                )

    def calls_per_request(self, route: str) -> dict[str, float]:
        """Return the calls that one request of a route causes, by route of the call."""
        return self.weights.get(route, {})


class CallGraph:
    """Services that each route leads to, learned from replies.

    Attributes:
        demands: Calls to each service per request, by route of the request.
    """

    def __init__(self) -> None:
        self.demands: dict[str, dict[str, float]] = {}

    def update(self, route: str, demands: list[ServiceDemand]) -> None:
        """Replace what is known about a route with the demands in a reply."""
        if demands:
            self.demands[route] = {demand.service: demand.calls for demand in demands}

    def downstream_calls(
        self, fanout: FanoutEstimator, route: str, service: str
    ) -> dict[str, float]:
        """Return the calls to each service that one local request causes.

        Args:
            fanout: Fan-out of the local target.
            route: Route of the request.
            service: Service of the local target.
        """
        total_calls = {service: 1.0}
        for called_route, count in fanout.calls_per_request(route).items():
            if count < MIN_CALLS_PER_REQUEST:
                continue
            for name, calls in self.demands.get(called_route, {}).items():
                total_calls[name] = total_calls.get(name, 0.0) + count * calls
        if len(total_calls) > MAX_SERVICES:
            largest_services = sorted(total_calls, key=lambda name: -total_calls[name])[
                :MAX_SERVICES
            ]
            return {name: total_calls[name] for name in largest_services}
        return total_calls
