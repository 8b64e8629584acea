"""Tests of many hosts with targets that accept few connections."""

import asyncio
import functools

import testtools

from knapweedtally.core import store_revisions
from tests.entry import harness

HOSTS = 7
# Two of them are reserved, so three hosts can hold one connection each.
MAX_CONNECTIONS = 5


def has_current_paths(entry: harness.EntryHost) -> bool:
    """Return whether all connections of a host use their selected paths."""
    pools = entry.host.routers["g"].pools.values()
    return all(pool.has_current_paths() for pool in pools)


async def wait_for_peers(system: harness.System) -> None:
    """Wait until every host knows the others and has chosen its paths."""
    hosts = len(system.entry_hosts)
    for entry in system.entry_hosts:
        await harness.wait_for(
            lambda entry=entry: len(entry.host.peers.get_live_hosts()) == hosts
        )
        await harness.wait_for(lambda entry=entry: has_current_paths(entry))


with_connected_hosts = functools.partial(
    harness.with_system,
    hosts=HOSTS,
    max_connections=MAX_CONNECTIONS,
    prepare=wait_for_peers,
)


def find_relayed_host(
    entries: list[harness.EntryHost], target: str
) -> harness.EntryHost:
    """Return a host that reaches a target through relay hosts."""
    for entry in entries:
        if entry.host.routers["g"].pools[target].path_selector.relay_hosts:
            return entry
    raise LookupError("no host reaches the target through relay hosts")


class RelayTest(testtools.TestCase):
    """Statements that are relayed by another host."""

    @with_connected_hosts()
    async def test_all_hosts_serve_within_the_connection_limit(
        self, system: harness.System
    ) -> None:
        async def run_statements(number: int, entry: harness.EntryHost) -> None:
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
            *(run_statements(*item) for item in enumerate(system.entry_hosts))
        )
        for target in system.platform.groups["g"].targets.values():
            self.assertLessEqual(len(target.connections), MAX_CONNECTIONS)

    @with_connected_hosts()
    async def test_connection_lost_behind_the_relay_aborts_the_transaction(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        entry = find_relayed_host(system.entry_hosts, primary.id)
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

    @with_connected_hosts()
    async def test_transaction_of_a_disconnected_caller_is_rolled_back(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        entry = find_relayed_host(system.entry_hosts, primary.id)
        caller = harness.Caller(entry.port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        caller.close()
        await harness.wait_for(
            lambda: any("ROLLBACK" in t for _, t in primary.control_statements)
        )
        other = harness.Caller(entry.port)
        await other.start("g-primary")
        self.assertEqual((await other.run("READ item"))[0], "ROW -")


class FallbackTest(testtools.TestCase):
    """Fallback to other hosts for a target that one host can't reach."""

    @with_connected_hosts(hosts=3, max_connections=16)
    async def test_primary_unreachable_from_one_host_is_not_replaced(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        router = system.entry_hosts[0].host.routers["g"]
        pool = router.pools[primary.id]
        (closed_port,) = harness.find_ports(1)
        members = system.entry_hosts[0].host.catalog.members
        unreachable = members[primary.id].entry._replace(
            port=closed_port, revision=store_revisions.Revision(1, 10**9)
        )
        members[primary.id] = members[primary.id]._replace(entry=unreachable)
        pool.restart(unreachable)
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        answer = await caller.run("WRITE item 1")
        while not answer[0].startswith("DONE g-"):
            answer = await caller.run("WRITE item 1")
        self.assertEqual((await caller.run("READ item"))[0], "ROW 1")
        self.assertIs(system.platform.groups["g"].get_primary(), primary)
        self.assertEqual(system.platform.promotions, [])

    @with_connected_hosts(hosts=2, max_connections=16)
    async def test_fallback_connection_is_not_offered_to_other_hosts(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        pool = system.entry_hosts[0].host.routers["g"].pools[primary.id]
        await harness.wait_for(lambda: bool(pool.path_selector.fallback_hosts))
        pool.start_fallback()
        await harness.wait_for(
            lambda: bool(system.entry_hosts[1].host.relay_sessions)
        )
        pool.path_selector.end_fallback()
        await primary.stop()
        await harness.wait_for(lambda: not pool.has_direct_connection)
        opened: list[bool] = []
        pool.call_when_open(opened.append)
        await harness.wait_for(lambda: bool(opened))
        self.assertEqual(opened, [False])
