"""Transactions of the sessions on one instance.

One write transaction is open at a time; others queue for it with a time limit.
A read before the first write of its transaction sees committed data (the
isolation level read committed).
"""

import time
from collections.abc import Sequence

import anyio

from standins.target import errors
from standins.target import instance as instances
from standins.target import log as logs
from standins.target import signals
from standins.target import sql
from standins.target import storage as storages

WRITE_QUEUE_TIMEOUT_S = 5.0


class WriteQueueTimeoutError(errors.TargetError):
    """Another write transaction stayed open for too long."""

    sqlstate = "55P03"


class TransactionLostError(errors.TargetError):
    """The transaction was rolled back because the term was replaced."""

    sqlstate = "40001"


class FailedTransactionError(errors.TargetError):
    """A statement came after an error in the same transaction."""

    sqlstate = "25P02"


class WriteAccess:
    """Give the write transaction to one holder at a time."""

    def __init__(
        self, instance: instances.Instance, storage: storages.Storage
    ) -> None:
        """Make an access that nobody holds."""
        self.instance = instance
        self.storage = storage
        self.changed = signals.Signal()
        self._turn = anyio.Semaphore(1)
        self._holder: Transaction | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a write transaction is open."""
        return self._holder is not None

    async def acquire(self, transaction: "Transaction") -> None:
        """Open the write transaction for a session's transaction.

        Raises:
            errors.NotPrimaryError: the instance is no primary.
            errors.HoldError: writes are on hold.
            WriteQueueTimeoutError: it stayed taken for too long.
        """
        self.instance.check_writable(time.monotonic())
        try:
            with anyio.fail_after(WRITE_QUEUE_TIMEOUT_S):
                await self._turn.acquire()
        except TimeoutError as error:
            raise WriteQueueTimeoutError(
                f"another write was open for {WRITE_QUEUE_TIMEOUT_S} s; retry"
            ) from error
        try:
            self.instance.check_writable(time.monotonic())
        except errors.TargetError:
            self._turn.release()
            raise
        self.storage.begin()
        self._holder = transaction

    def is_held_by(self, transaction: "Transaction") -> bool:
        """Return whether a session's transaction is the open one."""
        return self._holder is transaction

    def commit(self, statements: Sequence[logs.Statement]) -> None:
        """Commit the open write transaction and append it to the log.

        Raises:
            errors.TargetError: nothing was committed; the transaction is
                still open.
        """
        self.storage.stage(statements)
        offset = self.instance.append(statements)
        self.storage.publish(offset, statements)
        self._release()

    def abort(self) -> None:
        """Roll back the open write transaction, if there is one."""
        if self._holder is None:
            return
        self.storage.rollback()
        self._release()

    def _release(self) -> None:
        self._holder = None
        self._turn.release()
        self.changed.notify()


class Transaction:
    """Hold the transaction state of one session.

    Attributes:
        is_explicit: whether BEGIN opened it.
        is_failed: whether only its end is accepted.
    """

    def __init__(self, access: WriteAccess) -> None:
        """Make a session without a transaction."""
        self.is_explicit = False
        self.is_failed = False
        self._access = access
        self._has_written = False
        self._statements: list[logs.Statement] = []

    @property
    def status(self) -> str:
        """Return the letter that ReadyForQuery shows."""
        if not self.is_explicit:
            return "I"
        return "E" if self.is_failed else "T"

    def check(self) -> None:
        """Check that the transaction accepts another statement.

        Raises:
            FailedTransactionError: an earlier statement failed.
            TransactionLostError: it was rolled back from outside.
        """
        if self.is_failed:
            raise FailedTransactionError(
                "transaction failed; end it with ROLLBACK"
            )
        if self._has_written and not self._access.is_held_by(self):
            self._reset_writes()
            raise TransactionLostError(
                "transaction was rolled back because the term was replaced;"
                " run it again"
            )

    def read(
        self, sql_text: str, parameters: Sequence[logs.Value] = ()
    ) -> storages.ResultSet:
        """Run a read where the transaction sees its own writes.

        Raises:
            storages.StatementError: SQLite refused it.
        """
        storage = self._access.storage
        if self._access.is_held_by(self):
            return storage.run(sql_text, parameters)
        return storage.read(sql_text, parameters)

    async def prepare_write(self) -> None:
        """Open the write transaction where needed.

        Raises:
            errors.TargetError: it could not be opened; nothing ran.
        """
        if not self._has_written:
            await self._access.acquire(self)
            self._has_written = True

    def write(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> storages.ResultSet:
        """Run a write in the open write transaction.

        Raises:
            TransactionLostError: it was rolled back from outside.
            storages.StatementError: SQLite refused it.
        """
        self.check()
        result = self._access.storage.run(statement.sql, parameters)
        self._statements.append(
            logs.Statement(statement.sql, tuple(parameters))
        )
        return result

    def commit(self) -> bool:
        """End the transaction; return whether it wrote anything.

        Raises:
            TransactionLostError: it was rolled back instead.
        """
        self.is_explicit = False
        if self.is_failed or not self._has_written:
            self.rollback()
            return False
        self.check()
        try:
            self._access.commit(self._statements)
        except errors.TargetError as error:
            self.rollback()
            raise TransactionLostError(str(error)) from error
        self._reset_writes()
        return True

    def rollback(self) -> None:
        """Undo and end the transaction."""
        self.is_explicit = False
        self.is_failed = False
        self._undo()

    def fail(self) -> None:
        """Note that a statement failed; its writes are undone."""
        if self.is_explicit:
            self.is_failed = True
        else:
            self._undo()

    def recover(self) -> None:
        """Go on after ROLLBACK TO SAVEPOINT."""
        self.is_failed = False

    def _undo(self) -> None:
        if self._access.is_held_by(self):
            self._access.abort()
        self._reset_writes()

    def _reset_writes(self) -> None:
        self._has_written = False
        self._statements = []
