"""Ports for processes of tests."""

import secrets
import socket

# Below the ephemeral port range, so that no outgoing connection occupies a port
# before its process listens, or while it is restarted.
MIN_PORT = 10_000
MAX_PORT = 32_000


def find_free_port(host: str) -> int:
    """Return a port that is free on an address at present."""
    while True:
        port = MIN_PORT + secrets.randbelow(MAX_PORT - MIN_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
