"""Settings of the node and of its core modules, passed whole."""

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """Settings of the adaptive concurrency limit.

    Attributes:
        cold_start_share: Share of the declared slots that a cold target starts at.
        minimum: Lowest limit, in slots.
        latency_tolerance: Ratio of latency over its recent low that is accepted.
        window: Seconds over which latency is sampled before a step.
        growth: Largest step up, as a share of the limit.
        trial_cut: Share of the limit that a trial takes away to find out whether
            concurrency is the cause of the latency.
        trial_interval: Seconds between two trials of a limit that is in use while
            latency is within the tolerance.
        shed_tolerance: Share of requests that the target may shed without a cut.
    """

    cold_start_share: float = 0.25
    minimum: int = 1
    latency_tolerance: float = 2.0
    window: float = 0.25
    growth: float = 0.25
    trial_cut: float = 0.25
    trial_interval: float = 30.0
    shed_tolerance: float = 0.01


class AdmissionSettings(NamedTuple):
    """Settings of the admission queue.

    Attributes:
        queue_per_slot: Queue places for each declared slot.
        service_time_guess: Seconds of service time assumed before any sample.
        fair: Whether client accounts share the queue fairly.
    """

    queue_per_slot: float = 4.0
    service_time_guess: float = 0.05
    fair: bool = True


class LevelSettings(NamedTuple):
    """Settings of the refusal at the entry.

    Attributes:
        max_age: Seconds after which a learned level is ignored.
        probe_share: Share of requests let through to notice recovery.
        shed_from: Pressure at which shedding begins.
        shed_all: Pressure at which all but CRITICAL requests are shed.
        smoothing: Time constant of the moving average of pressure, in seconds.
        route_age: Seconds for which a service counts as part of a route's chain.
        fair: Whether accounts below their fair share are spared.
        fair_window: Seconds over which the demand of accounts is compared.
    """

    max_age: float = 2.0
    probe_share: float = 0.02
    shed_from: float = 4.0
    shed_all: float = 6.0
    smoothing: float = 0.25
    route_age: float = 60.0
    fair: bool = True
    fair_window: float = 2.0


class RetrySettings(NamedTuple):
    """Settings of retries.

    Attributes:
        attempts: Attempts for a request over its whole chain beyond one a hop.
        service_share: Retries allowed as a share of first attempts.
        service_window: Seconds over which the share is counted.
        service_floor: Retries allowed in a window whatever the share.
    """

    attempts: int = 3
    service_share: float = 0.1
    service_window: float = 10.0
    service_floor: int = 3


class RoutingSettings(NamedTuple):
    """Settings of the choice of targets.

    Attributes:
        domain_margin: Extra load accepted to stay in the own failure domain.
        eject_after: Consecutive failures after which a target is ejected.
        eject_base: Seconds of the first ejection; doubles with each one.
        eject_max: Longest ejection in seconds.
        eject_share: Largest share of a service's targets ejected at once.
        slow_start: Seconds over which a cold target takes its full share.
    """

    domain_margin: float = 0.25
    eject_after: int = 5
    eject_base: float = 1.0
    eject_max: float = 30.0
    eject_share: float = 0.34
    slow_start: float = 10.0


class MembershipSettings(NamedTuple):
    """Settings of gossip membership.

    Attributes:
        probe_interval: Seconds between probes.
        probe_timeout: Seconds to wait for an acknowledgement.
        indirect_probes: Members asked to probe on behalf of this one.
        suspect_time: Seconds a member is suspected before it counts as dead.
        forget_time: Seconds a dead or left member is remembered.
        updates_per_message: Updates carried on one datagram.
    """

    probe_interval: float = 1.0
    probe_timeout: float = 0.5
    indirect_probes: int = 3
    suspect_time: float = 3.0
    forget_time: float = 60.0
    updates_per_message: int = 8


class ShareSettings(NamedTuple):
    """Settings of fleet-wide rates.

    Attributes:
        slots: Slots of client accounts in each failure domain.
        loan_time: Seconds a loan is valid at the borrower.
        drift: Largest relative error of a clock's rate.
        lease_time: Seconds after which a slot whose holder is silent may be taken.
        ask_interval: Seconds between two requests of a borrower to one lender.
        reply_timeout: Seconds to wait for an answer of a lender.
    """

    slots: int = 64
    loan_time: float = 1.0
    drift: float = 0.01
    lease_time: float = 7200.0
    ask_interval: float = 0.2
    reply_timeout: float = 0.1
