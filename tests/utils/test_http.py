"""Tests of the HTTP server and client, together and with invalid input."""

import asyncio
import errno
from collections.abc import Awaitable
from collections.abc import Callable
from unittest import mock

import anyio
import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.utils import http
from knapweedtally.utils import http_client
from knapweedtally.utils import http_server

TIMEOUT_S = 20.0
LIMITS = http_server.Limits(max_header_bytes=1024, max_body_bytes=100)


async def echo_body(request: http.Request) -> http.Response:
    if request.path == "/drop":
        raise http.ExchangeDropped
    if request.path == "/fail":
        raise ValueError("a handler's fault")
    return http.Response(200, request.body, {"x-peer": request.peer})


def run_with_server(
    scenario: Callable[[int], Awaitable[None]],
    limits: http_server.Limits = LIMITS,
) -> None:
    async def run() -> None:
        server = http_server.Server(echo_body, "127.0.0.1", 0, limits)
        async with anyio.create_task_group() as group:
            await group.start(server.serve)
            await scenario(server.port)
            group.cancel_scope.cancel()

    anyio.run(run)


async def send_raw(port: int, *parts: bytes) -> bytes:
    """Send bytes and return all that is received until the server closes."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        try:
            for part in parts:
                await stream.send(part)
            await stream.send_eof()
            with anyio.fail_after(TIMEOUT_S):
                async for data in stream:
                    received += data
        except anyio.BrokenResourceError:
            pass
    return received


async def send(
    client: http_client.Client, method: str, target: str, body: bytes = b""
) -> http.Response:
    request = http.Request(method, target, {}, body)
    return await client.send(request, TIMEOUT_S)


class HttpTest(testtools.TestCase):
    def test_connection_is_reused_for_many_requests(self) -> None:
        async def scenario(port: int) -> None:
            client = http_client.Client("127.0.0.1", port, "127.0.3.7")
            for number in range(20):
                sent = str(number).encode()
                answer = await send(client, "PUT", "/", sent)
                self.assertEqual(sent, answer.body)
                self.assertEqual("127.0.3.7", answer.headers["x-peer"])
            await client.close()

        # The server would close a second connection.
        run_with_server(scenario, LIMITS._replace(max_connections=1))

    def test_errors_tell_whether_the_request_was_sent(self) -> None:
        async def scenario(port: int) -> None:
            client = http_client.Client("127.0.0.1", port)
            with self.assertRaises(http.ResponseLost):
                await send(client, "GET", "/drop")
            answer = await send(client, "GET", "/fail")
            self.assertEqual(500, answer.status)
            self.assertNotIn(b"fault", answer.body)
            with self.assertRaises(http.ConnectionRefused):
                await send(http_client.Client("127.0.0.1", 1), "GET", "/")
            small = http_client.Client("127.0.0.1", port, max_body_bytes=10)
            with self.assertRaises(http.BodyTooLarge):
                await send(small, "PUT", "/", b"x" * 50)
            await client.close()

        run_with_server(scenario)

    def test_invalid_requests_get_an_error_and_later_ones_are_served(
        self,
    ) -> None:
        async def scenario(port: int) -> None:
            for sent, status in (
                (b"nonsense\r\n\r\n", b"400"),
                (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"x" * 5000, b"431"),
                (
                    b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
                    b"400",
                ),
                (
                    b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 500\r\n\r\n"
                    + b"x" * 500,
                    b"413",
                ),
            ):
                answer = await send_raw(port, sent)
                self.assertEqual(b"HTTP/1.1 " + status, answer[:12])
            incomplete = (
                b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx"
            )
            self.assertEqual(b"", await send_raw(port, incomplete))
            client = http_client.Client("127.0.0.1", port)
            self.assertEqual(200, (await send(client, "GET", "/")).status)
            await client.close()

        run_with_server(scenario)

    def test_connection_that_fails_does_not_end_the_server(self) -> None:
        serve_request = http_server._ConnectionHandler._serve_request
        failures = [RuntimeError("a fault of the connection's code")]

        async def fail_once(handler: http_server._ConnectionHandler) -> bool:
            if failures:
                raise failures.pop()
            return await serve_request(handler)

        async def scenario(port: int) -> None:
            with mock.patch.object(
                http_server._ConnectionHandler, "_serve_request", fail_once
            ):
                self.assertEqual(b"", await send_raw(port))
                client = http_client.Client("127.0.0.1", port)
                answer = await send(client, "PUT", "/", b"1")
                self.assertEqual(b"1", answer.body)
                await client.close()

        run_with_server(scenario)

    def test_idle_connections_are_closed(self) -> None:
        async def scenario(port: int) -> None:
            for sent in (b"", b"PUT / HTTP/1.1\r\nhost: a\r\n"):
                stream = await anyio.connect_tcp("127.0.0.1", port)
                async with stream:
                    await stream.send(sent)
                    with anyio.fail_after(TIMEOUT_S):
                        with self.assertRaises(anyio.EndOfStream):
                            await stream.receive()

        run_with_server(scenario, LIMITS._replace(idle_timeout_s=0.1))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
    @hypothesis.given(
        st.lists(
            st.binary(max_size=40)
            | st.sampled_from(
                [
                    b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
                    b"PUT /x HTTP/1.1\r\nhost: a\r\n",
                    b"transfer-encoding: chunked\r\n\r\n",
                    b"5\r\nabcde\r\n",
                    b"0\r\n\r\n",
                ]
            ),
            max_size=8,
        )
    )
    def test_any_bytes_leave_the_server_serving(
        self, parts: list[bytes]
    ) -> None:
        async def body(port: int) -> None:
            await send_raw(port, *parts)
            client = http_client.Client("127.0.0.1", port)
            self.assertEqual(200, (await send(client, "GET", "/")).status)
            await client.close()

        run_with_server(body)


class AgeingServer:
    """A server whose open connections can go silent while new ones work.

    Attributes:
        silent: connections that are not answered any more.
    """

    def __init__(self) -> None:
        self.silent: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Start to serve and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def silence_connections(self) -> None:
        self.silent |= self._open

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if writer not in self.silent:
                    await asyncio.sleep(0.05)
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def close(self) -> None:
        self._server.close()
        for writer in self._open:
            writer.close()


class SilentConnectionTest(testtools.TestCase):
    def test_one_lost_response_ends_all_idle_connections(self) -> None:
        # Guards against a timeout for each idle connection in turn.
        async def run() -> None:
            server = AgeingServer()
            client = http_client.Client("127.0.0.1", await server.start())
            request = http.Request("GET", "/")
            await asyncio.gather(
                *(client.send(request, TIMEOUT_S) for _ in range(4))
            )
            server.silence_connections()
            with testtools.ExpectedException(http.ResponseLost):
                await client.send(request, 0.2)
            response = await client.send(request, TIMEOUT_S)
            self.assertEqual(200, response.status)
            await client.close()
            server.close()

        asyncio.run(run())


class DescriptorTest(testtools.TestCase):
    """A process that has no descriptor left for a while."""

    # Guards against a host that ends because it can't be asked if it is ready.
    def test_lack_of_descriptors_does_not_end_the_server(self) -> None:
        errors = [OSError(errno.EMFILE, "too many"), OSError(errno.ENFILE, "")]

        async def scenario(port: int) -> None:
            client = http_client.Client("127.0.0.1", port)
            response = await send(client, "POST", "/", b"a")
            self.assertEqual(b"a", response.body)

        kind = anyio._backends._asyncio.TCPSocketListener
        original = kind.accept

        async def accept(listener: object) -> object:
            if errors:
                raise errors.pop()
            return await original(listener)

        with mock.patch.object(kind, "accept", accept):
            run_with_server(scenario)
        self.assertEqual([], errors)
