"""Errors that a target returns to clients, each with its SQLSTATE."""


class TargetError(Exception):
    """Base class of errors that are sent to the client.

    Attributes:
        sqlstate: five-character SQLSTATE.
    """

    sqlstate = "XX000"


class NotPrimaryError(TargetError):
    """A write reached an instance that is not a primary."""

    sqlstate = "25006"


class HoldError(TargetError):
    """A write was attempted while writes are on hold."""

    sqlstate = "57P03"


class TermReplacedError(TargetError):
    """The term was replaced while a barrier waited for it."""

    sqlstate = "KT001"


class BarrierTimeoutError(TargetError):
    """No majority confirmed the term and position in time."""

    sqlstate = "KT002"


class LogMismatchError(TargetError):
    """The primary's log lacks entries that it had earlier in its term."""

    sqlstate = "XX001"
