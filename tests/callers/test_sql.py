"""Tests of the classification of statements."""

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.callers import sql

Kind = sql.StatementKind
CASES = {
    "": Kind.EMPTY,
    "-- note": Kind.EMPTY,
    "select 1": Kind.READ,
    "SELECT ';' FROM a;": Kind.READ,
    "/* x */ select 'insert into' from a": Kind.READ,
    "select 1; select 2": Kind.READ,
    "select 1; delete from a": Kind.WRITE,
    "select * from a for update": Kind.WRITE,
    "select * into b from a": Kind.WRITE,
    "with x as (delete from a returning *) select * from x": Kind.WRITE,
    "with x as (select 1) select * from x": Kind.READ,
    "insert into a values (1)": Kind.WRITE,
    "vacuum": Kind.WRITE,
    "BEGIN": Kind.BEGIN,
    "begin read only": Kind.BEGIN_READ_ONLY,
    "start transaction isolation level serializable": Kind.BEGIN,
    "commit": Kind.COMMIT,
    "rollback": Kind.ROLLBACK,
    "rollback to savepoint a": Kind.WRITE,
    "begin; insert into a values (1); commit": Kind.MULTIPLE,
    "copy a from stdin": Kind.UNSUPPORTED,
    "discard all": Kind.RESET,
}


class ClassifyTest(testtools.TestCase):
    def test_kinds_of_statements(self) -> None:
        for text, kind in CASES.items():
            self.assertEqual(kind, sql.classify_statement(text).kind, text)

    def test_tables_of_a_read(self) -> None:
        found = sql.classify_statement("select * from A join b.c using (x)")
        self.assertEqual({"a", "b.c"}, found.tables)

    def test_set_keeps_the_value_as_written(self) -> None:
        found = sql.classify_statement("SET knapweedtally.token = 'aB''c'")
        self.assertEqual(
            ("knapweedtally.token", "aB'c"), (found.name, found.value)
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.text(alphabet="-/*'; aB1=", max_size=20))
    def test_comment_signs_inside_a_value_stay(self, value: str) -> None:
        quoted = value.replace("'", "''")
        text = f"SET /* a */ knapweedtally.token -- b\n = '{quoted}' -- c"
        self.assertEqual(value, sql.classify_statement(text).value)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.text(alphabet="select;'\"insertx-/* $\n", max_size=60))
    def test_text_that_inserts_is_no_read(self, noise: str) -> None:
        quoted = noise.replace("'", "''")
        text = f"select '{quoted}'; insert into a values (1)"
        self.assertEqual(Kind.WRITE, sql.classify_statement(text).kind)
