"""Request contexts, the answers between nodes and the requests in flight."""

import secrets
from typing import NamedTuple

from .levels import OverloadLevel
from .refusals import Importance, Refusal
from .retries import AttemptBudget

REQUEST_ID_BYTES = 16
MAX_DEPTH = 24


class RequestContext(NamedTuple):
    """What a node tells the next one about a request.

    Attributes:
        root_id: Id of the caller's request; the same over the whole chain.
        attempt_id: Id of this attempt between two nodes.
        service: Service that is asked.
        route: Name of the route that the caller's request matched at the entry.
        account: Client account that the request runs for, empty on open routes.
        key_id: Id of the key that came with the request, empty on open routes.
        importance: Importance class of the caller's request.
        idempotent: Whether the request may be repeated.
        remaining: Seconds left until the deadline when the message was sent.
        attempts: Attempts left for this request and everything below it.
        depth: Number of nodes that the chain has passed through.
        team: Team whose policy holds the route.
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
    """What a node tells the one before it about an answer.

    Attributes:
        attempt_id: Attempt that this is the answer to.
        attempts_unused: Attempts that were granted and not spent.
        levels: Overload levels of the service and of all below it.
        refusal: Why the request was refused, or None.
        pressure: Load of the target, 0 idle, 1 full, above 1 queueing.
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
        budget: Attempts that remain for sub-calls.
        levels: Levels that the answers of sub-calls carried, by service.
    """

    def __init__(
        self, context: RequestContext, deadline: float, budget: AttemptBudget
    ) -> None:
        self.context = context
        self.deadline = deadline
        self.budget = budget
        self.levels: dict[str, OverloadLevel] = {}

    def record_levels(self, levels: list[OverloadLevel]) -> None:
        """Keep the levels that the answer to a sub-call carried."""
        for level in levels:
            self.levels[level.service] = level


class InFlightTable:
    """Table of the requests that run at the local target, by request id."""

    def __init__(self) -> None:
        self.requests: dict[str, InFlightRequest] = {}

    def add(self, request: InFlightRequest) -> str:
        """Store a request and return the unguessable id given to the target."""
        request_id = new_id()
        self.requests[request_id] = request
        return request_id

    def get(self, request_id: str) -> InFlightRequest | None:
        """Return the request that runs under an id, or None."""
        return self.requests.get(request_id)

    def remove(self, request_id: str) -> None:
        """Forget a request; unknown ids are ignored."""
        self.requests.pop(request_id, None)

    def __len__(self) -> int:
        return len(self.requests)


def new_id() -> str:
    """Return a new unguessable id of 128 bits, in hexadecimal."""
    return secrets.token_hex(REQUEST_ID_BYTES)
