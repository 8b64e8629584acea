"""Tests that the record of an idempotency key prevents a second run.

Without the record, a retry of a write whose answer was lost would apply the
write twice.
"""

from unittest import mock

import anyio
import testtools

from knapweedtally.callers import batch
from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.targets import attempt
from knapweedtally.targets import connection as connection_module
from knapweedtally.targets import wire
from tests.standins import processes

INSERT = "INSERT INTO readings (value) VALUES ('x')"
BARRIER_MS = 5_000


def encode_no_insert(*_: object) -> bytes:
    """Return a query that doesn't record the key."""
    return wire.encode_query("SELECT 1")


class KeyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.group = processes.Group()
        self.addCleanup(self.group.stop)
        with self.group.connect("a") as client:
            client.execute("CREATE TABLE readings (value TEXT)")

    def count_rows(self) -> int:
        with self.group.connect("a") as client:
            row = client.execute("SELECT count(*) FROM readings").fetchone()
        assert row is not None
        return int(row[0])

    async def run_twice(self, *statements: str) -> list[attempt.AttemptResult]:
        """Run all statements with one key, each over its own connection."""
        host, port = self.group.addresses["a"]
        target = model.Target("a", host, port, "norte")
        results = []
        for number, text in enumerate(statements, 1):
            connection = await connection_module.TargetConnection.connect(
                target, None, {"user": "proxy", "database": "group"}
            )
            effect = effects.RunStatement(
                number, 1, "a", number, True, True, "k1"
            )
            results.append(
                await attempt.run_attempt(
                    connection,
                    effect,
                    batch.SimpleBatch(text),
                    "ana",
                    BARRIER_MS,
                )
            )
            await connection.close()
        return results

    def test_retry_is_answered_from_the_record(self) -> None:
        first, second = anyio.run(self.run_twice, INSERT, INSERT)
        self.assertEqual(1, self.count_rows())
        self.assertEqual("INSERT 0 1", wire.read_tag(second.section))
        self.assertEqual([False, True], [first.is_replayed, second.is_replayed])
        self.assertIsNotNone(second.confirmed)

    def test_other_statement_with_the_same_key_does_not_run(self) -> None:
        other = INSERT.replace("'x'", "'y'")
        _, second = anyio.run(self.run_twice, INSERT, other)
        self.assertEqual(1, self.count_rows())
        self.assertTrue(second.is_key_reused)

    def test_refused_begin_leaves_neither_the_write_nor_its_key(self) -> None:
        # Sent ahead of the begin's answer, both were committed on their own:
        # the caller was told that the write had failed, and its next try with
        # the key that it had succeeded.
        self.group.set_faults("a", refuse_begins=1)
        first, second = anyio.run(self.run_twice, INSERT, INSERT)
        self.assertEqual("53200", first.section.sqlstate)
        self.assertEqual("I", first.status)
        self.assertFalse(second.is_replayed)
        self.assertEqual("INSERT 0 1", wire.read_tag(second.section))
        self.assertEqual(1, self.count_rows())

    def test_retry_without_the_record_runs_again(self) -> None:
        """Show that the checks above fail if the key isn't recorded."""
        with mock.patch.object(attempt, "_encode_key_insert", encode_no_insert):
            anyio.run(self.run_twice, INSERT, INSERT)
        self.assertEqual(2, self.count_rows())
