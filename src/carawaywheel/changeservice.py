"""Appends operators' changes of the configuration to the log."""

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


class ChangeResult:
    """Result of a change, with the nodes that a pushed withdrawal reached.

    Attributes:
        outcome: Applied or conflict, as every reader of the log decides it, or a
            refusal.
        offset: Offset of the record, or None if it is not known.
        reached: Nodes that acknowledged a pushed withdrawal.
        missed: Nodes that did not.
    """

    def __init__(self, outcome: Applied | Conflict | Refusal) -> None:
        self.outcome = outcome
        self.offset: int | None = None
        self.reached: list[str] = []
        self.missed: list[str] = []


class ChangeService:
    """Appends changes to the log and waits for their outcome."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        follower: StreamFollower,
        log: LogService,
        signer: Signer,
        clock: Clock,
    ) -> None:
        self.replica = replica
        self.follower = follower
        self.log = log
        self.signer = signer
        self.clock = clock
        self.control_client = ControlClient(signer)

    @property
    def configuration(self) -> Configuration:
        """Replay of the configuration stream."""
        return self.replica.configuration

    async def append_and_wait(self, record: Record, change_id: str) -> ChangeResult:
        """Append a change and wait until this node has read it.

        The append is retried with the same change id if its response was lost, so that
        the change takes effect once.
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
            return ChangeResult(refusal)
        finally:
            self.replica.results.pop(change_id, None)
        if not read or not isinstance(outcome, Applied | Conflict):
            return ChangeResult(
                Refusal(Reason.LOG_UNAVAILABLE, Ran.UNKNOWN, 1.0, "read back", "log")
            )
        result = ChangeResult(outcome)
        result.offset = offset
        return result

    async def append(self, record: Record) -> int:
        """Append a record, with retries.

        Raises:
            LogError: If all attempts failed; ``outcome_unknown`` says whether any of
                them may have taken effect.
        """
        data = encode(record, self.signer.secret)
        outcome_unknown = False
        for attempt in range(MAX_APPEND_ATTEMPTS):
            try:
                return await self.log.append(CONFIGURATION_STREAM, data)
            except LogError as error:
                outcome_unknown = outcome_unknown or error.outcome_unknown
                last_error = error
            await curio.sleep(RETRY_DELAY_SECONDS * (attempt + 1))
        raise LogError(
            last_error.message, last_error.step, last_error.peer, outcome_unknown
        )

    async def withdraw(
        self, record: KeyWithdrawn, peers: Iterable[tuple[str, str]]
    ) -> ChangeResult:
        """Withdraw a key: at this node, in the log, and at all nodes directly.

        The push does not depend on the log, so that the key is withdrawn everywhere
        even if the log is down.

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
        """Send a withdrawal to other nodes.

        Returns:
            The nodes that acknowledged it and those that did not, sorted by id.
        """
        body = encode(record, self.signer.secret)
        reached: list[str] = []
        missed: list[str] = []
        semaphore = curio.Semaphore(PUSH_CONCURRENCY)

        async def push_to(node_id: str, address: str) -> None:
            async with semaphore:
                response = await self.control_client.request(
                    address, "POST", "/withdrawals", PUSH_TIMEOUT_SECONDS, body
                )
            (missed if response is None else reached).append(node_id)

        async with curio.TaskGroup() as group:
            for node_id, address in peers:
                await group.spawn(push_to, node_id, address)
        return sorted(reached), sorted(missed)


def result_to_dict(result: ChangeResult) -> dict[str, Any]:
    """Return the result of a change as JSON data for an operator."""
    outcome = result.outcome
    fields: dict[str, Any] = {"reached": result.reached, "missed": result.missed}
    if isinstance(outcome, Applied):
        fields |= {"result": "accepted", "path": outcome.path}
        fields |= {"version": outcome.version, "offset": result.offset}
        fields["duplicate"] = outcome.duplicate
    elif isinstance(outcome, Conflict):
        fields |= {"result": "conflict", "path": outcome.path}
        fields |= {"version": outcome.version, "author": outcome.author}
    else:
        fields |= {"result": "refused", "reason": outcome.reason.value}
        fields |= {"ran": outcome.ran.value, "step": outcome.step, "peer": outcome.peer}
    return fields
