"""Client for control requests from one node to another."""

import curio

from .errors import PeerError
from .pool import ConnectionPool
from .signing import Signer

OK_STATUS = 200
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class ControlClient:
    """Sends signed control requests and reads their complete responses."""

    def __init__(self, signer: Signer) -> None:
        self.signer = signer
        self.pool = ConnectionPool()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        timeout: float,
        body: bytes = b"",
    ) -> bytes | None:
        """Send a request to a node.

        Args:
            address: Peer address of the node.
            method: HTTP method.
            target: Path and query.
            timeout: Seconds to wait for the complete response.
            body: Body of the request.

        Returns:
            The body of the response, or None if the connection failed, the response
            did not arrive in time or its status is not 200.
        """
        headers = self.signer.control_headers(method, target, body, address)
        try:
            response, content = await curio.timeout_after(
                timeout,
                self.pool.request,
                address,
                method,
                target,
                headers,
                body,
                MAX_RESPONSE_BYTES,
            )
        except (PeerError, curio.TaskTimeout):
            return None
        return content if response.status == OK_STATUS else None
