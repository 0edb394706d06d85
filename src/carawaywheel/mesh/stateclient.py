"""Client of the requests for state between nodes: probes, pushes and fetches."""

import curio
import msgspec

from ..errors import PeerError
from ..framing import Headers
from ..pool import ConnectionPool
from .journal import Journal
from .replication.store import Position
from .settings import CONNECT_TIMEOUT_SECONDS

STATE_PATH = "/-/state"
# Followed by the version and the offset that the fetching node knows.
CHANGES_PATH_PREFIX = "/-/changes/"
# Era of this offset, in a header because nodes that know none accept no other path.
KNOWN_ERA_HEADER = b"known-era"
MAX_STATE_BYTES = 4 * 1024 * 1024
PROBE_TIMEOUT_SECONDS = 0.6
# Time for a large configuration on a narrow link.
FETCH_TIMEOUT_SECONDS = 2.0
OK_STATUS = 200


class ProbeReply(msgspec.Struct):
    """Reply to a probe or to a pushed state.

    Attributes:
        version: Configuration version of the replying node.
        serving: Whether the target accepts new work.
    """

    version: int
    serving: bool


class StateClient:
    """Exchanges state with other nodes, each time on a new connection.

    A pooled connection may be broken without this being known.
    """

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.pool = ConnectionPool(CONNECT_TIMEOUT_SECONDS)

    async def probe(self, address: str) -> ProbeReply | None:
        """Probe a node; return None if the exchange fails or times out."""
        return await self.try_exchange(address, "GET", b"")

    async def push(self, address: str, state: bytes) -> ProbeReply | None:
        """Send a state to a node; return None if the exchange fails or times out."""
        return await self.try_exchange(address, "POST", state)

    async def fetch(
        self, address: str, version: int, position: Position
    ) -> bytes | None:
        """Fetch the state that a node has and this one does not.

        Args:
            address: Address of the node.
            version: Configuration version of this node.
            position: Position up to which this node knows all host records.

        Returns:
            The encoded state; None if the exchange fails or times out.
        """
        path = f"{CHANGES_PATH_PREFIX}{version}/{position.offset}"
        fields = [(KNOWN_ERA_HEADER, str(position.era).encode())]
        try:
            return await curio.timeout_after(
                FETCH_TIMEOUT_SECONDS, self.exchange, address, "GET", path, b"", fields
            )
        except (PeerError, curio.TaskTimeout) as error:
            self.journal.count("fetch_failed", type(error).__name__)
            return None

    async def try_exchange(
        self, address: str, method: str, body: bytes
    ) -> ProbeReply | None:
        """Run one exchange; return None if it fails or times out."""
        try:
            content = await curio.timeout_after(
                PROBE_TIMEOUT_SECONDS, self.exchange, address, method, STATE_PATH, body
            )
            return msgspec.json.decode(content, type=ProbeReply)
        except (PeerError, curio.TaskTimeout, msgspec.DecodeError) as error:
            self.journal.count("check_failed", type(error).__name__)
            return None

    async def exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        fields: Headers | None = None,
    ) -> bytes:
        """Run one exchange.

        Args:
            address: Address of the node.
            method: HTTP method.
            path: Path of the request.
            body: Body of the request.
            fields: Further headers.

        Returns:
            The body of the response.

        Raises:
            PeerError: If the exchange failed or the status is not 200.
        """
        headers = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
            *(fields or []),
        ]
        connection = await self.pool.connect(address)
        try:
            await connection.send(method, path, headers, body)
            response = await connection.receive_head()
            content = await response.read(MAX_STATE_BYTES)
        finally:
            await self.pool.discard(connection)
        if response.status != OK_STATUS:
            raise PeerError(
                f"expected status 200, got {response.status}", path, address, True
            )
        return content
