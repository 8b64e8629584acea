"""Errors that a target answers with, each with its SQLSTATE."""


class TargetError(Exception):
    """Base of all errors that reach a client as an error answer.

    Attributes:
        sqlstate: five-character SQLSTATE.
    """

    sqlstate = "XX000"


class NotPrimaryError(TargetError):
    """A write reached an instance that is not a primary."""

    sqlstate = "25006"


class HoldError(TargetError):
    """A write began while writes are on hold."""

    sqlstate = "57P03"


class TermReplacedError(TargetError):
    """The term was replaced while a barrier waited for it."""

    sqlstate = "KT001"


class BarrierTimeoutError(TargetError):
    """No majority confirmed the term and position in time."""

    sqlstate = "KT002"


class LogMismatchError(TargetError):
    """A primary lacks entries that its own term holds already."""

    sqlstate = "XX001"
