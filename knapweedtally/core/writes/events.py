"""Events of attempts on targets."""

from typing import NamedTuple

from knapweedtally.core import model


class AttemptAnswered(NamedTuple):
    """Report a target's whole answer to one attempt.

    Attributes:
        request: id of the request.
        attempt: number of the attempt.
        report: what the target says of itself, from when the statement ran;
            None when the target sent no report.
        confirmed: position confirmed by a majority after the statement, or
            None when no confirmation was asked for or reached.
        sqlstate: SQLSTATE of the error answer, or empty.
        is_open: whether a transaction is open on the connection afterwards.
        is_key_reused: whether the idempotency key is on record for a
            different request.
    """

    request: int
    attempt: int
    report: model.TargetReport | None
    confirmed: model.Position | None
    sqlstate: str
    is_open: bool
    is_key_reused: bool = False


class AttemptFailed(NamedTuple):
    """Report an attempt without a whole answer; its connection is closed.

    Attributes:
        request: id of the request.
        attempt: number of the attempt.
        was_sent: False only if no byte of the statement left for the target,
            or if the target proved that nothing ran.
        is_too_large: whether the answer exceeded the size limit.
        sqlstate: SQLSTATE that the target gave before the end, or empty.
    """

    request: int
    attempt: int
    was_sent: bool
    is_too_large: bool = False
    sqlstate: str = ""
