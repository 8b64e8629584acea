"""Each check finds its fault in a small history and passes a good one."""

from typing import Any

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import errors
from tests.history import checker
from tests.history import model
from tests.history import naive

DONE = errors.Outcome.DONE
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN


def write(at: float, request: int, *values: str, **more: Any) -> model.Invoked:
    kind = model.Kind.WRITE if len(values) == 1 else model.Kind.TRANSACTION
    fields = {"caller": "c1", "session": "s1", "marker": f"m{request}"} | more
    return model.Invoked(
        at, request, group="g", kind=kind, values=values, **fields
    )


def read(at: float, request: int, **more: Any) -> model.Invoked:
    fields = {"caller": "c1", "session": "s1", "marker": f"m{request}"} | more
    return model.Invoked(at, request, group="g", kind=model.Kind.READ, **fields)


def answer(
    at: float,
    request: int,
    *rows: str,
    outcome: errors.Outcome = DONE,
    **more: Any,
) -> model.Answered:
    fields = {
        "caller": "c1",
        "marker": f"m{request}",
        "host": "h1",
        "term": 1,
        "row_count": len(rows),
    } | more
    return model.Answered(at, request, outcome=outcome, rows=rows, **fields)


def row(commit: int, value: str, term: int = 1) -> model.Row:
    return model.Row(commit, term, "s1", value)


def find_checks(
    events: list[model.Event], rows: tuple[model.Row, ...] = ()
) -> set[str]:
    history = model.History(tuple(events), {"g": rows})
    return {found.check for found in checker.check_history(history)}


class CheckerTest(testtools.TestCase):
    def test_good_history_passes(self) -> None:
        events = [
            model.TermOpened(0, "g", 1, "t1"),
            write(1, 1, "a", key="k"),
            answer(2, 1, outcome=UNKNOWN),
            write(3, 2, "a", key="k"),
            answer(4, 2),
            write(5, 3, "b1", "b2", session="s2", caller="c2"),
            answer(6, 3, caller="c2"),
            model.TermOpened(7, "g", 2, "t2"),
            write(8, 4, "c"),
            answer(9, 4, outcome=NOT_RUN),
            read(10, 5, max_age_s=0.0),
            answer(11, 5, "a", "b1", "b2"),
        ]
        rows = (row(1, "a"), row(2, "b1"), row(2, "b2"))
        self.assertEqual(set(), find_checks(events, rows))

    def test_own_write_missing(self) -> None:
        events = [write(1, 1, "a"), answer(2, 1), read(3, 2), answer(4, 2)]
        self.assertEqual(
            {"read_your_writes"}, find_checks(events, (row(1, "a"),))
        )

    def test_own_write_through_another_host_missing(self) -> None:
        events = [
            write(1, 1, "a"),
            answer(2, 1, host="h1"),
            read(3, 2, caller="c2"),
            answer(4, 2, caller="c2", host="h2"),
        ]
        self.assertEqual(
            {"read_your_writes"}, find_checks(events, (row(1, "a"),))
        )

    def test_read_older_than_stated(self) -> None:
        events = [
            write(1, 1, "a"),
            answer(2, 1),
            read(5, 2, session="s2", max_age_s=2.0),
            answer(6, 2),
        ]
        self.assertEqual({"stated_age"}, find_checks(events, (row(1, "a"),)))

    def test_value_twice(self) -> None:
        events = [
            write(1, 1, "a", key="k"),
            answer(2, 1, outcome=UNKNOWN),
            write(3, 2, "a", key="k"),
            answer(4, 2),
        ]
        self.assertEqual(
            {"at_most_once"}, find_checks(events, (row(1, "a"), row(2, "a")))
        )

    def test_acknowledged_write_lost(self) -> None:
        events = [write(1, 1, "a"), answer(2, 1)]
        self.assertEqual({"no_lost_write"}, find_checks(events))

    def test_replaced_primary_acknowledges(self) -> None:
        events = [
            write(1, 1, "a"),
            model.TermOpened(2, "g", 2, "t2"),
            answer(3, 1, term=1),
        ]
        self.assertEqual(
            {"no_replaced_primary"}, find_checks(events, (row(2, "a", 2),))
        )
        self.assertEqual(set(), find_checks(events, (row(1, "a", 1),)))

    def test_answer_to_another_caller(self) -> None:
        base = [write(0, 1, "a"), answer(1, 1), read(2, 2)]
        rows = (row(1, "a"),)
        for wrong in (
            answer(3, 2, "a", caller="c2"),
            answer(3, 2, "a", marker="m1"),
            answer(3, 2, "a", row_count=2),
            answer(3, 2, "a", "x"),
            answer(3, 9, "a"),
        ):
            self.assertIn("own_answer", find_checks([*base, wrong], rows))
        twice = [*base, answer(3, 2, "a"), answer(4, 2, "a")]
        self.assertEqual({"own_answer"}, find_checks(twice, rows))

    def test_transactions_mixed(self) -> None:
        events = [
            write(1, 1, "a1", "a2"),
            write(1, 2, "b"),
            answer(2, 1, outcome=UNKNOWN),
            answer(2, 2),
        ]
        mixed = {"no_mixed_transactions"}
        a1, b, a2 = row(1, "a1"), row(2, "b"), row(1, "a2")
        self.assertEqual(mixed, find_checks(events, (a1, b, a2)))
        self.assertEqual(mixed, find_checks(events, (a1, b)))
        one_commit = (row(1, "b"), row(1, "a1"), row(1, "a2"))
        self.assertEqual(mixed, find_checks(events, one_commit))
        torn_read = [*events, read(3, 3), answer(4, 3, "a1", "b")]
        self.assertEqual(mixed, find_checks(torn_read, (a1, a2, b)))

    def test_refused_write_ran(self) -> None:
        events = [write(1, 1, "a"), answer(2, 1, outcome=NOT_RUN)]
        self.assertEqual({"not_run"}, find_checks(events, (row(1, "a"),)))

    def test_request_without_answer(self) -> None:
        self.assertEqual({"answered"}, find_checks([write(1, 1, "a")]))


VALUES = (("a",), ("b",), ("c1", "c2"), ("d1", "d2"))
NAMES = [value for values in VALUES for value in values]


@strategies.composite
def draw_history(draw: strategies.DrawFn) -> model.History:
    """Draw a small history, good or bad."""
    events: list[model.Event] = []
    times = strategies.integers(0, 8).map(float)
    sessions = strategies.sampled_from(["s1", "s2"])
    some_rows = strategies.lists(
        strategies.sampled_from(NAMES), max_size=5, unique=True
    )
    for request in range(draw(strategies.integers(0, 5))):
        session = draw(sessions)
        at = draw(times)
        if draw(strategies.booleans()):
            values = draw(strategies.sampled_from(VALUES))
            events.append(write(at, request, *values, session=session))
        else:
            age = draw(strategies.sampled_from([None, 0.0, 2.0]))
            scope = draw(strategies.sampled_from(["", "s1", "s2"]))
            events.append(
                read(at, request, session=session, max_age_s=age, scope=scope)
            )
        if draw(strategies.integers(0, 4)):
            events.append(
                answer(
                    at + draw(times),
                    request,
                    *draw(some_rows),
                    outcome=draw(strategies.sampled_from(errors.Outcome)),
                    term=draw(strategies.integers(1, 2)),
                )
            )
    if draw(strategies.booleans()):
        events.append(model.TermOpened(draw(times), "g", 2, "t2"))
    table = tuple(
        model.Row(
            draw(strategies.integers(0, 3)),
            draw(strategies.integers(1, 2)),
            "s1",
            value,
        )
        for value in draw(
            strategies.lists(strategies.sampled_from(NAMES), max_size=6)
        )
    )
    events.sort(key=lambda event: event.at)
    return model.History(tuple(events), {"g": table})


class DifferentialTest(testtools.TestCase):
    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
    @hypothesis.given(draw_history())
    def test_checker_agrees_with_naive(self, history: model.History) -> None:
        failed = {found.check for found in checker.check_history(history)}
        expected = {
            name for name, keeps in naive.PROMISES.items() if not keeps(history)
        }
        self.assertEqual(expected, failed - {"own_answer"})
