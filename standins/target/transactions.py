"""Transactions of the sessions on one instance.

One write transaction is open at a time; other writers queue with a timeout. A
read before the first write of its transaction sees committed data (isolation
level READ COMMITTED).
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
    """Another write transaction was not closed before the timeout."""

    sqlstate = "55P03"


class TransactionLostError(errors.TargetError):
    """The transaction was rolled back because the term was replaced."""

    sqlstate = "40001"


class FailedTransactionError(errors.TargetError):
    """A statement followed an error in the same transaction."""

    sqlstate = "25P02"


class WriteLock:
    """Lock that allows one open write transaction at a time."""

    def __init__(
        self, instance: instances.Instance, storage: storages.Storage
    ) -> None:
        """Initialise an unheld lock."""
        self.instance = instance
        self.storage = storage
        self.released = signals.Signal()
        self._semaphore = anyio.Semaphore(1)
        self._holder: Transaction | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a write transaction is open."""
        return self._holder is not None

    async def acquire(self, transaction: "Transaction") -> None:
        """Open the write transaction for a session's transaction.

        Raises:
            errors.NotPrimaryError: the instance is not a primary.
            errors.HoldError: writes are on hold.
            WriteQueueTimeoutError: the lock was not released in time.
        """
        self.instance.check_writable(time.monotonic())
        try:
            with anyio.fail_after(WRITE_QUEUE_TIMEOUT_S):
                await self._semaphore.acquire()
        except TimeoutError as error:
            raise WriteQueueTimeoutError(
                f"another write was open for {WRITE_QUEUE_TIMEOUT_S} s; retry"
            ) from error
        try:
            self.instance.check_writable(time.monotonic())
        except errors.TargetError:
            self._semaphore.release()
            raise
        self.storage.begin()
        self._holder = transaction

    def is_held_by(self, transaction: "Transaction") -> bool:
        """Return whether a session's transaction holds the lock."""
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
        self._semaphore.release()
        self.released.notify()


class Transaction:
    """Transaction state of one session.

    Attributes:
        is_explicit: whether BEGIN opened the transaction.
        is_failed: whether a statement failed, so that only the end of the
            transaction is accepted.
    """

    def __init__(self, write_lock: WriteLock) -> None:
        """Initialise the state without an open transaction."""
        self.is_explicit = False
        self.is_failed = False
        self._write_lock = write_lock
        self._has_written = False
        self._statements: list[logs.Statement] = []

    @property
    def status(self) -> str:
        """Return the transaction status code for ReadyForQuery."""
        if not self.is_explicit:
            return "I"
        return "E" if self.is_failed else "T"

    def check_usable(self) -> None:
        """Check that the transaction accepts another statement.

        Raises:
            FailedTransactionError: an earlier statement failed.
            TransactionLostError: the term was replaced, which rolled the
                transaction back.
        """
        if self.is_failed:
            raise FailedTransactionError(
                "transaction failed; end it with ROLLBACK"
            )
        if self._has_written and not self._write_lock.is_held_by(self):
            self._reset_writes()
            raise TransactionLostError(
                "transaction was rolled back because the term was replaced;"
                " run it again"
            )

    def read(
        self, sql_text: str, parameters: Sequence[logs.Value] = ()
    ) -> storages.ResultSet:
        """Run a read that sees the transaction's own writes.

        Raises:
            storages.StatementError: SQLite rejected the statement.
        """
        storage = self._write_lock.storage
        if self._write_lock.is_held_by(self):
            return storage.run(sql_text, parameters)
        return storage.read(sql_text, parameters)

    async def ensure_write_lock(self) -> None:
        """Open the write transaction if this transaction does not hold it yet.

        Raises:
            errors.TargetError: the write transaction could not be opened;
                nothing ran.
        """
        if not self._has_written:
            await self._write_lock.acquire(self)
            self._has_written = True

    def write(
        self, statement: sql.ParsedStatement, parameters: Sequence[logs.Value]
    ) -> storages.ResultSet:
        """Run a write in the open write transaction.

        Raises:
            TransactionLostError: the term was replaced, which rolled the
                transaction back.
            storages.StatementError: SQLite rejected the statement.
        """
        self.check_usable()
        result = self._write_lock.storage.run(statement.sql, parameters)
        self._statements.append(
            logs.Statement(statement.sql, tuple(parameters))
        )
        return result

    def commit(self) -> bool:
        """Commit the transaction and return whether it wrote anything.

        Raises:
            TransactionLostError: the transaction was rolled back instead.
        """
        self.is_explicit = False
        if self.is_failed or not self._has_written:
            self.rollback()
            return False
        self.check_usable()
        try:
            self._write_lock.commit(self._statements)
        except errors.TargetError as error:
            self.rollback()
            raise TransactionLostError(str(error)) from error
        self._reset_writes()
        return True

    def rollback(self) -> None:
        """Roll back the transaction."""
        self.is_explicit = False
        self.is_failed = False
        self._discard_writes()

    def mark_failed(self) -> None:
        """Record a failed statement; roll back an implicit transaction."""
        if self.is_explicit:
            self.is_failed = True
        else:
            self._discard_writes()

    def clear_failure(self) -> None:
        """Accept statements again after ROLLBACK TO SAVEPOINT."""
        self.is_failed = False

    def _discard_writes(self) -> None:
        if self._write_lock.is_held_by(self):
            self._write_lock.abort()
        self._reset_writes()

    def _reset_writes(self) -> None:
        self._has_written = False
        self._statements = []
