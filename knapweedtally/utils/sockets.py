"""Socket options that several parts of the package set."""

import socket
import struct
from typing import Any

# struct linger of SO_LINGER, enabled with a timeout of 0: closing the socket
# discards data that the peer has not yet received and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_on_close(sock: Any) -> None:
    """Make closing a socket reset the connection.

    Data that the peer has not yet received is discarded.

    Args:
        sock: a socket, or None. Nothing is done for the substitute object that
            uvloop returns once the connection has ended.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except (AttributeError, OSError, ValueError):
        # The socket is closed already, so there is no data to discard. uvloop
        # reports a closed socket as a negative file descriptor.
        pass


def limit_unacknowledged(sock: socket.socket, limit_s: float) -> None:
    """Limit the time for which sent data may stay without acknowledgement.

    The system then resets the connection and discards the data, also while the
    process is stopped.

    Args:
        sock: the socket.
        limit_s: the time.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(limit_s * 1000)
    )


def enable_keepalive(sock: socket.socket, interval_s: int) -> None:
    """Enable TCP keepalive probes on a connection.

    Args:
        sock: the socket.
        interval_s: time without traffic before the first probe, and between
            probes; an unresponsive connection is lost after three times this
            interval.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, interval_s),
        (socket.TCP_KEEPINTVL, interval_s),
        (socket.TCP_KEEPCNT, 2),
        (socket.TCP_USER_TIMEOUT, interval_s * 3000),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
