"""Many hosts before a target that takes few connections."""

import asyncio
import functools

import testtools

from tests.entry import harness

HOSTS = 7
# Less two that are reserved: room for three holders of one connection each.
MAX_CONNECTIONS = 5


def is_settled(entry: harness.Entry) -> bool:
    """Tell whether a host holds connections of the right kind only."""
    pools = entry.host.routers["g"].pools.values()
    return all(pool.has_current_paths() for pool in pools)


async def wait_linked(system: harness.System) -> None:
    """Wait until every host knows the others."""
    hosts = len(system.entries)
    for entry in system.entries:
        await harness.wait_for(
            lambda entry=entry: len(entry.host.peers.get_live_hosts()) == hosts
        )
        await harness.wait_for(lambda entry=entry: is_settled(entry))


with_linked_hosts = functools.partial(
    harness.with_system,
    hosts=HOSTS,
    max_connections=MAX_CONNECTIONS,
    prepare=wait_linked,
)


def find_relaying(entries: list[harness.Entry], target: str) -> harness.Entry:
    """Return a host that reaches a target through others."""
    for entry in entries:
        if entry.host.routers["g"].pools[target].path_selector.relay_hosts:
            return entry
    raise LookupError("every host holds connections")


class RelayTest(testtools.TestCase):
    """Statements that go through another host."""

    @with_linked_hosts()
    async def test_all_hosts_serve_within_the_limit(
        self, system: harness.System
    ) -> None:
        async def use(number: int, entry: harness.Entry) -> None:
            caller = harness.Caller(entry.port)
            await caller.start("g-primary")
            await caller.run(f"SET tenant {number}")
            await caller.run("PREPARE w WRITE shape")
            for count in range(5):
                await caller.run("BEGIN")
                await caller.run(f"EXEC w item-{number} {count}")
                answer = await caller.run("COMMIT")
                self.assertThat(
                    answer[0], testtools.matchers.StartsWith("DONE g-")
                )
                answer = await caller.run(f"READ item-{number}")
                self.assertEqual(answer[0], f"ROW {count}")

        await asyncio.gather(
            *(use(*pair) for pair in enumerate(system.entries))
        )
        for target in system.platform.groups["g"].targets.values():
            self.assertLessEqual(len(target.connections), MAX_CONNECTIONS)

    @with_linked_hosts()
    async def test_lost_connection_behind_the_relay_is_a_promise(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        entry = find_relaying(system.entries, primary.id)
        caller = harness.Caller(entry.port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        for connection in tuple(primary.connections):
            connection.abort()
        answer = await caller.run("WRITE item 2")
        self.assertThat(
            answer[0], testtools.matchers.StartsWith("ERROR ABORTED")
        )
        self.assertEqual(primary.read("item"), "-")

    @with_linked_hosts()
    async def test_caller_that_leaves_rolls_back(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        entry = find_relaying(system.entries, primary.id)
        caller = harness.Caller(entry.port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        caller.close()
        await harness.wait_for(
            lambda: any("ROLLBACK" in t for _, t in primary.orders)
        )
        other = harness.Caller(entry.port)
        await other.start("g-primary")
        self.assertEqual((await other.run("READ item"))[0], "ROW -")


class DetourTest(testtools.TestCase):
    """A target that one host doesn't reach is reached through another."""

    @with_linked_hosts(hosts=3, max_connections=16)
    async def test_primary_out_of_reach_of_one_host(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        router = system.entries[0].host.routers["g"]
        pool = router.pools[primary.id]
        (closed_port,) = harness.find_ports(1)
        member = system.entries[0].host.catalog.members[primary.id]
        cut_off = member.entry._replace(port=closed_port, revision=10**9)
        member.entry = cut_off
        pool.restart(cut_off)
        caller = harness.Caller(system.entries[0].port)
        await caller.start("g-primary")
        answer = await caller.run("WRITE item 1")
        while not answer[0].startswith("DONE g-"):
            answer = await caller.run("WRITE item 1")
        self.assertEqual((await caller.run("READ item"))[0], "ROW 1")
        self.assertIs(system.platform.groups["g"].get_primary(), primary)
        self.assertEqual(system.platform.promotions, [])

    @with_linked_hosts(hosts=2, max_connections=16)
    async def test_detour_is_no_way_for_others(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        pool = system.entries[0].host.routers["g"].pools[primary.id]
        await harness.wait_for(lambda: bool(pool.path_selector.fallback_hosts))
        pool.start_fallback()
        await harness.wait_for(
            lambda: bool(system.entries[1].host.relay_sessions)
        )
        pool.path_selector.end_fallback()
        await primary.stop()
        await harness.wait_for(lambda: not pool.has_direct_connection)
        opened: list[bool] = []
        pool.call_when_open(opened.append)
        await harness.wait_for(lambda: bool(opened))
        self.assertEqual(opened, [False])
