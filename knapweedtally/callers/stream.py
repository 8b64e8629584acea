"""Read a caller's messages from its connection."""

import anyio
import anyio.abc
from pygwire import codec
from pygwire import constants
from pygwire import exceptions as wire_exceptions
from pygwire import messages

from knapweedtally.core import exceptions

RECEIVE_SIZE = 65536
MAX_MESSAGE_SIZE = 8 * 1024 * 1024
STARTUP_TIMEOUT_S = 10.0

_SSL_REFUSED = b"N"


class CallerStream:
    """Exchange messages with one caller."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self._decoder = codec.FrontendMessageDecoder()

    async def receive_startup(
        self,
    ) -> messages.StartupMessage | messages.CancelRequest:
        """Return the first real message; encryption requests are refused.

        Raises:
            ProtocolError: the message is malformed.
            EndOfStream: the caller closed the connection.
            TimeoutError: the caller sent nothing in time.
        """
        with anyio.fail_after(STARTUP_TIMEOUT_S):
            while True:
                message = await self._receive_message()
                if isinstance(
                    message, messages.SSLRequest | messages.GSSEncRequest
                ):
                    await self.stream.send(_SSL_REFUSED)
                    continue
                if isinstance(
                    message, messages.StartupMessage | messages.CancelRequest
                ):
                    self.expect_messages()
                    return message
                raise exceptions.ProtocolError("expected a startup message")

    def expect_messages(self) -> None:
        """Take what follows as ordinary messages, not as a startup."""
        self._decoder.phase = constants.ConnectionPhase.READY

    async def receive_message(self) -> messages.FrontendMessage | None:
        """Return the next message, or None when the caller is gone.

        Raises:
            ProtocolError: a message is malformed or too long.
        """
        while True:
            try:
                message = await self._receive_message()
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return None
            if isinstance(message, messages.FrontendMessage):
                return message

    async def send(self, data: bytes) -> None:
        """Send bytes to the caller."""
        await self.stream.send(data)

    async def drain(self) -> None:
        """Close for sending, then drop bytes until the caller closes too."""
        try:
            await self.stream.send_eof()
            while True:
                await self.stream.receive(RECEIVE_SIZE)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return

    async def _receive_message(self) -> messages.PGMessage:
        while True:
            try:
                for message in self._decoder:
                    return message
            except (
                wire_exceptions.PygwireError,
                ValueError,
                IndexError,
            ) as error:
                raise exceptions.ProtocolError(str(error)) from error
            if self._decoder.buffered > MAX_MESSAGE_SIZE:
                raise exceptions.ProtocolError(
                    f"message is longer than {MAX_MESSAGE_SIZE} bytes"
                )
            self._decoder.feed(await self.stream.receive(RECEIVE_SIZE))
