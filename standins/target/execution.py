"""Execution of statements in a session's transaction."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from standins.target import commands
from standins.target import errors
from standins.target import instance as instances
from standins.target import log as logs
from standins.target import sql
from standins.target import storage as storages
from standins.target import target as targets
from standins.target import transactions

_PARAMETERS = {
    "server_version": "16.0",
    "standard_conforming_strings": "on",
    "transaction_isolation": "read committed",
}
_COUNTED_KINDS = frozenset({sql.Kind.BEGIN, sql.Kind.READ, sql.Kind.WRITE})
# Tokens whose value differs when a statement is run again.
_NONDETERMINISTIC_TOKENS = frozenset(
    {
        "'now'",
        "current_date",
        "current_time",
        "current_timestamp",
        "random",
        "randomblob",
    }
)


class NondeterministicError(errors.TargetError):
    """A write may have a different result on a replica."""

    sqlstate = "0A000"


class OutOfMemoryError(errors.TargetError):
    """The instance has no memory for another transaction."""

    sqlstate = "53200"


class Outcome(NamedTuple):
    """Result and command tag of a statement."""

    result: storages.ResultSet
    tag: str


class Executor:
    """Executor of the statements of one session.

    Attributes:
        transaction: the session's transaction.
    """

    def __init__(self, target: targets.Target) -> None:
        """Initialise an executor without an open transaction."""
        self.transaction = transactions.Transaction(target.write_lock)
        self._report: instances.Report | None = None
        self._has_committed = False
        self._target = target

    async def run(
        self,
        statement: sql.ParsedStatement,
        parameters: Sequence[logs.Value] = (),
    ) -> Outcome:
        """Run one statement.

        Raises:
            errors.TargetError: the statement failed; its changes are undone.
        """
        if statement.kind in _COUNTED_KINDS:
            self._target.statements += 1
        return await _RUNNERS_BY_KIND[statement.kind](
            self, statement, parameters
        )

    def commit_implicit(self) -> None:
        """Commit the statements that ran outside an explicit transaction.

        Raises:
            errors.TargetError: the statements were rolled back instead.
        """
        if not self.transaction.is_explicit:
            self._commit_writes()

    def pop_report(self) -> instances.Report:
        """Return and clear the recorded report, or make a current one."""
        report, self._report = self._report, None
        return report or self._target.report()

    def pop_has_committed(self) -> bool:
        """Return whether a commit took effect since the last call; reset it."""
        has_committed, self._has_committed = self._has_committed, False
        return has_committed

    def _commit_writes(self) -> None:
        if self.transaction.commit():
            self._has_committed = True
            self._report = self._target.report()
            self._target.pull_changed.notify()

    def _record_report(self) -> None:
        # The first report of a batch also holds for its later statements.
        if self._report is None:
            self._report = self._target.report()

    async def _run_read(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        self.transaction.check_usable()
        async with self._target.slots:
            await self._sleep_service_time()
            result = self.transaction.read(statement.sql, parameters)
            self._record_report()
        return Outcome(result, f"SELECT {result.affected}")

    async def _run_write(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        self.transaction.check_usable()
        _check_deterministic(statement)
        await self.transaction.ensure_write_lock()
        async with self._target.slots:
            await self._sleep_service_time()
            result = self.transaction.write(statement, parameters)
        return Outcome(result, _make_command_tag(statement, result))

    async def _sleep_service_time(self) -> None:
        faults = self._target.faults
        await faults.sleep_ms(faults.service_time_ms)

    async def _begin_transaction(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        self.transaction.check_usable()
        if self._target.faults.consume_refused_begin():
            raise OutOfMemoryError("out of memory")
        self.transaction.is_explicit = True
        return _make_outcome("BEGIN")

    async def _end_transaction(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        was_failed = self.transaction.is_failed
        self._commit_writes()
        return _make_outcome("ROLLBACK" if was_failed else "COMMIT")

    async def _roll_back_transaction(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        self.transaction.rollback()
        return _make_outcome("ROLLBACK")

    async def _run_savepoint_statement(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        if statement.verb == "ROLLBACK":
            self.transaction.clear_failure()
        return await self._run_write(statement, parameters)

    async def _ignore_statement(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        self.transaction.check_usable()
        return _make_outcome(statement.verb)

    async def _show_parameter(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        name = statement.tokens[1].text.lower()
        row = (_PARAMETERS.get(name, ""),)
        return Outcome(storages.ResultSet((name,), [row], 1), "SHOW")

    async def _run_command(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> Outcome:
        # A barrier has to cover the statements before it in the same batch.
        self.commit_implicit()
        self._record_report()
        answer = await commands.run(self._target, statement, parameters)
        name = statement.tokens[1].text.lower()
        result = storages.ResultSet((name,), [(answer,)], 1)
        return Outcome(result, "SELECT 1")


def _check_deterministic(statement: sql.ParsedStatement) -> None:
    for token in statement.tokens:
        if token.text.lower() in _NONDETERMINISTIC_TOKENS:
            raise NondeterministicError(
                f"{token.text} differs between replicas; pass it as a parameter"
            )


def _make_outcome(tag: str) -> Outcome:
    return Outcome(storages.ResultSet(None, [], 0), tag)


def _make_command_tag(
    statement: sql.ParsedStatement, result: storages.ResultSet
) -> str:
    if statement.verb in ("INSERT", "REPLACE"):
        return f"INSERT 0 {result.affected}"
    if statement.verb in ("UPDATE", "DELETE"):
        return f"{statement.verb} {result.affected}"
    if statement.verb == "WITH":
        return f"SELECT {result.affected}"
    if statement.verb in ("CREATE", "DROP", "ALTER"):
        return f"{statement.verb} {statement.tokens[1].text.upper()}"
    return statement.verb


Runner = Callable[
    [Executor, sql.ParsedStatement, Sequence[logs.Value]], Awaitable[Outcome]
]
_RUNNERS_BY_KIND: dict[sql.Kind, Runner] = {
    sql.Kind.BEGIN: Executor._begin_transaction,
    sql.Kind.COMMAND: Executor._run_command,
    sql.Kind.COMMIT: Executor._end_transaction,
    sql.Kind.IGNORED: Executor._ignore_statement,
    sql.Kind.READ: Executor._run_read,
    sql.Kind.ROLLBACK: Executor._roll_back_transaction,
    sql.Kind.SAVEPOINT: Executor._run_savepoint_statement,
    sql.Kind.SHOW: Executor._show_parameter,
    sql.Kind.WRITE: Executor._run_write,
}
