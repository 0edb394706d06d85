"""Links between nodes: many calls share one connection.

A link carries calls one way. When it breaks, the calls on it may have run, and their
callers are told so. Answers that are too large for a frame are fetched over HTTP.
"""

from collections.abc import Awaitable, Callable
from typing import Any

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
from ..refusals import Refusal
from ..serverexchange import send_available
from ..sockets import split_address
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
from .responses import BufferedResponse, StreamedResponse
from .settings import CONNECT_TIMEOUT_SECONDS

# Links to one node; a lost packet holds up only the calls on its own.
LINKS_PER_HOST = 2
REFUSED_STATUS = 503


class FrameConnection:
    """Connection that frames are written to, by any task and without waiting.

    Attributes:
        peer: Address of the other node.
        unsent: Bytes that the socket did not take yet.
        sending: Whether earlier ones of them are being sent.
        broken: Whether the connection has failed.
    """

    def __init__(self, sock: Any, peer: str) -> None:
        self.sock = sock
        self.peer = peer
        self.unsent = bytearray()
        self.sending = False
        self.writable = curio.Event()
        self.broken = False

    async def write(self, frame: Frame) -> None:
        """Send a frame, or queue what the socket does not take.

        Raises:
            PeerError: If the connection is broken.
        """
        data = encode_frame(frame)
        if self.broken:
            raise PeerError("the link is broken", "send", self.peer, maybe_sent=False)
        if self.unsent or self.sending:
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
        """Send what is queued until cancelled or broken."""
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

    async def read(self, buffer: FrameDecoder) -> list[Frame] | None:
        """Return frames that arrived; None at the end of the connection.

        Raises:
            ProtocolError: If what arrived is no frame.
        """
        try:
            data = await receive_when_ready(self.sock, READ_BYTES)
        except OSError:
            return None
        return buffer.feed(data) if data else None


class PendingCall:
    """A call that waits for its answer.

    Attributes:
        answer: The answer; None if the link broke.
        done: Set when the answer arrived or the link broke.
    """

    def __init__(self) -> None:
        self.response: ResponseFrame | None = None
        self.done = curio.Event()


class Link:
    """Calling side of one connection to another node.

    Attributes:
        pending: Calls that wait for an answer, by number.
    """

    def __init__(self, sock: Any, address: str) -> None:
        self.channel = FrameConnection(sock, address)
        self.pending: dict[int, PendingCall] = {}
        self.last_number = 0

    async def call(
        self, call: Call, request: Request, headers: Headers, body: bytes
    ) -> ResponseFrame:
        """Send a call and wait for its answer; a cancelled one is cancelled there.

        Raises:
            PeerError: If the link broke.
        """
        self.last_number += 1
        number = self.last_number
        pending = self.pending[number] = PendingCall()
        frame = CallFrame(number, call, request.method, request.target, headers, body)
        try:
            await self.channel.write(frame)
            await pending.done.wait()
        except curio.CancelledError:
            await self.cancel(number)
            raise
        finally:
            self.pending.pop(number, None)
        if pending.response is None:
            peer = self.channel.peer
            raise PeerError("the link broke", "wait for answer", peer, maybe_sent=True)
        return pending.response

    async def cancel(self, number: int) -> None:
        """Tell the other node that nobody waits for a call."""
        try:
            await self.channel.write(CancelFrame(number))
        except PeerError:
            # The other node sees the connection close and cancels all its calls.
            return

    async def run(self) -> None:
        """Take answers until the connection ends."""
        buffer = FrameDecoder(self.channel.peer)
        writer = await curio.spawn(self.channel.run_writes, daemon=True)
        try:
            while (frames := await self.channel.read(buffer)) is not None:
                for frame in frames:
                    if isinstance(frame, ResponseFrame):
                        await self.complete_call(frame)
        except ProtocolError:
            # The calls are told that the link broke; the next one opens another.
            pass
        finally:
            self.channel.broken = True
            await writer.cancel()
            for pending in list(self.pending.values()):
                await pending.done.set()
            await self.channel.sock.close()

    async def complete_call(self, frame: ResponseFrame) -> None:
        """Wake the call that an answer belongs to."""
        pending = self.pending.get(frame.number)
        if pending is not None:
            pending.response = frame
            await pending.done.set()


class LinkPool:
    """Links to all nodes.

    Attributes:
        port: Port of the links, the same on every host.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.links: dict[str, list[Link]] = {}
        self.opening: dict[str, Any] = {}

    async def get_link(self, address: str) -> Link:
        """Return the link to a node that has the fewest calls, or a new one.

        Raises:
            PeerError: If none could be opened; nothing was sent.
        """
        links = [
            link for link in self.links.get(address, ()) if not link.channel.broken
        ]
        self.links[address] = links
        if len(links) < LINKS_PER_HOST and address not in self.opening:
            return await self.open_link(address)
        if not links:
            return await self.wait_until_open(address)
        return min(links, key=lambda link: len(link.pending))

    async def wait_until_open(self, address: str) -> Link:
        """Return the link that another task is opening.

        Raises:
            PeerError: If it could not be opened.
        """
        await self.opening[address].wait()
        links = self.links.get(address)
        if not links:
            raise PeerError("cannot be reached", "connect", address, maybe_sent=False)
        return links[-1]

    async def open_link(self, address: str) -> Link:
        """Open a link.

        Raises:
            PeerError: If it could not be opened.
        """
        opened = self.opening[address] = curio.Event()
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
            reason = str(error) or "timed out"
            raise PeerError(reason, "connect", address, maybe_sent=False) from error
        finally:
            del self.opening[address]
            await opened.set()


class LinkServer:
    """Answering side of the links of other nodes."""

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

    async def run(self) -> None:
        """Accept links until cancelled."""
        while True:
            try:
                client, address = await self.sock.accept()
            except OSError as error:
                # Out of file descriptors: the listener survives and tries again.
                self.journal.write("accept_failed", listener="links", error=str(error))
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            set_socket_options(client, SERVER_KEEPALIVE)
            channel = FrameConnection(client, f"{address[0]}:{address[1]}")
            await curio.spawn(self.serve, channel, daemon=True)

    async def serve(self, channel: FrameConnection) -> None:
        """Serve one link until it ends; its calls are cancelled then."""
        buffer = FrameDecoder(channel.peer)
        writer = await curio.spawn(channel.run_writes, daemon=True)
        tasks: dict[int, Any] = {}
        try:
            while (frames := await channel.read(buffer)) is not None:
                for frame in frames:
                    await self.dispatch_frame(channel, frame, tasks)
        except ProtocolError as error:
            self.journal.write("bad_frame", peer=channel.peer, error=error.message)
        finally:
            channel.broken = True
            await writer.cancel()
            for task in list(tasks.values()):
                await task.cancel(blocking=False)
            await channel.sock.close()

    async def dispatch_frame(
        self, channel: FrameConnection, frame: Frame, tasks: dict[int, Any]
    ) -> None:
        """Start or cancel a call."""
        if isinstance(frame, CallFrame):
            tasks[frame.number] = await curio.spawn(
                self.serve_call, channel, frame, tasks, daemon=True
            )
        elif isinstance(frame, CancelFrame):
            task = tasks.get(frame.number)
            if task is not None:
                await task.cancel(blocking=False)

    async def serve_call(
        self, channel: FrameConnection, frame: CallFrame, tasks: dict[int, Any]
    ) -> None:
        """Run one call and send its answer."""
        call = frame.call
        self.peer_monitor.observe_version(call.version)
        try:
            request = Request(frame.method, frame.target, frame.headers)
            result = await self.runner.run(call, request, frame.headers, frame.body)
            await channel.write(await self.make_response(frame, result))
        except PeerError:
            self.journal.count("answer_not_taken")
        except curio.CancelledError:
            self.journal.count("call_cancelled")
        except Exception as error:
            # A fault in the handling of one call must not end the node; without an
            # answer its caller counts it as run.
            self.journal.write(
                "call_failed", request=call.attempt_id, error=repr(error)
            )
            channel.broken = True
            await channel.sock.close()
        finally:
            tasks.pop(frame.number, None)

    async def make_response(
        self, frame: CallFrame, result: BufferedResponse | StreamedResponse | Refusal
    ) -> ResponseFrame:
        """Return the answer to a call."""
        call, number = frame.call, frame.number
        if isinstance(result, Refusal):
            self.runner.log_refused_call(call, result)
            reply = self.runner.build_reply(call.route, result)
            return ResponseFrame(number, reply, REFUSED_STATUS, [], b"", "")
        reply = self.runner.build_reply(call.route, None)
        if isinstance(result, BufferedResponse):
            return ResponseFrame(
                number, reply, result.status, list(result.headers), result.body, ""
            )
        answer = result.response
        rest = await self.retain_response(result)
        return ResponseFrame(number, reply, answer.status, [], b"", rest)


def result_from_frame(
    frame: ResponseFrame, peer: str
) -> tuple[BufferedResponse | Refusal, CallReply]:
    """Return the result that an answer carries."""
    refusal = frame.reply.refusal(peer)
    if refusal is not None:
        return refusal, frame.reply
    return BufferedResponse(frame.status, frame.headers, frame.body), frame.reply
