"""Tests of the HTTP client on uvloop, the event loop of the entry host."""

import socket
import struct
import threading

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
