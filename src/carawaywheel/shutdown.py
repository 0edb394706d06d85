"""Graceful stop of a node."""

from typing import Any

import curio
from loguru import logger

from .claimservice import ClaimService
from .events import EventKind
from .executor import TargetExecutor, admission_refusal
from .gossip import GossipService
from .intake import Intake
from .listener import Listener
from .logwriter import PeriodicLogWriter
from .recorder import Recorder
from .refusals import Reason
from .settings import NodeSettings
from .slotservice import SlotService
from .supervisor import Supervisor

IDLE_POLL_SECONDS = 0.05
# Several times the round trip within a region: a client that has just connected sends
# its request within this time and gets a refusal.
CLOSE_WAIT_SECONDS = 0.2


class Shutdown:
    """Stops a node without cutting off a request that ends within the grace time.

    Attributes:
        begun: Whether the stop has begun.
        accept_tasks: Tasks that accept connections, one for each listener.
    """

    def __init__(
        self,
        settings: NodeSettings,
        intake: Intake,
        executor: TargetExecutor,
        listeners: list[Listener],
        gossip: GossipService,
        slot_service: SlotService,
        claim_service: ClaimService,
        log_writer: PeriodicLogWriter,
        supervisor: Supervisor,
        recorder: Recorder,
    ) -> None:
        self.settings = settings
        self.intake = intake
        self.executor = executor
        self.listeners = listeners
        self.gossip = gossip
        self.slot_service = slot_service
        self.claim_service = claim_service
        self.log_writer = log_writer
        self.supervisor = supervisor
        self.recorder = recorder
        self.begun = False
        self.accept_tasks: list[Any] = []

    async def start_listeners(self) -> None:
        """Start to accept connections, until the stop."""
        for listener in self.listeners:
            task = await curio.spawn(self.supervisor.run, listener.run, daemon=True)
            self.accept_tasks.append(task)

    async def run(self) -> None:
        """Stop the node.

        The stop is announced first: other nodes and clients may still send requests
        for a moment, which are served until ``leave_wait`` is over. From then on only
        requests in flight and the calls that they make go on.
        """
        self.begun = True
        node_id = self.settings.node_id
        in_flight = self.intake.in_flight
        logger.info("node {} is stopping, {} in flight", node_id, in_flight)
        self.recorder.state_event(EventKind.NODE_STOPPING, "")
        for listener in self.listeners:
            listener.drain()
        announcement = await curio.spawn(self.announce, daemon=True)
        await curio.sleep(self.settings.leave_wait)
        self.intake.closed = self.executor.shutting_down = True
        await curio.ignore_after(
            self.settings.stop_grace, self.finish_requests, announcement
        )
        await self.refuse_waiting()
        self.recorder.flush()
        in_flight = self.intake.in_flight
        logger.info("node {} has stopped, {} in flight", node_id, in_flight)

    async def refuse_waiting(self) -> None:
        """Refuse the requests that still wait for the target, as the process exits."""
        gate = self.executor.gate
        if gate is None or not gate.wake_events:
            return
        waiting = len(gate.wake_events)
        others = self.intake.in_flight - waiting
        logger.info("node {} refuses {} waiting", self.settings.node_id, waiting)
        refusal = admission_refusal(Reason.SHUTTING_DOWN, gate.target.service)
        await gate.refuse_waiting(refusal)
        await curio.ignore_after(CLOSE_WAIT_SECONDS, self.wait_until_left, others)

    async def wait_until_left(self, count: int) -> None:
        """Wait until no more than some requests are in flight."""
        while self.intake.in_flight > count:
            await curio.sleep(IDLE_POLL_SECONDS)

    async def announce(self) -> None:
        """Announce to the other nodes that this one leaves, and release its slots."""
        await self.supervisor.attempt(self.gossip.leave)
        await self.supervisor.attempt(self.slot_service.release_slots)

    async def finish_requests(self, announcement: Any) -> None:
        """Wait until nothing is in flight, write what is due, close all connections.

        Args:
            announcement: Task that announces the stop.
        """
        while self.intake.in_flight:
            await curio.sleep(IDLE_POLL_SECONDS)
        await announcement.join()
        await self.supervisor.attempt(self.claim_service.append_releases)
        await self.supervisor.attempt(self.write_summary)
        for task in self.accept_tasks:
            await task.cancel()
        for listener in self.listeners:
            await listener.close()
        await curio.ignore_after(CLOSE_WAIT_SECONDS, self.wait_for_clients)
        for listener in self.listeners:
            listener.close_idle_connections()
        for listener in self.listeners:
            await listener.monitor.wait_for_lingering()

    async def write_summary(self) -> None:
        """Append the last summary to the log."""
        await self.log_writer.write_summary(True)

    async def wait_for_clients(self) -> None:
        """Wait until all connections are closed."""
        while any(listener.connections for listener in self.listeners):
            await curio.sleep(IDLE_POLL_SECONDS)
