"""Types of a statement's placeholders and result columns."""

import re
from collections.abc import Callable
from collections.abc import Sequence

from standins.target import log as logs
from standins.target import sql
from standins.target import storage as storages
from standins.target import values

StatementRunner = Callable[[], storages.ResultSet]

_COMPARISONS = frozenset({"=", "<", ">", "<=", ">=", "<>", "!="})
# Maximum distance from a placeholder back to a column of its expression.
_MAX_COLUMN_DISTANCE_TOKENS = 4
_SAMPLE_LITERALS: dict[int, str] = {
    values.BOOL: "1",
    values.BYTEA: "x''",
    values.INT2: "1",
    values.INT4: "1",
    values.INT8: "1",
    values.FLOAT4: "1.0",
    values.FLOAT8: "1.0",
}
# SQLite names an expression's column by its text.
_CALL_PATTERN = re.compile(r"(\w+)\s*\(\s*(?:distinct\s+)?(\w*)", re.IGNORECASE)
_CALL_TYPES = {
    "avg": values.FLOAT8,
    "count": values.INT8,
    "length": values.INT8,
    "total": values.FLOAT8,
}
_COLUMN_CALLS = frozenset({"coalesce", "max", "min", "sum"})


class Describer:
    """Infer types from table declarations and from results.

    SQLite does not type expressions. A placeholder gets the type of the column
    that it is inserted into or compared with. A result column gets the type of
    the column that it names, or else the type of the first row's value.
    """

    def __init__(self, storage: storages.Storage) -> None:
        """Create a describer of the committed tables of a storage."""
        self._storage = storage
        self._schema_version = -1
        self._column_types: dict[str, int] = {}
        self._table_columns: dict[str, list[values.Column]] = {}

    def find_parameter_types(
        self, statement: sql.ParsedStatement, given: Sequence[int]
    ) -> list[int]:
        """Return the type OID of each placeholder; keep ``given`` OIDs."""
        self._refresh_schema()
        count = max(
            [*_list_placeholder_numbers(statement), len(given)], default=0
        )
        padded = [*given, *[0] * (count - len(given))]
        return [
            oid or self._infer_parameter_type(statement, number)
            for number, oid in enumerate(padded, start=1)
        ]

    def make_sample_statement(
        self, statement: sql.ParsedStatement, parameters: Sequence[int]
    ) -> str:
        """Return the SQL text with sample literals for its placeholders."""
        sql_tokens = [
            _get_sample_literal(token, parameters)
            if token.kind == "parameter"
            else token.text
            for token in statement.tokens
        ]
        return " ".join(sql_tokens)

    def find_columns(
        self, statement: sql.ParsedStatement, run: StatementRunner
    ) -> list[values.Column] | None:
        """Return the result columns, or None for a statement without rows.

        Args:
            statement: the statement to describe.
            run: function that runs the statement; called for reads only.

        Raises:
            storages.StatementError: the statement is not valid.
        """
        self._refresh_schema()
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
        """Return a result's columns, typed by declaration or first row."""
        self._refresh_schema()
        names = result.names or ()
        first = result.rows[0] if result.rows else (None,) * len(names)
        return [
            values.Column(name, self._find_column_type(name, value))
            for name, value in zip(names, first, strict=True)
        ]

    def _refresh_schema(self) -> None:
        if self._schema_version == self._storage.schema_version:
            return
        self._schema_version = self._storage.schema_version
        declared = self._storage.read(
            "SELECT lower(t.name), lower(c.name), c.type FROM sqlite_master t"
            " JOIN pragma_table_info(t.name) c WHERE t.type = 'table'"
        )
        self._table_columns = {}
        for table, name, type_name in declared.rows:
            column = values.Column(str(name), values.find_oid(str(type_name)))
            self._table_columns.setdefault(str(table), []).append(column)
        self._column_types = {
            column.name: column.oid
            for columns in self._table_columns.values()
            for column in columns
        }

    def _find_column_type(self, name: str, value: logs.Value) -> int:
        """Return a result column's type by its name, or else by its value."""
        declared = self._column_types.get(name.lower())
        if declared is not None:
            return declared
        if value is not None:
            return values.infer_type(value)
        match = _CALL_PATTERN.match(name)
        if match is None:
            return values.TEXT
        function, argument = match.group(1).lower(), match.group(2).lower()
        if function in _COLUMN_CALLS:
            return self._column_types.get(argument, values.TEXT)
        return _CALL_TYPES.get(function, values.TEXT)

    def _infer_parameter_type(
        self, statement: sql.ParsedStatement, number: int
    ) -> int:
        """Infer a placeholder's type from the tokens around it."""
        if number in statement.casts:
            return values.find_oid(statement.casts[number])
        tokens = statement.tokens
        name = f"${number}"
        index = next(i for i, item in enumerate(tokens) if item.text == name)
        before = tokens[max(0, index - 2) : index]
        if before and sql.is_keyword(before[-1], "LIMIT", "OFFSET"):
            return values.INT8
        if len(before) == 2 and before[1].text in _COMPARISONS:
            return self._find_token_type(before[0])
        after = tokens[index + 1 : index + 3]
        if len(after) == 2 and after[0].text in _COMPARISONS:
            return self._find_token_type(after[1])
        if sql.is_keyword(tokens[0], "INSERT", "REPLACE"):
            return self._infer_inserted_type(tokens, index)
        return self._infer_type_from_preceding_column(tokens, index)

    def _infer_inserted_type(
        self, tokens: Sequence[sql.Token], index: int
    ) -> int:
        """Return the type of the column that a value is inserted into."""
        types = self._list_inserted_types(tokens)
        value_index = _count_preceding_values(tokens, index)
        return types[value_index] if value_index < len(types) else values.TEXT

    def _list_inserted_types(self, tokens: Sequence[sql.Token]) -> list[int]:
        table = _find_table_index(tokens)
        following = tokens[table + 1 :]
        if following and following[0].text == "(":
            end = next(i for i, x in enumerate(following) if x.text == ")")
            names = [x for x in following[:end] if x.kind == "name"]
            return [self._find_token_type(item) for item in names]
        name = sql.unquote(tokens[table]).lower()
        return [column.oid for column in self._table_columns.get(name, [])]

    def _infer_type_from_preceding_column(
        self, tokens: Sequence[sql.Token], index: int
    ) -> int:
        for item in reversed(
            tokens[max(0, index - _MAX_COLUMN_DISTANCE_TOKENS) : index]
        ):
            if item.kind == "name" and item.text.lower() in self._column_types:
                return self._find_token_type(item)
        return values.TEXT

    def _find_token_type(self, token: sql.Token) -> int:
        if token.kind == "number":
            return values.INT8 if token.text.isdigit() else values.FLOAT8
        return self._column_types.get(sql.unquote(token).lower(), values.TEXT)

    def _describe_returning(
        self, tokens: Sequence[sql.Token]
    ) -> list[values.Column] | None:
        index = next(
            (i for i, x in enumerate(tokens) if sql.is_keyword(x, "RETURNING")),
            None,
        )
        if index is None:
            return None
        columns: list[values.Column] = []
        for item in _split_expressions(tokens[index + 1 :]):
            if item[-1].text == "*":
                table = sql.unquote(tokens[_find_table_index(tokens)]).lower()
                columns += self._table_columns.get(table, [])
            else:
                name = sql.unquote(item[-1])
                columns.append(
                    values.Column(name, self._find_token_type(item[0]))
                )
        return columns


def _list_placeholder_numbers(statement: sql.ParsedStatement) -> list[int]:
    return [
        int(token.text[1:])
        for token in statement.tokens
        if token.kind == "parameter"
    ]


def _get_sample_literal(token: sql.Token, parameters: Sequence[int]) -> str:
    return _SAMPLE_LITERALS.get(parameters[int(token.text[1:]) - 1], "''")


def _find_table_index(tokens: Sequence[sql.Token]) -> int:
    """Return the index of the table name in a write statement."""
    for i, token in enumerate(tokens[:-1]):
        if sql.is_keyword(token, "INTO", "FROM", "UPDATE"):
            return i + 1
    return len(tokens) - 1


def _count_preceding_values(tokens: Sequence[sql.Token], index: int) -> int:
    """Count the values before a placeholder in its VALUES row."""
    value_index = 0
    depth = 0
    for i in range(index - 1, 0, -1):
        text = tokens[i].text
        if text == ")":
            depth += 1
        elif text == "(" and depth > 0:
            depth -= 1
        elif text == "(" and not _opens_row(tokens[i - 1]):
            # Arguments of a function call: continue with the enclosing row.
            value_index = 0
        elif text == "(":
            return value_index
        elif text == "," and depth == 0:
            value_index += 1
    return value_index


def _opens_row(before: sql.Token) -> bool:
    return before.text == "," or sql.is_keyword(before, "VALUES")


def _split_expressions(tokens: Sequence[sql.Token]) -> list[list[sql.Token]]:
    """Split a list of expressions at the commas outside parentheses."""
    items: list[list[sql.Token]] = [[]]
    depth = 0
    for token in tokens:
        depth += {"(": 1, ")": -1}.get(token.text, 0)
        if token.text == "," and depth == 0:
            items.append([])
        else:
            items[-1].append(token)
    return [item for item in items if item]
