"""Options of sockets that more than one part sets."""

import socket
import struct
from typing import Any

# SO_LINGER with a time of nought: closing discards what was not yet received
# by the other side and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_on_close(sock: Any) -> None:
    """Make closing a socket discard what the other side hasn't received.

    Args:
        sock: a socket, or None; uvloop's stand-in for one after the
            connection has ended does nothing.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except (AttributeError, OSError, ValueError):
        # The socket is closed already, so nothing is left to discard. uvloop
        # reports that as a negative descriptor.
        pass


def probe_when_idle(sock: socket.socket, interval_s: int) -> None:
    """Let the system probe a connection that rests.

    Args:
        sock: the socket.
        interval_s: time without traffic before the first probe, and between
            probes; the connection is lost after three such times.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, interval_s),
        (socket.TCP_KEEPINTVL, interval_s),
        (socket.TCP_KEEPCNT, 2),
        (socket.TCP_USER_TIMEOUT, interval_s * 3000),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
