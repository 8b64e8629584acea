"""One open connection between two proxies, with a bounded send queue."""

import collections
from collections.abc import Callable

import anyio
from websockets import exceptions
from websockets.asyncio import connection as websockets_connection

from knapweedtally.peers import codec
from knapweedtally.peers import errors
from knapweedtally.peers import messages as peer_messages

# A link whose queue would exceed this is closed: its peer reads too slowly.
MAX_QUEUE_BYTES = 4_194_304

# Maximum wait for the peer to complete the closing handshake.
CLOSE_TIMEOUT_S = 1.0
MAX_REASON_BYTES = 120

MessageHandler = Callable[[codec.Message], None]


class Link:
    """Send and receive messages until either side closes.

    Attributes:
        hello: the peer's hello message.
        is_outgoing: whether this host opened the connection.
        reason: why the link was closed; empty while it is open.
        sent_bytes: bytes of the messages sent, without websocket framing.
    """

    def __init__(
        self,
        socket: websockets_connection.Connection,
        hello: peer_messages.Hello,
        is_outgoing: bool,
    ) -> None:
        self.hello = hello
        self.is_outgoing = is_outgoing
        self.reason = ""
        self.sent_bytes = 0
        self._socket = socket
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wakeup = anyio.Event()
        self._scope = anyio.CancelScope()

    def send(self, data: bytes) -> None:
        """Queue a message, or close the link if its queue is full."""
        if self.reason:
            return
        if self._queued_bytes + len(data) > MAX_QUEUE_BYTES:
            self.close("send queue is full; the peer reads too slowly")
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._wakeup.set()

    def close(self, reason: str) -> None:
        """Start closing the link, which makes ``run`` return."""
        self.reason = self.reason or reason
        self._scope.cancel()

    async def run(self, handle_message: MessageHandler) -> None:
        """Send and receive messages until either side closes the link.

        Args:
            handle_message: called with each received message.
        """
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._run_sender)
                    await self._run_receiver(handle_message)
        finally:
            self.reason = self.reason or "host is stopping"
            await close_socket(self._socket, self.reason)

    async def _run_sender(self) -> None:
        while True:
            while self._queue:
                data = self._queue.popleft()
                try:
                    await self._socket.send(data)
                except exceptions.ConnectionClosed as error:
                    self.close(describe_close(error))
                    return
                self._queued_bytes -= len(data)
                self.sent_bytes += len(data)
            self._wakeup = anyio.Event()
            await self._wakeup.wait()

    async def _run_receiver(self, handle_message: MessageHandler) -> None:
        try:
            while True:
                handle_message(await receive_message(self._socket))
        except exceptions.ConnectionClosed as error:
            self.close(describe_close(error))
        except errors.PeerError as error:
            self.close(str(error))


async def receive_message(
    socket: websockets_connection.Connection,
) -> codec.Message:
    """Receive the next message.

    Raises:
        PeerCodecError: the peer sent a text frame or a malformed message.
        ConnectionClosed: the connection is closed.
    """
    data = await socket.recv()
    if isinstance(data, str):
        raise errors.PeerCodecError("text frames are not allowed")
    return codec.decode_message(data)


async def close_socket(
    socket: websockets_connection.Connection, reason: str
) -> None:
    """Close a connection with a reason, even while being cancelled."""
    truncated_reason = reason.encode()[:MAX_REASON_BYTES].decode(
        errors="ignore"
    )
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await socket.close(1008 if truncated_reason else 1000, truncated_reason)
    if socket.transport is not None:
        socket.transport.abort()


def describe_close(error: exceptions.ConnectionClosed) -> str:
    """Return why a connection was closed, from its close frame if any."""
    close_frame = error.rcvd or error.sent
    if close_frame is None:
        return "connection was lost"
    return close_frame.reason or f"closed with code {close_frame.code}"
