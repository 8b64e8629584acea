"""HTTP/1.1 server with keep-alive and limits on message sizes and times."""

import errno
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc
import h11

from knapweedtally.utils import http

_logger = logging.getLogger(__name__)

# Delay after a connection couldn't be accepted, in seconds.
ACCEPT_RETRY_S = 0.1

# Errors of accepting that end by themselves.
_LACKS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

Handler = Callable[[http.Request], Awaitable[http.Response]]


class Limits(NamedTuple):
    """Limits of a server and of each of its connections.

    Attributes:
        max_header_bytes: maximum size of a request line and its headers.
        max_body_bytes: maximum size of a request body.
        idle_timeout_s: timeout for receiving the next request's headers.
        body_timeout_s: timeout for receiving a body, and for sending a
            response.
        max_connections: maximum number of open connections; further ones are
            closed immediately.
    """

    max_header_bytes: int = http.MAX_HEADER_BYTES
    max_body_bytes: int = http.MAX_BODY_BYTES
    idle_timeout_s: float = 60.0
    body_timeout_s: float = 10.0
    max_connections: int = 1024


DEFAULT_LIMITS = Limits()


class Server:
    """Serve requests on one address with one handler."""

    def __init__(
        self,
        handler: Handler,
        host: str,
        port: int,
        limits: Limits = DEFAULT_LIMITS,
    ) -> None:
        self._handler = handler
        self._host = host
        self._limits = limits
        self._connections = 0
        self.port = port

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; once started, ``port`` is the bound port.

        Raises:
            OSError: the address cannot be bound.
        """
        listener = await anyio.create_tcp_listener(
            local_host=self._host, local_port=self.port
        )
        async with listener:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started()
            # One address has one socket.
            (socket_listener,) = listener.listeners
            assert isinstance(socket_listener, anyio.abc.SocketListener)
            async with anyio.create_task_group() as tasks:
                while True:
                    stream = await _accept(socket_listener)
                    tasks.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        if self._connections >= self._limits.max_connections:
            await stream.aclose()
            return
        self._connections += 1
        try:
            async with stream:
                await _ConnectionHandler(
                    self._handler, self._limits, stream
                ).run()
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.ProtocolError,
            http.ExchangeDropped,
            OSError,  # TimeoutError among them.
        ):
            pass  # The connection is closed, which the client notices.
        except Exception:  # A failed connection must not end the server.
            _logger.exception("http: a connection failed")
        finally:
            self._connections -= 1


async def _accept(
    listener: anyio.abc.SocketListener,
) -> anyio.abc.SocketStream:
    """Return the next connection, also after a lack of descriptors."""
    while True:
        try:
            return await listener.accept()
        except OSError as error:
            if error.errno not in _LACKS:
                raise
            _logger.warning("http: cannot accept a connection: %s", error)
            await anyio.sleep(ACCEPT_RETRY_S)


class _ConnectionHandler:
    """Serve the requests of one connection, one at a time."""

    def __init__(
        self,
        handler: Handler,
        limits: Limits,
        stream: anyio.abc.SocketStream,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._stream = stream
        address = stream.extra(anyio.abc.SocketAttribute.remote_address)
        self._peer = str(address[0])
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                self._codec.start_next_cycle()
        except h11.RemoteProtocolError as error:
            if self._codec.our_state is h11.IDLE:
                await self._send_response(
                    _make_error_response(error.error_status_hint, error)
                )

    async def _serve_request(self) -> bool:
        with anyio.fail_after(self._limits.idle_timeout_s):
            head = await self._read_event()
        if not isinstance(head, h11.Request):
            return False
        try:
            with anyio.fail_after(self._limits.body_timeout_s):
                body = await self._read_body()
        except http.BodyTooLarge as error:
            await self._send_response(_make_error_response(413, error))
            return False
        response = await self._handle_request(head, body)
        await self._send_response(response)
        # The connection is reusable only if both sides are DONE; MUST_CLOSE and
        # CLOSED end it.
        return (
            self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
        )

    async def _handle_request(
        self, head: h11.Request, body: bytes
    ) -> http.Response:
        request = http.Request(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            http.decode_headers(head.headers),
            body,
            self._peer,
        )
        try:
            return await self._handler(request)
        except http.ExchangeDropped:
            raise
        except Exception:  # A failed request must not end the process.
            _logger.exception("http: handler of %s failed", request.path)
            return http.make_json_response(500, {"error": "internal error"})

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._read_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise http.ExchangeDropped(
                    "connection closed before the end of the body"
                )
            body += event.data
            if len(body) > self._limits.max_body_bytes:
                limit = self._limits.max_body_bytes
                raise http.BodyTooLarge(
                    f"body is over {limit} bytes; send a smaller one"
                )

    async def _read_event(self) -> object:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._codec.they_are_waiting_for_100_continue:
                await self._stream.send(
                    self._codec.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )
            try:
                self._codec.receive_data(
                    await self._stream.receive(http.READ_BYTES)
                )
            except anyio.EndOfStream:
                self._codec.receive_data(b"")

    async def _send_response(self, response: http.Response) -> None:
        head = h11.Response(
            status_code=response.status,
            headers=http.encode_headers(response.headers, response.body),
        )
        data = self._codec.send(head) or b""
        data += self._codec.send(h11.Data(data=response.body)) or b""
        data += self._codec.send(h11.EndOfMessage()) or b""
        with anyio.fail_after(self._limits.body_timeout_s):
            await self._stream.send(data)


def _make_error_response(status: int, error: Exception) -> http.Response:
    return http.make_json_response(
        status, {"error": str(error)}, {"connection": "close"}
    )
