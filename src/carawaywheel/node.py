"""One node: the core modules with the sockets and timers around them."""

import gc
import random
import secrets
import time
from typing import Any

import curio
from loguru import logger

from .admin import AdminHandler
from .administration import CONFIGURATION_STREAM, ChangeService
from .borrowers import Borrower
from .charging import ChargingService
from .claiming import ClaimingService
from .clock import SystemClock
from .configuration import Configuration
from .datagrams import DatagramSocket, free_port
from .entry import EntryHandler
from .errors import LogError, RecordError
from .events import EventBuffer, EventKind
from .fleet import SUMMARY_STREAM, FleetService
from .follower import StreamFollower, rank_readers
from .gossip import NODES_STREAM, GossipService
from .http import BodyBudget
from .lenders import Lender
from .levels import LevelTable
from .listener import HangupWatch, Listener
from .logs import HttpLogService, LogService
from .members import Member, MemberState
from .membership import Membership
from .peers import PeerHandler
from .recorder import Recorder
from .records import NodeJoined, decode, encode
from .relay import Relay
from .retries import ServiceBudget
from .routing import Router, TargetState
from .running import CallRunner
from .serving import TargetServer
from .settings import NodeSettings
from .signals import StopSignal
from .signing import Signer
from .slots import SlotMember, SlotTable
from .slotting import (
    SHARES_STREAM,
    VERSION_BITS,
    SlotService,
    first_incarnation,
    start_incarnation,
)
from .state import NodeState
from .summarizer import Backlog, Summarizer
from .targets import AnnouncedTargets

HOUSEKEEPING_SECONDS = 0.25
RESTATE_INTERVAL_SECONDS = 5.0
BACKLOG_SUMMARIES = 60
STOP_POLL_SECONDS = 0.05
READ_LIMIT = 1000


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Node:
    """A node with all its parts.

    Attributes:
        settings: Settings of the node.
        stopping: Whether a graceful stop has begun.
        failed: Whether a part ended with an error.
    """

    def __init__(self, settings: NodeSettings, former_incarnation: int) -> None:
        """Open the sockets and build the parts.

        Args:
            settings: Settings of the node.
            former_incarnation: Highest incarnation of this node id that is known.
        """
        self.settings = settings
        self.stop_signal = StopSignal()
        self.stopping = False
        self.failed = False
        self.clock = SystemClock()
        self.rng = random.Random(secrets.randbits(64))
        self.signer = Signer(settings.fleet_secret)
        self.log: LogService = HttpLogService(settings.log, settings.log_timeout)
        self.build_recorder(former_incarnation)
        self.build_network()
        self.build_membership()
        self.build_configuration()
        self.build_shares()
        self.build_requests()
        self.build_listeners()

    def build_recorder(self, former_incarnation: int) -> None:
        """Build what counts and records."""
        settings = self.settings
        now = self.clock.now()
        wall = wall_time()
        self.started_at = now
        self.incarnation = first_incarnation(wall, former_incarnation)
        # Sequence numbers of events have 64 bits, which leaves room for seconds.
        second = int(self.incarnation >> VERSION_BITS) // 1000
        buffer = EventBuffer(settings.node_id, settings.event_bytes, second)
        summary = Summarizer(settings.node_id, self.incarnation, wall)
        self.backlog = Backlog(BACKLOG_SUMMARIES)
        self.recorder = Recorder(buffer, summary, self.clock, settings.statsd)

    def build_network(self) -> None:
        """Open the gossip socket; the peer listener uses the same port number."""
        host, port = split_address(self.settings.peer_listen)
        self.sock = DatagramSocket(host, port or free_port(host), self.signer)
        self.peer_address = self.settings.peer_advertise or self.sock.address
        self.watch = HangupWatch()

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
        self.gossip = GossipService(
            self.membership,
            self.router,
            self.sock,
            self.log,
            self.signer,
            self.recorder,
            self.clock,
        )

    def build_configuration(self) -> None:
        """Build the fold of the configuration and its administration."""
        settings = self.settings
        self.state = NodeState(
            Configuration(settings.root_token_digest),
            settings.fleet_secret,
            self.recorder,
            self.clock,
            settings.news_max_age,
        )
        self.followers = {
            CONFIGURATION_STREAM: self.make_follower(CONFIGURATION_STREAM, self.state)
        }
        self.followers[CONFIGURATION_STREAM].ahead = self.address_ahead
        self.changes = ChangeService(
            self.state,
            self.followers[CONFIGURATION_STREAM],
            self.log,
            self.signer,
            self.clock,
        )
        self.fleet = FleetService(self.membership, self.log, self.signer, self.clock)

    def make_follower(self, stream: str, sink: Any) -> StreamFollower:
        """Return a follower of a stream."""
        return StreamFollower(
            stream, sink, self.log, self.readers, self.signer, self.clock
        )

    def readers(self) -> list[str] | None:
        """Return the nodes of this failure domain that read the log for this one."""
        members = [
            member
            for member in self.membership.members(self.clock.now())
            if member.domain == self.settings.domain
        ]
        chosen = rank_readers([member.node_id for member in members])
        if self.settings.node_id in chosen:
            return None
        addresses = {member.node_id: member.peer_address for member in members}
        return [addresses[node_id] for node_id in chosen]

    def address_ahead(self) -> str | None:
        """Return the address of the node that has read furthest, if not this one."""
        newest, node_id = self.membership.newest_position
        if newest <= self.followers[CONFIGURATION_STREAM].position:
            return None
        member = self.membership.table.get(node_id)
        return member.peer_address if member is not None else None

    def build_shares(self) -> None:
        """Build what charges client accounts."""
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
        self.slots = SlotService(
            SlotTable(settings.share, own),
            self.lender,
            self.borrower,
            self.membership,
            self.log,
            settings.fleet_secret,
            self.recorder,
            self.clock,
        )
        self.followers[SHARES_STREAM] = self.make_follower(SHARES_STREAM, self.slots)
        self.charging = ChargingService(
            node_id, self.borrower, self.lender, self.sock, self.clock
        )

    def build_requests(self) -> None:
        """Build the path of a request."""
        settings = self.settings
        self.targets = AnnouncedTargets()
        self.server = TargetServer(
            self.targets, settings.admission, settings.limit, self.clock, self.rng
        )
        self.runner = CallRunner(self.server, self.recorder, self.clock)
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
        self.entry = EntryHandler(
            self.state,
            self.charging,
            ClaimingService(settings.node_id, self.log, settings.fleet_secret),
            LevelTable(settings.level),
            self.server.in_flight,
            self.relay,
            self.recorder,
            self.clock,
            settings.max_body,
        )
        self.peers = PeerHandler(
            self.runner,
            self.state,
            self.membership,
            self.followers,
            self.signer,
            self.recorder,
            self.clock,
            settings.max_body,
            self.status,
        )

    def build_listeners(self) -> None:
        """Open the listeners."""
        admin = AdminHandler(
            self.targets,
            self.state,
            self.changes,
            self.fleet,
            self.slots,
            self.note_target,
            self.clock,
        )
        limit = self.settings.max_connections
        self.bodies = BodyBudget(self.settings.max_buffered)
        peer_address = self.sock.address
        self.listeners = {
            "callers": self.listen("callers", self.settings.listen, self.entry, limit),
            "peers": self.listen("peers", peer_address, self.peers, limit),
            "admin": self.listen("admin", self.settings.admin_listen, admin, limit),
        }

    def listen(self, name: str, address: str, handler: Any, limit: int) -> Listener:
        """Open one listener."""
        host, port = split_address(address)
        listener = Listener(name, host, port, handler, self.watch, limit, self.bodies)
        listener.on_protocol_error = self.note_protocol_error
        return listener

    def note_protocol_error(self, name: str) -> None:
        """Count bad input on a listener."""
        self.recorder.count(f"protocol_errors.{name}")

    def addresses(self) -> dict[str, str]:
        """Return the address of each listener."""
        return {name: item.address for name, item in self.listeners.items()}

    def note_target(self) -> None:
        """Spread a change of the local target at once."""
        now = self.clock.now()
        target = self.targets.current(now)
        own = self.membership.own
        if target is None:
            return
        described = (target.service, target.address, target.state, target.slots)
        known = (own.service, own.target_address_hint, own.target_state, own.slots)
        if described == known:
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
        # Long pauses of the collector come from objects that live as long as the node.
        gc.collect()
        gc.freeze()
        tasks = [
            self.sock.run,
            self.watch.run,
            self.gossip.run,
            self.gossip.run_contacts,
            self.charging.run,
            self.slots.run,
            self.server.run_polls,
            self.recorder.run,
            self.run_housekeeping,
            self.run_restatements,
            self.run_summaries,
        ]
        tasks += [follower.run for follower in self.followers.values()]
        tasks += [listener.run for listener in self.listeners.values()]
        self.recorder.state_event(EventKind.NODE_STARTED, self.settings.domain)
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(self.guard, task)
            await group.spawn(self.wait_for_stop)

    async def guard(self, task: Any) -> None:
        """Run a part; an error that nothing expected stops the node with its name."""
        try:
            await task()
        except curio.CancelledError:
            raise
        except Exception:
            logger.exception("part {} failed", task.__qualname__)
            self.failed = True

    async def run_housekeeping(self) -> None:
        """Keep the parts in step until cancelled."""
        view = None
        while True:
            await curio.sleep(HOUSEKEEPING_SECONDS)
            now = self.clock.now()
            if self.state.tick(now):
                self.lender.pause()
            self.runner.attempts.expire(now)
            self.note_target()
            self.update_peers()
            if self.state.view() is not view:
                view = self.state.view()
                self.slots.set_accounts(view)
                self.update_retries()
            position = self.followers[CONFIGURATION_STREAM].position
            self.membership.set_position(position)
            self.state.compare(position, self.membership.newest_position[0], now)

    def update_peers(self) -> None:
        """Tell the parts which nodes are live."""
        members = self.membership.members(self.clock.now())
        self.state.has_peers = len(members) > 1
        self.state.heard(self.gossip.heard_at)
        self.charging.set_addresses(
            {member.node_id: member.gossip_address for member in members}
        )

    def update_retries(self) -> None:
        """Use the retry limits of the policy that holds each service."""
        view = self.state.view()
        for name, service in view.services.items():
            team = view.team(service.team)
            if team is not None and name not in self.relay.budgets:
                self.relay.budgets[name] = ServiceBudget(team.retries)

    async def run_restatements(self) -> None:
        """Restate the configuration before the log forgets it, until cancelled."""
        while True:
            await curio.sleep(RESTATE_INTERVAL_SECONDS)
            members = self.membership.members(self.clock.now())
            first = rank_readers([member.node_id for member in members])[:1]
            if first == [self.settings.node_id] and self.state.configuration.caught_up:
                await self.restate()

    async def restate(self) -> None:
        """Append the restatements that are due."""
        follower = self.followers[CONFIGURATION_STREAM]
        due = self.state.configuration.restatements(
            wall_time(), self.settings.log_retention, follower.cache.log_first
        )
        for record in due:
            try:
                data = encode(record, self.settings.fleet_secret)
                await self.log.append(CONFIGURATION_STREAM, data)
            except LogError:
                return

    async def run_summaries(self) -> None:
        """Write summaries to the log until cancelled."""
        while True:
            await curio.sleep(self.settings.summary_interval)
            await self.write_summary(False)

    async def write_summary(self, final: bool) -> None:
        """Close a summary and append all that the log has not taken yet."""
        dropped = self.recorder.buffer.dropped
        self.backlog.add(self.recorder.summary.close(wall_time(), dropped, final))
        for summary in list(self.backlog.waiting):
            try:
                data = encode(summary, self.settings.fleet_secret)
                await self.log.append(SUMMARY_STREAM, data)
            except (LogError, RecordError):
                return
            self.backlog.accepted(summary)

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM or SIGINT, then stop gracefully."""
        await self.stop_signal.wait()
        await self.stop()

    async def stop(self) -> None:
        """Stop without cutting off a request.

        The other nodes are told first and go on sending for a moment, so requests
        are served until then.
        """
        self.stopping = True
        logger.info("node {} stops", self.settings.node_id)
        self.recorder.state_event(EventKind.NODE_STOPPING, "")
        await self.gossip.leave()
        await self.slots.release()
        for name in ("callers", "peers"):
            self.listeners[name].begin_close()
        await curio.sleep(self.settings.leave_wait)
        self.server.closing = True
        await curio.ignore_after(self.settings.stop_grace, self.wait_until_idle)
        await self.write_summary(True)
        self.recorder.flush()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight, then close the idle connections."""
        while self.watch.busy:
            await curio.sleep(STOP_POLL_SECONDS)
        for listener in self.listeners.values():
            listener.close_idle()

    def status(self) -> dict[str, object]:
        """Describe this node for operators."""
        now = self.clock.now()
        target = self.targets.current(now)
        gate = self.server.gate
        configuration = self.followers[CONFIGURATION_STREAM]
        return {
            "node": self.settings.node_id,
            "domain": self.settings.domain,
            "incarnation": self.incarnation,
            "uptime": round(now - self.started_at, 1),
            "stopping": self.stopping,
            "members": len(self.membership.members(now)),
            "position": configuration.position,
            "news_age": finite(configuration.age),
            "log_down": configuration.log_down,
            "reads_log": self.readers() is None,
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
            "counters": dict(self.recorder.totals + self.recorder.counters),
        }


def finite(seconds: float) -> float | None:
    """Return a time for JSON, None if it is infinite."""
    return round(seconds, 3) if seconds < float("inf") else None


def wall_time() -> float:
    """Return the wall clock in seconds since the epoch, for operators to read."""
    return time.time()


async def former_incarnation(log: LogService, node_id: str, secret: bytes) -> int:
    """Return the highest incarnation of a node id in the log, 0 if unknown."""
    highest = 0
    position = 0
    try:
        while True:
            batch = await log.read(NODES_STREAM, position, READ_LIMIT, 0.0)
            for _, data in batch.records:
                highest = max(highest, incarnation_in(data, node_id, secret))
            if not batch.records:
                return highest
            position = batch.next
    except LogError:
        return highest


def incarnation_in(data: bytes, node_id: str, secret: bytes) -> int:
    """Return the incarnation of a node's join record, 0 for any other record."""
    try:
        record = decode(data, secret)
    except RecordError:
        return 0
    if isinstance(record, NodeJoined) and record.node_id == node_id:
        return record.incarnation
    return 0
