"""Handshake between proxies: exchange of hello messages, checked by a token."""

import hmac
import logging
import ssl
from typing import NamedTuple

import anyio
from websockets import exceptions
from websockets.asyncio import client
from websockets.asyncio import connection as websockets_connection

from knapweedtally.peers import codec
from knapweedtally.peers import errors
from knapweedtally.peers import link as link_module
from knapweedtally.peers import messages

HANDSHAKE_TIMEOUT_S = 3.0
RECEIVE_QUEUE_MESSAGES = 16

# The library's own log lines include tracebacks; the adapter logs connection
# failures itself.
WEBSOCKETS_LOGGER = logging.getLogger("knapweedtally.peers.websockets")
WEBSOCKETS_LOGGER.setLevel(logging.CRITICAL)


class PeerSettings(NamedTuple):
    """Settings of the connections between proxies.

    Attributes:
        address: address to listen on and to connect from.
        port: port to listen on; 0 for any free port.
        token: secret shared by all hosts.
        server_tls: TLS context for accepted connections, or None for no TLS.
        client_tls: TLS context for outgoing connections, or None for no TLS.
    """

    address: str
    port: int
    token: str
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


async def connect(
    settings: PeerSettings,
    address: str,
    port: int,
    hello: messages.Hello,
) -> tuple[client.ClientConnection, messages.Hello]:
    """Connect to a peer and exchange hello messages.

    Returns:
        The connection, and the peer's hello message.

    Raises:
        PeerUnreachableError: the peer did not respond in time.
        PeerRefusedError: the peer closed the connection or sent a wrong
            token.
        PeerCodecError: the peer sent something other than a hello message.
    """
    scheme = "wss" if settings.client_tls else "ws"
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            socket = await client.connect(
                f"{scheme}://{_format_host(address)}:{port}/",
                ssl=settings.client_tls,
                local_addr=(settings.address, 0),
                compression=None,
                proxy=None,
                logger=WEBSOCKETS_LOGGER,
                ping_interval=None,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                close_timeout=link_module.CLOSE_TIMEOUT_S,
                max_size=codec.MAX_MESSAGE_BYTES,
                max_queue=RECEIVE_QUEUE_MESSAGES,
            )
    except (OSError, TimeoutError, exceptions.WebSocketException) as error:
        raise errors.PeerUnreachableError(str(error) or "timeout") from error
    try:
        await socket.send(codec.encode_message(hello))
        return socket, await receive_hello(settings, socket)
    except exceptions.ConnectionClosed as error:
        raise errors.PeerRefusedError(
            link_module.describe_close(error)
        ) from error
    except BaseException as error:
        await link_module.close_socket(socket, f"no greeting: {error}")
        raise


async def receive_hello(
    settings: PeerSettings, socket: websockets_connection.Connection
) -> messages.Hello:
    """Receive the peer's hello message and check its token.

    Raises:
        PeerUnreachableError: no message was received in time.
        PeerRefusedError: the token is wrong.
        PeerCodecError: another or a malformed message was received.
    """
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            message = await link_module.receive_message(socket)
    except TimeoutError as error:
        raise errors.PeerUnreachableError("no greeting in time") from error
    if not isinstance(message, messages.Hello):
        raise errors.PeerCodecError("first message is no greeting")
    expected = settings.token.encode()
    if not hmac.compare_digest(message.token.encode(), expected):
        raise errors.PeerRefusedError(
            "wrong token; give every host the same peer-token"
        )
    return message


def _format_host(address: str) -> str:
    return f"[{address}]" if ":" in address else address
