"""Run an entry host whose links to other hosts a file can interrupt.

The file named by ``KT_TEST_LINK_CUTS`` holds a JSON list of address prefixes;
two hosts are partitioned while the address of exactly one of them has such a
prefix. Messages between them are dropped then, and new links time out.
"""

import json
import os
import pathlib
from typing import Any

import anyio

from knapweedtally import __main__ as main_module
from knapweedtally.peers import adapter
from knapweedtally.peers import errors
from knapweedtally.peers import handshake
from knapweedtally.peers import link

CUTS_VARIABLE = "KT_TEST_LINK_CUTS"
_connect = handshake.connect
_receive = adapter.PeersAdapter._handle_peer_message
_send = link.Link.send


def is_cut(own: str, other: str) -> bool:
    """Return whether two addresses are partitioned from each other."""
    prefixes = tuple(
        json.loads(pathlib.Path(os.environ[CUTS_VARIABLE]).read_text())
    )
    return own.startswith(prefixes) is not other.startswith(prefixes)


def is_link_cut(peer_link: link.Link) -> bool:
    """Return whether the two ends of a link are partitioned."""
    socket = peer_link._socket
    return is_cut(socket.local_address[0], socket.remote_address[0])


async def connect(
    settings: handshake.PeerSettings, address: str, port: int, hello: Any
) -> Any:
    """Connect to a peer, or time out while the two hosts are partitioned.

    Raises:
        errors.PeerUnreachableError: the hosts are partitioned.
    """
    if is_cut(settings.address, address):
        await anyio.sleep(handshake.HANDSHAKE_TIMEOUT_S)
        raise errors.PeerUnreachableError("timeout")
    return await _connect(settings, address, port, hello)


def send(self: link.Link, message: Any) -> None:
    """Send a message, or drop it while the link is partitioned."""
    if not is_link_cut(self):
        _send(self, message)


def receive(
    self: adapter.PeersAdapter, peer_link: link.Link, message: Any
) -> None:
    """Receive a message, or drop it while the link is partitioned."""
    if not is_link_cut(peer_link):
        _receive(self, peer_link, message)


def main() -> None:
    """Run the program with connect, send and receive patched."""
    handshake.connect = connect
    link.Link.send = send  # type: ignore[method-assign]
    adapter.PeersAdapter._handle_peer_message = receive  # type: ignore[method-assign]
    main_module.main()


if __name__ == "__main__":
    main()
