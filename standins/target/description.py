"""Types of a statement's placeholders and result columns."""

from collections.abc import Callable
from collections.abc import Sequence

from standins.target import log as logs
from standins.target import sql
from standins.target import storage as storages
from standins.target import values

Run = Callable[[str], storages.ResultSet]

_COMPARISONS = frozenset({"=", "<", ">", "<=", ">=", "<>", "!="})
_SAMPLES: dict[int, str] = {
    values.BOOL: "1",
    values.BYTEA: "x''",
    values.INT2: "1",
    values.INT4: "1",
    values.INT8: "1",
    values.FLOAT4: "1.0",
    values.FLOAT8: "1.0",
}


class Describer:
    """Find types from the tables' declarations, with a small cache.

    SQLite does not type expressions: a placeholder takes the type of the
    column that it is inserted into or compared with, a result column that of
    the column it names, or else of a sample value.
    """

    def __init__(self, storage: storages.Storage) -> None:
        """Make a describer that reads the storage's committed tables."""
        self._storage = storage
        self._version = -1
        self._types: dict[str, int] = {}
        self._columns: dict[
            tuple[str, tuple[int, ...]], list[values.Column]
        ] = {}

    def find_parameters(
        self, text: sql.Text, given: Sequence[int]
    ) -> list[int]:
        """Return the OID of each placeholder, in order."""
        self._refresh()
        numbers = [
            int(token.text[1:])
            for token in text.tokens
            if token.kind == "parameter"
        ]
        found = []
        for number in range(1, max([*numbers, len(given)], default=0) + 1):
            oid = given[number - 1] if number <= len(given) else 0
            found.append(oid or self._infer(text, number))
        return found

    def find_columns(
        self, text: sql.Text, parameters: Sequence[int], run: Run
    ) -> list[values.Column] | None:
        """Return the result columns, or None when there are no rows.

        Args:
            text: the statement.
            parameters: OID of each placeholder.
            run: runs a read where the statement will run.

        Raises:
            storages.StatementError: the statement is not valid.
        """
        self._refresh()
        if text.kind in (sql.Kind.COMMAND, sql.Kind.SHOW):
            return [values.Column(text.tokens[1].text.lower(), values.TEXT)]
        if text.kind is sql.Kind.READ:
            return self._describe_read(text, parameters, run)
        if text.kind is sql.Kind.WRITE:
            return self._describe_returning(text)
        return None

    def _refresh(self) -> None:
        if self._version == self._storage.schema_version:
            return
        self._version = self._storage.schema_version
        self._columns = {}
        declared = self._storage.read(
            "SELECT c.name, c.type FROM sqlite_master t"
            " JOIN pragma_table_info(t.name) c WHERE t.type = 'table'"
        )
        self._types = {
            str(name).lower(): values.find_type(str(declared_type))
            for name, declared_type in declared.rows
        }

    def _infer(self, text: sql.Text, number: int) -> int:
        if number in text.casts:
            return values.find_type(text.casts[number])
        tokens = text.tokens
        name = f"${number}"
        at = next(i for i, item in enumerate(tokens) if item.text == name)
        before = tokens[max(0, at - 2) : at]
        if before and sql.is_word(before[-1], "LIMIT", "OFFSET"):
            return values.INT8
        if len(before) == 2 and before[1].text in _COMPARISONS:
            return self._find_type(before[0])
        after = tokens[at + 1 : at + 3]
        if len(after) == 2 and after[0].text in _COMPARISONS:
            return self._find_type(after[1])
        return self._infer_from_insert(tokens, at)

    def _infer_from_insert(self, tokens: Sequence[sql.Token], at: int) -> int:
        """Pair a placeholder in VALUES with its place in the column list."""
        if not sql.is_word(tokens[0], "INSERT", "REPLACE"):
            return self._infer_from_neighbours(tokens, at)
        opened = [i for i, item in enumerate(tokens[:at]) if item.text == "("]
        if len(opened) < 2 or opened[0] > 3:
            return values.TEXT
        place = sum(item.text == "," for item in tokens[opened[-1] : at])
        columns = [item for item in tokens[opened[0] :] if item.kind == "name"]
        return self._find_type(columns[place])

    def _infer_from_neighbours(
        self, tokens: Sequence[sql.Token], at: int
    ) -> int:
        """Take the type of a column in the same expression, or text."""
        for item in reversed(tokens[max(0, at - 4) : at]):
            if item.kind == "name" and item.text.lower() in self._types:
                return self._find_type(item)
        return values.TEXT

    def _find_type(self, token: sql.Token) -> int:
        if token.kind == "number":
            return values.INT8 if token.text.isdigit() else values.FLOAT8
        return self._types.get(sql.unquote(token).lower(), values.TEXT)

    def _describe_read(
        self, text: sql.Text, parameters: Sequence[int], run: Run
    ) -> list[values.Column]:
        """Run the read once with sample parameters to see names and values."""
        key = (text.sql, tuple(parameters))
        if key in self._columns:
            return self._columns[key]
        words = [
            _get_sample(item, parameters) if item.kind == "parameter" else item
            for item in text.tokens
        ]
        query = " ".join(
            item if isinstance(item, str) else item.text for item in words
        )
        result = run(query)
        columns = self.describe_result(result)
        if result.rows:
            self._columns[key] = columns
        return columns

    def describe_result(
        self, result: storages.ResultSet
    ) -> list[values.Column]:
        """Return the columns of a result, typed by its first row."""
        self._refresh()
        names = result.names or ()
        first = result.rows[0] if result.rows else (None,) * len(names)
        return [
            self._describe_column(name, value)
            for name, value in zip(names, first, strict=True)
        ]

    def _describe_column(self, name: str, sample: logs.Value) -> values.Column:
        declared = self._types.get(name.lower())
        if declared is not None:
            return values.Column(name, declared)
        lowered = name.lower()
        if lowered.startswith(("count", "length")):
            return values.Column(name, values.INT8)
        return values.Column(name, values.guess_type(sample))

    def _describe_returning(self, text: sql.Text) -> list[values.Column] | None:
        tokens = text.tokens
        at = next(
            (i for i, x in enumerate(tokens) if sql.is_word(x, "RETURNING")),
            None,
        )
        if at is None:
            return None
        names = [item for item in tokens[at + 1 :] if item.kind == "name"]
        if not names:
            return self._describe_table(_find_table(tokens))
        return [
            values.Column(sql.unquote(item), self._find_type(item))
            for item in names
        ]

    def _describe_table(self, table: str) -> list[values.Column]:
        found = self._storage.read(
            "SELECT name, type FROM pragma_table_info($1)", [table]
        )
        return [
            values.Column(str(name), values.find_type(str(declared)))
            for name, declared in found.rows
        ]


def _get_sample(token: sql.Token, parameters: Sequence[int]) -> str:
    return _SAMPLES.get(parameters[int(token.text[1:]) - 1], "''")


def _find_table(tokens: Sequence[sql.Token]) -> str:
    place = 1 if sql.is_word(tokens[0], "UPDATE") else 2
    return sql.unquote(tokens[place])
