"""Tests of the session token that a connection reports."""

import socket

import anyio
import anyio.abc
import testtools
from pygwire import messages

from knapweedtally.callers import session as session_module
from knapweedtally.callers import stream as stream_module
from knapweedtally.core import model
from knapweedtally.core.sessions import token

KEYS = (token.SigningKey("k1", b"1" * 32),)


def make_token(offset: int) -> str:
    return token.encode_token(KEYS[0], "ana", {"g": model.Position(1, offset)})


class TokenReportTest(testtools.TestCase):
    def test_reported_token_merges_the_one_that_is_set(self) -> None:
        """A client that adopts the reported token never loses a position."""
        for startup_offset, set_offset, expected in ((3, 7, 7), (7, 3, 7)):
            received = anyio.run(
                self.run_session, make_token(startup_offset), set_offset
            )
            reports = received.split(b"knapweedtally.token\0")
            last = reports[-1].split(b"\0")[0].decode()
            positions = token.decode_token(KEYS, "ana", last)
            self.assertEqual(expected, positions["g"].offset)

    async def run_session(self, at_startup: str, offset: int) -> bytes:
        server_socket, client_socket = socket.socketpair()
        query = f"SET knapweedtally.token = '{make_token(offset)}'"
        client_socket.sendall(messages.Query(query_string=query).to_wire())
        client_socket.shutdown(socket.SHUT_WR)
        async with await anyio.abc.SocketStream.from_socket(
            server_socket
        ) as stream:
            caller = stream_module.CallerStream(stream)
            caller.enter_ready_phase()
            session = session_module.Session(
                1,
                b"0000",
                caller,
                None,  # type: ignore[arg-type]
                KEYS,
                "norte-1",
            )
            parameters = {"user": "ana", "knapweedtally.token": at_startup}
            await session.serve(messages.StartupMessage(params=parameters))
        result = b""
        while data := client_socket.recv(4096):
            result += data
        client_socket.close()
        return result
