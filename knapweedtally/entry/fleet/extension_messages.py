"""Datagrams between hosts that carry the messages of one part each.

They are CBOR arrays of a format version, the sender, the kind of message and
its payload. A build that doesn't know the version drops them.
"""

from collections.abc import Callable
from typing import Any

import cbor2

from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import peer_messages

# Version of the format; those of evidence and of heard hosts are lower.
VERSION = 7

# Versions of the messages between hosts that this build reads.
READ_VERSIONS = (
    peer_messages.EVIDENCE_VERSION,
    peer_messages.HEARD_VERSION,
    VERSION,
)

# First bytes of an encoded message: an array of four, and the version.
PREFIX = bytes((0x84, VERSION))

Listener = Callable[[str, Any, float], None]


class MalformedMessage(ValueError):  # noqa: N818 - named after the cause
    """A datagram that can't be decoded as an extension message."""


def encode_message(host: str, kind: str, payload: Any) -> bytes:
    """Return the bytes of a message.

    Args:
        host: name of the sender.
        kind: kind of the message.
        payload: content that CBOR can represent.
    """
    return cbor2.dumps([VERSION, host, kind, payload])


def is_extension(data: bytes) -> bool:
    """Return whether a datagram has the form of an extension message."""
    return data.startswith(PREFIX)


def decode_message(data: bytes) -> tuple[str, str, Any]:
    """Return the sender, the kind and the payload of a message.

    Raises:
        MalformedMessage: the bytes aren't a message.
    """
    try:
        _, host, kind, payload = cbor2.loads(data)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedMessage(repr(error)) from error
    if not isinstance(host, str) or not isinstance(kind, str):
        raise MalformedMessage("host and kind must be strings")
    return host, kind, payload


class Listeners:
    """The parts that receive extension messages, by kind of message."""

    def __init__(self) -> None:
        """Start without a listener."""
        self._listeners: dict[str, Listener] = {}

    def add(self, kind: str, listener: Listener) -> None:
        """Call a listener for each message of a kind.

        Args:
            kind: kind of the messages.
            listener: called with the sender, the payload and the time. An
                error in it, which a malformed payload may cause, is contained.
        """
        self._listeners[kind] = listener

    def deliver(self, data: bytes, own_host: str, now_s: float) -> None:
        """Deliver a datagram, unless its kind is unknown or it is our own.

        Raises:
            MalformedMessage: the bytes aren't a message.
        """
        host, kind, payload = decode_message(data)
        listener = self._listeners.get(kind)
        if listener is None or host == own_host:
            return
        supervision.contain("peer message", listener, host, payload, now_s)
