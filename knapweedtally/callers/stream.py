"""Receive and decode a caller's messages on its connection."""

import ssl

import anyio
import anyio.abc
from anyio.streams import tls
from pygwire import codec
from pygwire import constants
from pygwire import exceptions as wire_exceptions
from pygwire import messages

from knapweedtally.core import exceptions

RECEIVE_BYTES = 65536
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
STARTUP_TIMEOUT_S = 10.0

_SSL_ACCEPTED = b"S"
_SSL_REFUSED = b"N"


class CallerStream:
    """The message stream of one caller's connection, with optional TLS.

    Attributes:
        stream: the caller's connection, or TLS over it once TLS is in use.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        """Initialize the stream.

        Args:
            stream: the caller's connection.
            tls_context: context of the TLS that callers may request, or None.
        """
        self.stream = stream
        self._transport = stream
        self._tls_context = tls_context
        self._decoder = codec.FrontendMessageDecoder()

    async def receive_startup_message(
        self,
    ) -> messages.StartupMessage | messages.CancelRequest:
        """Return the startup message or cancel request.

        Encryption requests that precede it are answered: TLS is negotiated
        if it is available, and GSSAPI encryption is refused.

        Raises:
            ProtocolError: the message is malformed.
            EndOfStream: the caller closed the connection.
            TimeoutError: no such message arrived within STARTUP_TIMEOUT_S.
        """
        with anyio.fail_after(STARTUP_TIMEOUT_S):
            while True:
                message = await self._receive_any_message()
                if isinstance(message, messages.SSLRequest):
                    await self._answer_tls_request()
                    continue
                if isinstance(message, messages.GSSEncRequest):
                    await self.stream.send(_SSL_REFUSED)
                    continue
                if isinstance(
                    message, messages.StartupMessage | messages.CancelRequest
                ):
                    self.enter_ready_phase()
                    return message
                raise exceptions.ProtocolError("expected a startup message")

    def enter_ready_phase(self) -> None:
        """Decode the following messages as those of an established session."""
        self._decoder.phase = constants.ConnectionPhase.READY

    async def receive_message(self) -> messages.FrontendMessage | None:
        """Return the next message, or None once the connection is closed.

        Raises:
            ProtocolError: a message is malformed or too long.
        """
        while True:
            try:
                message = await self._receive_any_message()
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return None
            if isinstance(message, messages.FrontendMessage):
                return message

    async def send(self, data: bytes) -> None:
        """Send bytes to the caller."""
        await self.stream.send(data)

    async def half_close(self) -> None:
        """Close the sending side and discard input until the caller closes."""
        try:
            # TLS has no half-close, but its transport does.
            await self._transport.send_eof()
            while True:
                await self._transport.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return

    async def _answer_tls_request(self) -> None:
        """Start TLS, or refuse it if it is unavailable or already in use."""
        if self._tls_context is None or self.stream is not self._transport:
            await self.stream.send(_SSL_REFUSED)
            return
        if self._decoder.buffered:
            # Bytes that arrived unencrypted must not be accepted as encrypted.
            raise exceptions.ProtocolError("data before the TLS handshake")
        await self._transport.send(_SSL_ACCEPTED)
        self.stream = await tls.TLSStream.wrap(
            self._transport,
            server_side=True,
            ssl_context=self._tls_context,
            standard_compatible=False,
        )

    async def _receive_any_message(self) -> messages.PGMessage:
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
            if self._decoder.buffered > MAX_MESSAGE_BYTES:
                raise exceptions.ProtocolError(
                    f"message is longer than {MAX_MESSAGE_BYTES} bytes"
                )
            self._decoder.feed(await self.stream.receive(RECEIVE_BYTES))
