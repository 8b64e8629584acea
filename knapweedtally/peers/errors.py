"""Errors in the communication between proxies."""


class PeerError(Exception):
    """Base class of the errors of this package."""


class PeerCodecError(PeerError):
    """A message is malformed, unexpected or too large."""


class PeerRefusedError(PeerError):
    """A peer refused this host, or this host refused the peer."""


class PeerUnreachableError(PeerError):
    """A peer could not be reached or did not respond in time."""


class UnknownHostError(PeerError):
    """A host is not in the membership table."""
