"""Settings of the node and of its core modules."""

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """Settings of the adaptive concurrency limit.

    Attributes:
        cold_start_share: Initial limit of a cold target, as a share of its declared
            slots.
        minimum: Lower bound of the limit, in slots.
        latency_tolerance: Accepted ratio of the latency to its recent minimum.
        window: Seconds over which latency is sampled before the limit is adjusted.
        growth: Largest increase at a time, as a share of the limit.
        trial_cut: Share by which a trial reduces the limit to find out whether
            concurrency causes the latency.
        trial_interval: Seconds between two trials of a limit that is in use while
            latency is within the tolerance.
        shed_tolerance: Share of requests that the target may shed before the limit is
            reduced.
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
        queue_per_slot: Queue capacity for each declared slot.
        service_time_guess: Service time in seconds assumed before any sample.
        fair: Whether the queue is shared fairly among client accounts.
    """

    queue_per_slot: float = 4.0
    service_time_guess: float = 0.05
    fair: bool = True


class LevelSettings(NamedTuple):
    """Settings of load shedding at the entry node.

    Attributes:
        max_age: Seconds after which a reported overload level expires.
        probe_share: Share of requests admitted despite overload, to detect recovery.
        shed_from: Pressure at which shedding begins.
        shed_all: Pressure at which all but CRITICAL requests are shed.
        smoothing: Time constant of the moving average of pressure, in seconds.
        route_age: Seconds for which a service counts as part of a route's call graph.
        fair: Whether accounts below their fair share are not shed.
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
        attempts: Retries of a request over its whole call chain, beyond one attempt
            per hop.
        service_share: Retries allowed to a service as a share of first attempts.
        service_window: Seconds over which the share is computed.
        service_floor: Retries allowed in a window regardless of the share.
        backoff_base: Longest backoff in seconds before the first retry; doubles with
            each retry.
        backoff_max: Upper bound of the backoff, in seconds.
    """

    attempts: int = 3
    service_share: float = 0.1
    service_window: float = 10.0
    service_floor: int = 3
    backoff_base: float = 0.02
    backoff_max: float = 0.5


class RoutingSettings(NamedTuple):
    """Settings of load balancing over targets.

    Attributes:
        domain_margin: Extra load accepted to stay in the own failure domain.
        eject_after: Consecutive failures after which a target is ejected.
        eject_base: Seconds of the first ejection; doubles with each ejection.
        eject_max: Longest ejection in seconds.
        eject_share: Largest share of a service's targets that is ejected at once.
        slow_start: Seconds over which a cold target is ramped up to its full share.
        pressure_age: Seconds over which the load reported with a response decays.
        latency_tolerance: Ratio of a target's latency to the median of its service
            above which the target counts as more loaded.
        latency_age: Seconds over which a latency above this ratio decays.
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
        indirect_probes: Members asked to probe another member on behalf of a node.
        suspect_time: Seconds for which a member is suspected before it counts as dead.
        forget_time: Seconds for which a dead or departed member is kept. It must be
            longer than a partition that is to heal, as the parts find each other
            again through the members that they keep.
        updates_per_message: Largest number of full descriptions in one datagram.
        judgements_per_message: Largest number of suspected and dead members in one
            datagram.
        urgent_fanout: Members to which an urgent update is pushed at a time.
        urgent_rounds: Number of times that a node pushes an urgent update.
        urgent_rate: Average rate of pushed datagrams per second.
        urgent_burst: Largest burst of pushed datagrams.
        reconnect_interval: Seconds between pings to a dead member or a contact.
        digest_interval: Shortest time in seconds between two digests of a node.
        digest_after: Consecutive messages with a different membership after which a
            digest is sent.
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
    """Settings of fleet-wide rate limits.

    Attributes:
        slots: Hash slots of client accounts in each failure domain.
        loan_time: Seconds for which a loan is valid at the borrower.
        drift: Largest relative error of a clock's rate.
        lease_time: Seconds after which a slot whose holder is silent may be taken.
        ask_interval: Seconds between two requests of a borrower to one lender.
        reply_timeout: Seconds to wait for a reply of a lender.
        silence_max: Longest backoff in seconds before a silent lender is asked again.
        demand_window: Seconds over which a borrower averages the demand.
        ahead_time: Seconds of demand for which a borrower prefetches tokens.
        ahead_floor: Calls per second below which no tokens are prefetched.
        ahead_share: Share of a bucket that one request may prefetch.
        pause_min: Shortest delay in seconds before refused borrowers ask again, once
            there are many of them.
        pause_max: Longest such delay in seconds.
        pause_window: Seconds over which a lender counts refusals to set the delay.
        refusals_per_second: Rate of refusals per second, for one account, to which a
            lender adjusts the delay.
        prompt_share: Fill of a bucket, as a share of the burst, below which spent
            tokens are reported at once.
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
        domains: All failure domains of the fleet, the same on every node.
        listen: Listening address for callers and calls of the local target,
            ``ip:port``.
        peer_listen: Listening address for other nodes, both TCP and gossip.
        admin_listen: Listening address for operators and announcements of the local
            target.
        seeds: Peer addresses of some other nodes, separated by commas; only needed to
            start while the log is down.
        log: Address of the platform's log.
        log_timeout: Seconds to wait for a response of the log.
        log_retention: Seconds for which the log keeps a record.
        log_format: ``human`` for readable lines, ``json`` for JSON lines.
        fleet_secret: Secret shared by all nodes.
        root_token_digest: SHA-256 of the root token in hexadecimal, or empty.
        statsd: Address of the statsd server, empty for none.
        max_body: Largest request body in bytes.
        max_buffered: Memory limit for the buffered bodies of all requests, in bytes.
        max_connections: Largest number of open connections of a listener.
        news_max_age: Seconds after which the last read of the log is too old to serve
            keyed requests; 0 for no limit.
        stop_grace: Seconds for which a graceful stop waits for requests in flight.
        leave_wait: Seconds for which the node still serves requests after it announced
            that it leaves.
        event_bytes: Memory limit for events, in bytes.
        summary_interval: Seconds between two summaries in the log.
        limit: Settings of the concurrency limit.
        admission: Settings of the admission queue.
        level: Settings of load shedding at the entry node.
        retry: Settings of retries.
        routing: Settings of load balancing over targets.
        membership: Settings of gossip membership.
        share: Settings of fleet-wide rate limits.
        peer_advertise: Address advertised to other nodes instead of ``peer_listen``,
            for both TCP and gossip; empty if they are the same.
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
