"""Tests of target stand-in processes with psycopg and asyncpg."""

import asyncio
import select
from typing import Any

import psycopg

from tests.standins import case
from tests.standins import processes


class StatementTests(case.TargetTestCase):
    def test_psycopg_reads_its_own_writes(self) -> None:
        cursor = self.client.execute(case.INSERT_ROW, (1, "north", 2.5))
        self.assertEqual("INSERT 0 1", cursor.statusmessage)
        self.client.execute(case.INSERT_ROW, (2, None, None))
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

    def test_values_of_all_types_round_trip(self) -> None:
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
            client = await case.connect_asyncpg(self.group)
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

    def test_types_are_inferred_without_result_rows(self) -> None:
        newest = "SELECT max(id), sum(hours) FROM readings WHERE id < $1"

        async def run() -> list[Any]:
            client = await case.connect_asyncpg(self.group)
            statement = await client.prepare(newest)
            found = [tuple(await statement.fetchrow(100))]
            await client.execute(
                "INSERT INTO readings VALUES ($1, lower($2), $3)",
                7,
                "X",
                0.5,
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
        self.assertEqual([], case.select_ids(self.client))

    def test_pipeline_is_one_transaction_up_to_its_sync(self) -> None:
        with self.client.pipeline() as pipeline:
            self.client.execute(case.INSERT_ROW, (1, "a", 1))
            self.client.execute(case.INSERT_ROW, (1, "a", 1))
            self.assertRaises(psycopg.errors.UniqueViolation, pipeline.sync)
        self.assertEqual([], case.select_ids(self.client))

    def test_errors_carry_their_sqlstate(self) -> None:
        self.client.execute(case.INSERT_ROW, (1, "a", 1))
        for sqlstate, query in (
            ("23505", "INSERT INTO readings(id) VALUES (1)"),
            ("42P01", "SELECT * FROM absent"),
            ("42601", "SELEC 1"),
            ("42883", "SELECT kt_absent()"),
        ):
            self.assert_sqlstate(sqlstate, self.client, query)
        self.assertEqual([1], case.select_ids(self.client))

    def test_failed_transaction_accepts_only_its_end(self) -> None:
        self.client.execute("BEGIN")
        self.client.execute(case.INSERT_ROW, (1, "a", 1))
        self.assert_sqlstate("42P01", self.client, "SELECT * FROM absent")
        self.assert_sqlstate("25P02", self.client, "SELECT 1")
        self.assertEqual("ROLLBACK", self.client.execute("END").statusmessage)
        self.assertEqual([], case.select_ids(self.client))

    def test_rollback_to_savepoint_undoes_later_writes(self) -> None:
        with self.client.transaction():
            self.client.execute(case.INSERT_ROW, (1, "a", 1))
            try:
                with self.client.transaction():
                    self.client.execute(case.INSERT_ROW, (2, "a", 1))
                    self.client.execute("SELECT * FROM absent")
            except psycopg.Error:
                pass
        self.assertEqual([1], case.select_ids(self.client))
        self.wait_until_replicated()
        self.assertEqual([1], case.select_ids(self.connect("b")))

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
        self.assertEqual([2, 3], case.select_ids(self.client))

    def test_other_sessions_see_committed_data_only(self) -> None:
        other = self.connect("a")
        self.client.execute("BEGIN")
        self.client.execute(case.INSERT_ROW, (1, "a", 1))
        self.assertEqual([1], case.select_ids(self.client))
        self.assertEqual([], case.select_ids(other))
        self.client.execute("COMMIT")
        self.assertEqual([1], case.select_ids(other))

    def test_second_writer_waits_for_the_first(self) -> None:
        async def run() -> list[int]:
            first = await case.connect_asyncpg(self.group)
            second = await case.connect_asyncpg(self.group)
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
        self.group.set_faults("a", service_time_ms=case.ONE_HOUR_MS)

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

    def test_control_connections_do_not_count_towards_the_limit(self) -> None:
        opened = [self.connect("a") for _ in range(14)]
        error = self.assertRaises(
            psycopg.OperationalError, self.group.connect, "a"
        )
        self.assertIn("all 15 connections are in use", str(error))
        status = self.group.run_control_command("a", "kt_status()")
        self.assertEqual(15, status["connections"])
        opened[0].close()
        self.group.wait_for_status("a", connections=14)
        self.connect("a")

    def test_stop_ends_idle_clients_after_open_transactions(self) -> None:
        self.client.execute("BEGIN")
        self.client.execute(case.INSERT_ROW, (1, "a", 1))
        idle = self.connect("a")
        process = self.group.processes["a"]
        process.terminate()
        select.select([idle.fileno()], [], [])
        self.assert_sqlstate("57P01", idle, "SELECT 1")
        self.client.execute("COMMIT")
        self.assertEqual(0, process.wait(processes.STOP_TIMEOUT_S))
