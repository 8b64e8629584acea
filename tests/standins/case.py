"""Base class and helpers for tests of running target stand-ins."""

from typing import Any

import asyncpg
import psycopg
import testtools

from tests.standins import processes

ONE_HOUR_MS = 3_600_000
CLIENT_HOST = "127.0.9.1"
CREATE_TABLE = (
    "CREATE TABLE readings(id integer primary key, panel text, hours real)"
)
INSERT_ROW = "INSERT INTO readings(id, panel, hours) VALUES (%s, %s, %s)"


def get_report(connection: psycopg.Connection[Any]) -> list[str]:
    report = connection.pgconn.parameter_status(b"kt.report")
    assert report is not None
    return report.decode().split("/")


def select_ids(connection: psycopg.Connection[Any]) -> list[int]:
    rows = connection.execute("SELECT id FROM readings ORDER BY id")
    return [row[0] for row in rows]


async def connect_asyncpg(group: processes.Group) -> asyncpg.Connection:
    host, port = group.addresses["a"]
    return await asyncpg.connect(
        host=host, port=port, user="test", database="group"
    )


class TargetTestCase(testtools.TestCase):
    arguments: tuple[str, ...] = ()

    def setUp(self) -> None:
        super().setUp()
        self.group = processes.Group(*self.arguments)
        self.addCleanup(self.group.stop)
        self.client = self.connect("a")
        self.client.execute(CREATE_TABLE)

    def connect(self, name: str, **options: Any) -> psycopg.Connection[Any]:
        connection = self.group.connect(name, **options)
        self.addCleanup(connection.close)
        return connection

    def assert_sqlstate(
        self, sqlstate: str, connection: psycopg.Connection[Any], query: str
    ) -> None:
        error = self.assertRaises(psycopg.Error, connection.execute, query)
        self.assertEqual(sqlstate, error.sqlstate)

    def wait_until_replicated(self) -> int:
        received = self.group.run_control_command("a", "kt_status()")[
            "received"
        ]
        for name in "bc":
            self.group.wait_for_status(name, applied=received)
        return int(received)
