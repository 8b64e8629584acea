"""The data of a target: an append-only table and the idempotency keys."""

from collections.abc import Sequence
from typing import NamedTuple

from standins.target import instance as instance_module
from standins.target import log as logs
from tests.history import model as history_model

APPEND = "append"
RECORD_KEY = "record key"


class Command(NamedTuple):
    """Command for a target to run one statement on a connection.

    Attributes:
        kind: ``read``, ``write``, ``begin``, ``statement``, ``commit`` or
            ``rollback``.
        marker: text that the result echoes.
        session: session that writes the rows.
        values: values to append.
        scope: session whose rows a read selects; empty selects all.
        key: idempotency key to record with the write, or empty.
        needs_barrier: whether a barrier has to confirm the statement.
    """

    kind: str
    marker: str
    session: str = ""
    values: tuple[str, ...] = ()
    scope: str = ""
    key: str = ""
    needs_barrier: bool = False


class Table:
    """Data that reads on an instance return.

    Attributes:
        rows: rows in log order.
        keys: values recorded with each idempotency key.
    """

    def __init__(self, instance: instance_module.Instance) -> None:
        """Create the empty table of an instance."""
        self.rows: list[history_model.Row] = []
        self.keys: dict[str, tuple[str, ...]] = {}
        self._instance = instance
        self._applied = 0

    def rebuild(self) -> None:
        """Apply the log from its start, after entries were removed from it."""
        self.rows.clear()
        self.keys.clear()
        self._applied = 0
        self.apply()

    def apply(self) -> None:
        """Apply the log up to the instance's applied offset."""
        applied = self._instance.applied
        for entry in self._instance.log[self._applied : applied]:
            for statement in entry.statements:
                self._apply_statement(entry, statement)
        self._applied = applied

    def select(
        self, scope: str, pending: Sequence[logs.Statement]
    ) -> tuple[str, ...]:
        """Return the values that a read selects.

        Args:
            scope: session whose rows are selected; empty selects all.
            pending: statements of the open transaction, whose values are
                included.
        """
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
    """Return the log statements that a command appends."""
    result = [
        logs.Statement(APPEND, (command.session, value))
        for value in command.values
    ]
    if command.key:
        result.append(
            logs.Statement(RECORD_KEY, (command.key, *command.values))
        )
    return result
