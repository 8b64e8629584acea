"""Check a history against the guarantees of the proxy.

Each check is a function that takes an index of the history and returns the
violations. ``check_history`` runs all of them; it has no side effects, and both
the in-process driver and tests with real processes use it.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator

from knapweedtally.core import errors
from tests.history import model

DONE = errors.Outcome.DONE
NOT_RUN = errors.Outcome.NOT_RUN


class Index:
    """Index of a history for the checks.

    Attributes:
        history: the indexed history.
        invoked: requests by id.
        answers: answers by id of the request, in order of arrival.
        done: pairs of a request and its first answer, if that says done.
        row_counts: number of rows by group and value in the final tables.
    """

    def __init__(self, history: model.History) -> None:
        """Index the events and final tables of a history."""
        self.history = history
        self.invoked: dict[int, model.Invoked] = {}
        self.answers: dict[int, list[model.Answered]] = {}
        for event in history.events:
            if isinstance(event, model.Invoked):
                self.invoked[event.request] = event
            elif isinstance(event, model.Answered):
                self.answers.setdefault(event.request, []).append(event)
        self.done = [
            (self.invoked[request], answers[0])
            for request, answers in self.answers.items()
            if request in self.invoked and answers[0].outcome is DONE
        ]
        self.row_counts = {
            group: collections.Counter(row.value for row in rows)
            for group, rows in history.tables.items()
        }

    def list_reads(self) -> list[tuple[model.Invoked, model.Answered]]:
        """Return the reads that were answered as done."""
        return [pair for pair in self.done if pair[0].kind is model.Kind.READ]

    def list_writes(self) -> list[tuple[model.Invoked, model.Answered]]:
        """Return the writes and transactions that were acknowledged."""
        return [pair for pair in self.done if pair[0].values]

    def count_rows(self, group: str, value: str) -> int:
        """Return the number of rows of the final table with the value."""
        return self.row_counts.get(group, collections.Counter())[value]


Violations = Iterator[model.Violation]
Check = Callable[[Index], Violations]


def find_missing_own_writes(index: Index) -> Violations:
    """Find reads that lack an acknowledged write of their own session."""
    writes = collections.defaultdict(list)
    for write, answer in index.list_writes():
        writes[write.session, write.group].append((answer.at, write))
    for read, answer in index.list_reads():
        if read.scope not in ("", read.session):
            continue
        rows = set(answer.rows)
        for at, write in writes[read.session, read.group]:
            if at <= read.at and not rows.issuperset(write.values):
                yield model.Violation(
                    "read_your_writes",
                    read.request,
                    f"misses write {write.request} acknowledged at {at:.3f}",
                )


def find_stale_reads(index: Index) -> Violations:
    """Find reads that lack a write older than their maximum age."""
    writes = collections.defaultdict(list)
    for write, answer in index.list_writes():
        writes[write.group].append((answer.at, write))
    for read, answer in index.list_reads():
        if read.max_age_s is None:
            continue
        rows = set(answer.rows)
        for at, write in writes[read.group]:
            is_required = at <= read.at - read.max_age_s
            is_selected = read.scope in ("", write.session)
            if (
                is_required
                and is_selected
                and not rows.issuperset(write.values)
            ):
                yield model.Violation(
                    "stated_age",
                    read.request,
                    f"misses write {write.request} acknowledged at {at:.3f}",
                )


def find_duplicate_values(index: Index) -> Violations:
    """Find values that occur more than once in the final tables."""
    for request in index.invoked.values():
        for value in request.values:
            count = index.count_rows(request.group, value)
            if count > 1:
                yield model.Violation(
                    "at_most_once", request.request, f"{value}: {count} rows"
                )


def find_lost_writes(index: Index) -> Violations:
    """Find acknowledged writes that are missing from the final tables."""
    for write, answer in index.list_writes():
        for value in write.values:
            if not index.count_rows(write.group, value):
                yield model.Violation(
                    "no_lost_write",
                    write.request,
                    f"{value} was acknowledged by {answer.host} under term "
                    f"{answer.term}",
                )


def find_acknowledgements_by_replaced_primaries(index: Index) -> Violations:
    """Find acknowledgements by replaced primaries.

    A write acknowledged under a term after a higher term opened is a violation,
    unless the log contained the write when the higher term opened.
    """
    opened = collections.defaultdict(list)
    for event in index.history.events:
        if isinstance(event, model.TermOpened):
            opened[event.group].append(event)
    rows = {
        (group, row.value): row.term
        for group, table in index.history.tables.items()
        for row in table
    }
    for write, answer in index.list_writes():
        for opening in opened[write.group]:
            if opening.term <= answer.term or opening.at >= answer.at:
                continue
            terms = [rows.get((write.group, value)) for value in write.values]
            if any(term is None or term >= opening.term for term in terms):
                yield model.Violation(
                    "no_replaced_primary",
                    write.request,
                    f"term {answer.term} acknowledged at {answer.at:.3f}, "
                    f"term {opening.term} opened at {opening.at:.3f}",
                )


def find_wrong_answers(index: Index) -> Violations:
    """Find answers that are misdirected, duplicated, truncated or wrong."""
    values: dict[tuple[str, str], model.Invoked] = {}
    for sent in sorted(index.invoked.values(), key=lambda sent: sent.at):
        for value in sent.values:
            values.setdefault((sent.group, value), sent)
    for request, answers in index.answers.items():
        if len(answers) > 1:
            yield model.Violation(
                "own_answer", request, f"{len(answers)} answers"
            )
        invoked = index.invoked.get(request)
        for answer in answers:
            for detail in _describe_wrong_answer(invoked, answer, values):
                yield model.Violation("own_answer", request, detail)


def _describe_wrong_answer(
    invoked: model.Invoked | None,
    answer: model.Answered,
    values: dict[tuple[str, str], model.Invoked],
) -> Iterator[str]:
    """Describe each error of one answer."""
    if invoked is None:
        yield "answer without a request"
        return
    if answer.caller != invoked.caller:
        yield f"sent by {invoked.caller}, answered to {answer.caller}"
    if answer.outcome is not DONE:
        return
    if answer.marker != invoked.marker:
        yield f"marker {answer.marker!r} in place of {invoked.marker!r}"
    if answer.row_count != len(answer.rows):
        yield f"{len(answer.rows)} of {answer.row_count} rows arrived"
    for value in answer.rows:
        writer = values.get((invoked.group, value))
        if writer is None or writer.at > answer.at:
            yield f"{value} was not written in {invoked.group}"
        elif invoked.scope not in ("", writer.session):
            yield f"{value} belongs to session {writer.session}"


def find_mixed_transactions(index: Index) -> Violations:
    """Find transactions that aren't atomic or are mixed with others' rows."""
    writers = {
        (request.group, value): request.values
        for request in index.invoked.values()
        for value in request.values
    }
    for request in index.invoked.values():
        counts = {
            index.count_rows(request.group, value) > 0
            for value in request.values
        }
        if len(counts) > 1:
            yield model.Violation(
                "no_mixed_transactions",
                request.request,
                "partly in the final table",
            )
    for group, table in index.history.tables.items():
        for detail in _describe_mixed_rows(group, table, writers):
            yield model.Violation("no_mixed_transactions", 0, detail)
    for read, answer in index.list_reads():
        rows = set(answer.rows)
        for value in answer.rows:
            if not rows.issuperset(writers.get((read.group, value), ())):
                yield model.Violation(
                    "no_mixed_transactions",
                    read.request,
                    f"read {value} without the rest of its transaction",
                )


def _describe_mixed_rows(
    group: str,
    table: tuple[model.Row, ...],
    writers: dict[tuple[str, str], tuple[str, ...]],
) -> Iterator[str]:
    """Describe commits with rows of two requests, and interleaved rows."""
    commits: dict[int, tuple[str, ...]] = {}
    closed: set[tuple[str, ...]] = set()
    previous: tuple[str, ...] = ()
    for row in table:
        values = writers.get((group, row.value), (row.value,))
        if row.commit and commits.setdefault(row.commit, values) != values:
            yield f"log entry {row.commit} of {group} has rows of two requests"
        if values != previous:
            closed.add(previous)
            previous = values
            if len(values) > 1 and values in closed:
                yield f"{row.value} is apart from the rest of its transaction"


def find_executed_refusals(index: Index) -> Violations:
    """Find values in the final tables whose requests were all "not run"."""
    requests = collections.defaultdict(list)
    for request in index.invoked.values():
        for value in request.values:
            requests[request.group, value].append(request.request)
    for (group, value), ids in requests.items():
        if not index.count_rows(group, value):
            continue
        outcomes = [index.answers.get(request) for request in ids]
        if all(found and found[0].outcome is NOT_RUN for found in outcomes):
            yield model.Violation(
                "not_run", ids[0], f"{value} is in {group} although not run"
            )


def find_unanswered_requests(index: Index) -> Violations:
    """Find requests without any answer."""
    for request in index.invoked.values():
        if request.request not in index.answers:
            yield model.Violation(
                "answered",
                request.request,
                f"{request.kind.value} has no answer",
            )


CHECKS: dict[str, Check] = {
    "read_your_writes": find_missing_own_writes,
    "stated_age": find_stale_reads,
    "at_most_once": find_duplicate_values,
    "no_lost_write": find_lost_writes,
    "no_replaced_primary": find_acknowledgements_by_replaced_primaries,
    "own_answer": find_wrong_answers,
    "no_mixed_transactions": find_mixed_transactions,
    "not_run": find_executed_refusals,
    "answered": find_unanswered_requests,
}


def check_history(history: model.History) -> list[model.Violation]:
    """Return the violations that all checks find."""
    index = Index(history)
    return [found for check in CHECKS.values() for found in check(index)]
