"""Responses of a proxy to its callers, and the outcomes that they report."""

from typing import NamedTuple

from knapweedtally.core import errors
from knapweedtally.core import model
from tests.driver import connection as connection_module
from tests.history import model as history_model


class Response(NamedTuple):
    """Response of a proxy to a request.

    Attributes:
        host: entry host that responds.
        result: the target's result, or None.
        target: target that ran the request, or empty.
        position: new position of the session, or None if unchanged.
        error: kind of the error, or None.
    """

    host: str
    result: connection_module.Result | None
    target: str = ""
    position: model.Position | None = None
    error: errors.ErrorKind | None = None


def add_result(
    answered: history_model.Answered, response: Response
) -> history_model.Answered:
    """Return the history's event with the fields of the target's result."""
    result = response.result
    if result is None:
        return answered
    return answered._replace(
        target=response.target,
        term=result.report.term,
        rows=result.rows,
        row_count=len(result.rows),
        marker=result.marker,
    )


def is_success(response: Response | None) -> bool:
    """Return whether a target answered without an error."""
    if response is None or response.result is None:
        return False
    return not response.result.sqlstate


def get_outcome(
    response: Response | None, is_rolled_back: bool
) -> errors.Outcome:
    """Return the outcome of a request that its response reports."""
    if is_rolled_back:
        return errors.Outcome.NOT_RUN
    if response is None:
        return errors.Outcome.UNKNOWN
    if response.error is not None:
        return errors.ERROR_ANSWERS[response.error].outcome
    if not is_success(response):
        return errors.Outcome.NOT_RUN
    return errors.Outcome.DONE
