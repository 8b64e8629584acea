"""Events of the draining part."""

from typing import NamedTuple


class DrainRequested(NamedTuple):
    """Request for a planned stop of this proxy.

    Attributes:
        reason: origin of the request, such as a signal.
    """

    reason: str


class CallersGone(NamedTuple):
    """The last caller connection of a draining proxy was closed."""
