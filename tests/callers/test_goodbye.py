"""Test the end of a caller's connection in a planned stop."""

import socket

import anyio
import anyio.abc
import testtools

from knapweedtally.callers import session as session_module
from knapweedtally.callers import stream as stream_module


class GoodbyeTest(testtools.TestCase):
    def test_a_request_on_its_way_loses_no_goodbye(self) -> None:
        """A caller that sends while it is told 57P01 still reads it."""
        received = anyio.run(self.exchange)
        self.assertIn(b"57P01", received)

    async def exchange(self) -> bytes:
        ours, theirs = socket.socketpair()
        async with await anyio.abc.SocketStream.from_socket(ours) as stream:
            session = session_module.Session(
                1,
                b"0000",
                stream_module.CallerStream(stream),
                None,  # type: ignore[arg-type]
                (),
                "norte-1",
            )
            theirs.sendall(b"Q\0\0\0\x0dselect 1\0")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(session._say_goodbye)
                await anyio.sleep(0.01)
                theirs.sendall(b"X\0\0\0\x04")
                theirs.shutdown(socket.SHUT_WR)
        result = b""
        while data := theirs.recv(4096):
            result += data
        theirs.close()
        return result
