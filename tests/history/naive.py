"""Decide by plain search over all pairs whether a history keeps a promise.

This is the reference for ``checker``: no index, no shared helpers.
"""

from collections.abc import Iterable

from knapweedtally.core import errors
from tests.history import model

Requests = list[model.Invoked]


def _requests(history: model.History) -> Requests:
    return [e for e in history.events if isinstance(e, model.Invoked)]


def _answers(history: model.History, request: int) -> list[model.Answered]:
    return [
        e
        for e in history.events
        if isinstance(e, model.Answered) and e.request == request
    ]


def _outcome(
    history: model.History, request: model.Invoked
) -> errors.Outcome | None:
    answers = _answers(history, request.request)
    return answers[0].outcome if answers else None


def _done(history: model.History, request: model.Invoked) -> bool:
    return _outcome(history, request) is errors.Outcome.DONE


def _values(history: model.History, group: str) -> list[str]:
    return [row.value for row in history.tables.get(group, ())]


def _reads_with_writes(
    history: model.History,
) -> Iterable[tuple[model.Invoked, model.Invoked, float, set[str]]]:
    """Give each read with each acknowledged write that it could select."""
    for read in _requests(history):
        if read.kind is not model.Kind.READ or not _done(history, read):
            continue
        rows = set(_answers(history, read.request)[0].rows)
        for write in _requests(history):
            if write.group != read.group or not _done(history, write):
                continue
            if read.scope in ("", write.session):
                at = _answers(history, write.request)[0].at
                yield read, write, at, rows


def keeps_read_your_writes(history: model.History) -> bool:
    """Tell whether each read holds its session's acknowledged writes."""
    return all(
        set(write.values) <= rows
        for read, write, at, rows in _reads_with_writes(history)
        if write.session == read.session and at <= read.at
    )


def keeps_stated_age(history: model.History) -> bool:
    """Tell whether each read holds the writes before its stated age."""
    return all(
        set(write.values) <= rows
        for read, write, at, rows in _reads_with_writes(history)
        if read.max_age_s is not None and at <= read.at - read.max_age_s
    )


def keeps_at_most_once(history: model.History) -> bool:
    """Tell whether no written value stands twice in a table."""
    return all(
        _values(history, request.group).count(value) <= 1
        for request in _requests(history)
        for value in request.values
    )


def keeps_no_lost_write(history: model.History) -> bool:
    """Tell whether each acknowledged value stands in its table."""
    return all(
        value in _values(history, request.group)
        for request in _requests(history)
        if _done(history, request)
        for value in request.values
    )


def keeps_no_replaced_primary(history: model.History) -> bool:
    """Tell whether no higher term without the write opened before."""
    for request in _requests(history):
        if not _done(history, request):
            continue
        answer = _answers(history, request.request)[0]
        for event in history.events:
            if (
                isinstance(event, model.TermOpened)
                and event.group == request.group
                and event.term > answer.term
                and event.at < answer.at
            ):
                older = {
                    row.value
                    for row in history.tables.get(request.group, ())
                    if row.term < event.term
                }
                if not set(request.values) <= older:
                    return False
    return True


def keeps_not_run(history: model.History) -> bool:
    """Tell whether no value of requests that were all refused stands."""
    for request in _requests(history):
        for value in request.values:
            outcomes = {
                _outcome(history, other)
                for other in _requests(history)
                if other.group == request.group and value in other.values
            }
            if outcomes == {errors.Outcome.NOT_RUN} and value in _values(
                history, request.group
            ):
                return False
    return True


def keeps_answered(history: model.History) -> bool:
    """Tell whether each request has an answer."""
    return all(_answers(history, r.request) for r in _requests(history))


def _owners(history: model.History) -> dict[tuple[str, str], tuple[str, ...]]:
    return {
        (request.group, value): request.values
        for request in _requests(history)
        for value in request.values
    }


def _keeps_rows_together(history: model.History) -> bool:
    for (group, value), values in _owners(history).items():
        table = _values(history, group)
        if (value in table) != all(other in table for other in values):
            return False
        places = [i for i, found in enumerate(table) if found in values]
        width = places[-1] - places[0] + 1 if places else 0
        if len(values) > 1 and width != len(places):
            return False
    return True


def _keeps_commits_apart(history: model.History) -> bool:
    owners = _owners(history)
    return all(
        owners.get((group, one.value), (one.value,))
        == owners.get((group, two.value), (two.value,))
        for group, rows in history.tables.items()
        for one in rows
        for two in rows
        if one.commit and one.commit == two.commit
    )


def _keeps_reads_whole(history: model.History) -> bool:
    owners = _owners(history)
    return all(
        set(owners.get((read.group, value), ()))
        <= set(_answers(history, read.request)[0].rows)
        for read in _requests(history)
        if read.kind is model.Kind.READ and _done(history, read)
        for value in _answers(history, read.request)[0].rows
    )


def keeps_whole_transactions(history: model.History) -> bool:
    """Tell whether each request's rows are all there and side by side."""
    return (
        _keeps_rows_together(history)
        and _keeps_commits_apart(history)
        and _keeps_reads_whole(history)
    )


PROMISES = {
    "read_your_writes": keeps_read_your_writes,
    "stated_age": keeps_stated_age,
    "at_most_once": keeps_at_most_once,
    "no_lost_write": keeps_no_lost_write,
    "no_replaced_primary": keeps_no_replaced_primary,
    "no_mixed_transactions": keeps_whole_transactions,
    "not_run": keeps_not_run,
    "answered": keeps_answered,
}
