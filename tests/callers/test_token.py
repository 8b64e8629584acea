"""Test that a connection reports the session's newest token."""

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
    def test_a_token_that_is_set_is_reported_with_what_is_known(self) -> None:
        """A client that reads the parameter never falls back to an old one."""
        for old, new, expected in ((3, 7, 7), (7, 3, 7)):
            received = anyio.run(self.exchange, make_token(old), new)
            reports = received.split(b"knapweedtally.token\0")
            last = reports[-1].split(b"\0")[0].decode()
            positions = token.decode_token(KEYS, "ana", last)
            self.assertEqual(expected, positions["g"].offset)

    async def exchange(self, at_startup: str, offset: int) -> bytes:
        ours, theirs = socket.socketpair()
        query = f"SET knapweedtally.token = '{make_token(offset)}'"
        theirs.sendall(messages.Query(query_string=query).to_wire())
        theirs.shutdown(socket.SHUT_WR)
        async with await anyio.abc.SocketStream.from_socket(ours) as stream:
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
        while data := theirs.recv(4096):
            result += data
        theirs.close()
        return result
