"""Tests of the freshness rules against a model of a log."""

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import model
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.routing import rules
from tests import factories

# Number of entries that each term adds to the log.
LOGS = st.lists(st.integers(0, 5), min_size=1, max_size=4)
AGES = st.sampled_from((0, 10, 1000))


def list_entries(lengths: list[int]) -> list[tuple[int, int]]:
    """Return the log as pairs of term and offset."""
    entries: list[tuple[int, int]] = []
    for term, length in enumerate(lengths, 1):
        for _ in range(length):
            entries.append((term, len(entries) + 1))
    return entries


class FreshnessTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(LOGS, st.data())
    def test_reached_positions_are_in_the_data(
        self, lengths: list[int], data: st.DataObject
    ) -> None:
        """A position that a target reaches is an entry of its log."""
        entries = list_entries(lengths)
        acknowledged = data.draw(st.sampled_from([(0, 0), *entries]))
        term = data.draw(st.integers(1, len(lengths)))
        of_term = [e for e in entries if e[0] <= term]
        applied = data.draw(st.integers(0, len(of_term)))
        report = model.TargetReport("t", term, applied, 0.0, False)
        if rules.reaches_position(report, model.Position(*acknowledged)):
            self.assertIn(acknowledged, [(0, 0), *of_term[:applied]])

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.sampled_from(admission_state.RequestKind),
        AGES,
        st.none() | st.builds(model.Position, st.just(1), st.integers(0, 3)),
        st.floats(0, 2000),
        st.integers(0, 3),
        st.booleans(),
    )
    def test_unconfirmed_fresh_answers_meet_every_requirement(
        self,
        kind: admission_state.RequestKind,
        max_age_ms: int,
        position: model.Position | None,
        age_ms: float,
        offset: int,
        is_primary: bool,
    ) -> None:
        request = factories.make_request(kind, max_age_ms, position)
        report = model.TargetReport("t", 1, offset, age_ms, is_primary)
        if not rules.is_answer_fresh(request, report, None):
            return
        self.assertFalse(request.traits.needs_primary)
        self.assertIsNotNone(position)
        assert position is not None
        self.assertLessEqual(position.offset, offset)
        self.assertGreater(max_age_ms, 0)
        self.assertLessEqual(age_ms, max_age_ms)

    def test_a_confirmation_of_another_term_does_not_count(self) -> None:
        request = factories.make_request(
            admission_state.RequestKind.READ, 0, None
        )
        report = model.TargetReport("t", 1, 5, 0.0, True)
        self.assertFalse(
            rules.is_answer_fresh(request, report, model.Position(2, 6))
        )
        self.assertTrue(
            rules.is_answer_fresh(request, report, model.Position(1, 6))
        )


class BarrierTest(testtools.TestCase):
    def needs_barrier(self, max_age_ms: int) -> bool:
        request = factories.make_request(
            admission_state.RequestKind.READ, max_age_ms, model.Position(1, 1)
        )
        return rules.needs_barrier(request)

    def test_read_of_a_small_age_is_confirmed_at_the_primary(self) -> None:
        # Between two confirmations, the age of the primary's data exceeds it.
        self.assertTrue(self.needs_barrier(1))
        self.assertFalse(self.needs_barrier(10_000))
