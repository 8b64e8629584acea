"""Session state of a connection to a target, and how it becomes a caller's.

A caller's statement may run only where the session values are exactly the
caller's and the prepared statement that it names exists. What a connection has
is known from the target's answers alone: a setup statement that was refused
changed nothing, and one that failed may have changed what it names.
"""

import dataclasses
import enum
import itertools
import types
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from knapweedtally.core.groups import statements

# Prepared statements of a connection beyond which it is reset before another
# one is added. Callers without values share them for as long as it is open.
MAX_PREPARED = 64

# Other prepared statements of the caller that are prepared along with the one
# that is needed.
MAX_PREPARED_AHEAD = 4


class Kind(enum.Enum):
    """Kinds of setup statements."""

    RESET = enum.auto()
    SET = enum.auto()
    PREPARE = enum.auto()


class Step(NamedTuple):
    """One setup statement.

    Attributes:
        kind: its kind. A reset clears the values and the prepared statements.
        name: name of the value, or of the prepared statement.
        text: the value, or the definition of the prepared statement.
    """

    kind: Kind
    name: bytes = b""
    text: bytes = b""


class Needs(NamedTuple):
    """What a caller's statement needs of the session of its connection.

    Attributes:
        values: session values by name.
        definition: definition of the prepared statement that it executes, or
            None.
        prepared: definitions of all prepared statements of the caller by name.
            Its next statements will execute them.
    """

    values: Mapping[bytes, bytes]
    definition: bytes | None = None
    prepared: Mapping[bytes, bytes] = types.MappingProxyType({})


# What the statements of a host itself need.
NO_NEEDS = Needs({})


class Cost(enum.IntEnum):
    """What a connection lacks for a caller's statement.

    All but the first cost the caller one round trip to the target. They are in
    the order of what the next callers lose: statements of callers without
    values run at once only on connections without values.
    """

    NOTHING = 0
    PREPARED_STATEMENT = 1
    OTHER_VALUES = 2
    FIRST_VALUES = 3


@dataclasses.dataclass(slots=True)
class SessionState:
    """Session values and prepared statements of a connection.

    Attributes:
        values: session values by name; None if one isn't known.
        prepared: names of prepared statements by definition.
    """

    values: dict[bytes, bytes | None] = dataclasses.field(default_factory=dict)
    prepared: dict[bytes, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Setup:
    """Setup of one connection.

    Attributes:
        confirmed: the state that the target's answers have shown.
        expected: the state if no statement in flight is refused.
        in_flight: number of setup statements without an answer.
        name_count: number of names that were given to prepared statements. A
            name is never used again, so that one whose outcome isn't known
            does no harm.
        refusal: answer to the last setup statement since the setup began that
            didn't succeed, or None.
    """

    confirmed: SessionState = dataclasses.field(default_factory=SessionState)
    expected: SessionState = dataclasses.field(default_factory=SessionState)
    in_flight: int = 0
    name_count: int = 0
    refusal: statements.Answer | None = None


def begin(setup: Setup) -> None:
    """Forget the refusals of earlier callers' setup."""
    setup.refusal = None


def is_ready(setup: Setup, needs: Needs) -> bool:
    """Return whether a caller's statement may run on the connection."""
    return not setup.in_flight and not compute_cost(setup, needs)


def compute_cost(setup: Setup, needs: Needs) -> Cost:
    """Return what a connection lacks for a caller's statement."""
    known = setup.confirmed
    if known.values != needs.values:
        return Cost.OTHER_VALUES if known.values else Cost.FIRST_VALUES
    definition = needs.definition
    if definition is None or definition in known.prepared:
        return Cost.NOTHING
    return Cost.PREPARED_STATEMENT


def plan_steps(setup: Setup, needs: Needs) -> list[Step]:
    """Return the setup statements to send now, and count them as sent."""
    values = needs.values
    if not setup.in_flight:
        setup.expected = SessionState(
            dict(setup.confirmed.values), dict(setup.confirmed.prepared)
        )
    expected = setup.expected
    steps = []
    is_full = (
        needs.definition is not None
        and needs.definition not in expected.prepared
        and len(expected.prepared) >= MAX_PREPARED
    )
    if is_full or any(name not in values for name in expected.values):
        steps.append(Step(Kind.RESET))
        expected.values.clear()
        expected.prepared.clear()
    for name, value in values.items():
        if expected.values.get(name) != value:
            steps.append(Step(Kind.SET, name, value))
            expected.values[name] = value
    missing = _list_missing(expected, needs)
    if not steps and needs.definition not in missing:
        # No caller waits only for what is prepared ahead.
        missing = []
    for definition in missing:
        name = b"k%d" % setup.name_count
        setup.name_count += 1
        steps.append(Step(Kind.PREPARE, name, definition))
        expected.prepared[definition] = name
    setup.in_flight += len(steps)
    return steps


def _list_missing(state: SessionState, needs: Needs) -> list[bytes]:
    """Return the definitions to prepare, the one that is needed first."""
    ahead = (d for d in needs.prepared.values() if d not in state.prepared)
    wanted = [*itertools.islice(ahead, MAX_PREPARED_AHEAD)]
    if needs.definition is not None and (
        needs.definition not in state.prepared
    ):
        wanted.insert(0, needs.definition)
    return list(dict.fromkeys(wanted))


def record_answer(setup: Setup, step: Step, answer: statements.Answer) -> None:
    """Record the target's answer to a setup statement."""
    setup.in_flight -= 1
    if answer.code is None:
        _EFFECTS[step.kind](setup.confirmed, step)
        return
    setup.refusal = answer
    if answer.code not in statements.NOT_RUN_CODES:
        _POSSIBLE_EFFECTS[step.kind](setup.confirmed, step)


def _apply_reset(state: SessionState, step: Step) -> None:
    state.values.clear()
    state.prepared.clear()


def _apply_set(state: SessionState, step: Step) -> None:
    state.values[step.name] = step.text


def _apply_prepare(state: SessionState, step: Step) -> None:
    state.prepared[step.text] = step.name


def _doubt_reset(state: SessionState, step: Step) -> None:
    state.values = dict.fromkeys(state.values)
    state.prepared.clear()


def _doubt_set(state: SessionState, step: Step) -> None:
    state.values[step.name] = None


def _doubt_prepare(state: SessionState, step: Step) -> None:
    """Leave the state as it is, since the name isn't used again."""


_EFFECTS: dict[Kind, Callable[[SessionState, Step], None]] = {
    Kind.RESET: _apply_reset,
    Kind.SET: _apply_set,
    Kind.PREPARE: _apply_prepare,
}
# The same for a setup statement that may have run.
_POSSIBLE_EFFECTS: dict[Kind, Callable[[SessionState, Step], None]] = {
    Kind.RESET: _doubt_reset,
    Kind.SET: _doubt_set,
    Kind.PREPARE: _doubt_prepare,
}
