"""Tests of callers' transactions at an entry host."""

import asyncio
from typing import Any

import testtools

from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.statements import transactions
from standins.line_platform import targets
from tests.entry import harness


class TransactionTest(testtools.TestCase):
    """Tests of statements in transactions, and of how transactions end."""

    @harness.with_system()
    async def test_commit_refused_as_busy_is_retried(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.remaining_refusals["COMMIT"] = 3
        answer = await caller.run("COMMIT")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))
        self.assertEqual(caller.state, "I")
        self.assertEqual((await caller.run("READ item"))[0], "ROW 1")
        commits = [t for _, t in primary.statements if t == "COMMIT"]
        self.assertEqual(len(commits), 1)

    @harness.with_system()
    async def test_commit_refused_as_busy_until_its_timeout_is_rolled_back(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.remaining_refusals["COMMIT"] = 10_000
        answer = await caller.run("COMMIT")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR BUSY"))
        self.assertEqual(caller.state, "I")
        primary.remaining_refusals.clear()
        self.assertEqual((await caller.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_lost_begin_is_tried_again_at_the_primary(
        self, system: harness.System
    ) -> None:
        # The primary was left out of the second attempt, for which no other
        # target came into question, and the caller waited until its timeout.
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        primary = system.platform.groups["g"].get_primary()
        primary.odd_answers["BEGIN"] = [targets.OddAnswer.CLOSED]
        await caller.run("BEGIN")
        answer = await caller.run("WRITE item 1")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE g-"))

    @harness.with_system()
    async def test_failed_read_is_tried_again_at_the_primary(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        primary = system.platform.groups["g"].get_primary()
        primary.odd_answers["READ"] = [targets.OddAnswer.FAILED]
        self.assertEqual("ROW -", (await caller.run("READ item"))[0])

    @harness.with_system()
    async def test_disconnect_during_a_statement_is_logged_as_the_reason(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.is_unresponsive = True
        await caller.send("READ item")
        await harness.wait_for(
            lambda: any(t == "READ item" for _, t in primary.statements)
        )
        caller.close()
        entry = system.entry_hosts[0]
        await harness.wait_for(lambda: not entry.host.sessions)
        line = entry.find_lines("statement_ended")[-1]
        self.assertEqual(line["outcome"], "ABORTED")
        self.assertEqual(line["reason"], "the caller left")

    @harness.with_system()
    async def test_disconnect_while_a_commit_is_retried(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.remaining_refusals["COMMIT"] = 10_000
        errors: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        await caller.send("COMMIT")
        await harness.wait_for(
            lambda: primary.remaining_refusals["COMMIT"] < 10_000
        )
        caller.close()
        await harness.wait_for(lambda: not system.entry_hosts[0].host.sessions)
        await asyncio.sleep(2 * transactions.RETRY_DELAY_S)
        self.assertEqual(errors, [])
        self.assertNotIn("COMMIT", [t for _, t in primary.statements])

    @harness.with_system()
    async def test_lost_connection_aborts_and_discards_writes(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        for connection in tuple(primary.connections):
            connection.abort()
        answer = await caller.run("WRITE item 2")
        self.assertThat(
            answer[0], testtools.matchers.StartsWith("ERROR ABORTED")
        )
        self.assertEqual(caller.state, "E")
        answer = await caller.run("READ item")
        self.assertThat(
            answer[0], testtools.matchers.StartsWith("ERROR MALFORMED")
        )
        self.assertEqual(await caller.run("ROLLBACK"), ["DONE -"])
        self.assertEqual((await caller.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_uncommitted_writes_are_visible_in_the_transaction_only(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        self.assertEqual(await caller.run("BEGIN"), ["DONE -"])
        self.assertEqual(caller.state, "T")
        await caller.run("WRITE item 7")
        self.assertEqual((await caller.run("READ item"))[0], "ROW 7")
        other = harness.Caller(system.entry_hosts[0].port)
        await other.start("g-primary")
        self.assertEqual((await other.run("READ item"))[0], "ROW -")
        await caller.run("COMMIT")
        self.assertEqual(caller.state, "I")
        self.assertEqual((await other.run("READ item"))[0], "ROW 7")

    @harness.with_system()
    async def test_rolled_back_writes_are_discarded(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 7")
        self.assertEqual(await caller.run("ROLLBACK"), ["DONE -"])
        self.assertEqual((await caller.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_status_is_queried_while_a_transaction_holds_a_connection(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 7")
        primary = system.platform.groups["g"].get_primary()
        pool = system.entry_hosts[0].host.routers["g"].pools[primary.id]
        for connection in tuple(pool._connections):
            if connection.is_idle:
                connection.close()
        answered: list[line_connections.Outcome] = []
        # Shorter than the idle timeout of a transaction.
        pool.send_control_statement(b"STATUS", answered.append, 2.0)
        await harness.wait_for(lambda: bool(answered))
        self.assertIsNotNone(answered[0].answer)
