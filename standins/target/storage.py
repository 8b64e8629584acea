"""Data of an instance in two in-memory SQLite databases.

Reads outside the write transaction use the committed database. The one open
write transaction uses the writer's database; on commit its statements are run
again on the committed database. Statements therefore have to be deterministic:
random numbers and the current time are not supported.
"""

import sqlite3
from collections.abc import Sequence
from typing import NamedTuple

from standins.target import errors
from standins.target import log as logs

SCHEMA = """
CREATE TABLE IF NOT EXISTS knapweedtally_requests(
  caller text,
  key text,
  digest text,
  tag text,
  created real,
  PRIMARY KEY(caller, key)
)
"""

Row = tuple[logs.Value, ...]


class StatementError(errors.TargetError):
    """SQLite rejected a statement."""

    def __init__(self, message: str, sqlstate: str) -> None:
        """Initialise the error with its SQLSTATE."""
        super().__init__(message)
        self.sqlstate = sqlstate


class ResultSet(NamedTuple):
    """Result of a statement.

    Attributes:
        names: column names, or None when the statement has no result columns.
        rows: rows returned.
        affected: number of rows returned or changed.
    """

    names: tuple[str, ...] | None
    rows: list[Row]
    affected: int


# The first pattern that occurs in SQLite's message selects the SQLSTATE.
_SQLSTATES_BY_MESSAGE = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("FOREIGN KEY constraint", "23503"),
    ("CHECK constraint", "23514"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("no such savepoint", "3B001"),
    ("already exists", "42P07"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
    ("readonly database", "25006"),
    ("did not supply a value", "08P01"),
)


class Storage:
    """Committed data and the open write transaction.

    Attributes:
        applied: offset of the last log entry in the committed data.
        schema_version: counter that increases with each schema change.
    """

    def __init__(self) -> None:
        """Create both databases with the table of idempotency keys."""
        self.applied = 0
        self.schema_version = 0
        self._committed = _open_database()
        self._writer = _open_database()
        self._is_writer_stale = False

    def read(
        self, sql: str, parameters: Sequence[logs.Value] = ()
    ) -> ResultSet:
        """Run a read on the committed data.

        Raises:
            StatementError: SQLite rejected the statement.
        """
        self._committed.execute("PRAGMA query_only = ON")
        try:
            return _execute(self._committed, sql, parameters)
        finally:
            self._committed.execute("PRAGMA query_only = OFF")

    def begin(self) -> None:
        """Open the write transaction."""
        if self._is_writer_stale:
            self._committed.backup(self._writer)
            self._is_writer_stale = False
        self._writer.execute("BEGIN")

    def run(self, sql: str, parameters: Sequence[logs.Value] = ()) -> ResultSet:
        """Run a statement in the write transaction.

        Raises:
            StatementError: SQLite rejected the statement; its changes are
                undone.
        """
        return _execute(self._writer, sql, parameters)

    def stage(self, statements: Sequence[logs.Statement]) -> None:
        """Run the write transaction's statements on the committed data.

        The changes are not visible before ``publish``; ``rollback`` undoes
        them.

        Raises:
            StatementError: SQLite rejected a statement that succeeded in the
                write transaction.
        """
        self._committed.execute("BEGIN")
        for statement in statements:
            _execute(self._committed, statement.sql, statement.parameters)

    def publish(
        self, offset: int, statements: Sequence[logs.Statement]
    ) -> None:
        """Commit the staged statements as the log entry at ``offset``."""
        self._writer.execute("COMMIT")
        self._committed.execute("COMMIT")
        self._record_applied(offset, statements)

    def rollback(self) -> None:
        """Roll back the write transaction and its staged statements."""
        for database in (self._writer, self._committed):
            if database.in_transaction:
                database.execute("ROLLBACK")

    def apply(self, entries: Sequence[logs.Entry]) -> None:
        """Apply log entries to the committed data.

        Args:
            entries: entries that follow ``applied`` without a gap.
        """
        for entry in entries:
            self.stage(entry.statements)
            self._committed.execute("COMMIT")
            self._record_applied(entry.offset, entry.statements)
            self._is_writer_stale = True

    def rebuild(self, entries: Sequence[logs.Entry]) -> None:
        """Rebuild the committed data from the start of the log."""
        self._committed.close()
        self._committed = _open_database()
        self.applied = 0
        self.schema_version += 1
        self._is_writer_stale = True
        self.apply(entries)

    def _record_applied(
        self, offset: int, statements: Sequence[logs.Statement]
    ) -> None:
        self.applied = offset
        if any(_changes_schema(item.sql) for item in statements):
            self.schema_version += 1


def _open_database() -> sqlite3.Connection:
    database = sqlite3.connect(":memory:", isolation_level=None)
    database.create_function("pg_advisory_unlock_all", 0, lambda: "")
    database.create_function("version", 0, lambda: "PostgreSQL 16.0 stand-in")
    database.create_function("current_database", 0, lambda: "stand-in")
    database.execute(SCHEMA)
    return database


def _execute(
    database: sqlite3.Connection, sql: str, parameters: Sequence[logs.Value]
) -> ResultSet:
    named = {str(i): value for i, value in enumerate(parameters, start=1)}
    try:
        cursor = database.execute(sql, named)
        rows = cursor.fetchall()
    except (sqlite3.Error, OverflowError) as error:
        raise StatementError(str(error), _find_sqlstate(str(error))) from error
    if cursor.description is None:
        return ResultSet(None, [], max(cursor.rowcount, 0))
    names = tuple(item[0] for item in cursor.description)
    return ResultSet(names, rows, len(rows))


def _find_sqlstate(message: str) -> str:
    for pattern, sqlstate in _SQLSTATES_BY_MESSAGE:
        if pattern in message:
            return sqlstate
    return "XX000"


def _changes_schema(sql: str) -> bool:
    return sql.split(None, 1)[0].upper() in ("CREATE", "DROP", "ALTER")
