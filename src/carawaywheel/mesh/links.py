"""Links between nodes: connections that multiplex calls.

A link carries calls in one direction. When it fails, the calls in flight may have been
executed, and their callers get an error that says so. Responses that are too large for
a frame are fetched over HTTP.
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from ..errors import PeerError, ProtocolError
from ..http import (
    READ_BYTES,
    SERVER_KEEPALIVE,
    Headers,
    Request,
    open_connection,
    receive_when_ready,
    set_socket_options,
)
from ..listener import ACCEPT_RETRY_SECONDS
from ..refusals import Ran, Reason, Refusal
from ..serverexchange import send_available
from ..sockets import split_address, unacknowledged_bytes
from .execution import TargetRunner
from .frames import (
    CallFrame,
    CancelFrame,
    Frame,
    FrameDecoder,
    ResponseFrame,
    encode_frame,
)
from .journal import Journal
from .messages import Call, CallReply
from .monitor import PeerMonitor
from .requests import CallProgress
from .responses import BufferedResponse, StreamedResponse
from .settings import CONNECT_TIMEOUT_SECONDS

# Connections to each node. With more than one, packet loss delays only the calls on
# the connection that it hits.
LINKS_PER_HOST = 2
REFUSED_STATUS = 503


class FrameConnection:
    """Connection that any task can write frames to without blocking.

    Attributes:
        peer: Address of the other node.
        unsent: Bytes that the socket has not accepted yet.
        sending: Whether bytes before those in ``unsent`` are being sent.
        broken: Whether the connection has failed.
    """

    def __init__(self, sock: Any, peer: str) -> None:
        self.sock = sock
        self.peer = peer
        self.unsent = bytearray()
        self.sending = False
        self.writable = curio.Event()
        self.broken = False

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes wait to be sent on a connection that has not failed."""
        return bool(self.unsent or self.sending) and not self.broken

    def has_undelivered_bytes(self) -> bool:
        """Return whether the other node has not acknowledged all bytes yet."""
        if self.broken:
            return False
        return self.has_unsent_bytes or unacknowledged_bytes(self.sock) > 0

    async def write(self, frame: Frame) -> None:
        """Send a frame, or queue what the socket does not accept.

        Raises:
            PeerError: If the connection has failed.
        """
        data = encode_frame(frame)
        if self.broken:
            raise PeerError(
                "the link has failed; nothing was sent",
                "send",
                self.peer,
                maybe_sent=False,
            )
        if self.has_unsent_bytes:
            self.unsent += data
            return
        try:
            sent = send_available(self.sock, data)
        except OSError as error:
            self.broken = True
            raise PeerError(str(error), "send", self.peer, maybe_sent=True) from error
        if sent < len(data):
            self.unsent += data[sent:]
            await self.writable.set()

    async def run_writes(self) -> None:
        """Send queued bytes until cancelled or the connection fails."""
        while not self.broken:
            await self.writable.wait()
            self.writable.clear()
            while self.unsent:
                data, self.unsent = self.unsent, bytearray()
                self.sending = True
                try:
                    await self.sock.sendall(data)
                except OSError:
                    self.broken = True
                    return
                finally:
                    self.sending = False

    async def read(self, decoder: FrameDecoder) -> list[Frame] | None:
        """Return the next frames; None at the end of the connection.

        Raises:
            ProtocolError: If the received bytes are no valid frames.
        """
        try:
            data = await receive_when_ready(self.sock, READ_BYTES)
        except OSError:
            return None
        return decoder.feed(data) if data else None


class PendingCall:
    """A call in flight that waits for its response.

    Attributes:
        response: The response; None if the link failed.
        done: Set when the response arrived or the link failed.
    """

    def __init__(self) -> None:
        self.response: ResponseFrame | None = None
        self.done = curio.Event()


class Link:
    """Calling side of one connection to another node.

    Attributes:
        pending: Calls in flight, by their numbers on the link.
        last_number: Number of the newest call.
    """

    def __init__(self, sock: Any, address: str) -> None:
        self.connection = FrameConnection(sock, address)
        self.pending: dict[int, PendingCall] = {}
        self.last_number = 0

    async def call(
        self,
        call: Call,
        request: Request,
        headers: Headers,
        body: bytes,
        target_rate: float | None = None,
        may_wait: bool = False,
    ) -> ResponseFrame:
        """Send a call and wait for its response; cancel it there if cancelled here.

        Raises:
            PeerError: If the link failed.
        """
        self.last_number += 1
        number = self.last_number
        pending = self.pending[number] = PendingCall()
        frame = CallFrame(
            number,
            call,
            request.method,
            request.target,
            headers,
            body,
            target_rate,
            may_wait,
        )
        try:
            await self.connection.write(frame)
            await pending.done.wait()
        except curio.CancelledError:
            await self.cancel(number)
            raise
        finally:
            self.pending.pop(number, None)
        if pending.response is None:
            peer = self.connection.peer
            raise PeerError(
                "the link failed before the response",
                "wait for answer",
                peer,
                maybe_sent=True,
            )
        return pending.response

    async def cancel(self, number: int, only_waiting: bool = False) -> None:
        """Ask the other node to cancel a call.

        Args:
            number: Number of the call.
            only_waiting: Whether to let the call go on if it has begun.
        """
        try:
            await self.connection.write(CancelFrame(number, only_waiting))
        except PeerError:
            # The other node sees the connection close and cancels all its calls.
            return

    async def cancel_waiting(self) -> None:
        """Cancel the calls in flight that have not begun; they get a refusal."""
        for number in list(self.pending):
            await self.cancel(number, only_waiting=True)

    async def run(self) -> None:
        """Receive responses until the connection ends."""
        decoder = FrameDecoder(self.connection.peer)
        writer_task = await curio.spawn(self.connection.run_writes, daemon=True)
        try:
            while (frames := await self.connection.read(decoder)) is not None:
                for frame in frames:
                    if isinstance(frame, ResponseFrame):
                        await self.complete_call(frame)
        except ProtocolError:
            # Pending calls fail below; the next call opens another link.
            pass
        finally:
            self.connection.broken = True
            await writer_task.cancel()
            for pending in list(self.pending.values()):
                await pending.done.set()
            await self.connection.sock.close()

    async def complete_call(self, frame: ResponseFrame) -> None:
        """Complete the call that a response belongs to."""
        pending = self.pending.get(frame.number)
        if pending is not None:
            pending.response = frame
            await pending.done.set()


class LinkPool:
    """Links to all nodes, opened on demand.

    Attributes:
        port: Port that links connect to, the same on every host.
        links: Links by address of the node.
        opening: Events of links that are being opened, by address.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.links: dict[str, list[Link]] = {}
        self.opening: dict[str, Any] = {}

    async def get_link(self, address: str) -> Link:
        """Return the link to a node with the fewest calls in flight, or a new one.

        Raises:
            PeerError: If no link could be opened; nothing was sent.
        """
        links = self.links.setdefault(address, [])
        if any([link.connection.broken for link in links]):
            links = [link for link in links if not link.connection.broken]
            self.links[address] = links
        if len(links) < LINKS_PER_HOST and address not in self.opening:
            return await self.open_link(address)
        if not links:
            return await self.wait_until_open(address)
        return min(links, key=lambda link: len(link.pending))

    async def cancel_waiting(self) -> None:
        """Cancel the calls on all links that have not begun."""
        for links in list(self.links.values()):
            for link in links:
                await link.cancel_waiting()

    async def wait_until_open(self, address: str) -> Link:
        """Return the link that another task is opening.

        Raises:
            PeerError: If it could not be opened; nothing was sent.
        """
        await self.opening[address].wait()
        links = self.links.get(address)
        if not links:
            raise PeerError(
                "another task failed to open the link",
                "connect",
                address,
                maybe_sent=False,
            )
        return links[-1]

    async def open_link(self, address: str) -> Link:
        """Open a link.

        Raises:
            PeerError: If it could not be opened; nothing was sent.
        """
        open_event = self.opening[address] = curio.Event()
        try:
            host = split_address(address)[0]
            sock = await curio.timeout_after(
                CONNECT_TIMEOUT_SECONDS, open_connection, host, self.port
            )
            set_socket_options(sock, SERVER_KEEPALIVE)
            link = Link(sock, address)
            self.links[address].append(link)
            await curio.spawn(link.run, daemon=True)
            return link
        except (OSError, curio.TaskTimeout) as error:
            message = str(error) or "connection attempt timed out"
            raise PeerError(message, "connect", address, maybe_sent=False) from error
        finally:
            del self.opening[address]
            await open_event.set()


class ServedCall(NamedTuple):
    """A call that is being served.

    Attributes:
        task: Task that serves it.
        progress: How far it is.
    """

    task: Any
    progress: CallProgress


class LinkServer:
    """Serving side of the links that other nodes open.

    Attributes:
        retain_response: Retains a large response and returns the name to fetch it by.
        connections: Links that are being served.
        calls_in_progress: Calls whose response is not written yet.
    """

    def __init__(
        self,
        sock: Any,
        runner: TargetRunner,
        peer_monitor: PeerMonitor,
        journal: Journal,
        retain_response: Callable[[StreamedResponse], Awaitable[str]],
    ) -> None:
        self.sock = sock
        self.runner = runner
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.retain_response = retain_response
        self.connections: set[FrameConnection] = set()
        self.calls_in_progress = 0

    @property
    def is_idle(self) -> bool:
        """Whether the callers have received the responses to all calls."""
        return not self.calls_in_progress and not any(
            connection.has_undelivered_bytes() for connection in self.connections
        )

    async def run(self) -> None:
        """Accept links until cancelled."""
        while True:
            try:
                client, address = await self.sock.accept()
            except OSError as error:
                # Accepting fails without free file descriptors; retry after a pause.
                self.journal.write("accept_failed", listener="links", error=str(error))
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            set_socket_options(client, SERVER_KEEPALIVE)
            connection = FrameConnection(client, f"{address[0]}:{address[1]}")
            await curio.spawn(self.serve, connection, daemon=True)

    async def serve(self, connection: FrameConnection) -> None:
        """Serve one link until it ends, then cancel its calls."""
        decoder = FrameDecoder(connection.peer)
        writer_task = await curio.spawn(connection.run_writes, daemon=True)
        calls: dict[int, ServedCall] = {}
        self.connections.add(connection)
        try:
            while (frames := await connection.read(decoder)) is not None:
                for frame in frames:
                    await self.dispatch_frame(connection, frame, calls)
        except ProtocolError as error:
            self.journal.write("bad_frame", peer=connection.peer, error=error.message)
        finally:
            connection.broken = True
            self.connections.discard(connection)
            await writer_task.cancel()
            for served in list(calls.values()):
                await served.task.cancel(blocking=False)
            await connection.sock.close()

    async def dispatch_frame(
        self,
        connection: FrameConnection,
        frame: Frame,
        calls: dict[int, ServedCall],
    ) -> None:
        """Start or cancel a call as a frame requests."""
        if isinstance(frame, CallFrame):
            progress = CallProgress()
            task = await curio.spawn(
                self.serve_call(connection, frame, calls, progress), daemon=True
            )
            calls[frame.number] = ServedCall(task, progress)
        elif isinstance(frame, CancelFrame):
            served = calls.get(frame.number)
            if served is None or (frame.only_waiting and served.progress.begun):
                return
            await served.task.cancel(blocking=False)

    async def serve_call(
        self,
        connection: FrameConnection,
        frame: CallFrame,
        calls: dict[int, ServedCall],
        progress: CallProgress,
    ) -> None:
        """Execute one call and send its response."""
        call = frame.call
        self.peer_monitor.observe_caller(connection.peer, call.version)
        self.calls_in_progress += 1
        try:
            await self.execute(connection, frame, progress)
        except PeerError:
            self.journal.count("answer_not_taken")
        except curio.CancelledError:
            self.journal.count("call_cancelled", "at work")
        except Exception as error:
            # An error in one call must not stop the node. Closing the link makes the
            # caller treat the call as possibly executed.
            self.journal.write(
                "call_failed", request=call.attempt_id, error=repr(error)
            )
            connection.broken = True
            await connection.sock.close()
        finally:
            self.calls_in_progress -= 1
            calls.pop(frame.number, None)

    async def execute(
        self, connection: FrameConnection, frame: CallFrame, progress: CallProgress
    ) -> None:
        """Execute one call; refuse it if it is cancelled before it begins.

        Raises:
            PeerError: If the response could not be sent.
        """
        request = Request(frame.method, frame.target, frame.headers)
        try:
            result = await self.runner.run(
                frame.call,
                request,
                frame.headers,
                frame.body,
                frame.target_rate,
                may_wait=frame.may_wait,
                progress=progress,
            )
        except curio.CancelledError:
            if progress.begun:
                raise
            self.journal.count("call_cancelled", "waiting")
            result = Refusal(Reason.CANCELLED, Ran.NOT_RUN, None, "target")
        await connection.write(await self.make_response(frame, result))

    async def make_response(
        self, frame: CallFrame, result: BufferedResponse | StreamedResponse | Refusal
    ) -> ResponseFrame:
        """Return the response frame for the result of a call."""
        call, number = frame.call, frame.number
        if isinstance(result, Refusal):
            if result.reason is not Reason.CANCELLED:
                self.runner.log_refused_call(call, result)
            reply = self.runner.build_reply(call.route, result)
            warmup = self.runner.warmup_report()
            return ResponseFrame(number, reply, REFUSED_STATUS, [], b"", "", *warmup)
        reply = self.runner.build_reply(call.route, None)
        warmup = self.runner.warmup_report()
        if isinstance(result, BufferedResponse):
            headers, body = list(result.headers), result.body
            return ResponseFrame(
                number, reply, result.status, headers, body, "", *warmup
            )
        status = result.response.status
        retained_name = await self.retain_response(result)
        return ResponseFrame(number, reply, status, [], b"", retained_name, *warmup)


def result_from_frame(
    frame: ResponseFrame, peer: str
) -> tuple[BufferedResponse | Refusal, CallReply]:
    """Return the result of a call and the metadata in its response frame."""
    refusal = frame.reply.refusal(peer)
    if refusal is not None:
        return refusal, frame.reply
    return BufferedResponse(frame.status, frame.headers, frame.body), frame.reply
