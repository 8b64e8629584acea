"""Tests of the HTTP client on uvloop, the event loop of the entry host."""

import pathlib
import signal
import socket
import struct
import subprocess
import sys
import threading

import anyio.abc
import testtools
import uvloop

from knapweedtally.utils import http
from knapweedtally.utils import http_client


class ResetTest(testtools.TestCase):
    """The server resets the connection after it has received a request."""

    def setUp(self) -> None:
        super().setUp()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        thread = threading.Thread(target=self.reset_connection, daemon=True)
        thread.start()
        self.addCleanup(thread.join)

    def reset_connection(self) -> None:
        connection, _ = self.server.accept()
        connection.recv(100)
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()

    def test_reset_while_a_response_is_awaited(self) -> None:
        async def send_request() -> None:
            port = self.server.getsockname()[1]
            client = http_client.Client(
                "127.0.0.1", port, keepalive_interval_s=1
            )
            await client.send(http.Request("GET", "/"), 10.0)

        with testtools.ExpectedException(http.ResponseLost):
            uvloop.run(send_request())


SENDER = """
import sys
import uvloop
from knapweedtally.utils import http
from knapweedtally.utils import http_client

async def send():
    client = http_client.Client("127.0.0.1", int(sys.argv[1]))
    await client.connect()
    print("connected", flush=True)
    sys.stdin.readline()
    await client.send(http.Request("POST", "/", {}, b"x" * 2**24), 60.0)

uvloop.run(send())
"""


class KilledSenderTest(testtools.TestCase):
    """The sender of a request is killed before the request has arrived."""

    # Guards against a request that arrives after that of its successor.
    def test_rest_of_the_request_is_not_delivered(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        port = server.getsockname()[1]
        sender = subprocess.Popen(
            [sys.executable, "-c", SENDER, str(port)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=pathlib.Path(__file__).parents[2],
        )
        self.addCleanup(sender.communicate)
        connection, _ = server.accept()
        self.addCleanup(connection.close)
        assert sender.stdin is not None
        sender.stdin.write(b"\n")
        sender.stdin.flush()
        self.assertTrue(connection.recv(10))
        sender.send_signal(signal.SIGKILL)
        sender.wait()
        with testtools.ExpectedException(ConnectionResetError):
            while connection.recv(2**16):
                pass


class SilentServerTest(testtools.TestCase):
    def test_unacknowledged_limit_is_set_in_the_system(self) -> None:
        # It also ends the connection of a process that is stopped.
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)

        async def connect() -> int:
            client = http_client.Client(
                *server.getsockname(), unacknowledged_limit_s=0.7
            )
            await client.connect()
            stream = client._idle[0]._stream
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            limit_ms: int = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            await client.close()
            return limit_ms

        self.assertEqual(700, uvloop.run(connect()))
