"""The kinds of errors and the answers to callers that they produce."""

import enum
from typing import NamedTuple


class ErrorKind(enum.Enum):
    """Reason for which a request can fail."""

    DEADLINE = "deadline"
    DRAINING = "draining"
    KEY_REUSED = "key_reused"
    MALFORMED = "malformed"
    NO_PRIMARY = "no_primary"
    NO_REPLICA = "no_replica"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    ANSWER_TOO_LARGE = "answer_too_large"
    TARGET_LOST = "target_lost"
    TRANSACTION_LOST = "transaction_lost"
    UNKNOWN_GROUP = "unknown_group"


class Outcome(enum.Enum):
    """Outcome of a request as reported to the caller."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ErrorAnswer(NamedTuple):
    """Error answer for one kind of error.

    Attributes:
        sqlstate: five-character SQLSTATE.
        outcome: outcome that is guaranteed to the caller.
        message: error message for the caller.
        is_retryable: whether the HINT states a time after which to retry.
    """

    sqlstate: str
    outcome: Outcome
    message: str
    is_retryable: bool


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.DEADLINE: ErrorAnswer(
        "57014", Outcome.NOT_RUN, "deadline passed before a target ran it", True
    ),
    ErrorKind.DRAINING: ErrorAnswer(
        "57P01", Outcome.NOT_RUN, "this entry host is stopping", True
    ),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        "22023",
        Outcome.NOT_RUN,
        "idempotency key was used for a different request",
        False,
    ),
    ErrorKind.MALFORMED: ErrorAnswer(
        "08P01", Outcome.NOT_RUN, "request is malformed", False
    ),
    ErrorKind.NO_PRIMARY: ErrorAnswer(
        "57P03", Outcome.NOT_RUN, "group has no usable primary", True
    ),
    ErrorKind.NO_REPLICA: ErrorAnswer(
        "57P03", Outcome.NOT_RUN, "no target can serve this read now", True
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        "08007", Outcome.UNKNOWN, "outcome of the write is unknown", False
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        "53400", Outcome.NOT_RUN, "group is over its capacity", True
    ),
    ErrorKind.ANSWER_TOO_LARGE: ErrorAnswer(
        "54000", Outcome.UNKNOWN, "answer exceeds the size limit", False
    ),
    ErrorKind.TARGET_LOST: ErrorAnswer(
        "08006", Outcome.NOT_RUN, "connection to the target was lost", True
    ),
    ErrorKind.TRANSACTION_LOST: ErrorAnswer(
        "40001", Outcome.NOT_RUN, "transaction was rolled back", True
    ),
    ErrorKind.UNKNOWN_GROUP: ErrorAnswer(
        "3D000", Outcome.NOT_RUN, "no group of this name in the bundle", False
    ),
}
