"""Tests of replication, terms and barriers between running targets."""

import asyncio
import json
import select
from typing import Any

import asyncpg
import psycopg

from tests.standins import case


class ReplicationTests(case.TargetTestCase):
    def insert_rows(self, *ids: int) -> None:
        for number in ids:
            self.client.execute(case.INSERT_ROW, (number, "north", 1.0))

    def promote_b(self, term: int) -> None:
        """Make b the primary of a term with c as its replica."""
        for name in "bc":
            answer = self.group.run_control_command(
                name, f"kt_install_term({term}, 'op{term}')"
            )
            self.assertTrue(answer["is_accepted"])
        answer = self.group.run_control_command(
            "b", f"kt_promote({term}, 'op{term}')"
        )
        self.assertTrue(answer["is_accepted"])
        self.follow_b("c", term)

    def follow_b(self, name: str, term: int) -> None:
        host, port = self.group.addresses["b"]
        answer = self.group.run_control_command(
            name, f"kt_follow({term}, 'b', '{host}', {port})"
        )
        self.assertTrue(answer["is_accepted"])

    def cut_off_primary(self) -> None:
        self.group.set_faults("a", cut=["127.0.102.", "127.0.103."])

    def test_replica_serves_reads_and_refuses_writes(self) -> None:
        self.insert_rows(1)
        self.wait_until_replicated()
        replica = self.connect("b")
        self.assertEqual([1], case.select_ids(replica))
        term, offset, _, role = case.get_report(replica)
        self.assertEqual(("1", "3", "r"), (term, offset, role))
        self.assert_sqlstate("25006", replica, "DELETE FROM readings")
        self.assertEqual(["1", "3"], case.get_report(self.client)[:2])

    def test_replica_receives_before_it_applies(self) -> None:
        self.wait_until_replicated()
        for name in "bc":
            self.group.set_faults(name, apply_lag_ms=case.ONE_HOUR_MS)
        self.insert_rows(1)
        self.group.wait_for_status("b", received=3)
        replica = self.connect("b")
        self.assertEqual([], case.select_ids(replica))
        self.assertEqual("2", case.get_report(replica)[1])
        self.client.execute("SELECT kt_barrier(60000)")
        self.promote_b(2)
        self.assertEqual([1], case.select_ids(replica))
        self.assertEqual(["2", "4"], case.get_report(replica)[:2])

    def test_barrier_confirms_position_and_term(self) -> None:
        self.insert_rows(1)
        row = self.client.execute("SELECT kt_barrier(60000)").fetchone()
        assert row is not None
        self.assertEqual(
            {"term": 1, "offset": 3, "is_primary": True}, json.loads(row[0])
        )
        answer = self.group.run_control_command("b", "kt_barrier(10)")
        self.assertFalse(answer["is_primary"])

    def test_barrier_fails_without_a_majority(self) -> None:
        self.cut_off_primary()
        self.insert_rows(1)
        self.assert_sqlstate("KT002", self.client, "SELECT kt_barrier(50)")
        self.group.set_faults("a", cut=[])
        self.client.execute("SELECT kt_barrier(60000)")

    def test_barrier_ends_when_the_term_is_replaced(self) -> None:
        self.cut_off_primary()

        async def run() -> str:
            client = await case.connect_asyncpg(self.group)
            task = asyncio.create_task(
                client.fetchval(f"SELECT kt_barrier({case.ONE_HOUR_MS})")
            )
            await asyncio.sleep(0.05)
            self.group.run_control_command("a", "kt_install_term(2, 'op2')")
            await asyncio.wait([task])
            error = task.exception()
            assert isinstance(error, asyncpg.PostgresError)
            return str(error.sqlstate)

        self.assertEqual("KT001", asyncio.run(run()))

    def test_failover_keeps_entries_that_a_barrier_confirmed(self) -> None:
        self.insert_rows(1)
        self.client.execute("SELECT kt_barrier(60000)")
        self.cut_off_primary()
        self.insert_rows(2)
        self.assert_sqlstate("KT002", self.client, "SELECT kt_barrier(50)")
        self.promote_b(2)
        new_primary = self.connect("b")
        new_primary.execute(case.INSERT_ROW, (3, "south", 2.0))
        new_primary.execute("SELECT kt_barrier(60000)")
        self.assertEqual([1, 3], case.select_ids(new_primary))
        self.assertEqual([1, 2], case.select_ids(self.client))

        self.group.set_faults("a", cut=[])
        self.assert_sqlstate("KT002", self.client, "SELECT kt_barrier(50)")
        self.follow_b("a", 2)
        self.group.wait_for_status("a", term=2, applied=5, last_term=2)
        self.assertEqual([1, 3], case.select_ids(self.client))
        self.assertEqual(["2", "5"], case.get_report(self.client)[:2])

    def test_new_term_rolls_back_the_open_transaction(self) -> None:
        self.client.execute("BEGIN")
        self.insert_rows(1)
        self.group.run_control_command("a", "kt_install_term(2, 'op2')")
        self.assert_sqlstate("40001", self.client, "COMMIT")
        self.assert_sqlstate("25006", self.client, "DELETE FROM readings")
        self.group.run_control_command("a", "kt_promote(2, 'op2')")
        self.insert_rows(2)
        self.assertEqual([2], case.select_ids(self.client))

    def test_hold_waits_for_the_open_transaction(self) -> None:
        async def run() -> dict[str, Any]:
            client = await case.connect_asyncpg(self.group)
            transaction = client.transaction()
            await transaction.start()
            await client.execute("INSERT INTO readings(id) VALUES (1)")
            control = await case.connect_asyncpg(self.group)
            hold_task = asyncio.create_task(
                control.fetchval(f"SELECT kt_hold(1, {case.ONE_HOUR_MS})")
            )
            while not self.group.run_control_command("a", "kt_status()")[
                "is_holding"
            ]:
                await asyncio.sleep(0.01)
            self.assertFalse(hold_task.done())
            await transaction.commit()
            answer: dict[str, Any] = json.loads(await hold_task)
            return answer

        answer = asyncio.run(run())
        self.assertTrue(answer["is_accepted"])
        self.assertEqual(3, answer["received"])
        self.assert_sqlstate("57P03", self.client, "DELETE FROM readings")
        self.assertEqual([1], case.select_ids(self.client))

    def test_lost_answer_does_not_undo_the_commit(self) -> None:
        self.group.set_faults("a", lose_answers=1)
        self.assertRaises(psycopg.OperationalError, self.insert_rows, 1)
        self.assertEqual([1], case.select_ids(self.connect("a")))
        self.wait_until_replicated()

    def test_cut_off_client_receives_nothing_until_the_fault_ends(self) -> None:
        self.group.set_faults("a", cut=["127.0.9."])
        client = self.group.open_socket("a", case.CLIENT_HOST)
        self.addCleanup(client.close)
        self.client.execute("SELECT kt_barrier(60000)")
        self.assertEqual([], select.select([client], [], [], 0)[0])
        self.group.set_faults("a", cut=[])
        self.assertEqual(b"R", client.recv(1))

    def test_refused_connection_is_closed(self) -> None:
        self.group.set_faults("a", refuse_connections=True)
        try:
            client = self.group.open_socket("a", case.CLIENT_HOST)
            self.addCleanup(client.close)
            self.assertEqual(b"", client.recv(1))
        except ConnectionError:
            pass
        self.group.run_control_command("a", "kt_status()")

    def test_replica_age_grows_while_entries_are_not_applied(self) -> None:
        self.wait_until_replicated()
        self.group.set_faults("b", apply_lag_ms=case.ONE_HOUR_MS)
        self.insert_rows(1)
        self.group.wait_for_status("b", received=3)
        self.group.wait_for_status("c", applied=3)
        ages: dict[str, list[float]] = {"b": [], "c": []}
        # The other replica's age falls with each answer of the primary.
        while ages["c"] == sorted(ages["c"]):
            for name in "cb":
                status = self.group.run_control_command(name, "kt_status()")
                ages[name].append(status["age_ms"])
        self.assertEqual(sorted(ages["b"]), ages["b"])
