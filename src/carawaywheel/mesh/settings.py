"""Settings of a node of the mesh, as its parts use them."""

from typing import NamedTuple

# A new connection takes one round trip, 3 ms between failure domains; one lost packet
# costs about 0.2 s more, and a host without power never answers.
CONNECT_TIMEOUT_SECONDS = 0.3


class Listeners(NamedTuple):
    """Addresses on which a node listens.

    Attributes:
        callers: For clients and the local target's own calls.
        peers: For checks of other nodes and their large bodies.
        links: For the links of other nodes; the same port on every host.
        ready: For the platform's readiness checks.
        heartbeats: For the local target's heartbeats.
        metrics: For counters and histograms; empty for none.
        datagrams: For short messages of other nodes; the same port on every host.
    """

    callers: str
    peers: str
    links: str
    ready: str
    heartbeats: str
    metrics: str
    datagrams: str


class StoreSettings(NamedTuple):
    """How the platform's store is reached.

    Attributes:
        address: IP address and port.
    """

    address: str


class Bounds(NamedTuple):
    """Bounds of the installation that decisions go by.

    Attributes:
        grace: Seconds between the request to stop and the kill.
        retry_ratio: Repeats allowed as a share of the requests for a service.
        retry_window: Seconds over which repeats are counted.
        retry_slack: Repeats allowed in a window whatever the share.
    """

    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 48.0


class HostSettings(NamedTuple):
    """Settings of one node.

    Attributes:
        node_id: Name of the node.
        domain: Failure domain of the host.
        service: Service of the local target.
        target_address: Address of the local target.
        listen: Addresses to listen on.
        store: The platform's store.
        bounds: Bounds of the installation.
        memory_bytes: Memory that the process may use.
    """

    node_id: str
    domain: str
    service: str
    target_address: str
    listen: Listeners
    store: StoreSettings
    bounds: Bounds
    memory_bytes: int
