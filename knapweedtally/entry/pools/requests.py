"""Requests for a target, and their results."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import statements
from knapweedtally.entry.pools import connections

# Maximum number of attempts to run one request.
MAX_ATTEMPTS = 4


class Permit(Protocol):
    """The right to send an operation of a team that has a limit."""

    def attach(
        self, on_ready: Callable[[], None], on_refused: Callable[[str], None]
    ) -> None:
        """Set what is called after ``confirm`` returned False."""

    def confirm(self, now_s: float) -> bool:
        """Return whether the operation may be sent now."""

    def take_more(self, now_s: float) -> bool:
        """Return whether a hedged attempt may be sent."""

    def require_another(self) -> None:
        """Count the next attempt as another operation."""

    def release(self) -> None:
        """Return what wasn't used."""


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A statement, or the start of a transaction, that needs a target.

    Attributes:
        session: the caller's session.
        statement: the statement; to start a transaction, its begin statement.
        need: the requirements that a target has to meet.
        is_begin: whether the request starts a transaction.
        priority: 0 is served first.
        arrived_s: time of arrival.
        deadline_s: time at which the request is refused if no attempt runs.
        on_end: called once with the result.
        attempts: number of attempts so far.
        running_attempts: number of attempts that await an answer.
        last_attempt_s: time at which the last attempt was sent.
        hedge_at_s: time from which a hedged attempt may be sent.
        excluded: ids of targets to skip because an attempt there failed;
            cleared when no target is left.
        is_done: whether the result was delivered or the request cancelled.
        is_admitted: whether it passed the check for an overloaded primary.
        waiting_target: id of the target for whose connections it waits in this
            host's queue for all hosts, or empty.
        is_refused_by_queue: whether a holder's queue has refused it once.
        reason: outcome of the last placement; why the request is queued.
        permit: its right to be sent, or None if its team has no limit.
        next_statement: the statement that follows a begin, or None.
    """

    session: connections.Session
    statement: statements.Statement
    need: placement.Requirements
    is_begin: bool
    priority: int
    arrived_s: float
    deadline_s: float
    on_end: "Listener"
    attempts: int = 0
    running_attempts: int = 0
    last_attempt_s: float = 0.0
    hedge_at_s: float = 0.0
    excluded: frozenset[str] = frozenset()
    is_done: bool = False
    is_admitted: bool = False
    waiting_target: str = ""
    is_refused_by_queue: bool = False
    reason: placement.Reason = placement.Reason.CHOSEN
    permit: Permit | None = None
    next_statement: statements.Statement | None = None

    def find_needs(self) -> session_setup.Needs:
        """Return what the request needs of the session of its connection."""
        statement = self.next_statement if self.is_begin else self.statement
        return connections.find_needs(self.session, statement)


@dataclasses.dataclass(slots=True)
class Result:
    """The result of a request.

    Attributes:
        answer: the target's answer, or None.
        code: the error, or None after success.
        detail: text of the error if there is no answer.
        target: id of the target, or empty.
        relay_host: name of the host that relayed the statement, or empty.
        connection: connection that the transaction now owns, or None.
        position: log position that the target had to hold, or None.
        waited_s: time in the queue.
        setup_s: time for which the last attempt waited for its session's setup.
        attempts: number of attempts made.
        evidence_age_s: age of the evidence about the primary.
        member_age_s: age of the evidence from the group's other members.
    """

    answer: statements.Answer | None
    code: statements.Code | None
    detail: str = ""
    target: str = ""
    relay_host: str = ""
    connection: connections.Connection | None = None
    position: model.Position | None = None
    waited_s: float = 0.0
    setup_s: float = 0.0
    attempts: int = 0
    evidence_age_s: float = 0.0
    member_age_s: float = 0.0


Listener = Callable[[Result], None]
