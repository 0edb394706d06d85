"""Mesh node: its components, sockets and background tasks."""

import bisect
import gc
import os
import random
import secrets
import time
from functools import partial
from typing import Any

import curio

from ..clock import SystemClock
from ..connectionmonitor import ConnectionMonitor
from ..datagrams import DatagramSocket
from ..errors import SettingsError
from ..http import BodyBudget
from ..listener import Listener
from ..platform.configuration import CONFIGURATION_KEY
from ..platform.settings import read_host_settings
from ..platform.store import CONFIGURATION_TABLE, HOST_TABLE, MetadataStore
from ..routing import Router
from ..settings import RoutingSettings
from ..signals import SignalWaiter
from ..signing import Signer
from ..sockets import open_listener, split_address
from ..stalls import StallDetector
from ..supervisor import Component
from ..ticks import sleep_until_tick
from .callgraph import CallGraph
from .configuration import InputLimits, MeshConfiguration
from .crashreports import CrashReporter
from .entry import EntryHandler
from .execution import TargetRunner
from .health import HeartbeatHandler, ReadinessHandler
from .inbound import PeerHandler
from .journal import Journal
from .links import LinkServer
from .metrics import Gauge, MetricsHandler
from .monitor import PeerMonitor
from .quarantine import Quarantine
from .quotas import Quotas
from .ratelimiter import RateLimiter
from .replication.directory import Directory, HostRecord
from .replication.synchronizer import StateSynchronizer
from .sender import RequestSender
from .settings import HostSettings
from .shedding import AdmissionLevelTable
from .shutdown import schedule_stop
from .supervisor import JournalSupervisor
from .target import LocalTarget, Phase

FLUSH_INTERVAL_SECONDS = 0.1
SETTINGS_CHECK_SECONDS = 1.0
IDLE_POLL_SECONDS = 0.05
STORE_TIMEOUT_SECONDS = 1.5
# A client that observes the idle timeout must never find its connection closed.
IDLE_MARGIN_SECONDS = 5.0
MAX_CONNECTIONS = 2500  # per listener
# Fraction of the process's memory that buffered request bodies may use.
BUFFERED_BODY_SHARE = 0.25
# Only tells datagrams of nodes from those of other programs; the platform provides no
# shared secret.
DATAGRAM_SECRET = b"carawaywheel mesh 1"


class MeshNode:
    """Node beside one target host.

    Attributes:
        settings: Settings of the node.
        settings_version: Version of the settings file that was read last.
        stopping: Whether a graceful stop has begun.
        supervisor: Restarts the background components that fail.
    """

    def __init__(self, settings: HostSettings, path: str) -> None:
        """Open the sockets and build the components.

        Args:
            settings: Settings of the node.
            path: Path of the settings file.
        """
        self.settings = settings
        self.settings_path = path
        self.settings_version = file_version(path)
        self.clock = SystemClock()
        self.rng = random.Random(secrets.randbits(64))
        self.journal = Journal(settings.node_id)
        self.journal.install()
        self.signal_waiter = SignalWaiter()
        self.stopping = False
        self.supervisor = JournalSupervisor(self.journal, self.clock)
        self.stalls = StallDetector(self.clock)
        self.connection_monitor = ConnectionMonitor(self.clock)
        self.body_budget = BodyBudget(int(settings.memory_bytes * BUFFERED_BODY_SHARE))
        self.build_shared_state()
        self.build_request_handling()
        self.build_listeners()

    def build_shared_state(self) -> None:
        """Build the shared state and the components that synchronize it."""
        settings = self.settings
        self.directory = Directory()
        self.router = Router(RoutingSettings(), settings.domain, self.rng)
        own_address = settings.listen.peers
        self.peer_monitor = PeerMonitor(
            own_address, self.directory, self.router, self.journal, self.clock
        )
        self.peer_monitor.on_configuration_changed = self.apply_configuration
        self.target = LocalTarget(settings.service, settings.target_address)
        self.target.former_unknown = not settings.first_start
        record = HostRecord(
            settings.node_id,
            own_address,
            settings.domain,
            settings.service,
            int(time.time() * 1000),
            0,
            int(Phase.GONE),
            0,
        )
        self.directory.merge(record)
        host, port = split_address(settings.listen.datagrams)
        self.datagram_socket = DatagramSocket(host, port, Signer(DATAGRAM_SECRET))
        self.synchronizer = StateSynchronizer(
            MetadataStore(settings.store.address, STORE_TIMEOUT_SECONDS),
            (CONFIGURATION_TABLE, HOST_TABLE),
            CONFIGURATION_KEY,
            self.directory,
            self.peer_monitor,
            record,
            self.datagram_socket,
            settings.first_start,
            self.journal,
            self.clock,
            self.rng,
        )
        self.synchronizer.publisher.on_former_leaving = self.distrust_target
        self.quotas = Quotas(own_address)
        self.rate_limiter = RateLimiter(
            self.quotas,
            self.datagram_socket,
            self.peer_monitor,
            self.journal,
            self.clock,
        )
        self.quarantine = Quarantine()
        self.crash_reporter = CrashReporter(
            self.quarantine,
            self.datagram_socket,
            self.directory,
            own_address,
            self.journal,
            self.clock,
        )

    def build_request_handling(self) -> None:
        """Build the components that process requests."""
        call_graph = CallGraph()
        levels = AdmissionLevelTable(self.rng)
        self.runner = TargetRunner(
            self.settings,
            self.target,
            call_graph,
            levels,
            self.journal,
            self.clock,
            self.stalls,
            self.rng,
            self.publish_target,
            self.crash_reporter,
        )
        self.runner.awaits_configuration = True
        self.peer_monitor.on_hosts_changed = self.update_targets
        self.peer_monitor.on_evacuation_changed = self.apply_evacuation
        self.peer_monitor.serving = lambda: self.runner.current_gate() is not None
        self.sender = RequestSender(
            self.settings,
            self.directory,
            self.router,
            self.runner,
            call_graph,
            levels,
            self.peer_monitor,
            self.quarantine,
            self.journal,
            self.clock,
        )
        self.entry = EntryHandler(
            self.settings,
            self.directory,
            self.sender,
            self.runner,
            self.rate_limiter,
            call_graph,
            levels,
            self.journal,
            self.clock,
            self.stalls,
            self.rng,
        )

    def build_listeners(self) -> None:
        """Open the listening sockets and build their handlers."""
        listen = self.settings.listen
        self.peers = PeerHandler(self.runner, self.peer_monitor, self.journal)
        self.link_server = LinkServer(
            open_listener(*split_address(listen.links)),
            self.runner,
            self.peer_monitor,
            self.journal,
            self.peers.retain_response,
        )
        handlers: dict[str, tuple[str, Any]] = {
            "callers": (listen.callers, self.entry),
            "peers": (listen.peers, self.peers),
            "ready": (listen.ready, ReadinessHandler(self.find_obstacle)),
            "heartbeats": (
                listen.heartbeats,
                HeartbeatHandler(
                    self.target,
                    self.publish_target,
                    self.synchronizer.publisher.wait_until_saved,
                    self.journal,
                ),
            ),
        }
        if listen.metrics:
            handlers["metrics"] = (
                listen.metrics,
                MetricsHandler(self.journal, self.read_gauges),
            )
        self.listeners = {
            name: self.build_listener(name, address, handler)
            for name, (address, handler) in handlers.items()
        }

    def build_listener(self, name: str, address: str, handler: Any) -> Listener:
        """Open a listening socket and return its listener."""
        sock = open_listener(*split_address(address))
        listener = Listener(
            name,
            sock,
            handler,
            self.connection_monitor,
            MAX_CONNECTIONS,
            self.body_budget,
        )
        listener.on_protocol_error = lambda name: self.journal.count("bad_input", name)
        return listener

    def find_obstacle(self) -> dict[str, Any]:
        """Return why this node is not ready for client requests; empty if it is."""
        if self.stopping:
            return {"reason": "stopping"}
        if self.directory.configuration is None:
            unreadable = self.peer_monitor.unreadable.newest
            if unreadable is None:
                return {"reason": "no configuration is known"}
            return {
                "reason": "the configuration cannot be read",
                "version": unreadable.version,
                "error": unreadable.error,
            }
        if not self.directory.hosts_known:
            return {"reason": "the other hosts are not known"}
        return {}

    def read_gauges(self) -> list[Gauge]:
        """Return the present values of all gauges."""
        gauges = self.peer_monitor.unreadable.gauges()
        gauges += self.directory.evacuations.gauges()
        gate = self.runner.gate
        if gate is not None:
            queue, now = gate.queue, self.clock.now()
            gauges += self.runner.target_load.gauges(
                queue.in_flight + queue.queued, queue.limit.limit(now), now
            )
        return gauges

    def apply_configuration(self, configuration: MeshConfiguration) -> None:
        """Pass a new configuration to the components."""
        self.runner.configuration_version = configuration.version
        self.runner.level.set_max_level(configuration.lowest_priority + 1.0)
        self.quotas.configure(configuration.accounts)
        self.configure_runner(configuration)

    def configure_runner(self, configuration: MeshConfiguration) -> None:
        """Pass the settings and the service of the local target to the runner."""
        service = configuration.services.get(self.settings.service)
        self.runner.configure(self.settings, service)

    def apply_evacuation(self, domain: str, active: bool) -> None:
        """Apply the beginning or end of an evacuation of a failure domain."""
        if domain == self.settings.domain:
            self.runner.on_evacuation_changed(active)
        domains = self.settings.domains
        if active and domains and domain not in domains:
            self.journal.write("evacuation_domain_unknown", domain=domain)

    def update_targets(self) -> None:
        """Update the known nodes and the part of the retry budget of this one."""
        self.rate_limiter.refresh_nodes()
        targets = sorted(self.directory.ready_addresses(self.settings.service))
        own_index = bisect.bisect_left(targets, self.settings.listen.peers)
        self.runner.share_retries(len(targets), own_index)

    async def publish_target(self) -> None:
        """Publish the state of the local target to the other nodes."""
        heartbeat = self.target.heartbeat
        stays = heartbeat is None or heartbeat.phase is Phase.READY
        if heartbeat is None and self.target.leaving:
            await self.synchronizer.publisher.publish(int(Phase.GONE), 1)
        elif heartbeat is None or (self.stopping and stays):
            await self.synchronizer.publisher.publish(int(Phase.GONE), 0)
        else:
            await self.synchronizer.publisher.publish(
                int(heartbeat.phase), heartbeat.slots
            )

    def distrust_target(self) -> bool:
        """Wait for a second heartbeat that calls the target ready.

        Returns:
            Whether the target counts as leaving from now on.
        """
        distrusted = self.target.distrust()
        if distrusted:
            self.journal.write("target_was_leaving")
        return distrusted

    async def believe_target(self) -> None:
        """Use the target once the former record of its host is known."""
        await self.synchronizer.learn_own_record()
        self.target.learn_former()
        if self.target.heartbeat is not None:
            self.journal.write("target", target=str(self.target.heartbeat))
            await self.publish_target()

    async def run(self) -> None:
        """Run all components until a graceful stop is complete."""
        self.journal.write("start", settings=str(self.settings))
        # Long garbage collection pauses come from scanning objects that live as long as
        # the node; freezing exempts them.
        gc.collect()
        gc.freeze()
        components: list[Component] = [
            self.stalls.run,
            self.connection_monitor.run,
            self.datagram_socket.run,
            self.rate_limiter.run,
            self.crash_reporter.run,
            self.peer_monitor.run,
            self.synchronizer.run,
            self.synchronizer.run_freshness,
            self.synchronizer.configuration_follower.run,
            self.synchronizer.host_follower.run,
            self.synchronizer.publisher.run_writes,
            self.synchronizer.restorer.run,
            self.synchronizer.run_fetches,
            self.runner.run_polling,
            self.link_server.run,
            self.run_flushes,
            self.run_settings_watch,
        ]
        components += [listener.run for listener in self.listeners.values()]
        components += [
            partial(listener.run_idle_reaper, self.idle_seconds)
            for listener in self.listeners.values()
        ]
        await curio.spawn(self.supervisor.attempt, self.believe_target, daemon=True)
        async with curio.TaskGroup(wait=any) as group:
            for component in components:
                await group.spawn(self.supervisor.run, component)
            await group.spawn(self.wait_for_stop)
        await self.supervisor.attempt(self.flush_journal)

    def idle_seconds(self) -> float:
        """Return after how many seconds idle connections are closed."""
        configuration = self.directory.configuration
        limits = configuration.limits if configuration else InputLimits()
        return limits.idle_timeout + IDLE_MARGIN_SECONDS

    async def flush_journal(self) -> None:
        """Write buffered log lines."""
        self.journal.flush()

    async def run_flushes(self) -> None:
        """Write buffered log lines at intervals until cancelled."""
        while True:
            await sleep_until_tick(FLUSH_INTERVAL_SECONDS)
            self.journal.flush()

    async def run_settings_watch(self) -> None:
        """Reload the settings file after each change until cancelled."""
        while True:
            await sleep_until_tick(SETTINGS_CHECK_SECONDS)
            version = file_version(self.settings_path)
            if version != self.settings_version:
                self.settings_version = version
                self.reload()

    def reload(self) -> None:
        """Reload the settings; changes of listening addresses require a restart."""
        try:
            settings = read_host_settings(self.settings_path)
        except SettingsError as error:
            self.journal.write("reload_failed", error=str(error))
            return
        self.journal.write("reload", changed=settings != self.settings)
        self.settings = settings._replace(listen=self.settings.listen)
        for component in (self.runner, self.sender, self.entry):
            component.settings = self.settings
        if self.directory.configuration is not None:
            self.configure_runner(self.directory.configuration)

    async def wait_for_stop(self) -> None:
        """Reload on SIGHUP; stop gracefully on the other signals."""
        await self.supervisor.attempt(self.handle_signals)
        await self.stop()

    async def handle_signals(self) -> None:
        """Reload on SIGHUP until a signal asks the node to stop."""
        while await self.signal_waiter.wait():
            self.reload()

    async def stop(self) -> None:
        """Stop without aborting requests that end within the grace period.

        The stop is announced to clients and nodes first, and requests that they still
        send in the meantime are served. After that new requests are refused: with
        clients that keep sending there would be no moment without one in flight, and
        the end of the grace period would cut off the last ones. Those that have not
        begun at a target by then are refused.
        """
        started = self.clock.now()
        schedule = schedule_stop(self.settings.bounds.grace)
        self.stopping = True
        self.log_running("stop")
        self.runner.shutting_down = True
        for name in ("callers", "peers"):
            self.listeners[name].drain()
        await self.supervisor.attempt(self.publish_target)
        await curio.sleep(schedule.refuse_after)
        self.entry.refusing = True
        self.log_running("refusing")
        remaining = schedule.time_to_finish(self.clock.now() - started)
        await curio.ignore_after(remaining, self.wait_until_idle)
        self.log_running("stopped")
        self.entry.cutting_off = True
        await self.runner.refuse_waiting()
        await self.sender.refuse_waiting()
        await curio.ignore_after(schedule.refusal_time, self.wait_until_idle)
        await self.connection_monitor.cancel_busy()
        await curio.ignore_after(schedule.cancel_time, self.wait_until_idle)

    def log_running(self, event: str) -> None:
        """Log an event of the stop with what is still in flight."""
        self.journal.write(
            event,
            running=len(self.connection_monitor.busy),
            calls=self.runner.active_calls,
        )

    def is_idle(self) -> bool:
        """Return whether no request, call or response is in flight."""
        return (
            not self.connection_monitor.busy
            and not self.runner.active_calls
            and not self.peers.retained_responses
            and self.link_server.is_idle
        )

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight, then close the idle connections.

        Returns when the clients have closed the connections that were open until then,
        or have had enough time for it. Those who connect later do not prolong it.
        """
        while not self.is_idle():
            await curio.sleep(IDLE_POLL_SECONDS)
        for listener in self.listeners.values():
            listener.close_idle_connections()
        await self.connection_monitor.wait_for_lingering()


def file_version(path: str) -> tuple[int, int]:
    """Return modification time and inode of a file, which change with its content.

    Both are zero if the file does not exist.
    """
    try:
        status = os.stat(path)
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_ino
