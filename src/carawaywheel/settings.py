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
        backoff_base: Longest pause in seconds before the first retry; doubles.
        backoff_max: Longest pause in seconds before any retry.
    """

    attempts: int = 3
    service_share: float = 0.1
    service_window: float = 10.0
    service_floor: int = 3
    backoff_base: float = 0.02
    backoff_max: float = 0.5


class RoutingSettings(NamedTuple):
    """Settings of the choice of targets.

    Attributes:
        domain_margin: Extra load accepted to stay in the own failure domain.
        eject_after: Consecutive failures after which a target is ejected.
        eject_base: Seconds of the first ejection; doubles with each one.
        eject_max: Longest ejection in seconds.
        eject_share: Largest share of a service's targets ejected at once.
        slow_start: Seconds over which a cold target takes its full share.
        pressure_age: Seconds over which the load carried on an answer fades.
        latency_tolerance: Ratio of a target's latency over the median of its
            service above which the target counts as more loaded.
        latency_age: Seconds over which a latency above this ratio fades.
    """

    domain_margin: float = 0.25
    eject_after: int = 5
    eject_base: float = 1.0
    eject_max: float = 30.0
    eject_share: float = 0.34
    slow_start: float = 10.0
    pressure_age: float = 2.0
    latency_tolerance: float = 2.0
    latency_age: float = 10.0


class MembershipSettings(NamedTuple):
    """Settings of gossip membership.

    Attributes:
        probe_interval: Seconds between probes.
        probe_timeout: Seconds to wait for an acknowledgement.
        indirect_probes: Members asked to probe on behalf of this one.
        suspect_time: Seconds a member is suspected before it counts as dead.
        forget_time: Seconds a dead or left member is remembered. Longer than a
            partition that is to be healed, as the parts find each other again
            through the members that they remember.
        updates_per_message: Full descriptions carried on one datagram.
        judgements_per_message: Suspected and dead members named on one datagram.
        urgent_fanout: Members that an urgent update is pushed to at a time.
        urgent_rounds: How many times a node pushes an urgent update.
        urgent_rate: Pushed datagrams a second on average.
        urgent_burst: Pushed datagrams at once.
        reconnect_interval: Seconds between pings to a dead member or a contact.
        digest_interval: Least seconds between two digests that a node sends.
        digest_after: Messages in a row with another view before a digest is sent.
    """

    probe_interval: float = 1.0
    probe_timeout: float = 0.5
    indirect_probes: int = 3
    suspect_time: float = 3.0
    forget_time: float = 7200.0
    updates_per_message: int = 8
    judgements_per_message: int = 32
    urgent_fanout: int = 4
    urgent_rounds: int = 2
    urgent_rate: float = 4.0
    urgent_burst: int = 24
    reconnect_interval: float = 5.0
    digest_interval: float = 3.0
    digest_after: int = 10


class ShareSettings(NamedTuple):
    """Settings of fleet-wide rates.

    Attributes:
        slots: Slots of client accounts in each failure domain.
        loan_time: Seconds a loan is valid at the borrower.
        drift: Largest relative error of a clock's rate.
        lease_time: Seconds after which a slot whose holder is silent may be taken.
        ask_interval: Seconds between two requests of a borrower to one lender.
        reply_timeout: Seconds to wait for an answer of a lender.
        silence_max: Longest time in seconds that a silent lender is left alone.
        demand_window: Seconds over which a borrower averages the demand.
        ahead_time: Seconds of demand that a borrower holds ahead.
        ahead_floor: Calls each second below which nothing is held ahead.
        ahead_share: Share of a bucket that one request may take ahead of demand.
        pause_min: Shortest pause in seconds of borrowers that are turned down, once
            there are many.
        pause_max: Longest pause in seconds.
        pause_window: Seconds over which a lender counts refusals to set the pause.
        refusals_per_second: Refusals each second, for one account, that a lender
            aims at by its pauses.
        prompt_share: Level of a bucket, as a share of the burst, below which spent
            tokens are to be reported at once.
    """

    slots: int = 64
    loan_time: float = 1.0
    drift: float = 0.01
    lease_time: float = 7200.0
    ask_interval: float = 0.2
    reply_timeout: float = 0.1
    silence_max: float = 5.0
    demand_window: float = 2.0
    ahead_time: float = 0.9
    ahead_floor: float = 2.0
    ahead_share: float = 0.25
    pause_min: float = 0.01
    pause_max: float = 5.0
    pause_window: float = 0.5
    refusals_per_second: float = 25.0
    prompt_share: float = 0.7


class NodeSettings(NamedTuple):
    """Settings of one node.

    Attributes:
        node_id: Id of the node, the same after a restart on the same host.
        domain: Failure domain of the host.
        domains: All failure domains of the fleet; the same on every node.
        listen: Address for callers and the local target's own calls, ``ip:port``.
        peer_listen: Address for other nodes; also that of the gossip socket.
        admin_listen: Address for the target's announcements and operators.
        seeds: Peer addresses of some other nodes, split by commas; only needed to
            start while the log is down.
        log: Address of the platform's log.
        log_timeout: Seconds to wait for an answer of the log.
        log_retention: Seconds that the log keeps a record.
        log_format: ``human`` for lines to read, ``json`` for JSON lines.
        fleet_secret: Secret shared by all nodes.
        root_token_digest: SHA-256 of the root token in hexadecimal, or empty.
        statsd: Address of the statsd server, empty for none.
        max_body: Largest request body in bytes.
        max_buffered: Memory for the buffered bodies of all requests, in bytes.
        max_connections: Largest number of open connections of a listener.
        news_max_age: Seconds after which news from the log is too old to serve
            keyed requests; 0 for no limit.
        stop_grace: Seconds that a graceful stop waits for requests in flight.
        leave_wait: Seconds between the announcement that the node leaves and the
            end of its listeners.
        event_bytes: Memory for events, in bytes.
        summary_interval: Seconds between two summaries in the log.
        limit: Settings of the concurrency limit.
        admission: Settings of the admission queue.
        level: Settings of the refusal at the entry.
        retry: Settings of retries.
        routing: Settings of the choice of targets.
        membership: Settings of gossip membership.
        share: Settings of fleet-wide rates.
        peer_advertise: Address that other nodes are told instead of that of the peer
            listener, for both TCP and gossip; empty if they are the same.
    """

    node_id: str
    domain: str
    domains: tuple[str, ...]
    listen: str
    peer_listen: str
    admin_listen: str
    seeds: tuple[str, ...]
    log: str
    log_timeout: float
    log_retention: float
    log_format: str
    fleet_secret: bytes
    root_token_digest: str
    statsd: str
    max_body: int
    max_buffered: int
    max_connections: int
    news_max_age: float
    stop_grace: float
    leave_wait: float
    event_bytes: int
    summary_interval: float
    limit: LimitSettings
    admission: AdmissionSettings
    level: LevelSettings
    retry: RetrySettings
    routing: RoutingSettings
    membership: MembershipSettings
    share: ShareSettings
    peer_advertise: str = ""
