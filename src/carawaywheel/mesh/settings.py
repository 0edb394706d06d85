"""Settings of a mesh node."""

from typing import NamedTuple

# A connection takes one round trip, 3 ms between failure domains. A lost packet adds
# about 0.2 s; a host without power never answers.
CONNECT_TIMEOUT_SECONDS = 0.3


class Listeners(NamedTuple):
    """Addresses on which a node listens.

    Attributes:
        callers: Requests of clients and calls of the local target.
        peers: HTTP requests of other nodes: probes, pushed state and large bodies.
        links: Multiplexed links of other nodes; the same port on every host.
        ready: Readiness checks of the platform.
        heartbeats: Heartbeats of the local target.
        metrics: Scrapes of the metrics; empty for none.
        datagrams: Datagrams of other nodes; the same port on every host.
    """

    callers: str
    peers: str
    links: str
    ready: str
    heartbeats: str
    metrics: str
    datagrams: str


class StoreSettings(NamedTuple):
    """Settings of the connection to the platform's store.

    Attributes:
        address: IP address and port.
    """

    address: str


class Bounds(NamedTuple):
    """Bounds that the installation sets.

    Attributes:
        grace: Seconds between the request to stop and the kill.
        retry_ratio: Retries allowed as a fraction of the requests to a service.
        retry_window: Seconds over which retries are counted.
        retry_slack: Retries allowed per window in addition to this fraction.
        warmup_overage: Factor on the request rate that a cold target takes.
        warmup_slack: Requests per second that it takes in addition.
        evacuate: Seconds after which no request may reach an evacuated domain.
        restricts_targets: Whether the installation states bounds of cold targets or of
            evacuations. Older ones, which have neither, do not.
    """

    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 48.0
    warmup_overage: float = 1.5
    warmup_slack: float = 8.0
    evacuate: float = 5.0
    restricts_targets: bool = False


class HostSettings(NamedTuple):
    """Settings of one node.

    Attributes:
        node_id: Id of the node.
        domain: Failure domain of the host.
        service: Service of the local target.
        target_address: Address of the local target.
        listen: Addresses on which the node listens.
        store: Connection to the platform's store.
        bounds: Bounds that the installation sets.
        memory_bytes: Memory limit of the process.
        first_start: Whether all nodes start for the first time, at the same moment.
        domains: All failure domains; empty if the installation does not tell.
        heartbeat: Seconds between heartbeats of the local target.
    """

    node_id: str
    domain: str
    service: str
    target_address: str
    listen: Listeners
    store: StoreSettings
    bounds: Bounds
    memory_bytes: int
    first_start: bool = False
    domains: tuple[str, ...] = ()
    heartbeat: float = 1.5
