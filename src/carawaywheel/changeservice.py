"""Changes of the configuration by operators, through the log."""

from collections.abc import Iterable
from typing import Any

import curio

from .changes import Applied, Conflict
from .clock import Clock
from .configuration import Configuration
from .control import ControlClient
from .errors import LogError
from .follower import StreamFollower
from .logservice import LogService
from .records import KeyWithdrawn, Record, encode
from .refusals import Ran, Reason, Refusal
from .replica import ConfigurationReplica
from .signing import Signer

CONFIGURATION_STREAM = "configuration"
MAX_APPEND_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.2
READ_BACK_TIMEOUT_SECONDS = 5.0
PUSH_TIMEOUT_SECONDS = 1.0
PUSH_CONCURRENCY = 32
PUBLISH_STEP = "publish"


class ChangeOutcome:
    """What became of a change.

    Attributes:
        outcome: Applied or conflict as every reader of the log decides it, or a
            refusal.
        offset: Offset of the record, or None if it is not known.
        reached: Nodes that took a pushed withdrawal.
        missed: Nodes that did not.
    """

    def __init__(self, outcome: Applied | Conflict | Refusal) -> None:
        self.outcome = outcome
        self.offset: int | None = None
        self.reached: list[str] = []
        self.missed: list[str] = []


class ChangeService:
    """Appends changes and reads back what became of them."""

    def __init__(
        self,
        state: ConfigurationReplica,
        follower: StreamFollower,
        log: LogService,
        signer: Signer,
        clock: Clock,
    ) -> None:
        self.replica = state
        self.follower = follower
        self.log = log
        self.signer = signer
        self.clock = clock
        self.control_client = ControlClient(signer)

    @property
    def configuration(self) -> Configuration:
        """Fold of the configuration stream."""
        return self.replica.configuration

    async def append_and_wait(self, record: Record, change_id: str) -> ChangeOutcome:
        """Append a change and wait until this node has read it.

        The append is repeated with the same change id when its answer was lost, so
        that the change counts once.
        """
        self.replica.results[change_id] = None
        try:
            offset = await self.append(record)
            read = await self.follower.read_through(offset, READ_BACK_TIMEOUT_SECONDS)
            outcome = self.replica.results[change_id]
        except LogError as error:
            ran = Ran.UNKNOWN if error.outcome_unknown else Ran.NOT_RUN
            refusal = Refusal(
                Reason.LOG_UNAVAILABLE, ran, 1.0, PUBLISH_STEP, error.peer
            )
            return ChangeOutcome(refusal)
        finally:
            self.replica.results.pop(change_id, None)
        if not read or not isinstance(outcome, Applied | Conflict):
            return ChangeOutcome(
                Refusal(Reason.LOG_UNAVAILABLE, Ran.UNKNOWN, 1.0, "read back", "log")
            )
        result = ChangeOutcome(outcome)
        result.offset = offset
        return result

    async def append(self, record: Record) -> int:
        """Append a record, trying again after a failure.

        Raises:
            LogError: If no try succeeded; ``unknown`` if any may have had effect.
        """
        data = encode(record, self.signer.secret)
        unknown = False
        for attempt in range(MAX_APPEND_ATTEMPTS):
            try:
                return await self.log.append(CONFIGURATION_STREAM, data)
            except LogError as error:
                unknown = unknown or error.outcome_unknown
                last = error
            await curio.sleep(RETRY_DELAY_SECONDS * (attempt + 1))
        raise LogError(last.message, last.step, last.peer, unknown)

    async def withdraw(
        self, record: KeyWithdrawn, peers: Iterable[tuple[str, str]]
    ) -> ChangeOutcome:
        """Withdraw a key: at this node, in the log, and at all nodes directly.

        The push needs no log, so that the key stops everywhere even if the log goes
        down at this moment.

        Args:
            record: The withdrawal.
            peers: Id and peer address of the other nodes.
        """
        self.replica.apply_pushed_withdrawal(record)
        reached, missed = await self.push_withdrawal(record, peers)
        result = await self.append_and_wait(record, record.change_id)
        result.reached = reached
        result.missed = missed
        return result

    async def push_withdrawal(
        self, record: KeyWithdrawn, peers: Iterable[tuple[str, str]]
    ) -> tuple[list[str], list[str]]:
        """Send a withdrawal to other nodes; return who took it and who did not."""
        body = encode(record, self.signer.secret)
        reached: list[str] = []
        missed: list[str] = []
        slots = curio.Semaphore(PUSH_CONCURRENCY)

        async def push_to(node_id: str, address: str) -> None:
            async with slots:
                taken = await self.control_client.request(
                    address, "POST", "/withdrawals", PUSH_TIMEOUT_SECONDS, body
                )
            (missed if taken is None else reached).append(node_id)

        async with curio.TaskGroup() as group:
            for node_id, address in peers:
                await group.spawn(push_to, node_id, address)
        return sorted(reached), sorted(missed)


def result_to_dict(result: ChangeOutcome) -> dict[str, Any]:
    """Return the result of a change as plain data for an operator."""
    outcome = result.outcome
    plain: dict[str, Any] = {"reached": result.reached, "missed": result.missed}
    if isinstance(outcome, Applied):
        plain |= {"result": "accepted", "path": outcome.path}
        plain |= {"version": outcome.version, "offset": result.offset}
        plain["duplicate"] = outcome.duplicate
    elif isinstance(outcome, Conflict):
        plain |= {"result": "conflict", "path": outcome.path}
        plain |= {"version": outcome.version, "author": outcome.author}
    else:
        plain |= {"result": "refused", "reason": outcome.reason.value}
        plain |= {"ran": outcome.ran.value, "step": outcome.step, "peer": outcome.peer}
    return plain
