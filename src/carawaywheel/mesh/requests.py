"""Requests that were admitted at the entry, and what became of them."""

import math
from typing import NamedTuple

from ..refusals import Ran, Reason, Refusal
from .configuration import Account, Route
from .messages import CallerMetadata


class AdmittedRequest(NamedTuple):
    """A request that may be sent to a target.

    Attributes:
        claims: What the caller says.
        route: Its route.
        service: Service that is to run it.
        account: Client account; None on a route that is open to all.
        from_target: Whether the local target sent it while running another one.
        echo: Whether it counts as repeated, as a call of a repeated request.
        deadline: Deadline on the local clock, in seconds.
    """

    caller: CallerMetadata
    route: Route
    service: str
    account: Account | None
    from_target: bool
    caused_by_retry: bool
    deadline: float

    @property
    def priority(self) -> int:
        """Rank of the request; that of its account goes before its route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class RequestProgress:
    """What has become of a request so far.

    Attributes:
        runs: Targets on which it may have run.
        arrivals: Targets at which it may have arrived, those that rejected it included.
        in_doubt: Whether a try is under way.
        offered: Whether a try was under way at any time.
        charged: Whether its account was charged.
    """

    def __init__(self) -> None:
        self.executions = 0
        self.deliveries = 0
        self.attempt_in_flight = False
        self.offered = False
        self.charged = False

    @property
    def ran(self) -> Ran:
        """What may be said of the request if it ends now."""
        return Ran.UNKNOWN if self.executions or self.attempt_in_flight else Ran.NOT_RUN


class TrafficSplitter:
    """Divides the requests of a route over its services by weight, evenly."""

    def __init__(self) -> None:
        self.credits: dict[tuple[str, str], float] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total = sum(share.weight for share in route.weighted_services)
        best = ("", -math.inf)
        for share in route.weighted_services:
            name = (route.name, share.service)
            self.credits[name] = self.credits.get(name, 0.0) + share.weight / total
            if self.credits[name] > best[1]:
                best = (share.service, self.credits[name])
        self.credits[route.name, best[0]] -= 1.0
        return best[0]


def http_status(refusal: Refusal) -> int:
    """Return the status for a caller; only a request that did not run gets 503."""
    if refusal.ran is Ran.UNKNOWN:
        return 504 if refusal.reason is Reason.DEADLINE else 502
    if refusal.status in (502, 504):
        return 503
    return refusal.status
