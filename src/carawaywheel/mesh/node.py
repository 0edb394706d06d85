"""One node of the mesh: its parts with the sockets and timers around them."""

import gc
import os
import random
import secrets
import time
from functools import partial
from typing import Any

import curio

from ..clock import SystemClock
from ..datagrams import DatagramSocket
from ..errors import SettingsError
from ..http import BodyBudget
from ..listener import HangupMonitor, Listener
from ..platform.configuration import CONFIGURATION_KEY
from ..platform.settings import read_host_settings
from ..platform.store import CONFIGURATION_TABLE, HOST_TABLE, MetadataStore
from ..routing import Router
from ..settings import RoutingSettings
from ..signals import SignalWaiter
from ..signing import Signer
from ..sockets import open_listener, split_address
from .callgraph import CallGraph
from .configuration import InputLimits, MeshConfiguration
from .directory import Directory, HostRecord
from .entry import EntryHandler
from .execution import TargetRunner
from .follower import StoreSync
from .health import HeartbeatHandler, ReadinessHandler
from .inbound import PeerHandler
from .journal import Journal
from .links import LinkServer
from .metrics import MetricsHandler
from .monitor import PeerMonitor
from .quotas import Quotas
from .ratelimiter import RateLimiter
from .settings import HostSettings
from .shedding import AdmissionLevelTable
from .target import LocalTarget, Phase

FLUSH_INTERVAL_SECONDS = 0.1
SETTINGS_CHECK_SECONDS = 1.0
IDLE_POLL_SECONDS = 0.05
# Time after the request to stop in which clients and nodes learn of it: two missed
# readiness checks, one a second, and a little more.
DRAIN_ANNOUNCEMENT_SECONDS = 2.6
# Time before the end of the grace period at which the process ends in any case.
STOP_MARGIN_SECONDS = 0.7
STORE_TIMEOUT_SECONDS = 1.5
# Clients that keep to the idle time must not find their connection closed.
IDLE_MARGIN_SECONDS = 5.0
# Connections that a listener accepts at most.
MAX_CONNECTIONS = 2500
# Part of the process's memory that buffered request bodies may take.
BUFFERED_BODY_SHARE = 0.25
# Keeps datagrams of other programs apart; the platform has no secret to share.
DATAGRAM_SECRET = b"carawaywheel mesh 1"


class MeshNode:
    """A node beside one target host.

    Attributes:
        settings: Settings of the node.
        stopping: Whether a graceful stop has begun.
        failed: Whether a part ended with an error.
    """

    def __init__(self, settings: HostSettings, path: str) -> None:
        """Open the sockets and build the parts.

        Args:
            settings: Settings of the node.
            path: The file that they were read from.
        """
        self.settings = settings
        self.settings_path = path
        self.settings_version = file_version(path)
        self.clock = SystemClock()
        self.rng = random.Random(secrets.randbits(64))
        self.journal = Journal(settings.node_id)
        self.journal.install()
        self.signal = SignalWaiter()
        self.stopping = False
        self.failed = False
        self.hangup_monitor = HangupMonitor()
        self.body_budget = BodyBudget(int(settings.memory_bytes * BUFFERED_BODY_SHARE))
        self.build_state()
        self.build_requests()
        self.build_listeners()

    def build_state(self) -> None:
        """Build what the node knows and how it learns it."""
        settings = self.settings
        self.directory = Directory()
        self.router = Router(RoutingSettings(), settings.domain, self.rng)
        own = settings.listen.peers
        self.peer_monitor = PeerMonitor(
            own, self.directory, self.router, self.journal, self.clock
        )
        self.peer_monitor.on_configuration_changed = self.apply_configuration
        self.target = LocalTarget(settings.service, settings.target_address)
        record = HostRecord(
            settings.node_id,
            own,
            settings.domain,
            settings.service,
            int(time.time() * 1000),
            0,
            int(Phase.GONE),
            0,
        )
        self.directory.merge(record)
        self.store_sync = StoreSync(
            MetadataStore(settings.store.address, STORE_TIMEOUT_SECONDS),
            (CONFIGURATION_TABLE, HOST_TABLE),
            CONFIGURATION_KEY,
            self.directory,
            self.peer_monitor,
            record,
            self.journal,
            self.clock,
            self.rng,
        )
        self.quotas = Quotas(own)
        host, port = split_address(settings.listen.datagrams)
        self.datagram_socket = DatagramSocket(host, port, Signer(DATAGRAM_SECRET))
        self.rate_limiter = RateLimiter(
            self.quotas,
            self.datagram_socket,
            self.peer_monitor,
            self.journal,
            self.clock,
        )

    def build_requests(self) -> None:
        """Build the path of a request."""
        chains = CallGraph()
        levels = AdmissionLevelTable(self.rng)
        self.runner = TargetRunner(
            self.settings,
            self.target,
            chains,
            levels,
            self.journal,
            self.clock,
            self.rng,
        )
        self.peer_monitor.on_hosts_changed = self.update_targets
        self.peer_monitor.serving = lambda: self.runner.current_gate() is not None
        self.entry = EntryHandler(
            self.settings,
            self.directory,
            self.router,
            self.runner,
            self.rate_limiter,
            chains,
            levels,
            self.peer_monitor,
            self.journal,
            self.clock,
            self.rng,
        )

    def build_listeners(self) -> None:
        """Open the listeners."""
        listen = self.settings.listen
        peers = PeerHandler(self.runner, self.peer_monitor, self.journal)
        self.links = LinkServer(
            open_listener(*split_address(listen.links)),
            self.runner,
            self.peer_monitor,
            self.journal,
            peers.retain_response,
        )
        handlers: dict[str, tuple[str, Any]] = {
            "callers": (listen.callers, self.entry),
            "peers": (listen.peers, peers),
            "ready": (listen.ready, ReadinessHandler(self.ready)),
            "heartbeats": (
                listen.heartbeats,
                HeartbeatHandler(self.target, self.publish_target, self.journal),
            ),
        }
        if listen.metrics:
            handlers["metrics"] = (listen.metrics, MetricsHandler(self.journal))
        self.listeners = {
            name: self.listen(name, address, handler)
            for name, (address, handler) in handlers.items()
        }

    def listen(self, name: str, address: str, handler: Any) -> Listener:
        """Serve one listening socket."""
        sock = open_listener(*split_address(address))
        listener = Listener(
            name, sock, handler, self.hangup_monitor, MAX_CONNECTIONS, self.body_budget
        )
        listener.on_protocol_error = lambda name: self.journal.count("bad_input", name)
        return listener

    def ready(self) -> bool:
        """Whether clients may be sent to this node."""
        known = self.directory.configuration is not None and self.directory.hosts_known
        return known and not self.stopping

    def apply_configuration(self, configuration: MeshConfiguration) -> None:
        """Give the parts a new configuration."""
        self.runner.version = configuration.version
        self.runner.level.set_max_level(configuration.lowest_priority + 1.0)
        self.quotas.configure(configuration.accounts)

    def update_targets(self) -> None:
        """Divide what a service allows by the targets that it has."""
        self.rate_limiter.refresh_nodes()
        self.runner.set_target_count(
            self.directory.count_ready_targets(self.settings.service)
        )

    async def publish_target(self) -> None:
        """Tell the others of a change of the local target."""
        phase = self.target.phase
        heartbeat = self.target.heartbeat
        stopped = self.stopping or phase is None
        await self.store_sync.publish(
            int(Phase.GONE) if stopped or phase is None else int(phase),
            heartbeat.slots if heartbeat else 0,
        )

    async def run(self) -> None:
        """Run until a graceful stop is complete."""
        self.journal.write("start", settings=str(self.settings))
        # Long pauses of the collector come from objects that live as long as the node.
        gc.collect()
        gc.freeze()
        tasks = [
            self.hangup_monitor.run,
            self.datagram_socket.run,
            self.rate_limiter.run,
            self.peer_monitor.run,
            self.store_sync.configuration.run,
            self.store_sync.hosts.run,
            self.store_sync.run_writes,
            self.store_sync.run_refreshes,
            self.runner.run_polling,
            self.links.run,
            self.run_flushes,
            self.run_settings,
        ]
        tasks += [listener.run for listener in self.listeners.values()]
        tasks += [
            partial(listener.run_idle_reaper, self.idle_seconds)
            for listener in self.listeners.values()
        ]
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(self.guard, task)
            await group.spawn(self.wait_for_stop)
        self.journal.flush()

    def idle_seconds(self) -> float:
        """Return the time in seconds after which idle connections are closed."""
        configuration = self.directory.configuration
        limits = configuration.limits if configuration else InputLimits()
        return limits.idle_timeout + IDLE_MARGIN_SECONDS

    async def guard(self, task: Any) -> None:
        """Run a part; an error that nothing expected stops the node with its name."""
        try:
            await task()
        except curio.CancelledError:
            raise
        except Exception as error:
            self.journal.write(
                "part_failed",
                part=getattr(task, "__qualname__", str(task)),
                error=repr(error),
            )
            self.failed = True

    async def run_flushes(self) -> None:
        """Write the log until cancelled."""
        while True:
            await curio.sleep(FLUSH_INTERVAL_SECONDS)
            self.journal.flush()

    async def run_settings(self) -> None:
        """Notice changes of the settings file until cancelled."""
        while True:
            await curio.sleep(SETTINGS_CHECK_SECONDS)
            state = file_version(self.settings_path)
            if state != self.settings_version:
                self.settings_version = state
                self.reload()

    def reload(self) -> None:
        """Read the settings again; those of sockets need a restart."""
        try:
            settings = read_host_settings(self.settings_path)
        except SettingsError as error:
            self.journal.write("reload_failed", error=str(error))
            return
        self.journal.write("reload", changed=settings != self.settings)
        self.settings = settings._replace(listen=self.settings.listen)
        self.runner.settings = self.entry.settings = self.settings

    async def wait_for_stop(self) -> None:
        """Reload on a hangup signal; stop gracefully on the others."""
        while await self.signal.wait():
            self.reload()
        await self.stop()

    async def stop(self) -> None:
        """Stop without cutting off a request.

        Clients and nodes learn of it first, and what they send meanwhile is served.
        """
        started = self.clock.now()
        self.stopping = True
        self.journal.write("stop", running=len(self.hangup_monitor.busy))
        self.runner.closing = True
        for name in ("callers", "peers"):
            self.listeners[name].drain()
        await self.publish_target()
        await curio.sleep(DRAIN_ANNOUNCEMENT_SECONDS)
        left = self.settings.bounds.grace - STOP_MARGIN_SECONDS
        left -= self.clock.now() - started
        await curio.ignore_after(max(0.0, left), self.wait_until_idle)
        self.journal.write("stopped", running=len(self.hangup_monitor.busy))

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.hangup_monitor.busy or self.runner.active_calls:
            await curio.sleep(IDLE_POLL_SECONDS)
        for listener in self.listeners.values():
            listener.close_idle_connections()


def file_version(path: str) -> tuple[int, int]:
    """Return what changes when a file is replaced; zeros if there is none."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_ino
