"""Statements that need a target, and how they ended."""

import dataclasses
from collections.abc import Callable

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import statements
from knapweedtally.entry import connections


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Hold a statement, or the begin of a transaction, that needs a target.

    Attributes:
        session: the caller's session.
        statement: the statement; that of the transaction for a begin.
        need: what it asks of a target.
        begins: whether a transaction is to be begun for it.
        priority: 0 is served first.
        arrived_s: when it arrived.
        deadline_s: when it is given up.
        on_end: called once with the result.
        attempts: number of attempts so far.
        running: attempts under way.
        tried_s: when the last attempt was sent.
        second_try_s: when a second try may be made.
        excluded: targets tried in vain.
        is_done: whether the result was told.
        is_admitted: whether it passed the check for a crowded primary.
        reason: why it waits.
    """

    session: connections.Session
    statement: statements.Statement
    need: placement.Need
    begins: bool
    priority: int
    arrived_s: float
    deadline_s: float
    on_end: "Listener"
    attempts: int = 0
    running: int = 0
    tried_s: float = 0.0
    second_try_s: float = 0.0
    excluded: frozenset[str] = frozenset()
    is_done: bool = False
    is_admitted: bool = False
    reason: placement.Reason = placement.Reason.CHOSEN


@dataclasses.dataclass(slots=True)
class Result:
    """Hold how a request ended.

    Attributes:
        answer: the target's answer, or None.
        code: error to tell the caller where there is no answer.
        detail: text of that error.
        target: id of the target, or empty.
        way: host that the target was reached through, or empty.
        connection: connection that the transaction now owns, or None.
        position: position that the target's log had to hold.
        waited_s: time in the queue.
        attempts: attempts made.
        evidence_age_s: age of the evidence about the primary.
    """

    answer: statements.Answer | None
    code: statements.Code | None
    detail: str = ""
    target: str = ""
    way: str = ""
    connection: connections.Connection | None = None
    position: model.Position | None = None
    waited_s: float = 0.0
    attempts: int = 0
    evidence_age_s: float = 0.0


Listener = Callable[[Result], None]
