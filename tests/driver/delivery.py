"""What a proxy gives to its callers, and what it means to them."""

from typing import NamedTuple

from knapweedtally.core import errors
from knapweedtally.core import model
from tests.driver import connection as connection_module
from tests.history import model as history_model


class Delivery(NamedTuple):
    """Give a caller the answer to its request.

    Attributes:
        host: entry host that answers.
        result: the target's answer, or None.
        target: target that gave it, or empty.
        position: session position, or None if unchanged.
        error: kind of the error, or None.
    """

    host: str
    result: connection_module.Result | None
    target: str = ""
    position: model.Position | None = None
    error: errors.ErrorKind | None = None


def add_result(
    answered: history_model.Answered, delivery: Delivery
) -> history_model.Answered:
    """Return an answer with what the target gave."""
    result = delivery.result
    if result is None:
        return answered
    return answered._replace(
        target=delivery.target,
        term=result.report.term,
        rows=result.rows,
        row_count=len(result.rows),
        marker=result.marker,
    )


def is_success(delivery: Delivery | None) -> bool:
    """Tell whether a target answered without an error."""
    if delivery is None or delivery.result is None:
        return False
    return not delivery.result.sqlstate


def get_outcome(
    delivery: Delivery | None, is_rolled_back: bool
) -> errors.Outcome:
    """Return what an answer tells of a request."""
    if is_rolled_back:
        return errors.Outcome.NOT_RUN
    if delivery is None:
        return errors.Outcome.UNKNOWN
    if delivery.error is not None:
        return errors.ANSWERS[delivery.error].outcome
    if not is_success(delivery):
        return errors.Outcome.NOT_RUN
    return errors.Outcome.DONE
