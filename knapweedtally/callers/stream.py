"""Read a caller's messages from its connection."""

import ssl

import anyio
import anyio.abc
from anyio.streams import tls
from pygwire import codec
from pygwire import constants
from pygwire import exceptions as wire_exceptions
from pygwire import messages

from knapweedtally.core import exceptions

RECEIVE_SIZE = 65536
MAX_MESSAGE_SIZE = 8 * 1024 * 1024
STARTUP_TIMEOUT_S = 10.0

_SSL_ACCEPTED = b"S"
_SSL_REFUSED = b"N"


class CallerStream:
    """Exchange messages with one caller."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Make a stream.

        Args:
            stream: the caller's connection.
            context: TLS to offer, or None.
        """
        self.stream = stream
        self._transport = stream
        self._context = context
        self._decoder = codec.FrontendMessageDecoder()

    async def receive_startup(
        self,
    ) -> messages.StartupMessage | messages.CancelRequest:
        """Return the first real message; TLS begins if it is asked for.

        Raises:
            ProtocolError: the message is malformed.
            EndOfStream: the caller closed the connection.
            TimeoutError: the caller sent nothing in time.
        """
        with anyio.fail_after(STARTUP_TIMEOUT_S):
            while True:
                message = await self._receive_message()
                if isinstance(message, messages.SSLRequest):
                    await self._answer_tls_request()
                    continue
                if isinstance(message, messages.GSSEncRequest):
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
            # TLS can't be closed for sending alone; its transport can.
            await self._transport.send_eof()
            while True:
                await self._transport.receive(RECEIVE_SIZE)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return

    async def _answer_tls_request(self) -> None:
        """Begin TLS, or refuse it when there is none or it runs already."""
        if self._context is None or self.stream is not self._transport:
            await self.stream.send(_SSL_REFUSED)
            return
        if self._decoder.buffered:
            # Bytes that came unencrypted must not pass for encrypted ones.
            raise exceptions.ProtocolError("data before the TLS handshake")
        await self._transport.send(_SSL_ACCEPTED)
        self.stream = await tls.TLSStream.wrap(
            self._transport,
            server_side=True,
            ssl_context=self._context,
            standard_compatible=False,
        )

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
