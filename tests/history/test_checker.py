"""Each check finds its violation in a small history and passes a valid one."""

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


def make_write(
    at: float, request: int, *values: str, **more: Any
) -> model.Invoked:
    kind = model.Kind.WRITE if len(values) == 1 else model.Kind.TRANSACTION
    fields = {"caller": "c1", "session": "s1", "marker": f"m{request}"} | more
    return model.Invoked(
        at, request, group="g", kind=kind, values=values, **fields
    )


def make_read(at: float, request: int, **more: Any) -> model.Invoked:
    fields = {"caller": "c1", "session": "s1", "marker": f"m{request}"} | more
    return model.Invoked(at, request, group="g", kind=model.Kind.READ, **fields)


def make_answer(
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


def make_row(commit: int, value: str, term: int = 1) -> model.Row:
    return model.Row(commit, term, "s1", value)


def find_failed_checks(
    events: list[model.Event], rows: tuple[model.Row, ...] = ()
) -> set[str]:
    history = model.History(tuple(events), {"g": rows})
    return {found.check for found in checker.check_history(history)}


class CheckerTest(testtools.TestCase):
    def test_good_history_passes(self) -> None:
        events = [
            model.TermOpened(0, "g", 1, "t1"),
            make_write(1, 1, "a", key="k"),
            make_answer(2, 1, outcome=UNKNOWN),
            make_write(3, 2, "a", key="k"),
            make_answer(4, 2),
            make_write(5, 3, "b1", "b2", session="s2", caller="c2"),
            make_answer(6, 3, caller="c2"),
            model.TermOpened(7, "g", 2, "t2"),
            make_write(8, 4, "c"),
            make_answer(9, 4, outcome=NOT_RUN),
            make_read(10, 5, max_age_s=0.0),
            make_answer(11, 5, "a", "b1", "b2"),
        ]
        rows = (make_row(1, "a"), make_row(2, "b1"), make_row(2, "b2"))
        self.assertEqual(set(), find_failed_checks(events, rows))

    def test_read_lacks_own_write(self) -> None:
        events = [
            make_write(1, 1, "a"),
            make_answer(2, 1),
            make_read(3, 2),
            make_answer(4, 2),
        ]
        self.assertEqual(
            {"read_your_writes"},
            find_failed_checks(events, (make_row(1, "a"),)),
        )

    def test_read_on_other_host_lacks_own_write(self) -> None:
        events = [
            make_write(1, 1, "a"),
            make_answer(2, 1, host="h1"),
            make_read(3, 2, caller="c2"),
            make_answer(4, 2, caller="c2", host="h2"),
        ]
        self.assertEqual(
            {"read_your_writes"},
            find_failed_checks(events, (make_row(1, "a"),)),
        )

    def test_read_exceeds_maximum_age(self) -> None:
        events = [
            make_write(1, 1, "a"),
            make_answer(2, 1),
            make_read(5, 2, session="s2", max_age_s=2.0),
            make_answer(6, 2),
        ]
        self.assertEqual(
            {"stated_age"}, find_failed_checks(events, (make_row(1, "a"),))
        )

    def test_duplicate_value(self) -> None:
        events = [
            make_write(1, 1, "a", key="k"),
            make_answer(2, 1, outcome=UNKNOWN),
            make_write(3, 2, "a", key="k"),
            make_answer(4, 2),
        ]
        self.assertEqual(
            {"at_most_once"},
            find_failed_checks(events, (make_row(1, "a"), make_row(2, "a"))),
        )

    def test_lost_acknowledged_write(self) -> None:
        events = [make_write(1, 1, "a"), make_answer(2, 1)]
        self.assertEqual({"no_lost_write"}, find_failed_checks(events))

    def test_replaced_primary_acknowledges(self) -> None:
        events = [
            make_write(1, 1, "a"),
            model.TermOpened(2, "g", 2, "t2"),
            make_answer(3, 1, term=1),
        ]
        self.assertEqual(
            {"no_replaced_primary"},
            find_failed_checks(events, (make_row(2, "a", 2),)),
        )
        self.assertEqual(
            set(), find_failed_checks(events, (make_row(1, "a", 1),))
        )

    def test_wrong_answer(self) -> None:
        base = [make_write(0, 1, "a"), make_answer(1, 1), make_read(2, 2)]
        rows = (make_row(1, "a"),)
        for wrong in (
            make_answer(3, 2, "a", caller="c2"),
            make_answer(3, 2, "a", marker="m1"),
            make_answer(3, 2, "a", row_count=2),
            make_answer(3, 2, "a", "x"),
            make_answer(3, 9, "a"),
        ):
            self.assertIn(
                "own_answer", find_failed_checks([*base, wrong], rows)
            )
        twice = [*base, make_answer(3, 2, "a"), make_answer(4, 2, "a")]
        self.assertEqual({"own_answer"}, find_failed_checks(twice, rows))

    def test_mixed_transactions(self) -> None:
        events = [
            make_write(1, 1, "a1", "a2"),
            make_write(1, 2, "b"),
            make_answer(2, 1, outcome=UNKNOWN),
            make_answer(2, 2),
        ]
        mixed = {"no_mixed_transactions"}
        a1, b, a2 = make_row(1, "a1"), make_row(2, "b"), make_row(1, "a2")
        self.assertEqual(mixed, find_failed_checks(events, (a1, b, a2)))
        self.assertEqual(mixed, find_failed_checks(events, (a1, b)))
        one_commit = (make_row(1, "b"), make_row(1, "a1"), make_row(1, "a2"))
        self.assertEqual(mixed, find_failed_checks(events, one_commit))
        torn_read = [*events, make_read(3, 3), make_answer(4, 3, "a1", "b")]
        self.assertEqual(mixed, find_failed_checks(torn_read, (a1, a2, b)))

    def test_executed_refused_write(self) -> None:
        events = [make_write(1, 1, "a"), make_answer(2, 1, outcome=NOT_RUN)]
        self.assertEqual(
            {"not_run"}, find_failed_checks(events, (make_row(1, "a"),))
        )

    def test_request_without_answer(self) -> None:
        self.assertEqual(
            {"answered"}, find_failed_checks([make_write(1, 1, "a")])
        )


VALUES = (("a",), ("b",), ("c1", "c2"), ("d1", "d2"))
NAMES = [value for values in VALUES for value in values]


@strategies.composite
def draw_history(draw: strategies.DrawFn) -> model.History:
    """Draw a small history that may violate any check."""
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
            events.append(make_write(at, request, *values, session=session))
        else:
            age = draw(strategies.sampled_from([None, 0.0, 2.0]))
            scope = draw(strategies.sampled_from(["", "s1", "s2"]))
            events.append(
                make_read(
                    at, request, session=session, max_age_s=age, scope=scope
                )
            )
        if draw(strategies.integers(0, 4)):
            events.append(
                make_answer(
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
