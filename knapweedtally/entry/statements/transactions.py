"""Open transactions of callers, and how their statements run."""

import asyncio
import dataclasses
from collections.abc import Callable

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.members import acknowledgements
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import requests
from knapweedtally.entry.statements import services as services_module
from knapweedtally.platform import line_protocol

# Delay before the retry of a statement in a transaction that the target refused
# as busy.
RETRY_DELAY_S = 0.02

# Timeout of the rollback that is sent when a transaction is released.
ROLLBACK_TIMEOUT_S = 1.0

_Kind = statements.Kind
_Code = statements.Code
_State = statements.SessionState


@dataclasses.dataclass(slots=True, eq=False)
class Transaction:
    """A caller's open transaction.

    Attributes:
        begin: the statement that began it.
        arrived_s: time at which that statement arrived.
        route: its route, which doesn't change until it ends.
        connection: connection that it owns, or None before its first statement
            and after its release.
        target: id of the connection's target.
        has_written: whether a write was sent in it.
        is_failed: whether only a commit or a rollback, which end it, is
            still accepted.
        is_committing: whether its commit was sent.
        abort_reason: why the host aborted it, until the caller's next
            statement is answered with it; or empty.
        inactive_since_s: time at which its last statement ended.
    """

    begin: statements.Statement
    arrived_s: float
    route: model.Route
    connection: connections.Connection | None = None
    target: str = ""
    has_written: bool = False
    is_failed: bool = False
    is_committing: bool = False
    abort_reason: str = ""
    inactive_since_s: float = 0.0


# Called with a transaction, a statement of it, the time at which the statement
# arrived, and its result.
Guard = Callable[[Callable[..., object]], Callable[..., None]]
Listener = Callable[
    [Transaction, statements.Statement, float, requests.Result], None
]


class Runner:
    """Run the statements of one session's transactions.

    Attributes:
        is_closed: whether the caller has disconnected.
    """

    def __init__(
        self,
        session: connections.Session,
        services: services_module.Services,
        on_end: Listener,
        guard: Guard,
    ) -> None:
        """Create a runner for a session.

        Args:
            session: the caller's values and prepared statements.
            services: the services of the host.
            on_end: called when a statement has ended.
            guard: returns a callback that ends the session if it fails.
        """
        self.is_closed = False
        self._session = session
        self._services = services
        self._on_end = on_end
        self._guard = guard

    def run(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        is_write: bool,
    ) -> None:
        """Run a statement on the connection that the transaction owns.

        Args:
            transaction: the transaction.
            statement: the statement.
            arrived_s: time at which the statement arrived.
            is_write: whether it is a write.
        """
        connection = transaction.connection
        if connection is None:
            # The caller disconnected, or the host aborted the transaction,
            # during the delay before the retry.
            if not self.is_closed:
                self._handle_connection_lost(
                    transaction, statement, arrived_s, None
                )
            return
        if connection.is_closed:
            self._handle_connection_lost(
                transaction, statement, arrived_s, None
            )
            return
        now_s = clock.get_time_s()
        limit_s = arrived_s + transaction.route.statement_timeout_s - now_s
        transaction.has_written |= is_write
        transaction.is_committing = statement.kind is _Kind.COMMIT

        def handle_outcome(outcome: line_connections.Outcome) -> None:
            answer = outcome.answer
            if answer is None:
                self._handle_connection_lost(
                    transaction, statement, arrived_s, outcome
                )
            elif self._may_retry(transaction, arrived_s, answer):
                asyncio.get_running_loop().call_later(
                    RETRY_DELAY_S,
                    self._guard(self.run),
                    transaction,
                    statement,
                    arrived_s,
                    is_write,
                )
            elif statement.kind is _Kind.COMMIT:
                self._handle_commit_answer(
                    transaction, statement, arrived_s, outcome
                )
            else:
                self._handle_answer(transaction, statement, arrived_s, outcome)

        router = self._services.find_router(transaction.route.group)
        is_commit = statement.kind is _Kind.COMMIT
        if is_commit and transaction.has_written and router is not None:
            router.observer.commits_in_flight[transaction] = now_s
        connection.run(
            self._session,
            statement,
            None,
            self._guard(handle_outcome),
            max(0.05, limit_s),
        )

    def release(
        self,
        transaction: Transaction | None,
        is_busy: bool,
        id_: bytes = line_protocol.HOST_STATEMENT_ID,
    ) -> None:
        """Roll a transaction back and return its connection to the pool.

        Args:
            transaction: the transaction, or None.
            is_busy: whether a statement of the caller may still be running on
                the connection, which is then closed.
            id_: id of the caller's statement that ends the transaction, if
                there is one.
        """
        if transaction is None or transaction.connection is None:
            return
        connection = transaction.connection
        transaction.connection = None
        if connection.is_closed:
            return
        if is_busy and connection.get_oldest_sent_s() is not None:
            # The running statement is not awaited: the target rolls back when
            # the connection is closed.
            connection.abort()
            return
        connection.release(id_, ROLLBACK_TIMEOUT_S)

    def _may_retry(
        self,
        transaction: Transaction,
        arrived_s: float,
        answer: statements.Answer,
    ) -> bool:
        """Return whether to retry a statement that the target refused as busy.

        Requires that the transaction is still open at the target. Its earlier
        statements have already used slots there, most of all when it reaches
        its commit, so a statement is retried for as long as the caller waits.
        """
        if answer.code is not _Code.BUSY or self.is_closed:
            return False
        if answer.state is not _State.IN_TRANSACTION:
            return False
        limit_s = transaction.route.statement_timeout_s - RETRY_DELAY_S
        return clock.get_time_s() - arrived_s < limit_s

    def _handle_answer(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        outcome: line_connections.Outcome,
    ) -> None:
        answer = outcome.answer
        assert answer is not None
        if answer.state is not _State.IN_TRANSACTION:
            transaction.is_failed = True
            self.release(transaction, is_busy=True)
        result = requests.Result(
            answer,
            answer.code,
            target=transaction.target,
            setup_s=outcome.setup_s,
        )
        self._on_end(transaction, statement, arrived_s, result)

    def _handle_commit_answer(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        outcome: line_connections.Outcome,
    ) -> None:
        answer = outcome.answer
        assert answer is not None
        router = self._services.find_router(transaction.route.group)
        if router is not None:
            router.observer.commits_in_flight.pop(transaction, None)
        self.release(transaction, is_busy=True)
        route = transaction.route
        result = requests.Result(
            answer,
            answer.code,
            target=transaction.target,
            setup_s=outcome.setup_s,
        )
        if router is None or answer.code or not transaction.has_written:
            self._on_end(transaction, statement, arrived_s, result)
            return

        def finish_commit(is_confirmed: bool) -> None:
            if not is_confirmed:
                result.answer, result.code = None, _Code.UNKNOWN_OUTCOME
                result.detail = acknowledgements.UNCONFIRMED_DETAIL
            router.observer.record_evidence_ages(result)
            self._on_end(transaction, statement, arrived_s, result)

        router.observer.record_commit(
            transaction.target,
            answer,
            outcome.asked_s,
            arrived_s + route.statement_timeout_s,
            router.settings.acknowledging_replicas > 0,
            self._guard(finish_commit),
        )

    def _handle_connection_lost(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        outcome: line_connections.Outcome | None,
    ) -> None:
        """Fail a statement whose connection was lost.

        The outcome is unknown if a commit of writes had been sent.
        """
        router = self._services.find_router(transaction.route.group)
        if router is not None:
            router.observer.commits_in_flight.pop(transaction, None)
        was_sent = outcome is not None and outcome.is_sent
        is_commit = statement.kind is _Kind.COMMIT
        code = _Code.ABORTED
        if was_sent and is_commit and transaction.has_written:
            code = _Code.UNKNOWN_OUTCOME
        transaction.connection = None
        transaction.is_failed = True
        is_timeout = outcome is not None and outcome.is_timeout
        detail = "no answer in time" if is_timeout else "connection lost"
        if transaction.abort_reason:
            # The host closed the connection itself to abort the transaction.
            detail, transaction.abort_reason = transaction.abort_reason, ""
        if self.is_closed:
            detail = "the caller left"
        result = requests.Result(None, code, detail, target=transaction.target)
        self._on_end(transaction, statement, arrived_s, result)
