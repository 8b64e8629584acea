"""Types of a statement's placeholders and result columns."""

import re
from collections.abc import Callable
from collections.abc import Sequence

from standins.target import log as logs
from standins.target import sql
from standins.target import storage as storages
from standins.target import values

Run = Callable[[], storages.ResultSet]

_COMPARISONS = frozenset({"=", "<", ">", "<=", ">=", "<>", "!="})
# A column of the same expression stands at most so many tokens before.
_NEIGHBOUR_TOKENS = 4
_SAMPLES: dict[int, str] = {
    values.BOOL: "1",
    values.BYTEA: "x''",
    values.INT2: "1",
    values.INT4: "1",
    values.INT8: "1",
    values.FLOAT4: "1.0",
    values.FLOAT8: "1.0",
}
# SQLite names an expression's column by its text.
_CALL = re.compile(r"(\w+)\s*\(\s*(?:distinct\s+)?(\w*)", re.IGNORECASE)
_CALL_TYPES = {
    "avg": values.FLOAT8,
    "count": values.INT8,
    "length": values.INT8,
    "total": values.FLOAT8,
}
_COLUMN_CALLS = frozenset({"coalesce", "max", "min", "sum"})


class Describer:
    """Find types from the tables' declarations and from results.

    SQLite does not type expressions: a placeholder takes the type of the
    column that it is inserted into or compared with, a result column that of
    the column it names, or else of the first row's value.
    """

    def __init__(self, storage: storages.Storage) -> None:
        """Make a describer that reads the storage's committed tables."""
        self._storage = storage
        self._version = -1
        self._types: dict[str, int] = {}
        self._tables: dict[str, list[values.Column]] = {}

    def find_parameters(
        self, statement: sql.ParsedStatement, given: Sequence[int]
    ) -> list[int]:
        """Return the OID of each placeholder; ``given`` ones are kept."""
        self._refresh()
        count = max([*_find_numbers(statement), len(given)], default=0)
        padded = [*given, *[0] * (count - len(given))]
        return [
            oid or self._infer(statement, number)
            for number, oid in enumerate(padded, start=1)
        ]

    def make_sample(
        self, statement: sql.ParsedStatement, parameters: Sequence[int]
    ) -> str:
        """Return a statement with sample values for its placeholders."""
        words = [
            _get_sample(token, parameters)
            if token.kind == "parameter"
            else token.text
            for token in statement.tokens
        ]
        return " ".join(words)

    def find_columns(
        self, statement: sql.ParsedStatement, run: Run
    ) -> list[values.Column] | None:
        """Return the result columns, or None when there are no rows.

        Args:
            statement: the statement to describe.
            run: runs the statement, if it is a read.

        Raises:
            storages.StatementError: the statement is not valid.
        """
        self._refresh()
        if statement.kind in (sql.Kind.COMMAND, sql.Kind.SHOW):
            return [
                values.Column(statement.tokens[1].text.lower(), values.TEXT)
            ]
        if statement.kind is sql.Kind.READ:
            return self.describe_result(run())
        if statement.kind is sql.Kind.WRITE:
            return self._describe_returning(statement.tokens)
        return None

    def describe_result(
        self, result: storages.ResultSet
    ) -> list[values.Column]:
        """Return the columns of a result, typed by its first row."""
        self._refresh()
        names = result.names or ()
        first = result.rows[0] if result.rows else (None,) * len(names)
        return [
            values.Column(name, self._find_column_type(name, value))
            for name, value in zip(names, first, strict=True)
        ]

    def _refresh(self) -> None:
        if self._version == self._storage.schema_version:
            return
        self._version = self._storage.schema_version
        declared = self._storage.read(
            "SELECT lower(t.name), lower(c.name), c.type FROM sqlite_master t"
            " JOIN pragma_table_info(t.name) c WHERE t.type = 'table'"
        )
        self._tables = {}
        for table, name, type_name in declared.rows:
            column = values.Column(str(name), values.find_type(str(type_name)))
            self._tables.setdefault(str(table), []).append(column)
        self._types = {
            column.name: column.oid
            for columns in self._tables.values()
            for column in columns
        }

    def _find_column_type(self, name: str, value: logs.Value) -> int:
        """Return a result column's type by its name, or else its value."""
        declared = self._types.get(name.lower())
        if declared is not None:
            return declared
        if value is not None:
            return values.guess_type(value)
        match = _CALL.match(name)
        if match is None:
            return values.TEXT
        function, argument = match.group(1).lower(), match.group(2).lower()
        if function in _COLUMN_CALLS:
            return self._types.get(argument, values.TEXT)
        return _CALL_TYPES.get(function, values.TEXT)

    def _infer(self, statement: sql.ParsedStatement, number: int) -> int:
        """Return a placeholder's type by what stands around it."""
        if number in statement.casts:
            return values.find_type(statement.casts[number])
        tokens = statement.tokens
        name = f"${number}"
        at = next(i for i, item in enumerate(tokens) if item.text == name)
        before = tokens[max(0, at - 2) : at]
        if before and sql.is_keyword(before[-1], "LIMIT", "OFFSET"):
            return values.INT8
        if len(before) == 2 and before[1].text in _COMPARISONS:
            return self._find_type(before[0])
        after = tokens[at + 1 : at + 3]
        if len(after) == 2 and after[0].text in _COMPARISONS:
            return self._find_type(after[1])
        if sql.is_keyword(tokens[0], "INSERT", "REPLACE"):
            return self._infer_inserted(tokens, at)
        return self._infer_by_neighbours(tokens, at)

    def _infer_inserted(self, tokens: Sequence[sql.Token], at: int) -> int:
        """Return the type of the column that a value is inserted into."""
        columns = self._find_inserted_columns(tokens)
        place = _find_place(tokens, at)
        return columns[place] if place < len(columns) else values.TEXT

    def _find_inserted_columns(self, tokens: Sequence[sql.Token]) -> list[int]:
        table = _find_table(tokens)
        following = tokens[table + 1 :]
        if following and following[0].text == "(":
            end = next(i for i, x in enumerate(following) if x.text == ")")
            names = [x for x in following[:end] if x.kind == "name"]
            return [self._find_type(item) for item in names]
        name = sql.unquote(tokens[table]).lower()
        return [column.oid for column in self._tables.get(name, [])]

    def _infer_by_neighbours(self, tokens: Sequence[sql.Token], at: int) -> int:
        for item in reversed(tokens[max(0, at - _NEIGHBOUR_TOKENS) : at]):
            if item.kind == "name" and item.text.lower() in self._types:
                return self._find_type(item)
        return values.TEXT

    def _find_type(self, token: sql.Token) -> int:
        if token.kind == "number":
            return values.INT8 if token.text.isdigit() else values.FLOAT8
        return self._types.get(sql.unquote(token).lower(), values.TEXT)

    def _describe_returning(
        self, tokens: Sequence[sql.Token]
    ) -> list[values.Column] | None:
        at = next(
            (i for i, x in enumerate(tokens) if sql.is_keyword(x, "RETURNING")),
            None,
        )
        if at is None:
            return None
        columns: list[values.Column] = []
        for item in _split_list(tokens[at + 1 :]):
            if item[-1].text == "*":
                table = sql.unquote(tokens[_find_table(tokens)]).lower()
                columns += self._tables.get(table, [])
            else:
                name = sql.unquote(item[-1])
                columns.append(values.Column(name, self._find_type(item[0])))
        return columns


def _find_numbers(statement: sql.ParsedStatement) -> list[int]:
    return [
        int(token.text[1:])
        for token in statement.tokens
        if token.kind == "parameter"
    ]


def _get_sample(token: sql.Token, parameters: Sequence[int]) -> str:
    return _SAMPLES.get(parameters[int(token.text[1:]) - 1], "''")


def _find_table(tokens: Sequence[sql.Token]) -> int:
    """Return the place of the table's name in a write."""
    for i, token in enumerate(tokens[:-1]):
        if sql.is_keyword(token, "INTO", "FROM", "UPDATE"):
            return i + 1
    return len(tokens) - 1


def _find_place(tokens: Sequence[sql.Token], at: int) -> int:
    """Count the values before a placeholder in its row of VALUES."""
    place = 0
    depth = 0
    for i in range(at - 1, 0, -1):
        text = tokens[i].text
        if text == ")":
            depth += 1
        elif text == "(" and depth > 0:
            depth -= 1
        elif text == "(" and not _opens_row(tokens[i - 1]):
            # A call's arguments: go on with the row around it.
            place = 0
        elif text == "(":
            return place
        elif text == "," and depth == 0:
            place += 1
    return place


def _opens_row(before: sql.Token) -> bool:
    return before.text == "," or sql.is_keyword(before, "VALUES")


def _split_list(tokens: Sequence[sql.Token]) -> list[list[sql.Token]]:
    """Split a list of expressions at the commas outside of brackets."""
    items: list[list[sql.Token]] = [[]]
    depth = 0
    for token in tokens:
        depth += {"(": 1, ")": -1}.get(token.text, 0)
        if token.text == "," and depth == 0:
            items.append([])
        else:
            items[-1].append(token)
    return [item for item in items if item]
