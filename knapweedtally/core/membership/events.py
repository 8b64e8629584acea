"""Events of the membership part."""

from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core.membership import messages


class RegisterPublished(NamedTuple):
    """Report that a part of this proxy published a register."""

    register: model.Register


class LinkOpened(NamedTuple):
    """Report a new link; it replaces an older one to the same host.

    Attributes:
        host: name that the peer gave.
        is_outgoing: whether this proxy opened it.
    """

    host: str
    is_outgoing: bool


class LinkClosed(NamedTuple):
    """Report that the link to a host is gone."""

    host: str
    reason: str


class LinkFailed(NamedTuple):
    """Report that an ``effects.OpenLink`` did not succeed."""

    host: str
    address: str
    port: int
    reason: str


class PeerMessageReceived(NamedTuple):
    """Report a message from the peer at the other end of a link."""

    host: str
    message: messages.Message


class StatusChanged(NamedTuple):
    """Ask for this host's register to say that the host is leaving."""

    is_leaving: bool
