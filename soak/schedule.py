"""The random schedule of a soak: which disturbance happens when, drawn from a seed."""

import random
from typing import NamedTuple

SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS = 0.1, 1.5
SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS = 0.3, 4.0
# The store's faults last longer, so that nodes start while it is down.
STORE_FAULT_FACTOR = 2
# At the end, faults end and what they have delayed is still checked.
CALM_END_SECONDS = 5.0

# How often each kind is drawn, before the seed's own emphasis.
NODE_KINDS = {"stop": 4.0, "kill": 1.0, "freeze": 1.0, "reload": 0.5}
STORE_KINDS = {
    "store-down": 0.7,
    "store-slow": 0.5,
    "store-lose": 0.5,
    "store-compact": 0.5,
}
LINK_KINDS = {"store-link": 1.0, "target-link": 1.0}
TARGET_KINDS = {
    "target-leave": 1.0,
    "target-kill": 0.5,
    "target-mode": 1.0,
    "target-slow": 1.0,
}
OPERATOR_KINDS = {"configure": 2.0}
# Drawn apart, so that the other entries of a seed stay those of its known failure.
DOMAIN_KINDS = ("cold_return", "evacuate")
KINDS = {
    *NODE_KINDS,
    *STORE_KINDS,
    *LINK_KINDS,
    *TARGET_KINDS,
    *OPERATOR_KINDS,
    *DOMAIN_KINDS,
}
ZONES = ("a", "b", "c")
# An evacuation is judged from five seconds after its begin.
SHORTEST_EVACUATION_SECONDS, LONGEST_EVACUATION_SECONDS = 6.5, 9.0
SHORTEST_DOMAIN_GAP_SECONDS, LONGEST_DOMAIN_GAP_SECONDS = 1.0, 6.0
FAMILIES = (NODE_KINDS, STORE_KINDS, LINK_KINDS, TARGET_KINDS, OPERATOR_KINDS)
EMPHASES = (0.3, 1.0, 3.0)

LINK_FAULTS = (
    "delay",
    "reset",
    "cut",
    "silent",
    "silent_old",
    "lose_answers",
    "lose_requests",
)
TARGET_MODES = (
    "lost",
    "cut",
    "cut-late",
    "crossed",
    "anonymous",
    "fail",
    "shed",
    "endless-header",
    "endless-chunks",
    "endless-garbage",
)
# A reload right after a start, and twice as often none.
START_VARIANTS = ("reload-at-start", "", "")
STOP_EXTRAS = ("TERM", "HUP", "FREEZE", "KILL")
STOP_EXTRA_WEIGHTS = (4, 3, 1, 1)


class Action(NamedTuple):
    """One entry of the schedule.

    Attributes:
        at: Begin in seconds after the start of the schedule.
        kind: Name of the disturbance.
        host: Host that it concerns; empty for the store and the operator.
        seconds: How long it lasts; 0 if it has no duration.
        variant: Form of the disturbance, such as the mode of a target.
        extras: Signals sent during a stop, with their seconds after SIGTERM.
    """

    at: float
    kind: str
    host: str = ""
    seconds: float = 0.0
    variant: str = ""
    extras: tuple[tuple[float, str], ...] = ()

    def __str__(self) -> str:
        """Return the entry as a line of the printed schedule."""
        parts = [f"{self.at:7.2f} s", self.kind, self.host, self.variant]
        if self.seconds:
            parts.append(f"for {self.seconds:.2f} s")
        parts += [f"{name} {at:.2f} s later" for at, name in self.extras]
        return " ".join(part for part in parts if part)


def draw_schedule(seed: int, seconds: float, hosts: list[str]) -> list[Action]:
    """Return the schedule of a seed, in the order of time.

    The same arguments give the same schedule. Each seed has its own emphasis on the
    families of disturbances, so that some seeds show many stops and others few.

    Args:
        seed: Seed of all choices.
        seconds: Length of the schedule.
        hosts: Names of the hosts.
    """
    choices = random.Random(seed)
    weights: dict[str, float] = {}
    for family in FAMILIES:
        emphasis = choices.choice(EMPHASES)
        weights |= {kind: weight * emphasis for kind, weight in family.items()}
    actions: list[Action] = []
    now = 0.0
    while True:
        now += choices.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
        if now >= seconds - CALM_END_SECONDS:
            return sorted(actions + draw_domain_actions(seed, seconds))
        (kind,) = choices.choices(list(weights), list(weights.values()))
        actions += draw_actions(choices, now, kind, hosts)


def draw_domain_actions(seed: int, seconds: float) -> list[Action]:
    """Return the entries that concern a failure domain, which their variant names."""
    choices = random.Random(f"{seed} domains")
    kinds = choices.sample(DOMAIN_KINDS, len(DOMAIN_KINDS))
    actions: list[Action] = []
    now = 0.0
    while True:
        now += choices.uniform(SHORTEST_DOMAIN_GAP_SECONDS, LONGEST_DOMAIN_GAP_SECONDS)
        kind, zone = kinds[len(actions) % len(kinds)], choices.choice(ZONES)
        duration = choices.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS)
        if kind == "evacuate":
            duration = choices.uniform(
                SHORTEST_EVACUATION_SECONDS, LONGEST_EVACUATION_SECONDS
            )
        if now + duration >= seconds - CALM_END_SECONDS:
            return actions
        actions.append(Action(now, kind, "", duration, zone))


def draw_actions(
    choices: random.Random, at: float, kind: str, hosts: list[str]
) -> list[Action]:
    """Return the entries of one disturbance; a stop may be one of a series."""
    seconds = choices.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS)
    host = choices.choice(hosts)
    if kind == "stop":
        count = choices.randint(1, max(1, len(hosts) // 2))
        step = choices.uniform(0.0, 1.5)
        series = choices.sample(hosts, count)
        variant = choices.choice(START_VARIANTS)
        return [
            Action(
                at + i * step,
                kind,
                series[i],
                seconds / 4,
                variant,
                draw_extras(choices),
            )
            for i in range(count)
        ]
    if kind == "kill":
        return [Action(at, kind, host, seconds, choices.choice(START_VARIANTS))]
    if kind in LINK_KINDS:
        return [Action(at, kind, host, seconds, choices.choice(LINK_FAULTS))]
    if kind == "target-mode":
        return [Action(at, kind, host, seconds, choices.choice(TARGET_MODES))]
    if kind in ("configure", "store-compact"):
        return [Action(at, kind)]
    if kind in STORE_KINDS:
        return [Action(at, kind, "", seconds * STORE_FAULT_FACTOR)]
    return [Action(at, kind, host, seconds)]


def draw_extras(choices: random.Random) -> tuple[tuple[float, str], ...]:
    """Return the signals of one stop after its SIGTERM."""
    count = choices.choice((0, 0, 0, 1, 2))
    names = choices.choices(STOP_EXTRAS, STOP_EXTRA_WEIGHTS, k=count)
    return tuple(sorted((choices.uniform(0.05, 4.5), name) for name in names))
