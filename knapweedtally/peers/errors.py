"""Errors of the peers edge."""


class PeerError(Exception):
    """Serve as the base of the errors between peers."""


class PeerCodecError(PeerError):
    """Report a message that is malformed or too large."""


class PeerRefusedError(PeerError):
    """Report a peer that refused this host, or was refused by it."""


class PeerUnreachableError(PeerError):
    """Report a peer without an answer."""


class UnknownHostError(PeerError):
    """Report a host that the table of hosts doesn't hold."""
