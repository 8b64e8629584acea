"""Reference implementation of the checks by exhaustive search.

Tests compare it with ``checker``, so it shares no index and no helpers with it.
"""

from collections.abc import Iterable

from knapweedtally.core import errors
from tests.history import model

Requests = list[model.Invoked]


def _list_requests(history: model.History) -> Requests:
    return [e for e in history.events if isinstance(e, model.Invoked)]


def _list_answers(history: model.History, request: int) -> list[model.Answered]:
    return [
        e
        for e in history.events
        if isinstance(e, model.Answered) and e.request == request
    ]


def _get_outcome(
    history: model.History, request: model.Invoked
) -> errors.Outcome | None:
    answers = _list_answers(history, request.request)
    return answers[0].outcome if answers else None


def _is_done(history: model.History, request: model.Invoked) -> bool:
    return _get_outcome(history, request) is errors.Outcome.DONE


def _list_values(history: model.History, group: str) -> list[str]:
    return [row.value for row in history.tables.get(group, ())]


def _list_reads_with_writes(
    history: model.History,
) -> Iterable[tuple[model.Invoked, model.Invoked, float, set[str]]]:
    """Yield each read with each acknowledged write that it selects.

    Yields:
        The read, the write, the time at which the write was acknowledged and
        the rows that the read returned.
    """
    for read in _list_requests(history):
        if read.kind is not model.Kind.READ or not _is_done(history, read):
            continue
        rows = set(_list_answers(history, read.request)[0].rows)
        for write in _list_requests(history):
            if write.group != read.group or not _is_done(history, write):
                continue
            if read.scope in ("", write.session):
                at = _list_answers(history, write.request)[0].at
                yield read, write, at, rows


def keeps_read_your_writes(history: model.History) -> bool:
    """Return whether each read contains its session's acknowledged writes."""
    return all(
        set(write.values) <= rows
        for read, write, at, rows in _list_reads_with_writes(history)
        if write.session == read.session and at <= read.at
    )


def keeps_stated_age(history: model.History) -> bool:
    """Return whether each read contains writes older than its maximum age."""
    return all(
        set(write.values) <= rows
        for read, write, at, rows in _list_reads_with_writes(history)
        if read.max_age_s is not None and at <= read.at - read.max_age_s
    )


def keeps_at_most_once(history: model.History) -> bool:
    """Return whether no written value occurs twice in a table."""
    return all(
        _list_values(history, request.group).count(value) <= 1
        for request in _list_requests(history)
        for value in request.values
    )


def keeps_no_lost_write(history: model.History) -> bool:
    """Return whether each acknowledged value occurs in its table."""
    return all(
        value in _list_values(history, request.group)
        for request in _list_requests(history)
        if _is_done(history, request)
        for value in request.values
    )


def keeps_no_replaced_primary(history: model.History) -> bool:
    """Return whether replaced primaries acknowledge no write.

    A write acknowledged after a higher term opened has to be in the log with
    which that term opened.
    """
    for request in _list_requests(history):
        if not _is_done(history, request):
            continue
        answer = _list_answers(history, request.request)[0]
        for event in history.events:
            if (
                isinstance(event, model.TermOpened)
                and event.group == request.group
                and event.term > answer.term
                and event.at < answer.at
            ):
                earlier_values = {
                    row.value
                    for row in history.tables.get(request.group, ())
                    if row.term < event.term
                }
                if not set(request.values) <= earlier_values:
                    return False
    return True


def keeps_not_run(history: model.History) -> bool:
    """Return whether no value occurs whose requests were all refused."""
    for request in _list_requests(history):
        for value in request.values:
            outcomes = {
                _get_outcome(history, other)
                for other in _list_requests(history)
                if other.group == request.group and value in other.values
            }
            if outcomes == {errors.Outcome.NOT_RUN} and value in _list_values(
                history, request.group
            ):
                return False
    return True


def keeps_answered(history: model.History) -> bool:
    """Return whether each request has an answer."""
    return all(
        _list_answers(history, r.request) for r in _list_requests(history)
    )


def _map_values_to_requests(
    history: model.History,
) -> dict[tuple[str, str], tuple[str, ...]]:
    return {
        (request.group, value): request.values
        for request in _list_requests(history)
        for value in request.values
    }


def _keeps_rows_together(history: model.History) -> bool:
    for (group, value), values in _map_values_to_requests(history).items():
        table = _list_values(history, group)
        if (value in table) != all(other in table for other in values):
            return False
        indexes = [i for i, found in enumerate(table) if found in values]
        width = indexes[-1] - indexes[0] + 1 if indexes else 0
        if len(values) > 1 and width != len(indexes):
            return False
    return True


def _keeps_commits_separate(history: model.History) -> bool:
    written_together = _map_values_to_requests(history)
    return all(
        written_together.get((group, one.value), (one.value,))
        == written_together.get((group, two.value), (two.value,))
        for group, rows in history.tables.items()
        for one in rows
        for two in rows
        if one.commit and one.commit == two.commit
    )


def _keeps_reads_atomic(history: model.History) -> bool:
    written_together = _map_values_to_requests(history)
    return all(
        set(written_together.get((read.group, value), ()))
        <= set(_list_answers(history, read.request)[0].rows)
        for read in _list_requests(history)
        if read.kind is model.Kind.READ and _is_done(history, read)
        for value in _list_answers(history, read.request)[0].rows
    )


def keeps_transactions_atomic(history: model.History) -> bool:
    """Return whether each request's rows are all present and adjacent."""
    return (
        _keeps_rows_together(history)
        and _keeps_commits_separate(history)
        and _keeps_reads_atomic(history)
    )


PROMISES = {
    "read_your_writes": keeps_read_your_writes,
    "stated_age": keeps_stated_age,
    "at_most_once": keeps_at_most_once,
    "no_lost_write": keeps_no_lost_write,
    "no_replaced_primary": keeps_no_replaced_primary,
    "no_mixed_transactions": keeps_transactions_atomic,
    "not_run": keeps_not_run,
    "answered": keeps_answered,
}
