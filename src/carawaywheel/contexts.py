"""Metadata of requests and responses between nodes, and requests in flight."""

import secrets
from typing import NamedTuple

from .levels import OverloadLevel
from .refusals import Importance, Refusal
from .retries import AttemptBudget

REQUEST_ID_BYTES = 16
# Largest number of nodes that a chain of calls may pass through.
MAX_DEPTH = 24


class RequestContext(NamedTuple):
    """Metadata that a node sends to the next one with a request.

    Attributes:
        root_id: Id of the caller's request, the same in the whole chain of calls.
        attempt_id: Id of this attempt between two nodes.
        service: Service that is called.
        route: Name of the route that the caller's request matched at the entry.
        account: Client account that the request runs for, empty on open routes.
        key_id: Id of the key that came with the request, empty on open routes.
        importance: Importance class of the caller's request.
        idempotent: Whether the request may run more than once.
        remaining: Seconds left until the deadline when the request was sent.
        attempts: Retry attempts left for this request and all of its sub-calls.
        depth: Number of nodes that the chain has passed through.
        team: Team whose policy defines the route.
    """

    root_id: str
    attempt_id: str
    service: str
    route: str
    account: str
    key_id: str
    importance: Importance
    idempotent: bool
    remaining: float
    attempts: int
    depth: int
    team: str


class ResponseMetadata(NamedTuple):
    """Metadata that a node sends to the calling one with a response.

    Attributes:
        attempt_id: Id of the attempt that this is the response to.
        attempts_unused: Retry attempts that were granted and not spent.
        levels: Overload levels of the service and of all services downstream.
        refusal: Why the request was refused, or None.
        pressure: Load of the target: 0 is idle, 1 is full, above 1 requests queue.
    """

    attempt_id: str
    attempts_unused: int
    levels: list[OverloadLevel]
    refusal: Refusal | None
    pressure: float


class InFlightRequest:
    """A request that runs at the local target.

    Attributes:
        context: Context that the request came with.
        deadline: Deadline on the local clock, in seconds.
        budget: Retry attempts that remain for sub-calls.
        levels: Newest levels from responses to sub-calls, by service.
    """

    def __init__(
        self, context: RequestContext, deadline: float, budget: AttemptBudget
    ) -> None:
        self.context = context
        self.deadline = deadline
        self.budget = budget
        self.levels: dict[str, OverloadLevel] = {}

    def record_levels(self, levels: list[OverloadLevel]) -> None:
        """Store the levels that came with the response to a sub-call."""
        for level in levels:
            self.levels[level.service] = level


class InFlightTable:
    """Requests that run at the local target.

    Attributes:
        requests: The requests by request id.
    """

    def __init__(self) -> None:
        self.requests: dict[str, InFlightRequest] = {}

    def add(self, request: InFlightRequest) -> str:
        """Add a request and return its unguessable id, which is sent to the target."""
        request_id = random_id()
        self.requests[request_id] = request
        return request_id

    def get(self, request_id: str) -> InFlightRequest | None:
        """Return the running request with an id, or None."""
        return self.requests.get(request_id)

    def remove(self, request_id: str) -> None:
        """Remove a request; unknown ids are ignored."""
        self.requests.pop(request_id, None)

    def __len__(self) -> int:
        return len(self.requests)


def random_id() -> str:
    """Return a new random id of 128 bits, in hexadecimal."""
    return secrets.token_hex(REQUEST_ID_BYTES)
