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


class Answer(NamedTuple):
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


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.DEADLINE: Answer(
        "57014", Outcome.NOT_RUN, "deadline passed before a target ran it", True
    ),
    ErrorKind.DRAINING: Answer(
        "57P01", Outcome.NOT_RUN, "this entry host is stopping", True
    ),
    ErrorKind.KEY_REUSED: Answer(
        "22023",
        Outcome.NOT_RUN,
        "idempotency key was used for a different request",
        False,
    ),
    ErrorKind.MALFORMED: Answer(
        "08P01", Outcome.NOT_RUN, "request is malformed", False
    ),
    ErrorKind.NO_PRIMARY: Answer(
        "57P03", Outcome.NOT_RUN, "group has no usable primary", True
    ),
    ErrorKind.NO_REPLICA: Answer(
        "57P03", Outcome.NOT_RUN, "no target can serve this read now", True
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        "08007", Outcome.UNKNOWN, "outcome of the write is unknown", False
    ),
    ErrorKind.OVERLOADED: Answer(
        "53400", Outcome.NOT_RUN, "group is over its capacity", True
    ),
    ErrorKind.ANSWER_TOO_LARGE: Answer(
        "54000", Outcome.UNKNOWN, "answer exceeds the size limit", False
    ),
    ErrorKind.TARGET_LOST: Answer(
        "08006", Outcome.NOT_RUN, "connection to the target was lost", True
    ),
    ErrorKind.TRANSACTION_LOST: Answer(
        "40001", Outcome.NOT_RUN, "transaction was rolled back", True
    ),
    ErrorKind.UNKNOWN_GROUP: Answer(
        "3D000", Outcome.NOT_RUN, "no group of this name in the bundle", False
    ),
}
