"""Tests of what is known of a connection's session."""

from typing import NamedTuple

import testtools
from hypothesis import given
from hypothesis import strategies as st

from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import statements

_Cost = session_setup.Cost
_Kind = session_setup.Kind

_NAMES = st.sampled_from((b"v0", b"v1"))
_VALUES = st.dictionaries(_NAMES, st.sampled_from((b"", b"a", b"b")))
_DEFINITIONS = st.sampled_from((b"READ q", b"WRITE q", b"WRITE r"))
_NEEDS = st.builds(
    session_setup.Needs,
    _VALUES,
    st.none() | _DEFINITIONS,
    st.dictionaries(_NAMES, _DEFINITIONS),
)


class Behaviour(NamedTuple):
    """How a target treats a setup statement.

    Attributes:
        has_run: whether it runs it.
        code: error that it answers, or None.
    """

    has_run: bool
    code: statements.Code | None


_BEHAVIOURS = st.sampled_from(
    (
        Behaviour(True, None),
        Behaviour(True, None),
        Behaviour(False, statements.Code.BUSY),
        Behaviour(False, statements.Code.READ_ONLY),
        Behaviour(True, statements.Code.FAILED),
        Behaviour(False, statements.Code.FAILED),
        Behaviour(True, statements.Code.OTHER),
        Behaviour(False, statements.Code.TIMED_OUT),
    )
)


class Target:
    """The session of a connection at a target."""

    def __init__(self) -> None:
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, bytes] = {}

    def run(self, step: session_setup.Step) -> None:
        if step.kind is _Kind.RESET:
            self.values.clear()
            self.prepared.clear()
        elif step.kind is _Kind.SET:
            self.values[step.name] = step.text
        else:
            self.prepared[step.name] = step.text


def make_answer(code: statements.Code | None) -> statements.Answer:
    state = statements.SessionState.IDLE
    return statements.Answer(b"", b"-", code, b"", state, b"-")


def run_steps(
    setup: session_setup.Setup,
    target: Target,
    needs: session_setup.Needs,
    behaviours: list[Behaviour],
) -> list[session_setup.Step]:
    """Let a target answer each step of a setup, and return the steps."""
    steps = session_setup.plan_steps(setup, needs)
    for step in steps:
        behaviour = behaviours.pop() if behaviours else Behaviour(True, None)
        if behaviour.has_run:
            target.run(step)
        session_setup.record_answer(setup, step, make_answer(behaviour.code))
    return steps


class SetupTest(testtools.TestCase):
    @given(
        st.lists(st.tuples(_NEEDS, st.lists(_BEHAVIOURS, max_size=6))),
        _NEEDS,
    )
    def test_ready_session_is_the_callers(
        self,
        earlier: list[tuple[session_setup.Needs, list[Behaviour]]],
        last: session_setup.Needs,
    ) -> None:
        # A statement ran with the values of another caller after its setup had
        # been refused.
        setup, target = session_setup.Setup(), Target()
        for needs, behaviours in [*earlier, (last, [])]:
            run_steps(setup, target, needs, behaviours)
            if session_setup.is_ready(setup, needs):
                self.assertEqual(needs.values, target.values)
                if needs.definition is not None:
                    name = setup.confirmed.prepared[needs.definition]
                    self.assertEqual(needs.definition, target.prepared[name])
        self.assertTrue(session_setup.is_ready(setup, last))

    def test_steps_in_flight_are_not_ready(self) -> None:
        setup = session_setup.Setup()
        session_setup.plan_steps(setup, session_setup.Needs({b"v": b"1"}))
        self.assertFalse(session_setup.is_ready(setup, session_setup.NO_NEEDS))

    def test_connection_without_values_is_kept_for_callers_without(
        self,
    ) -> None:
        clean, used = session_setup.Setup(), session_setup.Setup()
        run_steps(used, Target(), session_setup.Needs({b"v": b"1"}), [])
        other = session_setup.Needs({b"v": b"2"})
        cost = session_setup.compute_cost
        self.assertLess(cost(used, other), cost(clean, other))
        none = session_setup.NO_NEEDS
        self.assertEqual(_Cost.NOTHING, cost(clean, none))
        self.assertEqual(_Cost.OTHER_VALUES, cost(used, none))

    def test_other_statements_of_the_caller_are_prepared_along(self) -> None:
        setup = session_setup.Setup()
        prepared = {b"s1": b"READ q", b"s2": b"WRITE q"}
        needs = session_setup.Needs({}, b"WRITE q", prepared)
        run_steps(setup, Target(), needs, [])
        other = needs._replace(definition=b"READ q")
        self.assertTrue(session_setup.is_ready(setup, other))

    def test_prepared_statements_of_a_connection_are_bounded(self) -> None:
        setup, target = session_setup.Setup(), Target()
        for number in range(3 * session_setup.MAX_PREPARED):
            needs = session_setup.Needs({}, b"READ q%d" % number)
            run_steps(setup, target, needs, [])
            self.assertLessEqual(
                len(target.prepared), session_setup.MAX_PREPARED
            )
