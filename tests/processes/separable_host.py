"""Run an entry host whose links to other hosts can be cut by a file.

The file named by ``KT_TEST_LINK_CUTS`` holds a JSON list of address prefixes;
two hosts are cut off from each other while exactly one of them has an address
with such a prefix. Messages are dropped then, and new links time out.
"""

import json
import os
import pathlib
from typing import Any

import anyio

from knapweedtally import __main__ as main_module
from knapweedtally.peers import edge
from knapweedtally.peers import errors
from knapweedtally.peers import handshake
from knapweedtally.peers import link

VARIABLE = "KT_TEST_LINK_CUTS"
_connect = handshake.connect
_receive = edge.PeersEdge._receive
_send = link.Link.send


def is_cut(own: str, other: str) -> bool:
    """Return whether two hosts are cut off from each other."""
    prefixes = tuple(json.loads(pathlib.Path(os.environ[VARIABLE]).read_text()))
    return own.startswith(prefixes) is not other.startswith(prefixes)


def is_link_cut(found: link.Link) -> bool:
    """Return whether a link's ends are cut off from each other."""
    socket = found._socket
    return is_cut(socket.local_address[0], socket.remote_address[0])


async def connect(
    settings: handshake.PeerSettings, address: str, port: int, hello: Any
) -> Any:
    """Connect unless the other side is cut off."""
    if is_cut(settings.address, address):
        await anyio.sleep(handshake.HANDSHAKE_TIMEOUT_S)
        raise errors.PeerUnreachableError("timeout")
    return await _connect(settings, address, port, hello)


def send(self: link.Link, message: Any) -> None:
    """Send a message unless the link is cut."""
    if not is_link_cut(self):
        _send(self, message)


def receive(self: edge.PeersEdge, found: link.Link, message: Any) -> None:
    """Receive a message unless the link is cut."""
    if not is_link_cut(found):
        _receive(self, found, message)


def main() -> None:
    """Run the program with three functions in place of its own."""
    handshake.connect = connect
    link.Link.send = send  # type: ignore[method-assign]
    edge.PeersEdge._receive = receive  # type: ignore[method-assign]
    main_module.main()


if __name__ == "__main__":
    main()
