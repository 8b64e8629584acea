"""An entry host serves callers before the platform's stand-ins."""

import asyncio
from typing import Any
from unittest import mock

import testtools

from knapweedtally.entry import connections
from knapweedtally.entry import store
from knapweedtally.entry import transactions
from standins.line_platform import targets
from tests.entry import harness


class StatementTest(testtools.TestCase):
    """Statements of callers and their answers."""

    @harness.with_system()
    async def test_write_is_read_on_every_route(
        self, system: harness.System
    ) -> None:
        for kind in ("primary", "bounded_stale", "read_your_writes"):
            caller = harness.Caller(system.entries[0].port)
            started = await caller.start(f"g-{kind}")
            self.assertEqual(started, "READY I -")
            answer = await caller.run(f"WRITE item-{kind} data")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE g-"))
            if kind != "bounded_stale":
                answer = await caller.run(f"READ item-{kind}")
                self.assertEqual(answer[0], "ROW data")

    @harness.with_system()
    async def test_own_write_is_seen_while_replicas_lag(
        self, system: harness.System
    ) -> None:
        for target in system.platform.groups["g"].targets.values():
            target.lag_s = 0.3
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-read_your_writes")
        for number in range(5):
            await caller.run(f"WRITE item {number}")
            answer = await caller.run("READ item")
            self.assertEqual(answer[0], f"ROW {number}")

    @harness.with_system()
    async def test_transaction_on_one_connection(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        self.assertEqual(await caller.run("BEGIN"), ["DONE -"])
        self.assertEqual(caller.state, "T")
        await caller.run("WRITE item 7")
        self.assertEqual((await caller.run("READ item"))[0], "ROW 7")
        other = harness.Caller(system.entries[0].port)
        await other.start("g-primary")
        self.assertEqual((await other.run("READ item"))[0], "ROW -")
        await caller.run("COMMIT")
        self.assertEqual(caller.state, "I")
        self.assertEqual((await other.run("READ item"))[0], "ROW 7")

    @harness.with_system()
    async def test_targets_are_asked_beside_a_long_transaction(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 7")
        primary = system.platform.groups["g"].get_primary()
        pool = system.entries[0].host.routers["g"].pools[primary.id]
        for connection in tuple(pool._connections):
            if connection.is_idle:
                connection.close()
        answered: list[connections.Outcome] = []
        # Less than the limit of a transaction that rests.
        pool.ask(b"STATUS", answered.append, 2.0)
        await harness.wait_for(lambda: bool(answered))
        self.assertIsNotNone(answered[0].answer)

    @harness.with_system()
    async def test_rolled_back_writes_are_gone(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 7")
        self.assertEqual(await caller.run("ROLLBACK"), ["DONE -"])
        self.assertEqual((await caller.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_values_and_prepared_names_of_many_sessions(
        self, system: harness.System
    ) -> None:
        async def use(number: int) -> None:
            caller = harness.Caller(system.entries[0].port)
            await caller.start("g-primary")
            await caller.run(f"SET tenant {number}")
            await caller.run("PREPARE s1 WRITE shape")
            await caller.run(f"PREPARE s2 READ shape-{number % 3}")
            for _ in range(5):
                await caller.run(f"EXEC s1 item-{number} {number}")
                answer = await caller.run(f"EXEC s2 item-{number}")
                self.assertEqual(answer[0], f"ROW {number}")
            await caller.run("CLOSE s2")
            answer = await caller.run(f"EXEC s2 item-{number}")
            self.assertThat(
                answer[0], testtools.matchers.StartsWith("ERROR NOSTMT")
            )

        await asyncio.gather(*(use(number) for number in range(12)))

    @harness.with_system()
    async def test_broken_messages_end_their_session_alone(
        self, system: harness.System
    ) -> None:
        good = harness.Caller(system.entries[0].port)
        await good.start("g-primary")
        bad = harness.Caller(system.entries[0].port)
        await bad.start("g-primary")
        await bad.send_raw(b"NONSENSE\r\n")
        self.assertThat(
            await bad.read_line(),
            testtools.matchers.StartsWith("ERROR MALFORMED"),
        )
        self.assertTrue(await bad.is_ended())
        large = harness.Caller(system.entries[0].port)
        await large.start("g-primary")
        try:
            await large.send_raw(b"QUERY a " + b"x" * (1100 * 1024))
            line = await large.read_line()
            self.assertThat(line, testtools.matchers.StartsWith("ERROR TOOBIG"))
        except ConnectionError:
            # The rest of the message arrived after the end.
            pass
        self.assertEqual((await good.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_unknown_database_is_refused(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        started = await caller.start("nowhere")
        self.assertThat(started, testtools.matchers.StartsWith("ERROR NODB"))
        self.assertTrue(await caller.is_ended())

    @harness.with_system()
    async def test_caller_waits_for_the_first_configuration(
        self, system: harness.System
    ) -> None:
        catalog = system.entries[0].host.catalog
        catalog.configuration = None
        caller = harness.Caller(system.entries[0].port)
        starting = asyncio.create_task(caller.start("g-primary"))
        await harness.wait_for(lambda: bool(system.entries[0].host.sessions))
        system.platform.put_configuration()
        self.assertEqual(await starting, "READY I -")

    @harness.with_system()
    async def test_route_that_is_removed(self, system: harness.System) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        routes = system.platform.routes
        system.platform.routes = [r for r in routes if r["host"] != "g-primary"]
        system.platform.put_configuration()
        catalog = system.entries[0].host.catalog
        await harness.wait_for(lambda: catalog.find_route("g-primary") is None)
        answer = await caller.run("READ item")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR NODB"))


class FailureTest(testtools.TestCase):
    """Targets that fail, and what callers are told."""

    @harness.with_system()
    async def test_lost_answer_of_a_write_is_in_doubt(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("READ item")
        primary = system.platform.groups["g"].get_primary()
        primary.lose_answers = 1
        answer = await caller.run("WRITE item 1")
        word = answer[0].split(" ")[1]
        self.assertIn(word, ("TIMEOUT", "INDOUBT"))
        written = [t for _, t in primary.statements if "WRITE" in t]
        self.assertEqual(len(written), 1)

    @harness.with_system()
    async def test_lost_answer_of_a_read_is_read_elsewhere(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-bounded_stale")
        await caller.run("READ item")
        for target in system.platform.groups["g"].targets.values():
            if not target.is_primary:
                target.lose_answers = 1
        answer = await caller.run("READ item")
        self.assertEqual(answer[0], "ROW -")

    @harness.with_system()
    async def test_connection_lost_in_a_transaction_is_a_promise(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
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
    async def test_commit_that_found_no_room_is_sent_again(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.refusals["COMMIT"] = 3
        answer = await caller.run("COMMIT")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))
        self.assertEqual(caller.state, "I")
        self.assertEqual((await caller.run("READ item"))[0], "ROW 1")
        committed = [t for _, t in primary.statements if t == "COMMIT"]
        self.assertEqual(len(committed), 1)

    @harness.with_system()
    async def test_commit_that_finds_no_room_in_time_is_rolled_back(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.refusals["COMMIT"] = 10_000
        answer = await caller.run("COMMIT")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR BUSY"))
        self.assertEqual(caller.state, "I")
        primary.refusals.clear()
        self.assertEqual((await caller.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_caller_that_leaves_in_a_statement_is_named_as_the_cause(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.is_dark = True
        await caller.send("READ item")
        await harness.wait_for(
            lambda: any(t == "READ item" for _, t in primary.statements)
        )
        caller.close()
        entry = system.entries[0]
        await harness.wait_for(lambda: not entry.host.sessions)
        line = entry.find_lines("statement_ended")[-1]
        self.assertEqual(line["outcome"], "ABORTED")
        self.assertEqual(line["reason"], "the caller left")

    @harness.with_system()
    async def test_caller_that_leaves_while_its_commit_finds_no_room(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        primary = system.platform.groups["g"].get_primary()
        primary.refusals["COMMIT"] = 10_000
        errors: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        await caller.send("COMMIT")
        await harness.wait_for(lambda: primary.refusals["COMMIT"] < 10_000)
        caller.close()
        await harness.wait_for(lambda: not system.entries[0].host.sessions)
        await asyncio.sleep(2 * transactions.RETRY_S)
        self.assertEqual(errors, [])
        self.assertNotIn("COMMIT", [t for _, t in primary.statements])

    @harness.with_system()
    async def test_crashed_primary_is_replaced(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        old = group.get_primary()
        await old.stop()
        await harness.wait_for(lambda: group.find_primary() not in (None, old))
        old.is_primary = False
        while (await caller.run("WRITE item 2"))[0].startswith("ERROR"):
            await asyncio.sleep(0.05)
        self.assertEqual((await caller.run("READ item"))[0], "ROW 2")

    @harness.with_system()
    async def test_leaving_primary_is_replaced_without_an_error(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        old = group.get_primary()
        system.platform.leaving.add(old.id)
        system.platform.write_entries()
        count = 0
        while group.find_primary() in (None, old) or count < 5:
            count += 1
            answer = await caller.run(f"WRITE item {count}")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))
        answer = await caller.run("READ item")
        self.assertEqual(answer[0], f"ROW {count}")

    @harness.with_system()
    async def test_address_that_another_target_took_over(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        old = group.get_primary()
        await old.stop()
        stranger = targets.Group("g", 1, 16).get_primary()
        stranger.port = old.port
        await stranger.start()
        await harness.wait_for(lambda: group.find_primary() not in (None, old))
        old.is_primary = False
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        while (await caller.run("WRITE item 1"))[0].startswith("ERROR"):
            await asyncio.sleep(0.05)
        self.assertEqual(stranger.statements, [])
        await stranger.stop()

    @harness.with_system(hosts=4)
    async def test_one_promotion_with_many_hosts(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        old = group.get_primary()
        for entry in system.entries:
            entry.attach_changes(self)
        await old.stop()
        await harness.wait_for(lambda: group.find_primary() not in (None, old))
        old.is_primary = False
        new = group.get_primary()
        for entry in system.entries:
            router = entry.host.routers["g"]
            await harness.wait_for(
                lambda router=router: (
                    router.observer.leadership.target == new.id
                )
            )
        fences = [fence for fence, _, _ in system.platform.promotions]
        self.assertEqual(fences, sorted(fences))
        holders = {(f, h) for f, h, _ in system.platform.promotions}
        self.assertEqual(len(holders), len({f for f, _ in holders}))


class StoreTest(testtools.TestCase):
    """A store that is down or forgets."""

    @harness.with_system()
    async def test_serves_on_while_the_store_is_down(
        self, system: harness.System
    ) -> None:
        system.platform.store.is_down = True
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        lost = system.entries[0]
        await harness.wait_for(lambda: bool(lost.find_lines("dependency_lost")))
        answer = await caller.run("WRITE item 1")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))

    @harness.with_system()
    async def test_lists_again_after_the_history_is_gone(
        self, system: harness.System
    ) -> None:
        system.platform.routes.append(
            {**system.platform.routes[0], "host": "added", "name": "r-added"}
        )
        system.platform.put_configuration()
        system.platform.store.drop_history()
        catalog = system.entries[0].host.catalog
        await harness.wait_for(lambda: catalog.find_route("added") is not None)

    @harness.with_system()
    async def test_lists_again_after_a_watch_was_cut(
        self, system: harness.System
    ) -> None:
        # A cut ends only a watch that has arrived at the store.
        await harness.wait_for(
            lambda: system.platform.store.waiting["config"] > 0
        )
        system.platform.store.is_deaf = True
        system.platform.routes.append(
            {**system.platform.routes[0], "host": "added", "name": "r-added"}
        )
        system.platform.put_configuration()
        system.platform.store.cut_watches()
        catalog = system.entries[0].host.catalog
        async with asyncio.timeout(5.0):
            await harness.wait_for(
                lambda: catalog.find_route("added") is not None
            )

    @harness.with_system()
    async def test_changes_in_quick_succession_come_in_one_call(
        self, system: harness.System
    ) -> None:
        entry = system.entries[0]
        shop = system.platform.store
        await harness.wait_for(lambda: shop.waiting["servers"] > 0)
        with mock.patch.object(store, "GATHER_S", harness.WAIT_S / 10):
            shop.put("servers", "stranger-0", {"backend": "g"})
            await harness.wait_for(
                lambda: bool(entry.find_lines("entry_unreadable"))
            )
            calls = entry.host.store.calls
            for number in range(1, 6):
                shop.put("servers", f"stranger-{number}", {"backend": "g"})
                await asyncio.sleep(0.01)
            await harness.wait_for(
                lambda: len(entry.find_lines("entry_unreadable")) == 6
            )
        # The watches for these and for what comes next.
        self.assertLessEqual(entry.host.store.calls - calls, 2)

    @harness.with_system()
    async def test_foreign_entries_change_nothing(
        self, system: harness.System
    ) -> None:
        system.platform.store.put("servers", "stranger", {"backend": "g"})
        system.platform.store.put("servers", "other", "bytes")
        await harness.wait_for(
            lambda: len(system.entries[0].find_lines("entry_unreadable")) >= 2
        )
        pools = system.entries[0].host.routers["g"].pools
        self.assertEqual(set(pools), set(system.platform.groups["g"].targets))
