"""Disturbances of a soak: what each entry of the schedule does."""

import signal
import time
from abc import ABC, abstractmethod
from typing import Any

import curio

from standins.platform import DRAIN_SECONDS, GRACE_SECONDS

from .installation import (
    HOSTS_TOPIC,
    OPERATOR_TOPIC,
    RESTART_SECONDS,
    Installation,
)
from .promises import SERVED_AGAIN_SECONDS, WARMUP_SECONDS
from .record import STORE, Lifetime
from .schedule import Action

# The platform kills a process that is still there; the margin shows that it was late.
KILL_MARGIN_SECONDS = 1.0
FREEZE_IN_STOP_SECONDS = 1.0
DRAIN_MARGIN_SECONDS = 1.5
GONE_SECONDS = 0.5
# Processor time of a start: the interpreter's own takes 0.07, more on a busy machine;
# all of the start takes 0.2.
START_WORK_SECONDS = 0.15
STORE_DELAY_SECONDS = 0.4
LINK_DELAY_SECONDS = 0.3
SLOW_TARGET_SECONDS = 1.5
LOST_STORE_ANSWERS = 10
# Two to three heartbeats before the end of an evacuation.
COLD_BEFORE_RETURN_SECONDS = 0.8


class Disturbance(ABC):
    """One kind of disturbance.

    Attributes:
        installation: What it disturbs.
    """

    def __init__(self, installation: Installation) -> None:
        self.installation = installation

    @abstractmethod
    async def play(self, action: Action) -> None:
        """Play one entry of the schedule until its end."""

    async def hold(self, place: str, action: Action) -> None:
        """Record the disturbance for its duration."""
        span = self.installation.record.begin(place, action.kind, time.time())
        try:
            await curio.sleep(action.seconds)
        finally:
            span.end = time.time()


class Stop(Disturbance):
    """SIGTERM to a node, more signals while it stops, and a new start."""

    async def play(self, action: Action) -> None:
        """Stop the node unless it is stopping or gone."""
        installation = self.installation
        lifetime = installation.lifetimes[action.host]
        if min(lifetime.stopped_at, lifetime.ended_at) <= time.time():
            installation.note(f"{action.host}: no stop, as it stops or is gone")
            return
        lifetime.stopped_at = time.time()
        span = installation.record.begin(action.host, "stop", time.time())
        installation.signal(action.host, signal.SIGTERM)
        async with curio.TaskGroup() as group:
            for delay, name in action.extras:
                await group.spawn(self.play_extra, lifetime, delay, name)
            await group.spawn(self.end_in_time, action.host, lifetime.number)
        await start_again(installation, action, lifetime.number)
        span.end = time.time()

    async def end_in_time(self, host: str, number: int) -> None:
        """Wait for the end; kill a process that outlives the grace time."""
        gone = self.installation.gone(host, number)
        try:
            async with curio.timeout_after(GRACE_SECONDS + KILL_MARGIN_SECONDS):
                await gone
        except curio.TaskTimeout:
            self.installation.signal(host, signal.SIGCONT)
            self.installation.signal(host, signal.SIGKILL)
            await self.installation.gone(host, number)

    async def play_extra(self, lifetime: Lifetime, delay: float, name: str) -> None:
        """Send one more signal to the stopping process, and to no later one."""
        await curio.sleep(delay)
        installation = self.installation
        host = lifetime.host
        if lifetime.ended_at < time.time() or installation.lifetimes[host] != lifetime:
            return
        if name == "FREEZE":
            lifetime.frozen_during_stop = True
            await freeze(installation, host, FREEZE_IN_STOP_SECONDS)
        elif name == "KILL":
            await kill(installation, host)
        else:
            installation.signal(host, signal.Signals[f"SIG{name}"])


async def freeze(installation: Installation, host: str, seconds: float) -> None:
    """Suspend a node for some seconds."""
    process = installation.nodes[host]
    span = installation.record.begin(host, "freeze", time.time())
    installation.signal(host, signal.SIGSTOP)
    await curio.sleep(seconds)
    if process is installation.nodes[host]:
        installation.signal(host, signal.SIGCONT)
    span.end = time.time()


async def kill(installation: Installation, host: str) -> int:
    """Kill a node; return the number of the start that was killed."""
    lifetime = installation.lifetimes[host]
    span = installation.record.begin(host, "kill", time.time())
    lifetime.killed = True
    installation.signal(host, signal.SIGKILL)
    await installation.gone(host, lifetime.number)
    span.end = time.time()
    return lifetime.number


async def start_again(installation: Installation, action: Action, number: int) -> None:
    """Start a node after one of its starts, unless that was done; maybe reload it."""
    await curio.sleep(RESTART_SECONDS + action.seconds)
    installation.restart(action.host, number)
    if action.variant == "reload-at-start":
        await installation.worked(action.host, START_WORK_SECONDS)
        installation.signal(action.host, signal.SIGHUP)


class Kill(Disturbance):
    """SIGKILL to a node, and a new start."""

    async def play(self, action: Action) -> None:
        """Kill the node and start it again."""
        number = await kill(self.installation, action.host)
        await start_again(self.installation, action, number)


class Freeze(Disturbance):
    """SIGSTOP and SIGCONT to a node."""

    async def play(self, action: Action) -> None:
        """Suspend the node."""
        lifetime = self.installation.lifetimes[action.host]
        await freeze(self.installation, action.host, action.seconds)
        if lifetime.stopped_at <= time.time():
            lifetime.frozen_during_stop = True


class Reload(Disturbance):
    """SIGHUP to a node."""

    async def play(self, action: Action) -> None:
        """Send the signal, to a process that just starts once its interpreter is up."""
        await self.installation.worked(action.host, START_WORK_SECONDS)
        self.installation.signal(action.host, signal.SIGHUP)


class StoreFault(Disturbance):
    """A fault of the store for all nodes."""

    async def play(self, action: Action) -> None:
        """Set the fault and take it back."""
        name, fault, normal = {
            "store-down": ("down", True, False),
            "store-slow": ("delay", STORE_DELAY_SECONDS, 0.0),
            "store-lose": ("lose", LOST_STORE_ANSWERS, 0),
        }[action.kind]
        span = self.installation.record.begin(STORE, action.kind, time.time())
        await self.installation.control_store({name: fault})
        await curio.sleep(action.seconds)
        await self.installation.control_store({name: normal})
        span.end = time.time()


class StoreCompaction(Disturbance):
    """The store drops the history that nodes follow."""

    async def play(self, action: Action) -> None:
        """Drop the history of both topics."""
        span = self.installation.record.begin(STORE, action.kind, time.time())
        for topic in (OPERATOR_TOPIC, HOSTS_TOPIC):
            await self.installation.control_store({"compact": topic})
        span.end = time.time()


class LinkFault(Disturbance):
    """A fault of the link between a node and the store or its target."""

    async def play(self, action: Action) -> None:
        """Set the fault; connections that have lost bytes are reset at its end."""
        relay = self.installation.relays[action.kind, action.host]
        if action.variant == "reset":
            span = self.installation.record.begin(action.host, action.kind, time.time())
            await relay.reset_connections()
            span.end = time.time()
            return
        fault: Any = LINK_DELAY_SECONDS if action.variant == "delay" else True
        await relay.apply({action.variant: fault})
        await self.hold(action.host, action)
        if action.variant == "delay":
            # Requests of before its end arrive together with those after it.
            kind = f"{action.kind}-delay-ends"
            span = self.installation.record.begin(action.host, kind, time.time())
            span.end = span.begin + LINK_DELAY_SECONDS
        if action.variant == "silent_old":
            # Silent connections stay silent; those of the time after it are relayed.
            return
        await relay.apply({action.variant: 0.0 if action.variant == "delay" else False})
        if action.variant != "delay":
            await relay.reset_connections()


class TargetLeave(Disturbance):
    """A target drains, leaves, ends and comes back with a new id."""

    async def play(self, action: Action) -> None:
        """Let the target leave and start another one."""
        installation = self.installation
        span = installation.record.begin(action.host, "target-leave", time.time())
        await installation.control_target(action.host, {"phase": "draining"})
        await curio.sleep(DRAIN_SECONDS + DRAIN_MARGIN_SECONDS)
        await installation.control_target(action.host, {"phase": "gone"})
        await curio.sleep(GONE_SECONDS)
        await replace_target(installation, action)
        span.end = time.time()


async def replace_target(installation: Installation, action: Action) -> None:
    """Kill a target and start another one after the duration of the action."""
    span = installation.record.begin(action.host, "target-kill", time.time())
    target = installation.targets[action.host]
    target.kill()
    target.wait()
    await curio.sleep(action.seconds)
    span.end = time.time()
    if installation.targets[action.host] is target:
        installation.start_target(action.host)


class TargetKill(Disturbance):
    """A target is killed and comes back with a new id."""

    async def play(self, action: Action) -> None:
        """Kill the target and start another one."""
        await replace_target(self.installation, action)


class ColdReturn(Disturbance):
    """The targets of a failure domain end and come back together, cold."""

    async def play(self, action: Action) -> None:
        """Kill the targets and start others."""
        async with curio.TaskGroup() as group:
            for host in self.installation.hosts_in(action.variant):
                part = action._replace(host=host)
                await group.spawn(replace_target, self.installation, part)


class Evacuate(Disturbance):
    """The operator evacuates a failure domain; its targets are cold at the end."""

    async def play(self, action: Action) -> None:
        """Write the evacuation, remove it, and wait until the end is judged."""
        installation, zone = self.installation, action.variant
        if any(
            item.zone == zone and item.removed_at + SERVED_AGAIN_SECONDS > time.time()
            for item in installation.record.evacuations
        ):
            installation.note(f"no evacuation of {zone}, as one is in force")
            return
        evacuation = await installation.evacuate(zone)
        await curio.sleep(action.seconds - COLD_BEFORE_RETURN_SECONDS)
        for host in installation.hosts_in(zone):
            await installation.control_target(host, {"cold": WARMUP_SECONDS})
        await curio.sleep(COLD_BEFORE_RETURN_SECONDS)
        await installation.end_evacuation(evacuation)
        await curio.sleep(SERVED_AGAIN_SECONDS)


class TargetFault(Disturbance):
    """A target that answers badly or slowly."""

    async def play(self, action: Action) -> None:
        """Set the mode or the time of each run, and take it back."""
        slow = action.kind == "target-slow"
        fault = {"work": SLOW_TARGET_SECONDS} if slow else {"mode": action.variant}
        normal = {"work": 0.01} if slow else {"mode": ""}
        await self.installation.control_target(action.host, fault)
        await self.hold(action.host, action)
        await self.installation.control_target(action.host, normal)


class Configure(Disturbance):
    """The operator publishes a configuration."""

    async def play(self, action: Action) -> None:
        """Publish the next version once the store is up."""
        await self.installation.publish()


DISTURBANCES: dict[str, type[Disturbance]] = {
    "stop": Stop,
    "kill": Kill,
    "freeze": Freeze,
    "reload": Reload,
    "store-down": StoreFault,
    "store-slow": StoreFault,
    "store-lose": StoreFault,
    "store-compact": StoreCompaction,
    "store-link": LinkFault,
    "target-link": LinkFault,
    "target-leave": TargetLeave,
    "target-kill": TargetKill,
    "target-mode": TargetFault,
    "target-slow": TargetFault,
    "configure": Configure,
    "cold_return": ColdReturn,
    "evacuate": Evacuate,
}
