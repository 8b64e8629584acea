"""A small HTTP/1.1 client with a pool of kept connections."""

import time

import anyio
import anyio.abc
import h11

from knapweedtally.utils import http
from knapweedtally.utils import sockets

MAX_IDLE_CONNECTIONS = 8
# Below the server's idle timeout, so that a kept connection is rarely closed
# by the server just as a request leaves.
MAX_IDLE_S = 10.0
CONNECT_TIMEOUT_S = 1.0


class Client:
    """Send requests to one server.

    A request is sent once and never repeated: whether a repeat is safe is for
    the user of this class to know.
    """

    def __init__(
        self,
        host: str,
        port: int,
        source_host: str | None = None,
        max_body_bytes: int = 64 * 1024 * 1024,
        keep_alive_s: int | None = None,
    ) -> None:
        """Make a client without connecting.

        Args:
            host: IP address of the server.
            port: port of the server.
            source_host: IP address that connections are bound to, or None.
            max_body_bytes: largest accepted body of an answer.
            keep_alive_s: time without traffic after which a connection is
                probed, and between probes; None for no probes. A connection
                that went silent is then lost after three such times, also
                while a long answer is waited for.
        """
        self._host = host
        self._port = port
        self._source_host = source_host
        self._max_body_bytes = max_body_bytes
        self._keep_alive_s = keep_alive_s
        self._idle: list[_Connection] = []

    async def send(
        self, request: http.Request, timeout_s: float
    ) -> http.Response:
        """Send one request and return its answer.

        Args:
            request: request to send; ``peer`` is ignored.
            timeout_s: time for the answer, apart from connecting.

        Raises:
            http.ConnectionRefused: nothing was sent.
            http.AnswerLost: the request may have been run.
            http.BodyTooLarge: the answer is over the limit.
        """
        connection = await self._take()
        is_reusable = False
        try:
            with anyio.fail_after(timeout_s):
                response = await connection.exchange(request)
            is_reusable = connection.is_reusable
        except TimeoutError as error:
            raise http.AnswerLost(
                f"no answer from {self._host}:{self._port} in {timeout_s} s"
            ) from error
        except (
            OSError,
            h11.ProtocolError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ) as error:
            raise http.AnswerLost(
                f"connection to {self._host}:{self._port} was lost"
            ) from error
        finally:
            if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                connection.idle_since = time.monotonic()
                self._idle.append(connection)
            else:
                await connection.close()
        return response

    async def connect(self) -> None:
        """Make a connection ahead of the next request.

        Raises:
            http.ConnectionRefused: no connection was made.
        """
        connection = await self._take()
        connection.idle_since = time.monotonic()
        self._idle.append(connection)

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _take(self) -> "_Connection":
        while self._idle:
            connection = self._idle.pop()
            if time.monotonic() - connection.idle_since < MAX_IDLE_S:
                return connection
            await connection.close()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(
                    self._host, self._port, local_host=self._source_host
                )
        except (OSError, TimeoutError) as error:
            raise http.ConnectionRefused(
                f"cannot connect to {self._host}:{self._port}"
            ) from error
        if self._keep_alive_s is not None:
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            sockets.probe_when_idle(sock, self._keep_alive_s)
        return _Connection(stream, self._host, self._max_body_bytes)


class _Connection:
    """Run one exchange after the other on one connection."""

    def __init__(
        self, stream: anyio.abc.ByteStream, host: str, max_body_bytes: int
    ) -> None:
        self._stream = stream
        self._host = host
        self._max_body_bytes = max_body_bytes
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=http.MAX_HEADER_BYTES
        )
        self.idle_since = 0.0

    @property
    def is_reusable(self) -> bool:
        """Tell whether the connection is ready for another request."""
        return (
            self._codec.our_state is h11.IDLE
            and self._codec.their_state is h11.IDLE
        )

    async def exchange(self, request: http.Request) -> http.Response:
        """Send one request and read its whole answer."""
        headers = http.encode_headers(request.headers, request.body)
        headers.append((b"host", self._host.encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._codec.send(head) or b""
        data += self._codec.send(h11.Data(data=request.body)) or b""
        data += self._codec.send(h11.EndOfMessage()) or b""
        await self._stream.send(data)
        response = await self._read_response()
        states = (self._codec.our_state, self._codec.their_state)
        if states == (h11.DONE, h11.DONE):
            self._codec.start_next_cycle()
        return response

    async def close(self) -> None:
        """Reset the connection, so that nothing held up on the way arrives."""
        try:
            sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        except (AttributeError, OSError, anyio.TypedAttributeLookupError):
            # The stream looks up its peer's name first, which is gone.
            sock = None
        sockets.reset_on_close(sock)
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _read_response(self) -> http.Response:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = http.decode_headers(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_body_bytes:
                    raise http.BodyTooLarge(
                        f"answer is over {self._max_body_bytes} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                return http.Response(status, bytes(body), headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def _next_event(self) -> object:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(http.READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self._codec.receive_data(data)
