"""Events of the draining part."""

from typing import NamedTuple


class DrainRequested(NamedTuple):
    """Ask for a planned stop of this proxy.

    Attributes:
        reason: who or what asked for it.
    """

    reason: str


class CallersGone(NamedTuple):
    """Report that no caller connection is left on a draining proxy."""
