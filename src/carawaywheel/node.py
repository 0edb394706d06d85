"""The node process: builds, runs and stops the parts of one node."""

import gc
import random
import secrets
import time
from typing import Any

import curio
import msgspec
from loguru import logger

from .admin import AdminHandler
from .borrowers import Borrower
from .changeservice import CONFIGURATION_STREAM, ChangeService
from .charging import ChargingService
from .claimservice import ClaimService
from .clock import SystemClock
from .configuration import Configuration
from .connectionmonitor import ConnectionMonitor
from .entry import EntryHandler
from .events import EventBuffer, EventKind
from .executor import TargetExecutor
from .failures import RecordingSupervisor
from .fleetcollector import FleetCollector
from .follower import StreamFollower
from .gossip import GossipService
from .http import BodyBudget
from .incarnations import event_incarnation, first_incarnation, start_incarnation
from .intake import Intake
from .lenders import Lender
from .levels import OverloadLevelTable
from .listener import Listener
from .logservice import HttpLogService, LogService
from .logwriter import PeriodicLogWriter
from .members import Member, MemberState
from .membership import Membership
from .peers import PeerHandler
from .recorder import Recorder
from .records import ConfigurationEntry
from .relay import Relay
from .replica import ConfigurationReplica
from .retries import RetryBudget
from .routing import Router, TargetState
from .runner import CallRunner
from .settings import NodeSettings
from .shutdown import Shutdown
from .signals import SignalWaiter
from .signing import Signer
from .slots import SlotMember, SlotTable
from .slotservice import SHARES_STREAM, SlotService
from .sockets import open_listener, open_tcp_and_udp, split_address
from .sources import RecordSources
from .stalls import StallDetector
from .statemonitor import StateMonitor
from .summarizer import Summarizer
from .targets import AnnouncedTarget

HOUSEKEEPING_SECONDS = 0.25
MAX_PORT_ATTEMPTS = 20
# A withdrawal of a key must reach all nodes within 5 s, including one relay by a peer.
CONFIGURATION_LONG_POLL_SECONDS = 1.0
# A new record ends the long poll at once. Without one, a read only renews leases, which
# last for hours.
SHARES_LONG_POLL_SECONDS = 4.0


class Node:
    """A node with all its parts.

    Attributes:
        settings: Settings of the node.
    """

    def __init__(
        self, settings: NodeSettings, last_incarnation: int, signals: SignalWaiter
    ) -> None:
        """Open the sockets and build the parts.

        Args:
            settings: Settings of the node.
            last_incarnation: Highest incarnation of this node id that is known.
            signals: Signals to the process.
        """
        self.settings = settings
        self.signals = signals
        self.clock = SystemClock()
        self.stalls = StallDetector(self.clock)
        self.rng = random.Random(secrets.randbits(64))
        self.signer = Signer(settings.fleet_secret)
        self.log: LogService = HttpLogService(settings.log, settings.log_timeout)
        self.build_recorder(last_incarnation)
        self.build_network()
        self.build_membership()
        self.build_configuration()
        self.build_shares()
        self.build_requests()
        self.build_listeners()

    def build_recorder(self, last_incarnation: int) -> None:
        """Build the event buffer, the summarizer and the recorder."""
        settings = self.settings
        now = self.clock.now()
        started_at = time.time()
        self.started_at = now
        self.incarnation = first_incarnation(started_at, last_incarnation)
        start = event_incarnation(self.incarnation)
        buffer = EventBuffer(settings.node_id, settings.event_bytes, start)
        summarizer = Summarizer(settings.node_id, self.incarnation, started_at)
        self.recorder = Recorder(buffer, summarizer, self.clock, settings.statsd)
        self.supervisor = RecordingSupervisor(self.recorder, self.clock)

    def build_network(self) -> None:
        """Open the peer listener and the gossip socket, on the same port number."""
        host, port = split_address(self.settings.peer_listen)
        attempts = 1 if port else MAX_PORT_ATTEMPTS
        self.peer_socket, self.datagram_socket = open_tcp_and_udp(
            host, port, self.signer, attempts
        )
        self.peer_address = self.settings.peer_advertise or self.datagram_socket.address
        self.connection_monitor = ConnectionMonitor(self.clock)

    def build_membership(self) -> None:
        """Build routing and membership."""
        settings = self.settings
        address = self.peer_address
        own = Member(
            settings.node_id,
            self.incarnation,
            MemberState.ALIVE,
            settings.domain,
            address,
            address,
            "",
            "",
            TargetState.LEFT,
            0,
            0.0,
            0,
        )
        self.router = Router(settings.routing, settings.domain, self.rng)
        self.membership = Membership(settings.membership, own, self.rng)
        self.record_sources = RecordSources(
            self.membership, settings.domain, self.clock, self.rng
        )
        self.gossip = GossipService(
            self.membership,
            self.router,
            self.datagram_socket,
            self.log,
            self.signer,
            self.recorder,
            self.clock,
            settings.seeds,
        )

    def build_configuration(self) -> None:
        """Build the replica of the configuration and the services that change it."""
        settings = self.settings
        self.replica = ConfigurationReplica(
            Configuration(settings.root_token_digest),
            settings.fleet_secret,
            self.recorder,
            self.clock,
            settings.news_max_age,
        )
        self.followers = {
            CONFIGURATION_STREAM: self.make_follower(
                CONFIGURATION_STREAM,
                self.replica,
                CONFIGURATION_LONG_POLL_SECONDS,
                True,
            )
        }
        self.change_service = ChangeService(
            self.replica,
            self.followers[CONFIGURATION_STREAM],
            self.log,
            self.signer,
            self.clock,
        )
        self.log_writer = PeriodicLogWriter(
            settings,
            self.replica,
            self.followers[CONFIGURATION_STREAM],
            self.membership,
            self.log,
            self.recorder,
        )
        self.fleet_collector = FleetCollector(
            self.membership, self.log, self.signer, self.clock
        )

    def make_follower(
        self, stream: str, sink: Any, long_poll_seconds: float, has_position_hint: bool
    ) -> StreamFollower:
        """Build a follower of a stream."""
        return StreamFollower(
            stream,
            sink,
            self.log,
            self.record_sources,
            self.signer,
            self.clock,
            long_poll_seconds,
            has_position_hint,
        )

    def build_shares(self) -> None:
        """Build the rate limiter of client accounts."""
        settings = self.settings
        node_id = settings.node_id
        self.lender = Lender(
            settings.share, settings.domain, settings.domains, self.rng
        )
        self.borrower = Borrower(
            settings.share, node_id, self.incarnation, settings.domain
        )
        own = SlotMember(
            node_id,
            start_incarnation(self.incarnation),
            self.peer_address,
            settings.domain,
        )
        self.slot_service = SlotService(
            SlotTable(settings.share, own),
            self.lender,
            self.borrower,
            self.membership,
            self.log,
            settings.fleet_secret,
            settings.log_retention,
            self.recorder,
            self.clock,
        )
        self.followers[SHARES_STREAM] = self.make_follower(
            SHARES_STREAM, self.slot_service, SHARES_LONG_POLL_SECONDS, False
        )
        self.charging_service = ChargingService(
            node_id, self.borrower, self.lender, self.datagram_socket, self.clock
        )
        self.charging_service.before_lend = self.replica.tick
        self.replica.on_freeze = self.lender.pause

    def build_requests(self) -> None:
        """Build the handlers of requests and the executor of the local target."""
        settings = self.settings
        self.announced_target = AnnouncedTarget()
        self.intake = Intake()
        self.executor = TargetExecutor(
            self.announced_target,
            settings.admission,
            settings.limit,
            self.clock,
            self.rng,
        )
        self.runner = CallRunner(self.executor, self.recorder, self.clock)
        self.state_monitor = StateMonitor(
            self.executor,
            self.followers[CONFIGURATION_STREAM],
            self.recorder,
            self.clock,
        )
        self.relay = Relay(
            settings.retry,
            self.router,
            self.signer,
            self.runner,
            settings.node_id,
            self.recorder,
            self.clock,
            self.rng,
        )
        self.claim_service = ClaimService(
            settings.node_id, self.log, settings.fleet_secret
        )
        self.entry_handler = EntryHandler(
            self.replica,
            self.charging_service,
            self.claim_service,
            OverloadLevelTable(settings.level),
            self.executor.in_flight,
            self.relay,
            self.intake,
            self.stalls,
            self.recorder,
            self.clock,
            settings.max_body,
        )
        self.peer_handler = PeerHandler(
            self.runner,
            self.replica,
            self.membership,
            self.followers,
            self.signer,
            self.intake,
            self.stalls,
            self.recorder,
            self.clock,
            settings.max_body,
            self.status,
        )

    def build_listeners(self) -> None:
        """Open the listeners and build the handler of the administration API."""
        admin_handler = AdminHandler(
            self.announced_target,
            self.replica,
            self.change_service,
            self.fleet_collector,
            self.slot_service,
            self.publish_target,
            self.intake,
            self.clock,
        )
        limit = self.settings.max_connections
        self.body_budget = BodyBudget(self.settings.max_buffered)
        caller_socket = open_listener(*split_address(self.settings.listen))
        admin_socket = open_listener(*split_address(self.settings.admin_listen))
        self.listeners = {
            "callers": self.make_listener(
                "callers", caller_socket, self.entry_handler, limit
            ),
            "peers": self.make_listener(
                "peers", self.peer_socket, self.peer_handler, limit
            ),
            "admin": self.make_listener("admin", admin_socket, admin_handler, limit),
        }
        self.shutdown = Shutdown(
            self.settings,
            self.intake,
            self.executor,
            list(self.listeners.values()),
            self.gossip,
            self.slot_service,
            self.claim_service,
            self.log_writer,
            self.supervisor,
            self.recorder,
        )

    def make_listener(self, name: str, sock: Any, handler: Any, limit: int) -> Listener:
        """Build the listener for one listening socket."""
        listener = Listener(
            name, sock, handler, self.connection_monitor, limit, self.body_budget
        )
        listener.on_protocol_error = self.count_protocol_error
        return listener

    def count_protocol_error(self, name: str) -> None:
        """Count a protocol error of a listener."""
        self.recorder.increment(f"protocol_errors.{name}")

    def addresses(self) -> dict[str, str]:
        """Return the address of each listener."""
        return {name: item.address for name, item in self.listeners.items()}

    def publish_target(self) -> None:
        """Publish a change of the local target to the membership at once."""
        now = self.clock.now()
        target = self.announced_target.current(now)
        own = self.membership.own
        if target is None:
            return
        announced = (target.service, target.address, target.state, target.slots)
        known = (own.service, own.target_address_hint, own.target_state, own.slots)
        if announced == known:
            return
        self.membership.update_self(
            now,
            service=target.service,
            target_address_hint=target.address,
            target_state=target.state,
            slots=target.slots,
            cold_remaining=max(0.0, target.cold_until - now),
        )
        text = f"{target.service} {target.target_id} is {target.state.name.lower()}"
        self.recorder.state_event(EventKind.TARGET_CHANGED, text)
        logger.info("target {}", text)
        self.gossip.update_router()

    async def run(self) -> None:
        """Run until a graceful stop is complete."""
        # Objects that live as long as the node would cause long pauses of the garbage
        # collector.
        gc.collect()
        gc.freeze()
        tasks = [
            self.stalls.run,
            self.datagram_socket.run,
            self.connection_monitor.run,
            self.gossip.run,
            self.gossip.run_discovery,
            self.charging_service.run,
            self.claim_service.run,
            self.slot_service.run,
            self.executor.run_queue_polls,
            self.recorder.run,
            self.run_housekeeping,
            self.log_writer.run_snapshots,
            self.log_writer.run_summaries,
        ]
        tasks += [follower.run for follower in self.followers.values()]
        self.recorder.state_event(EventKind.NODE_STARTED, self.settings.domain)
        await self.shutdown.start_listeners()
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(self.supervisor.run, task)
            await group.spawn(self.stop_on_signal)

    async def run_housekeeping(self) -> None:
        """Pass changes of membership and configuration to the parts until cancelled."""
        view = None
        while True:
            await curio.sleep(HOUSEKEEPING_SECONDS)
            now = self.clock.now()
            self.replica.tick(now)
            self.state_monitor.poll()
            await self.fetch_withdrawals(now)
            self.runner.attempts.expire(now)
            self.publish_target()
            self.update_peers()
            if self.replica.view() is not view:
                view = self.replica.view()
                self.slot_service.set_accounts(view)
                self.update_retries()
            position = self.followers[CONFIGURATION_STREAM].position
            self.membership.set_log_offset(position)
            self.replica.update_behind(
                position, self.membership.newest_log_offset[0], now
            )

    async def fetch_withdrawals(self, now: float) -> None:
        """After a suspension, fetch the withdrawals that another node has."""
        if self.replica.frozen_at is None:
            return
        for address in self.record_sources.random_peer():
            content = await self.fleet_collector.query_node(address, "/withdrawals")
            if content is not None:
                self.merge_withdrawals(content, address, now)

    def merge_withdrawals(self, content: bytes, address: str, asked_at: float) -> None:
        """Apply the withdrawals that another node sent."""
        try:
            entries = msgspec.msgpack.decode(content, type=list[ConfigurationEntry])
        except msgspec.DecodeError as error:
            logger.warning("ignoring malformed withdrawals from {}: {}", address, error)
            return
        self.replica.merge_withdrawn(entries, asked_at)

    def update_peers(self) -> None:
        """Pass the live nodes to the parts that need them."""
        members = self.membership.members(self.clock.now())
        self.replica.has_peers = len(members) > 1
        self.replica.record_contact(self.gossip.last_received_at)
        self.charging_service.set_addresses(
            {member.node_id: member.gossip_address for member in members}
        )

    def update_retries(self) -> None:
        """Set the retry budget of each service from the policy that contains it."""
        view = self.replica.view()
        for name, service in view.services.items():
            team = view.team(service.team)
            budget = self.relay.budgets.get(name)
            if team is None or (budget and budget.settings == team.retries):
                continue
            self.relay.budgets[name] = RetryBudget(team.retries)

    async def stop_on_signal(self) -> None:
        """Wait for SIGTERM or SIGINT, then stop gracefully."""
        await wait_for_stop(self.signals)
        await self.shutdown.run()

    def status(self) -> dict[str, object]:
        """Return the status of this node for operators."""
        now = self.clock.now()
        target = self.announced_target.current(now)
        gate = self.executor.gate
        configuration = self.followers[CONFIGURATION_STREAM]
        return {
            "node": self.settings.node_id,
            "domain": self.settings.domain,
            "incarnation": self.incarnation,
            "uptime": round(now - self.started_at, 1),
            "stopping": self.shutdown.begun,
            "members": len(self.membership.members(now)),
            "position": configuration.position,
            "news_age": finite_or_none(configuration.age),
            "log_down": configuration.log_down,
            "reads_log": self.record_sources.reader_addresses() is None,
            "service": target.service if target else "",
            "target": target.target_id if target else "",
            "target_state": target.state.name.lower() if target else "none",
            "slots_declared": target.slots if target else 0,
            "limit": gate.queue.limit.limit(now) if gate else 0,
            "in_flight": gate.queue.in_flight if gate else 0,
            "queued": gate.queue.queued if gate else 0,
            "share_slots": len(self.lender.slots),
            "connections": {
                name: len(listener.connections)
                for name, listener in self.listeners.items()
            },
            "counters": dict(
                self.recorder.cumulative_counters + self.recorder.pending_counters
            ),
        }


async def wait_for_stop(signals: SignalWaiter) -> None:
    """Wait for SIGTERM or SIGINT."""
    while await signals.wait():
        logger.info("ignoring SIGHUP: settings come from flags and need a restart")


def finite_or_none(seconds: float) -> float | None:
    """Return a time rounded for JSON, or None if it is infinite."""
    return round(seconds, 3) if seconds < float("inf") else None
