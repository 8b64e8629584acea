"""Events of the membership part."""

from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core.membership import messages


class RegisterPublished(NamedTuple):
    """Report that a part of this proxy published a register."""

    register: model.Register


class LinkOpened(NamedTuple):
    """Report a new link, which replaces any older link to the same host.

    Attributes:
        host: host name that the peer stated.
        is_outgoing: whether this proxy opened the link.
    """

    host: str
    is_outgoing: bool


class LinkClosed(NamedTuple):
    """Report that the link to a host was closed."""

    host: str
    reason: str


class LinkFailed(NamedTuple):
    """Report that an ``effects.OpenLink`` failed."""

    host: str
    address: str
    port: int
    reason: str


class PeerMessageReceived(NamedTuple):
    """Report a message from the peer at the other end of a link."""

    host: str
    message: messages.Message


class LeavingChanged(NamedTuple):
    """Request that this host's register state whether the host is leaving."""

    is_leaving: bool
