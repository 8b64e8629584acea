"""Minimal client of the PostgreSQL wire protocol for load generation.

It keeps its own processor time low: statements are sent as simple queries,
several in one write, and only the first column of each row is decoded.
"""

from typing import NamedTuple

import anyio
import anyio.abc
from pygwire import messages

CONNECT_TIMEOUT_S = 3.0
RECEIVE_BYTES = 65536
HEADER_BYTES = 5


class Address(NamedTuple):
    """Address that a process listens on."""

    host: str
    port: int


class Reply(NamedTuple):
    """Answer to one statement, up to its ReadyForQuery message.

    Attributes:
        rows: first column of each row as text; NULL is an empty string.
        sqlstate: SQLSTATE of the error answer, or an empty string.
        hint: HINT of the error answer, or an empty string.
        status: transaction status, ``I``, ``T`` or ``E``.
    """

    rows: list[str]
    sqlstate: str
    hint: str
    status: str


class ConnectionLostError(Exception):
    """The connection ended before the answer was complete."""


class Connection:
    """Connection that sends statements and reads their answers.

    Attributes:
        parameters: last reported value of each ParameterStatus, by name.
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
        """Open a connection and complete the startup exchange.

        Raises:
            ConnectionLostError: nothing listens on the address, or the process
                there closes the connection or does not answer in time.
        """
        parameters = {"user": user, "database": database}
        startup = messages.StartupMessage(params=parameters)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(address.host, address.port)
                connection = cls(stream)
                await connection._exchange_messages(startup.to_wire(), 1)
        except (OSError, TimeoutError) as error:
            raise ConnectionLostError(str(error)) from error
        return connection

    async def run_statements(self, *statements: str) -> list[Reply]:
        """Send all statements at once and return their answers in order.

        Raises:
            ConnectionLostError: the connection ended before the last answer.
        """
        data = b"".join(encode_query(statement) for statement in statements)
        return await self._exchange_messages(data, len(statements))

    async def close(self) -> None:
        """Close the connection without a Terminate message."""
        self.is_open = False
        await anyio.aclose_forcefully(self._stream)

    async def _exchange_messages(self, data: bytes, count: int) -> list[Reply]:
        replies: list[Reply] = []
        is_complete = False
        try:
            await self._stream.send(data)
            while len(replies) < count:
                self._buffer += await self._stream.receive(RECEIVE_BYTES)
                replies += self._parse_replies()
            is_complete = True
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise ConnectionLostError(str(error)) from error
        finally:
            if not is_complete:
                await self.close()
        return replies

    def _parse_replies(self) -> list[Reply]:
        """Remove the complete answers from the buffer and return them."""
        replies = []
        start = 0
        buffer = self._buffer
        while len(buffer) - start >= HEADER_BYTES:
            end = start + 1 + int.from_bytes(buffer[start + 1 : start + 5])
            if len(buffer) < end:
                break
            message_type = buffer[start]
            payload = bytes(buffer[start + HEADER_BYTES : end])
            start = end
            if message_type == ord("Z"):
                replies.append(self._end_reply(chr(payload[0])))
            elif message_type in _PARSERS:
                _PARSERS[message_type](self, payload)
        del buffer[:start]
        return replies

    def _parse_row(self, payload: bytes) -> None:
        length = int.from_bytes(payload[2:6], signed=True)
        self._rows.append(
            payload[6 : 6 + length].decode() if length > 0 else ""
        )

    def _parse_error(self, payload: bytes) -> None:
        self._error = messages.ErrorResponse.decode(memoryview(payload)).fields

    def _parse_parameter(self, payload: bytes) -> None:
        name, value = payload[:-1].split(b"\0")
        self.parameters[name.decode()] = value.decode()

    def _end_reply(self, status: str) -> Reply:
        sqlstate = self._error.get("C", "")
        reply = Reply(self._rows, sqlstate, self._error.get("H", ""), status)
        self._rows = []
        self._error = {}
        return reply


_PARSERS = {
    ord("D"): Connection._parse_row,
    ord("E"): Connection._parse_error,
    ord("S"): Connection._parse_parameter,
}


def encode_query(statement: str) -> bytes:
    """Return a Query message of the simple query protocol."""
    text = statement.encode() + b"\0"
    return b"Q" + (len(text) + 4).to_bytes(4) + text
