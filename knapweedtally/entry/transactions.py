"""A caller's open transaction, and its statements at the target."""

import asyncio
import dataclasses
from collections.abc import Callable

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.entry import acknowledgements
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import requests
from knapweedtally.entry import services as services_module
from knapweedtally.platform import lines

# A statement that a target had no room for inside a transaction is sent again
# after this, in seconds.
RETRY_S = 0.02

# Time for a target to roll back a transaction, in seconds.
ROLLBACK_TIMEOUT_S = 1.0

_Kind = statements.Kind
_Code = statements.Code
_State = statements.SessionState


@dataclasses.dataclass(slots=True, eq=False)
class Transaction:
    """Hold a caller's open transaction.

    Attributes:
        begin: the statement that began it.
        arrived_s: when that arrived.
        route: its route, fixed from the begin to the end.
        connection: connection that it owns, or None before its first use.
        target: id of the connection's target.
        has_written: whether a write was sent in it.
        is_failed: whether it can only be ended.
        abort_reason: why the host ended it, to be told next; or empty.
        rest_since_s: when its last statement ended.
    """

    begin: statements.Statement
    arrived_s: float
    route: model.Route
    connection: connections.Connection | None = None
    target: str = ""
    has_written: bool = False
    is_failed: bool = False
    abort_reason: str = ""
    rest_since_s: float = 0.0


# Told how a statement of a transaction ended, and when it had arrived.
Listener = Callable[
    [Transaction, statements.Statement, float, requests.Result], None
]


class Runner:
    """Run the statements of one session's transactions.

    Attributes:
        is_closed: whether the caller has left.
    """

    def __init__(
        self,
        session: connections.Session,
        services: services_module.Services,
        on_end: Listener,
    ) -> None:
        """Make a runner for a session.

        Args:
            session: the caller's values and prepared statements.
            services: what the host offers.
            on_end: told how a statement ended.
        """
        self.is_closed = False
        self._session = session
        self._services = services
        self._on_end = on_end

    def run(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        is_write: bool,
    ) -> None:
        """Run a statement on the connection that the transaction owns."""
        connection = transaction.connection
        if connection is None:
            # The caller left while the statement waited to be sent again.
            return
        if connection.is_closed:
            self._note_lost(transaction, statement, arrived_s, None)
            return
        now_s = clock.get_time_s()
        limit_s = arrived_s + transaction.route.statement_timeout_s - now_s
        transaction.has_written |= is_write

        def note_end(outcome: connections.Outcome) -> None:
            answer = outcome.answer
            if answer is None:
                self._note_lost(transaction, statement, arrived_s, outcome)
            elif self._may_run_again(transaction, arrived_s, answer):
                asyncio.get_running_loop().call_later(
                    RETRY_S,
                    self.run,
                    transaction,
                    statement,
                    arrived_s,
                    is_write,
                )
            elif statement.kind is _Kind.COMMIT:
                self._note_commit(transaction, statement, arrived_s, outcome)
            else:
                self._note_answer(transaction, statement, arrived_s, answer)

        router = self._services.find_router(transaction.route.group)
        is_commit = statement.kind is _Kind.COMMIT
        if is_commit and transaction.has_written and router is not None:
            router.observer.commits[transaction] = now_s
        connection.run(
            self._session, statement, None, note_end, max(0.05, limit_s)
        )

    def release(
        self,
        transaction: Transaction | None,
        is_busy: bool,
        id_: bytes = lines.OWN_ID,
    ) -> None:
        """Give a transaction's connection back; the target rolls back.

        Args:
            transaction: the transaction, or None.
            is_busy: whether a statement of the caller is under way.
            id_: id of the caller's statement that ends it, if there is one.
        """
        if transaction is None or transaction.connection is None:
            return
        connection = transaction.connection
        transaction.connection = None
        if connection.is_closed:
            return
        if is_busy and connection.get_oldest_s() is not None:
            # Its answer can't be waited for; closing rolls back.
            connection.abort()
            return
        connection.release(id_, ROLLBACK_TIMEOUT_S)

    def _may_run_again(
        self,
        transaction: Transaction,
        arrived_s: float,
        answer: statements.Answer,
    ) -> bool:
        """Tell whether a statement found no room and its transaction stands.

        A transaction has slots behind it already, its commit most of all, so
        it is tried for as long as the caller waits.
        """
        if answer.code is not _Code.BUSY or self.is_closed:
            return False
        if answer.state is not _State.IN_TRANSACTION:
            return False
        limit_s = transaction.route.statement_timeout_s - RETRY_S
        return clock.get_time_s() - arrived_s < limit_s

    def _note_answer(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        answer: statements.Answer,
    ) -> None:
        if answer.state is not _State.IN_TRANSACTION:
            transaction.is_failed = True
            self.release(transaction, is_busy=True)
        result = requests.Result(answer, answer.code, target=transaction.target)
        self._on_end(transaction, statement, arrived_s, result)

    def _note_commit(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        outcome: connections.Outcome,
    ) -> None:
        answer = outcome.answer
        assert answer is not None
        router = self._services.find_router(transaction.route.group)
        if router is not None:
            router.observer.commits.pop(transaction, None)
        self.release(transaction, is_busy=True)
        route = transaction.route
        result = requests.Result(answer, answer.code, target=transaction.target)
        if router is None or answer.code or not transaction.has_written:
            self._on_end(transaction, statement, arrived_s, result)
            return

        def note_settled(is_kept: bool) -> None:
            if not is_kept:
                result.answer, result.code = None, _Code.UNKNOWN_OUTCOME
                result.detail = acknowledgements.UNPROVEN
            self._on_end(transaction, statement, arrived_s, result)

        router.observer.note_commit(
            transaction.target,
            answer,
            outcome.asked_s,
            arrived_s + route.statement_timeout_s,
            router.settings.acknowledging_replicas > 0,
            note_settled,
        )

    def _note_lost(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        arrived_s: float,
        outcome: connections.Outcome | None,
    ) -> None:
        """Tell what is known after the transaction's connection is gone."""
        router = self._services.find_router(transaction.route.group)
        if router is not None:
            router.observer.commits.pop(transaction, None)
        was_sent = outcome is not None and statement.kind is _Kind.COMMIT
        code = _Code.ABORTED
        if was_sent and transaction.has_written:
            code = _Code.UNKNOWN_OUTCOME
        transaction.connection = None
        transaction.is_failed = True
        is_timeout = outcome is not None and outcome.is_timeout
        detail = "no answer in time" if is_timeout else "connection lost"
        if self.is_closed:
            detail = "the caller left"
        result = requests.Result(None, code, detail, target=transaction.target)
        self._on_end(transaction, statement, arrived_s, result)
