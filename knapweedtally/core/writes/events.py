"""Events that report the results of attempts on targets."""

from typing import NamedTuple

from knapweedtally.core import model


class AttemptAnswered(NamedTuple):
    """Report a target's complete answer to one attempt.

    Attributes:
        request: id of the request.
        attempt: number of the attempt.
        report: the target's state when the statement ran; None when the
            target sent no report.
        confirmed: position confirmed by a majority after the statement; None
            when no confirmation was requested or reached.
        sqlstate: SQLSTATE of the error answer, or empty.
        is_open: whether a transaction is open on the connection afterwards.
        is_key_reused: whether the idempotency key was used for a different
            request.
    """

    request: int
    attempt: int
    report: model.TargetReport | None
    confirmed: model.Position | None
    sqlstate: str
    is_open: bool
    is_key_reused: bool = False


class AttemptFailed(NamedTuple):
    """Report that an attempt ended without a complete answer.

    The connection of the attempt is closed.

    Attributes:
        request: id of the request.
        attempt: number of the attempt.
        was_sent: False only if no byte of the statement was sent to the
            target, or if the target proved that nothing ran.
        is_too_large: whether the answer exceeded the size limit.
        sqlstate: SQLSTATE that the target sent before the connection ended,
            or empty.
    """

    request: int
    attempt: int
    was_sent: bool
    is_too_large: bool = False
    sqlstate: str = ""
