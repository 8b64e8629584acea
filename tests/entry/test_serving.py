"""Tests of an entry host that serves callers, run against the stand-ins."""

import asyncio

import testtools

from knapweedtally.entry import host as host_module
from knapweedtally.entry.common import clock
from standins.line_platform import targets
from tests.entry import harness


class StatementTest(testtools.TestCase):
    """Tests of statements of callers and their answers."""

    @harness.with_system()
    async def test_write_is_accepted_on_every_route(
        self, system: harness.System
    ) -> None:
        for kind in ("primary", "bounded_stale", "read_your_writes"):
            caller = harness.Caller(system.entry_hosts[0].port)
            started = await caller.start(f"g-{kind}")
            self.assertEqual(started, "READY I -")
            answer = await caller.run(f"WRITE item-{kind} data")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE g-"))
            if kind != "bounded_stale":
                answer = await caller.run(f"READ item-{kind}")
                self.assertEqual(answer[0], "ROW data")

    @harness.with_system()
    async def test_session_reads_its_own_write_while_replicas_lag(
        self, system: harness.System
    ) -> None:
        for target in system.platform.groups["g"].targets.values():
            target.apply_lag_s = 0.3
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-read_your_writes")
        for number in range(5):
            await caller.run(f"WRITE item {number}")
            answer = await caller.run("READ item")
            self.assertEqual(answer[0], f"ROW {number}")

    @harness.with_system()
    async def test_sessions_keep_their_own_values_and_prepared_statements(
        self, system: harness.System
    ) -> None:
        async def run_session(number: int) -> None:
            caller = harness.Caller(system.entry_hosts[0].port)
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

        await asyncio.gather(*(run_session(number) for number in range(12)))

    @harness.with_system()
    async def test_invalid_message_closes_only_its_session(
        self, system: harness.System
    ) -> None:
        good = harness.Caller(system.entry_hosts[0].port)
        await good.start("g-primary")
        bad = harness.Caller(system.entry_hosts[0].port)
        await bad.start("g-primary")
        await bad.send_raw(b"NONSENSE\r\n")
        self.assertThat(
            await bad.read_line(),
            testtools.matchers.StartsWith("ERROR MALFORMED"),
        )
        self.assertTrue(await bad.wait_for_close())
        large = harness.Caller(system.entry_hosts[0].port)
        await large.start("g-primary")
        try:
            await large.send_raw(b"QUERY a " + b"x" * (1100 * 1024))
            line = await large.read_line()
            self.assertThat(line, testtools.matchers.StartsWith("ERROR TOOBIG"))
        except ConnectionError:
            # The rest of the message arrived after the session was closed.
            pass
        self.assertEqual((await good.run("READ item"))[0], "ROW -")

    @harness.with_system()
    async def test_unknown_database_is_refused(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        started = await caller.start("nowhere")
        self.assertThat(started, testtools.matchers.StartsWith("ERROR NODB"))
        self.assertTrue(await caller.wait_for_close())

    @harness.with_system()
    async def test_session_start_waits_for_the_first_configuration(
        self, system: harness.System
    ) -> None:
        catalog = system.entry_hosts[0].host.catalog
        catalog.configuration = None
        caller = harness.Caller(system.entry_hosts[0].port)
        starting = asyncio.create_task(caller.start("g-primary"))
        await harness.wait_for(
            lambda: bool(system.entry_hosts[0].host.sessions)
        )
        system.platform.write_configuration()
        self.assertEqual(await starting, "READY I -")

    @harness.with_system()
    async def test_statement_is_refused_after_its_route_is_removed(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        routes = system.platform.routes
        system.platform.routes = [r for r in routes if r["host"] != "g-primary"]
        system.platform.write_configuration()
        catalog = system.entry_hosts[0].host.catalog
        await harness.wait_for(lambda: catalog.find_route("g-primary") is None)
        answer = await caller.run("READ item")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR NODB"))


class FailureTest(testtools.TestCase):
    """Tests of failed targets and of the answers to their callers."""

    @harness.with_system()
    async def test_write_whose_answer_is_lost_has_an_unknown_outcome(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("READ item")
        primary = system.platform.groups["g"].get_primary()
        primary.lose_answers = 1
        answer = await caller.run("WRITE item 1")
        code = answer[0].split(" ")[1]
        self.assertIn(code, ("TIMEOUT", "INDOUBT"))
        written = [t for _, t in primary.statements if "WRITE" in t]
        self.assertEqual(len(written), 1)

    @harness.with_system()
    async def test_read_whose_answer_is_lost_is_retried_on_another_target(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-bounded_stale")
        await caller.run("READ item")
        for target in system.platform.groups["g"].targets.values():
            if not target.is_primary:
                target.lose_answers = 1
        answer = await caller.run("READ item")
        self.assertEqual(answer[0], "ROW -")

    @harness.with_system()
    async def test_target_that_failed_before_a_suspension_serves_again(
        self, system: harness.System
    ) -> None:
        host = system.entry_hosts[0].host
        primary = system.platform.groups["g"].get_primary()
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        now_s = clock.get_time_s()
        for _ in range(2):
            host.routers["g"].pools[primary.id].record_failure(now_s, False)
        host._last_tick_s = now_s - 2 * host_module.SUSPENSION_S
        host.tick(now_s)
        answer = await caller.run("WRITE item 2")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))

    @harness.with_system()
    async def test_crashed_primary_is_replaced(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        caller = harness.Caller(system.entry_hosts[0].port)
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
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        old = group.get_primary()
        system.platform.leaving.add(old.id)
        system.platform.write_target_entries()
        count = 0
        while group.find_primary() in (None, old) or count < 5:
            count += 1
            answer = await caller.run(f"WRITE item {count}")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))
        answer = await caller.run("READ item")
        self.assertEqual(answer[0], f"ROW {count}")

    @harness.with_system()
    async def test_unlisted_target_at_a_known_address_gets_no_statements(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        old = group.get_primary()
        await old.stop()
        unlisted = targets.Group("g", 1, 16).get_primary()
        unlisted.port = old.port
        await unlisted.start()
        await harness.wait_for(lambda: group.find_primary() not in (None, old))
        old.is_primary = False
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        while (await caller.run("WRITE item 1"))[0].startswith("ERROR"):
            await asyncio.sleep(0.05)
        self.assertEqual(unlisted.statements, [])
        await unlisted.stop()

    @harness.with_system(hosts=4)
    async def test_each_fence_has_one_holder_with_many_hosts(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        old = group.get_primary()
        for entry in system.entry_hosts:
            entry.attach_changes(self)
        await old.stop()
        await harness.wait_for(lambda: group.find_primary() not in (None, old))
        old.is_primary = False
        new = group.get_primary()
        for entry in system.entry_hosts:
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
