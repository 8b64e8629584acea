"""A connection to a target that serves callers with sessions of their own."""

import functools
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import line_connections
from knapweedtally.platform import line_protocol

# Time for the answers to a session's setup, in seconds. What was decided when
# the connection was chosen, such as that the target isn't leaving, holds for
# longer than that.
SETUP_TIMEOUT_S = 0.5

_SetupKind = session_setup.Kind
_State = statements.SessionState

# Texts of the setup statements.
_SETUP_ENCODERS: dict[_SetupKind, Callable[[bytes, bytes], bytes]] = {
    _SetupKind.RESET: lambda name, text: line_protocol.RESET,
    _SetupKind.SET: line_protocol.encode_set,
    _SetupKind.PREPARE: line_protocol.encode_prepare,
}


class WrongTeam(Exception):  # noqa: N818 - named after the cause
    """Raised for a statement on a connection that belongs to another team."""


class Meter(Protocol):
    """Count the statements that are sent on a connection."""

    def measure(
        self,
        id_: bytes,
        text: bytes,
        on_end: line_connections.OutcomeCallback | None,
    ) -> line_connections.OutcomeCallback | None:
        """Return what to call with a statement's outcome."""


class Session(Protocol):
    """The session state that a connection has to provide to a caller.

    Attributes:
        values: session values by name.
        prepared: definitions of prepared statements by the caller's name.
        team: name of the caller's team, empty if callers aren't told apart.
    """

    values: dict[bytes, bytes]
    prepared: dict[bytes, bytes]
    team: str


class _WaitingStatement(NamedTuple):
    """A caller's statement that is sent once its session is set up.

    Attributes:
        session: the caller's session.
        statement: the statement.
        needs: what it needs of the connection's session.
        add_prefix: returns the text to send for a statement's text, or None.
        on_end: called once with the outcome.
        begun_s: when it was to be run.
        deadline_s: when its answer is due.
        priority: its priority, for a relay host's queue.
    """

    session: Session
    statement: statements.Statement
    needs: session_setup.Needs
    add_prefix: Callable[[bytes], bytes] | None
    on_end: line_connections.OutcomeCallback | None
    begun_s: float
    deadline_s: float
    priority: int


class Connection(line_connections.LineConnection):
    """A connection to one target, with the session of its last caller.

    A caller's statement is sent only after the answers to the setup of its
    session, since a target that refuses a setup statement runs what follows it.
    The begin of a transaction, which reads and writes nothing, goes ahead.

    Attributes:
        team: name of the team for which a direct connection was opened, empty
            for none.
        has_announcements: whether the team of each statement is announced,
            which is needed on relay connections where callers have teams.
        announced_s: when an announcement was sent that the relay host has not
            answered, or None.
        is_queued: whether the newest statement is a caller's, which may wait in
            a relay host's queue once its announcement is answered.
        meter: counts the statements, or None.
    """

    def __init__(
        self, owner: line_connections.Owner, group: str, user: str, target: str
    ) -> None:
        """Create a connection that isn't opened yet.

        Args:
            owner: handles the connection's events.
            group: name of the group.
            user: name of this host towards the target.
            target: id of the target.
        """
        super().__init__(owner, group, user, target)
        self.team = ""
        self.has_announcements = False
        self.announced_s: float | None = None
        self.is_queued = False
        self.meter: Meter | None = None
        self._setup = session_setup.Setup()
        self._waiting: _WaitingStatement | None = None

    def send(
        self,
        id_: bytes,
        text: bytes,
        on_end: line_connections.OutcomeCallback | None,
        timeout_s: float,
    ) -> None:
        """Send one statement that needs no session.

        Args:
            id_: id of the statement.
            text: text of the statement.
            on_end: called once with the outcome, or None.
            timeout_s: time for the answer; the connection is closed after it.
        """
        self.is_queued = False
        super().send(id_, text, on_end, timeout_s)

    def run(
        self,
        session: Session,
        statement: statements.Statement,
        add_prefix: Callable[[bytes], bytes] | None,
        on_end: line_connections.OutcomeCallback,
        timeout_s: float,
        priority: int = 0,
    ) -> None:
        """Run a caller's statement once its session is set up.

        Args:
            session: the caller's session.
            statement: the statement.
            add_prefix: returns the text to send for a statement's text, or
                None to send it unchanged.
            on_end: called once with the outcome.
            timeout_s: time for the answer.
            priority: priority of the statement, for a relay host's queue.

        Raises:
            WrongTeam: the connection belongs to another team.
        """
        self._check_team(session)
        measured = self._measure(statement.id, statement.text, on_end)
        now_s = clock.get_time_s()
        waiting = _WaitingStatement(
            session,
            statement,
            find_needs(session, statement),
            add_prefix,
            measured,
            now_s,
            now_s + timeout_s,
            priority,
        )
        session_setup.begin(self._setup)
        if session_setup.is_ready(self._setup, waiting.needs):
            self._send_waiting(waiting, measured)
            return
        self._waiting = waiting
        self.is_queued = False
        self._send_setup(waiting.needs, min(timeout_s, SETUP_TIMEOUT_S))

    def begin(
        self,
        session: Session,
        id_: bytes,
        text: bytes,
        on_end: line_connections.OutcomeCallback,
        timeout_s: float,
        priority: int = 0,
        next_statement: statements.Statement | None = None,
    ) -> None:
        """Begin a transaction, which owns the connection until it ends.

        The session is set up along with it. A refused begin leaves a connection
        with another session, and a refused setup an empty transaction.

        Args:
            session: the caller's session.
            id_: id of the statement.
            text: text of the statement.
            on_end: called once with the outcome.
            timeout_s: time for the answer.
            priority: priority of the statement, for a relay host's queue.
            next_statement: the statement that follows, or None if it isn't
                known yet.

        Raises:
            WrongTeam: the connection belongs to another team.
        """
        self._check_team(session)
        self.is_queued = True
        messages = self._build_announcement(session, timeout_s, priority)
        self.is_held = True
        measured = self._measure(id_, text, on_end)
        messages.append(line_connections.Message(id_, text, measured))
        if next_statement is not None:
            messages += self._build_setup(find_needs(session, next_statement))
        self._send_messages(messages, timeout_s)

    def prepare(self, needs: session_setup.Needs) -> None:
        """Set up a session for a statement of its transaction that will come.

        A statement that comes before the answers waits for them.
        """
        if not self.is_closed and self._waiting is None:
            self._send_setup(needs, SETUP_TIMEOUT_S)

    def get_setup_cost(self, needs: session_setup.Needs) -> session_setup.Cost:
        """Return what the connection lacks for a caller's statement."""
        return session_setup.compute_cost(self._setup, needs)

    def release(self, id_: bytes, timeout_s: float) -> None:
        """Roll back the transaction that owns the connection, and free it.

        Args:
            id_: id of the rollback statement.
            timeout_s: time for the target to roll back.
        """
        self.is_held = False
        if self._state is _State.IDLE:
            # Called from the callback of the commit; the connection becomes
            # available when that returns.
            return
        self.send(id_, line_protocol.ROLLBACK, None, timeout_s)

    def _measure(
        self,
        id_: bytes,
        text: bytes,
        on_end: line_connections.OutcomeCallback,
    ) -> line_connections.OutcomeCallback | None:
        """Count a statement from now on, while it waits for its setup, too."""
        if self.meter is None:
            return on_end
        return self.meter.measure(id_, text, on_end)

    def _check_team(self, session: Session) -> None:
        """Ensure that no statement runs on another team's connection."""
        if not self.relay_host and session.team != self.team:
            raise WrongTeam(
                f"connection of team {self.team!r}: expected a statement of "
                f"this team, got one of {session.team!r}"
            )

    # Setup of a session.

    def _send_setup(self, needs: session_setup.Needs, timeout_s: float) -> None:
        messages = self._build_setup(needs)
        if messages:
            self._send_messages(messages, timeout_s)

    def _build_setup(
        self, needs: session_setup.Needs
    ) -> list[line_connections.Message]:
        """Return the statements that the connection lacks for a session."""
        return [
            line_connections.Message(
                line_protocol.HOST_STATEMENT_ID,
                _SETUP_ENCODERS[step.kind](step.name, step.text),
                functools.partial(self._record_step, step),
            )
            for step in session_setup.plan_steps(self._setup, needs)
        ]

    def _record_step(
        self, step: session_setup.Step, outcome: line_connections.Outcome
    ) -> None:
        if outcome.answer is not None:
            session_setup.record_answer(self._setup, step, outcome.answer)

    def _handle_all_answered(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is None:
            super()._handle_all_answered()
            return
        if not session_setup.is_ready(self._setup, waiting.needs):
            _give_up(waiting, self._setup.refusal)
            if not self._pending and not self.is_closed:
                super()._handle_all_answered()
            return
        expected = _State.IN_TRANSACTION if self.is_held else _State.IDLE
        if self._state is not expected:
            # The statement would run outside of its transaction, or inside of
            # one that nobody ends.
            self.abort()
            _give_up(waiting, None)
            return
        setup_s = clock.get_time_s() - waiting.begun_s
        self._send_waiting(
            waiting, functools.partial(_report_outcome, waiting, setup_s)
        )

    def _send_waiting(
        self,
        waiting: _WaitingStatement,
        on_end: line_connections.OutcomeCallback | None,
    ) -> None:
        timeout_s = max(0.0, waiting.deadline_s - clock.get_time_s())
        statement, text = waiting.statement, waiting.statement.text
        definition = waiting.needs.definition
        if definition is not None:
            name = self._setup.confirmed.prepared[definition]
            text = line_protocol.encode_execute(name, statement.arguments)
        if waiting.add_prefix is not None:
            text = waiting.add_prefix(text)
        self.is_queued = True
        messages = self._build_announcement(
            waiting.session, timeout_s, waiting.priority
        )
        messages.append(line_connections.Message(statement.id, text, on_end))
        self._send_messages(messages, timeout_s)

    def _mark_closed(self, is_timeout: bool = False) -> None:
        waiting, self._waiting = self._waiting, None
        super()._mark_closed(is_timeout)
        if waiting is not None:
            supervision.contain(
                "connection", _give_up, waiting, None, is_timeout
            )

    # Announcements to relay hosts.

    def _build_announcement(
        self, session: Session, timeout_s: float, priority: int
    ) -> list[line_connections.Message]:
        """Return the statement that names the team to the relay host.

        A relay host that can't use it closes the connection, so that the
        statement behind it doesn't run. The statements of an open transaction
        follow the announcement of its begin.
        """
        if not self.has_announcements or self.is_held:
            return []
        text = line_protocol.encode_announcement(
            session.team, priority, timeout_s
        )
        self.announced_s = clock.get_time_s()
        return [
            line_connections.Message(
                line_protocol.HOST_STATEMENT_ID, text, self._check_announcement
            )
        ]

    def _check_announcement(self, outcome: line_connections.Outcome) -> None:
        self.announced_s = None


def find_needs(
    session: Session, statement: statements.Statement | None
) -> session_setup.Needs:
    """Return what a caller's statement needs of its connection's session."""
    definition = None
    if statement and statement.kind is statements.Kind.EXECUTE:
        definition = session.prepared[statement.name]
    return session_setup.Needs(session.values, definition, session.prepared)


def _report_outcome(
    waiting: _WaitingStatement,
    setup_s: float,
    outcome: line_connections.Outcome,
) -> None:
    """Report the outcome of a statement that was sent after its setup."""
    if waiting.on_end is not None:
        waiting.on_end(outcome._replace(setup_s=setup_s))


def _give_up(
    waiting: _WaitingStatement,
    refusal: statements.Answer | None,
    is_timeout: bool = False,
) -> None:
    """Report that a statement wasn't sent, with the refusal of its setup.

    The setup may have run; the statement hasn't, whatever the refusal says.
    """
    if refusal is not None and refusal.code not in statements.NOT_RUN_CODES:
        refusal = refusal._replace(code=statements.Code.BUSY)
    now_s = clock.get_time_s()
    outcome = line_connections.Outcome(
        refusal, now_s, is_timeout, is_sent=False
    )
    _report_outcome(waiting, now_s - waiting.begun_s, outcome)
