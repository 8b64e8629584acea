"""Tests of the target stand-in as real processes, with usual clients."""

import asyncio
import json
import select
from typing import Any

import asyncpg
import psycopg
import testtools

from tests.standins import processes

FOREVER_MS = 3_600_000
CLIENT_HOST = "127.0.9.1"
CREATE = "CREATE TABLE readings(id integer primary key, panel text, hours real)"
INSERT = "INSERT INTO readings(id, panel, hours) VALUES (%s, %s, %s)"


def get_report(connection: psycopg.Connection[Any]) -> list[str]:
    report = connection.pgconn.parameter_status(b"kt.report")
    assert report is not None
    return report.decode().split("/")


def get_ids(connection: psycopg.Connection[Any]) -> list[int]:
    rows = connection.execute("SELECT id FROM readings ORDER BY id")
    return [row[0] for row in rows]


async def open_asyncpg(group: processes.Group) -> asyncpg.Connection:
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
        self.client.execute(CREATE)

    def connect(self, name: str, **options: Any) -> psycopg.Connection[Any]:
        connection = self.group.connect(name, **options)
        self.addCleanup(connection.close)
        return connection

    def assert_sqlstate(
        self, sqlstate: str, connection: psycopg.Connection[Any], query: str
    ) -> None:
        error = self.assertRaises(psycopg.Error, connection.execute, query)
        self.assertEqual(sqlstate, error.sqlstate)

    def wait_replicated(self) -> int:
        received = self.group.control("a", "kt_status()")["received"]
        for name in "bc":
            self.group.wait_for(name, applied=received)
        return int(received)


class StatementTests(TargetTestCase):
    def test_psycopg_reads_what_it_wrote(self) -> None:
        cursor = self.client.execute(INSERT, (1, "north", 2.5))
        self.assertEqual("INSERT 0 1", cursor.statusmessage)
        self.client.execute(INSERT, (2, None, None))
        for is_binary in (False, True):
            rows = self.client.execute(
                "SELECT id, panel, hours, count(*) FROM readings"
                " WHERE id < %s GROUP BY id ORDER BY id",
                (3,),
                binary=is_binary,
            )
            self.assertEqual(
                [(1, "north", 2.5, 1), (2, None, None, 1)], rows.fetchall()
            )

    def test_values_of_all_types_come_back(self) -> None:
        self.client.execute(
            "CREATE TABLE kinds(i bigint, f double precision, t text,"
            " b boolean, y bytea)"
        )
        row = (2**40, 0.1, "it's; $1", True, b"\x00\xff")
        insert = "INSERT INTO kinds VALUES (%s, %s, %s, %s, %s)"
        self.client.execute(insert, row)
        self.client.execute(insert, (None,) * 5)
        rows = self.client.execute("SELECT * FROM kinds").fetchall()
        self.assertEqual([row, (None,) * 5], rows)

    def test_asyncpg_reads_writes_and_opens_transactions(self) -> None:
        async def run() -> list[Any]:
            client = await open_asyncpg(self.group)
            insert = "INSERT INTO readings(id, panel, hours) VALUES($1, $2, $3)"
            async with client.transaction():
                await client.executemany(insert, [(1, "a", 1.5), (2, "b", 2)])
            try:
                async with client.transaction():
                    await client.execute(insert, 3, "c", 1.0)
                    raise ValueError
            except ValueError:
                pass
            row = await client.fetchrow(
                "UPDATE readings SET hours = $1 WHERE id = $2 RETURNING *",
                4.5,
                2,
            )
            rows = await client.fetch("SELECT * FROM readings ORDER BY id")
            total = await client.fetchval("SELECT count(*) FROM readings")
            await client.close()
            return [tuple(row), [tuple(item) for item in rows], total]

        row, rows, total = asyncio.run(run())
        self.assertEqual((2, "b", 4.5), row)
        self.assertEqual([(1, "a", 1.5), (2, "b", 4.5)], rows)
        self.assertEqual(2, total)

    def test_types_hold_without_a_row_to_learn_from(self) -> None:
        newest = "SELECT max(id), sum(hours) FROM readings WHERE id < $1"

        async def run() -> list[Any]:
            client = await open_asyncpg(self.group)
            statement = await client.prepare(newest)
            found = [tuple(await statement.fetchrow(100))]
            await client.execute(
                "INSERT INTO readings VALUES ($1, lower($2), $3)", 7, "X", 0.5
            )
            found.append(tuple(await statement.fetchrow(100)))
            found.append(
                tuple(
                    await client.fetchrow(
                        "INSERT INTO readings(id, hours) VALUES ($1, $2)"
                        " ON CONFLICT(id) DO UPDATE SET hours = $2"
                        " RETURNING id, hours AS h",
                        7,
                        1.5,
                    )
                )
            )
            await client.close()
            return found

        self.assertEqual([(None, None), (7, 0.5), (7, 1.5)], asyncio.run(run()))
        row = self.client.execute(
            "SELECT hours * 2, panel FROM readings WHERE id = %s", (7,)
        ).fetchone()
        self.assertEqual((3.0, "x"), row)

    def test_nondeterministic_write_is_refused(self) -> None:
        for value in ("random()", "CURRENT_TIMESTAMP", "julianday('now')"):
            query = f"INSERT INTO readings(id) VALUES ({value})"
            self.assert_sqlstate("0A000", self.client, query)
        self.assertEqual([], get_ids(self.client))

    def test_pipeline_is_one_transaction_up_to_its_sync(self) -> None:
        with self.client.pipeline() as pipeline:
            self.client.execute(INSERT, (1, "a", 1))
            self.client.execute(INSERT, (1, "a", 1))
            self.assertRaises(psycopg.errors.UniqueViolation, pipeline.sync)
        self.assertEqual([], get_ids(self.client))

    def test_errors_carry_their_sqlstate(self) -> None:
        self.client.execute(INSERT, (1, "a", 1))
        for sqlstate, query in (
            ("23505", "INSERT INTO readings(id) VALUES (1)"),
            ("42P01", "SELECT * FROM absent"),
            ("42601", "SELEC 1"),
            ("42883", "SELECT kt_absent()"),
        ):
            self.assert_sqlstate(sqlstate, self.client, query)
        self.assertEqual([1], get_ids(self.client))

    def test_failed_transaction_accepts_only_its_end(self) -> None:
        self.client.execute("BEGIN")
        self.client.execute(INSERT, (1, "a", 1))
        self.assert_sqlstate("42P01", self.client, "SELECT * FROM absent")
        self.assert_sqlstate("25P02", self.client, "SELECT 1")
        self.assertEqual("ROLLBACK", self.client.execute("END").statusmessage)
        self.assertEqual([], get_ids(self.client))

    def test_savepoint_undoes_a_part(self) -> None:
        with self.client.transaction():
            self.client.execute(INSERT, (1, "a", 1))
            try:
                with self.client.transaction():
                    self.client.execute(INSERT, (2, "a", 1))
                    self.client.execute("SELECT * FROM absent")
            except psycopg.Error:
                pass
        self.assertEqual([1], get_ids(self.client))
        self.wait_replicated()
        self.assertEqual([1], get_ids(self.connect("b")))

    def test_batch_of_statements_is_one_transaction(self) -> None:
        self.assert_sqlstate(
            "42P01",
            self.client,
            "INSERT INTO readings(id) VALUES (1); SELECT * FROM absent",
        )
        self.client.execute(
            "INSERT INTO readings(id) VALUES (2);"
            "INSERT INTO readings(id) VALUES (3)"
        )
        self.assertEqual([2, 3], get_ids(self.client))

    def test_others_see_committed_data_only(self) -> None:
        other = self.connect("a")
        self.client.execute("BEGIN")
        self.client.execute(INSERT, (1, "a", 1))
        self.assertEqual([1], get_ids(self.client))
        self.assertEqual([], get_ids(other))
        self.client.execute("COMMIT")
        self.assertEqual([1], get_ids(other))

    def test_second_writer_waits_for_the_first(self) -> None:
        async def run() -> list[int]:
            first = await open_asyncpg(self.group)
            second = await open_asyncpg(self.group)
            transaction = first.transaction()
            await transaction.start()
            await first.execute("INSERT INTO readings(id) VALUES (1)")
            waiting = asyncio.create_task(
                second.execute("UPDATE readings SET id = id + 10")
            )
            await first.execute("INSERT INTO readings(id) VALUES (2)")
            await transaction.commit()
            await waiting
            rows = await first.fetch("SELECT id FROM readings ORDER BY id")
            return [row[0] for row in rows]

        # An update that did not wait would have found no row.
        self.assertEqual([11, 12], asyncio.run(run()))

    def test_cancel_request_ends_the_statement(self) -> None:
        self.group.fault("a", service_time_ms=FOREVER_MS)

        async def run() -> str | None:
            host, port = self.group.addresses["a"]
            client = await psycopg.AsyncConnection.connect(
                host=host, port=port, user="test", autocommit=True
            )
            async with client:
                task = asyncio.create_task(client.execute("SELECT 1"))
                while not task.done():
                    await client.cancel_safe()
                    await asyncio.wait([task], timeout=0.05)
                error = task.exception()
                assert isinstance(error, psycopg.Error)
                return error.sqlstate

        self.assertEqual("57014", asyncio.run(run()))

    def test_connection_limit_spares_control_connections(self) -> None:
        opened = [self.connect("a") for _ in range(14)]
        error = self.assertRaises(
            psycopg.OperationalError, self.group.connect, "a"
        )
        self.assertIn("all 15 connections are in use", str(error))
        status = self.group.control("a", "kt_status()")
        self.assertEqual(15, status["connections"])
        opened[0].close()
        self.group.wait_for("a", connections=14)
        self.connect("a")

    def test_stop_ends_idle_clients_after_open_transactions(self) -> None:
        self.client.execute("BEGIN")
        self.client.execute(INSERT, (1, "a", 1))
        idle = self.connect("a")
        process = self.group.processes["a"]
        process.terminate()
        select.select([idle.fileno()], [], [])
        self.assert_sqlstate("57P01", idle, "SELECT 1")
        self.client.execute("COMMIT")
        self.assertEqual(0, process.wait(processes.STOP_TIMEOUT_S))


class ReplicationTests(TargetTestCase):
    def write(self, *ids: int) -> None:
        for number in ids:
            self.client.execute(INSERT, (number, "north", 1.0))

    def fail_over(self, term: int) -> None:
        """Make b the primary of a term, followed by c."""
        for name in "bc":
            answer = self.group.control(
                name, f"kt_install_term({term}, 'op{term}')"
            )
            self.assertTrue(answer["is_accepted"])
        answer = self.group.control("b", f"kt_promote({term}, 'op{term}')")
        self.assertTrue(answer["is_accepted"])
        self.follow("c", term)

    def follow(self, name: str, term: int) -> None:
        host, port = self.group.addresses["b"]
        answer = self.group.control(
            name, f"kt_follow({term}, 'b', '{host}', {port})"
        )
        self.assertTrue(answer["is_accepted"])

    def cut_off_primary(self) -> None:
        self.group.fault("a", cut=["127.0.102.", "127.0.103."])

    def test_replica_serves_reads_and_refuses_writes(self) -> None:
        self.write(1)
        self.wait_replicated()
        replica = self.connect("b")
        self.assertEqual([1], get_ids(replica))
        term, offset, _, role = get_report(replica)
        self.assertEqual(("1", "3", "r"), (term, offset, role))
        self.assert_sqlstate("25006", replica, "DELETE FROM readings")
        self.assertEqual(["1", "3"], get_report(self.client)[:2])

    def test_replica_receives_before_it_applies(self) -> None:
        self.wait_replicated()
        for name in "bc":
            self.group.fault(name, apply_lag_ms=FOREVER_MS)
        self.write(1)
        self.group.wait_for("b", received=3)
        replica = self.connect("b")
        self.assertEqual([], get_ids(replica))
        self.assertEqual("2", get_report(replica)[1])
        self.client.execute("SELECT kt_barrier(60000)")
        self.fail_over(2)
        self.assertEqual([1], get_ids(replica))
        self.assertEqual(["2", "4"], get_report(replica)[:2])

    def test_barrier_confirms_position_and_term(self) -> None:
        self.write(1)
        row = self.client.execute("SELECT kt_barrier(60000)").fetchone()
        assert row is not None
        self.assertEqual(
            {"term": 1, "offset": 3, "is_primary": True}, json.loads(row[0])
        )
        answer = self.group.control("b", "kt_barrier(10)")
        self.assertFalse(answer["is_primary"])

    def test_barrier_fails_without_a_majority(self) -> None:
        self.cut_off_primary()
        self.write(1)
        self.assert_sqlstate("KT002", self.client, "SELECT kt_barrier(50)")
        self.group.fault("a", cut=[])
        self.client.execute("SELECT kt_barrier(60000)")

    def test_barrier_ends_when_the_term_is_replaced(self) -> None:
        self.cut_off_primary()

        async def run() -> str:
            client = await open_asyncpg(self.group)
            task = asyncio.create_task(
                client.fetchval(f"SELECT kt_barrier({FOREVER_MS})")
            )
            await asyncio.sleep(0.05)
            self.group.control("a", "kt_install_term(2, 'op2')")
            await asyncio.wait([task])
            error = task.exception()
            assert isinstance(error, asyncpg.PostgresError)
            return str(error.sqlstate)

        self.assertEqual("KT001", asyncio.run(run()))

    def test_failover_keeps_what_a_barrier_confirmed(self) -> None:
        self.write(1)
        self.client.execute("SELECT kt_barrier(60000)")
        self.cut_off_primary()
        self.write(2)
        self.assert_sqlstate("KT002", self.client, "SELECT kt_barrier(50)")
        self.fail_over(2)
        new = self.connect("b")
        new.execute(INSERT, (3, "south", 2.0))
        new.execute("SELECT kt_barrier(60000)")
        self.assertEqual([1, 3], get_ids(new))
        self.assertEqual([1, 2], get_ids(self.client))

        self.group.fault("a", cut=[])
        self.assert_sqlstate("KT002", self.client, "SELECT kt_barrier(50)")
        self.follow("a", 2)
        self.group.wait_for("a", term=2, applied=5, last_term=2)
        self.assertEqual([1, 3], get_ids(self.client))
        self.assertEqual(["2", "5"], get_report(self.client)[:2])

    def test_new_term_rolls_back_the_open_transaction(self) -> None:
        self.client.execute("BEGIN")
        self.write(1)
        self.group.control("a", "kt_install_term(2, 'op2')")
        self.assert_sqlstate("40001", self.client, "COMMIT")
        self.assert_sqlstate("25006", self.client, "DELETE FROM readings")
        self.group.control("a", "kt_promote(2, 'op2')")
        self.write(2)
        self.assertEqual([2], get_ids(self.client))

    def test_hold_waits_for_the_open_transaction(self) -> None:
        async def run() -> dict[str, Any]:
            client = await open_asyncpg(self.group)
            transaction = client.transaction()
            await transaction.start()
            await client.execute("INSERT INTO readings(id) VALUES (1)")
            control = await open_asyncpg(self.group)
            holding = asyncio.create_task(
                control.fetchval(f"SELECT kt_hold(1, {FOREVER_MS})")
            )
            while not self.group.control("a", "kt_status()")["is_holding"]:
                await asyncio.sleep(0.01)
            self.assertFalse(holding.done())
            await transaction.commit()
            answer: dict[str, Any] = json.loads(await holding)
            return answer

        answer = asyncio.run(run())
        self.assertTrue(answer["is_accepted"])
        self.assertEqual(3, answer["received"])
        self.assert_sqlstate("57P03", self.client, "DELETE FROM readings")
        self.assertEqual([1], get_ids(self.client))

    def test_lost_answer_comes_after_the_commit(self) -> None:
        self.group.fault("a", lose_answers=1)
        self.assertRaises(psycopg.OperationalError, self.write, 1)
        self.assertEqual([1], get_ids(self.connect("a")))
        self.wait_replicated()

    def test_cut_client_hangs_until_the_cut_ends(self) -> None:
        self.group.fault("a", cut=["127.0.9."])
        client = self.group.open_socket("a", CLIENT_HOST)
        self.addCleanup(client.close)
        self.client.execute("SELECT kt_barrier(60000)")
        self.assertEqual([], select.select([client], [], [], 0)[0])
        self.group.fault("a", cut=[])
        self.assertEqual(b"R", client.recv(1))

    def test_refused_connection_is_closed(self) -> None:
        self.group.fault("a", refuse_connections=True)
        try:
            client = self.group.open_socket("a", CLIENT_HOST)
            self.addCleanup(client.close)
            self.assertEqual(b"", client.recv(1))
        except ConnectionError:
            pass
        self.group.control("a", "kt_status()")

    def test_replica_is_fresh_only_with_everything_applied(self) -> None:
        self.wait_replicated()
        self.group.fault("b", apply_lag_ms=FOREVER_MS)
        self.write(1)
        self.group.wait_for("b", received=3)
        self.group.wait_for("c", applied=3)
        ages: dict[str, list[float]] = {"b": [], "c": []}
        # The other replica's age falls with each answer of the primary.
        while ages["c"] == sorted(ages["c"]):
            for name in "cb":
                status = self.group.control(name, "kt_status()")
                ages[name].append(status["age_ms"])
        self.assertEqual(sorted(ages["b"]), ages["b"])
