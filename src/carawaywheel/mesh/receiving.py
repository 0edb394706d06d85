"""Receiving of the head of a target's response to one call."""

import math

import curio

from ..clock import Clock
from ..platform.headers import decode_target_headers
from ..pool import ClientConnection, Response
from .journal import Journal
from .messages import Call
from .responses import buffer_response
from .silence import SilenceDetector

# Responses to earlier requests that are skipped on one connection.
MAX_LATE_RESPONSES = 3
# Time to wait after a late response for that to an idempotent request: several times
# the usual service time.
LATE_RESPONSE_TIMEOUT_SECONDS = 1.0


class ResponseReceiver:
    """Waits for responses of one incarnation of a target.

    Attributes:
        silence: Tells which connections to the target are silent.
    """

    def __init__(self, journal: Journal, clock: Clock) -> None:
        self.journal = journal
        self.clock = clock
        self.silence = SilenceDetector()

    async def receive_response(
        self, call: Call, connection: ClientConnection
    ) -> Response:
        """Wait for the head of the response, skipping late ones to earlier requests.

        Raises:
            PeerError: If the connection failed or carried only late responses.
        """
        for skipped_count in range(MAX_LATE_RESPONSES):
            response = await self.receive_head(call, connection, skipped_count > 0)
            response_attempt_id = decode_target_headers(
                response.status, response.headers
            ).attempt_id
            if response_attempt_id == call.attempt_id:
                return response
            if not response_attempt_id:
                if not connection.reused:
                    return response
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
        self, call: Call, connection: ClientConnection, after_late_response: bool
    ) -> Response:
        """Wait for the head of a response.

        The wait for the response to an idempotent call ends early if it is unusually
        long, as the call can be repeated. What became of other calls would not be
        known, so they wait until their deadline.

        Raises:
            PeerError: If the connection failed or the wait ended early.
        """
        started_at = self.clock.now()
        number = self.silence.record_request()
        patience = self.silence.patience(call.route)
        if not call.idempotent:
            patience = math.inf
        elif after_late_response:
            patience = LATE_RESPONSE_TIMEOUT_SECONDS
        while True:
            try:
                response = await self.receive_head_within(patience, connection)
            except curio.TaskTimeout as error:
                self.silence.record_time(call.route, patience)
                if not after_late_response and not self.silence.is_overtaken(number):
                    continue
                self.journal.write(
                    "silent_connection", request=call.attempt_id, waited=patience
                )
                raise connection.request_error(
                    "no response, while the target answers later calls", "read head"
                ) from error
            elapsed = self.clock.now() - started_at
            self.silence.record_response(number, call.route, elapsed)
            return response

    async def receive_head_within(
        self, seconds: float, connection: ClientConnection
    ) -> Response:
        """Wait for the head of a response, for a time that may be infinite.

        Raises:
            PeerError: If the connection failed.
            curio.TaskTimeout: If the time has passed; the wait may be resumed.
        """
        if seconds == math.inf:
            return await connection.receive_head(allow_close_delimited=True)
        return await curio.timeout_after(seconds, connection.receive_head, True)
