"""Tests of an entry host whose store is down, slow or without history."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core import watching
from knapweedtally.entry.common import clock
from tests.entry import harness


class StoreTest(testtools.TestCase):
    """Service during failures of the store, and recovery after them."""

    @harness.with_system()
    async def test_serves_while_the_store_is_down(
        self, system: harness.System
    ) -> None:
        system.platform.store.is_down = True
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        entry = system.entry_hosts[0]
        await harness.wait_for(
            lambda: bool(entry.find_lines("dependency_lost"))
        )
        answer = await caller.run("WRITE item 1")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))

    @harness.with_system()
    async def test_refuses_without_a_configuration_while_the_store_is_down(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        entry.host.catalog.configuration = None
        waiting_caller = harness.Caller(entry.port)
        start_task = asyncio.create_task(waiting_caller.start("g-primary"))
        await harness.wait_for(lambda: bool(entry.host.sessions))
        self.assertFalse(start_task.done())
        system.platform.store.is_down = True
        system.platform.store.abort_watches()
        for answer in (
            await start_task,
            await harness.Caller(entry.port).start("g-primary"),
        ):
            self.assertThat(answer, testtools.matchers.StartsWith("ERROR BUSY"))
            self.assertIn("retry after", answer)
        self.assertTrue(await waiting_caller.wait_for_close())

    @harness.with_system()
    async def test_lists_again_after_the_store_dropped_its_history(
        self, system: harness.System
    ) -> None:
        system.platform.routes.append(
            {**system.platform.routes[0], "host": "added", "name": "r-added"}
        )
        system.platform.write_configuration()
        system.platform.store.drop_history()
        catalog = system.entry_hosts[0].host.catalog
        await harness.wait_for(lambda: catalog.find_route("added") is not None)

    @harness.with_system()
    async def test_lists_again_after_a_watch_was_closed(
        self, system: harness.System
    ) -> None:
        # Only a watch that has reached the store can be closed by it.
        await harness.wait_for(
            lambda: system.platform.store.waiting_watches["config"] > 0
        )
        system.platform.store.is_withholding_events = True
        system.platform.routes.append(
            {**system.platform.routes[0], "host": "added", "name": "r-added"}
        )
        system.platform.write_configuration()
        system.platform.store.abort_watches()
        catalog = system.entry_hosts[0].host.catalog
        async with asyncio.timeout(5.0):
            await harness.wait_for(
                lambda: catalog.find_route("added") is not None
            )

    @harness.with_system()
    async def test_changes_in_quick_succession_are_fetched_in_one_call(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        store_server = system.platform.store
        await harness.wait_for(
            lambda: store_server.waiting_watches["servers"] > 0
        )
        with mock.patch.object(
            watching, "MIN_DELAY_S", harness.WAIT_TIMEOUT_S / 10
        ):
            store_server.put("servers", "stranger-0", {"backend": "g"})
            await harness.wait_for(
                lambda: bool(entry.find_lines("entry_unreadable"))
            )
            calls = store_server.calls_by_kind["servers"]
            for number in range(1, 6):
                store_server.put(
                    "servers", f"stranger-{number}", {"backend": "g"}
                )
                await asyncio.sleep(0.01)
            await harness.wait_for(
                lambda: len(entry.find_lines("entry_unreadable")) == 6
            )
        # One watch returns the five changes, and one waits for the next.
        self.assertLessEqual(store_server.calls_by_kind["servers"] - calls, 2)

    @harness.with_system()
    async def test_invalid_entries_are_ignored(
        self, system: harness.System
    ) -> None:
        system.platform.store.put("servers", "stranger", {"backend": "g"})
        system.platform.store.put("servers", "other", "bytes")
        await harness.wait_for(
            lambda: (
                len(system.entry_hosts[0].find_lines("entry_unreadable")) >= 2
            )
        )
        pools = system.entry_hosts[0].host.routers["g"].pools
        self.assertEqual(set(pools), set(system.platform.groups["g"].targets))

    @harness.with_system()
    async def test_call_that_hangs_or_fails_becomes_overdue(
        self, system: harness.System
    ) -> None:
        # Guards against a host that asks no other host while its store is
        # silent without closing connections, or asks while a watch waits.
        watcher = system.entry_hosts[0].host.configuration._watcher
        assert watcher is not None
        now_s = clock.get_time_s()
        wait_s = system.entry_hosts[0].host.store.watch_wait_s
        self.assertFalse(watcher.is_overdue(now_s + wait_s))
        self.assertTrue(watcher.is_overdue(now_s + wait_s + 2))
        system.platform.store.is_down = True
        system.platform.store.abort_watches()
        await harness.wait_for(
            lambda: watcher.is_overdue(clock.get_time_s() + 1.5)
        )
        system.platform.store.is_down = False
        await harness.wait_for(
            lambda: not watcher.is_overdue(clock.get_time_s() + 2)
        )
