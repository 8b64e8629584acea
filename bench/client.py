"""A small client of the PostgreSQL wire protocol for load.

It keeps its own processor time low: statements go out as simple queries,
several in one write, and only the first column of rows is decoded.
"""

from typing import NamedTuple

import anyio
import anyio.abc
from pygwire import messages

CONNECT_TIMEOUT_S = 3.0
RECEIVE_SIZE = 65536
HEADER_LENGTH = 5


class Address(NamedTuple):
    """Name where a process listens."""

    host: str
    port: int


class Reply(NamedTuple):
    """Hold the answer up to one ReadyForQuery.

    Attributes:
        rows: first column of each row as text.
        sqlstate: SQLSTATE of the error answer, or empty.
        hint: HINT of the error answer, or empty.
        status: transaction status, ``I``, ``T`` or ``E``.
    """

    rows: list[str]
    sqlstate: str
    hint: str
    status: str


class ConnectionLostError(Exception):
    """Report a connection that ended before the whole answer."""


class Connection:
    """Send statements on one connection and read their answers.

    Attributes:
        parameters: last value of each ParameterStatus.
        is_open: whether another statement may be sent.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.parameters: dict[str, str] = {}
        self.is_open = True
        self._stream = stream
        self._buffer = bytearray()
        self._rows: list[str] = []
        self._error: dict[str, str] = {}

    @classmethod
    async def connect(
        cls, address: Address, user: str, database: str
    ) -> "Connection":
        """Connect and start up.

        Raises:
            ConnectionLostError: nothing listens there, or it refuses.
        """
        parameters = {"user": user, "database": database}
        startup = messages.StartupMessage(params=parameters)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(address.host, address.port)
                connection = cls(stream)
                await connection._exchange(startup.to_wire(), 1)
        except (OSError, TimeoutError) as error:
            raise ConnectionLostError(str(error)) from error
        return connection

    async def run(self, *statements: str) -> list[Reply]:
        """Run statements one after the other and return their answers.

        Raises:
            ConnectionLostError: the connection ended before that.
        """
        data = b"".join(encode_query(statement) for statement in statements)
        return await self._exchange(data, len(statements))

    async def close(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        await anyio.aclose_forcefully(self._stream)

    async def _exchange(self, data: bytes, count: int) -> list[Reply]:
        replies: list[Reply] = []
        is_whole = False
        try:
            await self._stream.send(data)
            while len(replies) < count:
                self._buffer += await self._stream.receive(RECEIVE_SIZE)
                replies += self._take_replies()
            is_whole = True
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise ConnectionLostError(str(error)) from error
        finally:
            if not is_whole:
                await self.close()
        return replies

    def _take_replies(self) -> list[Reply]:
        """Return the answers that the buffer completes."""
        replies = []
        start = 0
        buffer = self._buffer
        while len(buffer) - start >= HEADER_LENGTH:
            end = start + 1 + int.from_bytes(buffer[start + 1 : start + 5])
            if len(buffer) < end:
                break
            kind = buffer[start]
            payload = bytes(buffer[start + HEADER_LENGTH : end])
            start = end
            if kind == ord("Z"):
                replies.append(self._end_reply(chr(payload[0])))
            elif kind in _TAKERS:
                _TAKERS[kind](self, payload)
        del buffer[:start]
        return replies

    def _take_row(self, payload: bytes) -> None:
        length = int.from_bytes(payload[2:6], signed=True)
        self._rows.append(
            payload[6 : 6 + length].decode() if length > 0 else ""
        )

    def _take_error(self, payload: bytes) -> None:
        self._error = messages.ErrorResponse.decode(memoryview(payload)).fields

    def _take_parameter(self, payload: bytes) -> None:
        name, value = payload[:-1].split(b"\0")
        self.parameters[name.decode()] = value.decode()

    def _end_reply(self, status: str) -> Reply:
        sqlstate = self._error.get("C", "")
        reply = Reply(self._rows, sqlstate, self._error.get("H", ""), status)
        self._rows = []
        self._error = {}
        return reply


_TAKERS = {
    ord("D"): Connection._take_row,
    ord("E"): Connection._take_error,
    ord("S"): Connection._take_parameter,
}


def encode_query(statement: str) -> bytes:
    """Return a simple query message."""
    text = statement.encode() + b"\0"
    return b"Q" + (len(text) + 4).to_bytes(4) + text
