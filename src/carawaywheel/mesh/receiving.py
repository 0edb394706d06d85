"""Receiving of the head of a target's response to one call."""

import curio

from ..platform.headers import decode_target_headers
from ..pool import ClientConnection, Response
from .journal import Journal
from .messages import Call, TargetResponseMetadata
from .responses import buffer_response

# Responses to earlier requests that are skipped on one connection.
MAX_LATE_RESPONSES = 3
# Time to wait after a late response for that to an idempotent request: several times
# the usual service time.
LATE_RESPONSE_TIMEOUT_SECONDS = 1.0


class ResponseReceiver:
    """Waits for the responses of the local target."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal

    async def receive_response(
        self, call: Call, connection: ClientConnection
    ) -> tuple[Response, TargetResponseMetadata]:
        """Wait for the head of the response, skipping late ones to earlier requests.

        Returns:
            The response, and the metadata in its headers.

        Raises:
            PeerError: If the connection failed or carried only late responses.
        """
        for skipped_count in range(MAX_LATE_RESPONSES):
            response = await self.receive_head(
                connection, skipped_count > 0 and call.idempotent
            )
            metadata = decode_target_headers(response.status, response.headers)
            response_attempt_id = metadata.attempt_id
            if response_attempt_id == call.attempt_id:
                return response, metadata
            if not response_attempt_id:
                if not connection.reused:
                    return response, metadata
                self.journal.write("answer_without_id", request=call.attempt_id)
                break
            self.journal.write(
                "late_answer", request=call.attempt_id, answered=response_attempt_id
            )
            complete, _ = await buffer_response(response)
            if not complete:
                break
            connection.skip_stale_response()
        raise connection.request_error(
            "the response belongs to another request", "read head"
        )

    async def receive_head(
        self, connection: ClientConnection, with_timeout: bool
    ) -> Response:
        """Wait for the head of a response, either with a timeout or indefinitely.

        Raises:
            PeerError: If the connection failed or the wait timed out.
        """
        if not with_timeout:
            return await connection.receive_head(allow_close_delimited=True)
        try:
            return await curio.timeout_after(
                LATE_RESPONSE_TIMEOUT_SECONDS, connection.receive_head, True
            )
        except curio.TaskTimeout as error:
            raise connection.request_error(
                "timed out after a late response to an earlier request", "read head"
            ) from error
