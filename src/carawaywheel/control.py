"""Control requests from one node to another."""

import curio

from .errors import PeerError
from .pool import ConnectionPool
from .signing import Signer

OK_STATUS = 200
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class ControlClient:
    """Sends signed control requests and reads their whole answers."""

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
            timeout: Seconds to wait for the whole answer.
            body: Body of the request.

        Returns:
            The content of the answer, or None if there was none or it was refused.
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
