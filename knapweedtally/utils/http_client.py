"""HTTP/1.1 client with a pool of idle connections."""

import time

import anyio
import anyio.abc
import h11

from knapweedtally.utils import http
from knapweedtally.utils import sockets

MAX_IDLE_CONNECTIONS = 8
# Below the server's idle timeout, so that the server rarely closes an idle
# connection while a request is being sent on it.
MAX_IDLE_S = 10.0
CONNECT_TIMEOUT_S = 1.0


class Client:
    """Send requests to one server.

    Requests are never retried, because only the code that uses the client
    knows which of them are idempotent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        source_host: str | None = None,
        max_body_bytes: int = 64 * 1024 * 1024,
        keepalive_interval_s: int | None = None,
        unacknowledged_limit_s: float | None = None,
    ) -> None:
        """Initialise the client without connecting.

        Args:
            host: IP address of the server.
            port: port of the server.
            source_host: local IP address to connect from, or None for any.
            max_body_bytes: maximum size of a response body.
            keepalive_interval_s: time without traffic before the first TCP
                keepalive probe, and between probes; None for no probes. An
                unresponsive connection is lost after three times this interval,
                even while a slow response is awaited.
            unacknowledged_limit_s: time after which a connection is lost on
                which sent data wasn't received, even if this process stands
                still; None for the system's limit.
        """
        self._host = host
        self._port = port
        self._source_host = source_host
        self._max_body_bytes = max_body_bytes
        self._keepalive_interval_s = keepalive_interval_s
        self._unacknowledged_limit_s = unacknowledged_limit_s
        self._idle: list[_Connection] = []

    async def send(
        self, request: http.Request, timeout_s: float
    ) -> http.Response:
        """Send one request and return its response.

        Args:
            request: request to send; ``peer`` is ignored.
            timeout_s: timeout of the exchange, excluding the connect.

        Raises:
            http.ConnectionRefused: no connection was made; nothing was sent.
            http.ResponseLost: no response was received; the server may have
                processed the request.
            http.BodyTooLarge: the response body exceeds the limit.
        """
        connection = await self._acquire_connection()
        is_reusable = False
        try:
            with anyio.fail_after(timeout_s):
                response = await connection.exchange(request)
            is_reusable = connection.is_reusable
        except TimeoutError as error:
            # Connections that are as old may have gone silent with this one.
            await self.close()
            raise http.ResponseLost(
                f"no answer from {self._host}:{self._port} in {timeout_s} s"
            ) from error
        except (
            OSError,
            h11.ProtocolError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ) as error:
            raise http.ResponseLost(
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
        """Open a connection in advance of the next request.

        Raises:
            http.ConnectionRefused: no connection was made.
        """
        connection = await self._acquire_connection()
        connection.idle_since = time.monotonic()
        self._idle.append(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _acquire_connection(self) -> "_Connection":
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
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # Holds for a process that is killed, too: a request must not be
        # delivered long after its sender has ended.
        sockets.reset_on_close(sock)
        if self._unacknowledged_limit_s is not None:
            sockets.limit_unacknowledged(sock, self._unacknowledged_limit_s)
        if self._keepalive_interval_s is not None:
            sockets.enable_keepalive(sock, self._keepalive_interval_s)
        return _Connection(stream, self._host, self._max_body_bytes)


class _Connection:
    """One connection to the server, used by one request at a time."""

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
        """Return whether the connection is ready for another request."""
        return (
            self._codec.our_state is h11.IDLE
            and self._codec.their_state is h11.IDLE
        )

    async def exchange(self, request: http.Request) -> http.Response:
        """Send one request and read its whole response."""
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
        """Reset the connection and discard data the server has not received."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _read_response(self) -> http.Response:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        while True:
            event = await self._read_event()
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

    async def _read_event(self) -> object:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(http.READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self._codec.receive_data(data)
