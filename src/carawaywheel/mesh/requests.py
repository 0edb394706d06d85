"""State of requests that were admitted at the entry of a node."""

import math
from typing import NamedTuple

from ..refusals import Ran, Reason, Refusal
from .configuration import Account, Route
from .messages import CallerMetadata


class AdmittedRequest(NamedTuple):
    """A request that may be sent to a target.

    Attributes:
        caller: Metadata that the caller sent.
        route: Its route.
        service: Service that the route was resolved to.
        account: Client account; None on a route that allows anonymous requests.
        from_target: Whether the local target sent it as a call for another request.
        caused_by_retry: Whether it is a call of a retried request, counted as a retry.
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
        """Priority of the account, or of the route if the account has none."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class RequestProgress:
    """Progress of a request through its attempts.

    Attributes:
        executions: Targets that may have run the request.
        deliveries: Targets that may have received it, including those that rejected it.
        attempt_in_flight: Whether an attempt is in flight.
        offered: Whether an attempt was in flight at any time.
        charged: Whether a token of its account was taken.
    """

    def __init__(self) -> None:
        self.executions = 0
        self.deliveries = 0
        self.attempt_in_flight = False
        self.offered = False
        self.charged = False

    @property
    def ran(self) -> Ran:
        """Whether the request may have run, if it ended now."""
        return Ran.UNKNOWN if self.executions or self.attempt_in_flight else Ran.NOT_RUN


class CallProgress:
    """Progress of a call at the node beside its target.

    Attributes:
        begun: Whether the target may have begun to run it.
    """

    def __init__(self) -> None:
        self.begun = False


class TrafficSplitter:
    """Smooth weighted round robin between the services of a route.

    Attributes:
        credits: Requests owed to a service, by route and service name.
    """

    def __init__(self) -> None:
        self.credits: dict[tuple[str, str], float] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total_weight = sum(share.weight for share in route.weighted_services)
        chosen = ("", -math.inf)
        for share in route.weighted_services:
            credit_key = (route.name, share.service)
            self.credits[credit_key] = (
                self.credits.get(credit_key, 0.0) + share.weight / total_weight
            )
            if self.credits[credit_key] > chosen[1]:
                chosen = (share.service, self.credits[credit_key])
        self.credits[route.name, chosen[0]] -= 1.0
        return chosen[0]


def http_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal; 503 only if the request did not run."""
    if refusal.ran is Ran.UNKNOWN:
        return 504 if refusal.reason is Reason.DEADLINE else 502
    if refusal.status in (502, 504):
        return 503
    return refusal.status
