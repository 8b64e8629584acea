"""Phases of an entry host's planned stop.

A host that stops takes on nothing that it can't finish: the sessions of its
callers end with an answer, one after the other, and what it has read and not
passed on is refused, so that callers can go elsewhere.
"""

import enum
import math

from knapweedtally.core.groups import statements

_Kind = statements.Kind


class Phase(enum.IntEnum):
    """Phases of a planned stop, in order.

    Attributes:
        SERVING: no stop was requested.
        ANNOUNCING: the host reports that it isn't ready. Callers still come and
            are served.
        LEAVING: no caller can connect. Sessions end, each with its next answer
            outside a transaction, and no transaction begins.
        REFUSING: statements are refused, and open transactions are aborted once
            no statement of theirs runs.
        FINISHING: statements that wait are refused. Those that run go on.
        OVER: statements that run are answered without their result.
    """

    SERVING = 0
    ANNOUNCING = 1
    LEAVING = 2
    REFUSING = 3
    FINISHING = 4
    OVER = 5


# Fractions of the grace time after which the phases begin. The load balancer
# needs two readiness checks, one second apart, to notice the stop. Transactions
# have the first half of the grace time, and a process that goes on is killed at
# its end.
_STARTS: dict[Phase, float] = {
    Phase.ANNOUNCING: 0.0,
    Phase.LEAVING: 0.4,
    Phase.REFUSING: 0.5,
    Phase.FINISHING: 0.6,
    Phase.OVER: 0.93,
}

# Fraction of the grace time after which the process exits at the latest.
EXIT_FRACTION = 0.97

_BEGINS = frozenset({_Kind.BEGIN, _Kind.BEGIN_READ})
_FORWARDED = frozenset({_Kind.READ, _Kind.WRITE, _Kind.EXECUTE})

# Kinds of statements outside a transaction that are refused from a phase on.
_REFUSED: dict[Phase, frozenset[statements.Kind]] = {
    Phase.SERVING: frozenset(),
    Phase.ANNOUNCING: frozenset(),
    Phase.LEAVING: _BEGINS,
    Phase.REFUSING: _BEGINS | _FORWARDED,
    Phase.FINISHING: _BEGINS | _FORWARDED,
    Phase.OVER: _BEGINS | _FORWARDED,
}


def find_phase(elapsed_s: float, grace_s: float) -> Phase:
    """Return the phase of a stop.

    Args:
        elapsed_s: time since the stop was requested.
        grace_s: time after which the process is killed.
    """
    return max(
        phase
        for phase, fraction in _STARTS.items()
        if elapsed_s >= fraction * grace_s
    )


def is_refused(phase: Phase, kind: statements.Kind) -> bool:
    """Return whether a statement outside a transaction is refused."""
    return kind in _REFUSED[phase]


def count_leaving(sessions: int, elapsed_s: float, grace_s: float) -> int:
    """Return how many sessions are to have been asked to leave.

    They are asked evenly over the phase ``LEAVING``, so that their callers
    don't all connect to other hosts at one moment.

    Args:
        sessions: number of sessions at the begin of the phase.
        elapsed_s: time since the stop was requested.
        grace_s: time after which the process is killed.
    """
    begin_s = _STARTS[Phase.LEAVING] * grace_s
    end_s = _STARTS[Phase.REFUSING] * grace_s
    if elapsed_s >= end_s:
        return sessions
    progress = max(0.0, elapsed_s - begin_s) / (end_s - begin_s)
    return math.ceil(sessions * progress)
