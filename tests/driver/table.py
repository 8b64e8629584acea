"""The data of a target: an append-only table and the idempotency keys."""

from collections.abc import Sequence
from typing import NamedTuple

from standins.target import instance as instance_module
from standins.target import log as logs
from tests.history import model as history_model

APPEND = "append"
RECORD_KEY = "record key"


class Command(NamedTuple):
    """Ask a target to run one statement on a connection.

    Attributes:
        kind: ``read``, ``write``, ``begin``, ``statement``, ``commit`` or
            ``rollback``.
        marker: text that the answer brings back.
        session: session that rows are written for.
        values: values to append.
        scope: session whose rows a read selects; empty selects all.
        key: idempotency key to record with the write, or empty.
        needs_barrier: whether a barrier follows the statement.
    """

    kind: str
    marker: str
    session: str = ""
    values: tuple[str, ...] = ()
    scope: str = ""
    key: str = ""
    needs_barrier: bool = False


class Table:
    """Hold what reads of an instance see.

    Attributes:
        rows: rows in the order of the log.
        keys: values recorded with each idempotency key.
    """

    def __init__(self, instance: instance_module.Instance) -> None:
        """Start with the empty table of an instance."""
        self.rows: list[history_model.Row] = []
        self.keys: dict[str, tuple[str, ...]] = {}
        self._instance = instance
        self._applied = 0

    def rebuild(self) -> None:
        """Apply the log anew, after entries were dropped from it."""
        self.rows.clear()
        self.keys.clear()
        self._applied = 0
        self.apply()

    def apply(self) -> None:
        """Apply the log up to the instance's own mark."""
        applied = self._instance.applied
        for entry in self._instance.log[self._applied : applied]:
            for statement in entry.statements:
                self._apply_statement(entry, statement)
        self._applied = applied

    def select(
        self, scope: str, pending: Sequence[logs.Statement]
    ) -> tuple[str, ...]:
        """Return the values of a session, or all, and an open transaction's."""
        rows = [row.value for row in self.rows if scope in ("", row.session)]
        rows += [
            str(statement.parameters[1])
            for statement in pending
            if statement.sql == APPEND
        ]
        return tuple(rows)

    def _apply_statement(
        self, entry: logs.Entry, statement: logs.Statement
    ) -> None:
        if statement.sql == RECORD_KEY:
            key, *values = (str(item) for item in statement.parameters)
            self.keys[key] = tuple(values)
            return
        session, value = (str(item) for item in statement.parameters)
        self.rows.append(
            history_model.Row(entry.offset, entry.term, session, value)
        )


def make_statements(command: Command) -> list[logs.Statement]:
    """Return the log's statements for the values of a command."""
    result = [
        logs.Statement(APPEND, (command.session, value))
        for value in command.values
    ]
    if command.key:
        result.append(
            logs.Statement(RECORD_KEY, (command.key, *command.values))
        )
    return result
