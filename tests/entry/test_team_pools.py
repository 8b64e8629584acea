"""Tests of connections to targets that belong to one team each."""

import asyncio
import contextlib
import functools
import itertools
from collections.abc import Iterable
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import shutdown
from knapweedtally.core.groups import team_connections
from knapweedtally.entry.common import clock
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import relays
from knapweedtally.entry.pools import team_pools
from knapweedtally.platform import line_protocol
from standins.line_platform import platform as platform_module
from standins.line_platform import targets
from tests.entry import harness

HOSTS = 5
# Each of three holders may hold four, three of them for named teams.
MAX_CONNECTIONS = 16
TEAMS = ("t0", "t1", "t2", "t3", "t4", "t5")
# Teams without callers, of which a test takes one with the holder it needs.
SPARE_TEAMS = tuple(f"x{number}" for number in range(99))


async def wait_for_paths(system: harness.System) -> None:
    """Wait until every host knows the others and uses its paths."""
    count = len(system.entry_hosts)
    for entry in system.entry_hosts:
        await harness.wait_for(
            lambda entry=entry: len(entry.host.peers.get_live_hosts()) == count
        )
        # Holders of an earlier view would be taken for those of the test.
        await harness.wait_for(
            lambda host=entry.host: all(
                version == host.peers.live_version
                for version in host.paths.list_versions()
            )
        )
        for pool in entry.host.routers["g"].pools.values():
            await harness.wait_for(pool.has_current_paths)


def make_teams(names: Iterable[str]) -> list[dict[str, Any]]:
    """Return teams with one key each for the configuration."""
    return [platform_module.make_team(name, f"key-{name}") for name in names]


with_teams = functools.partial(
    harness.with_system,
    hosts=HOSTS,
    max_connections=MAX_CONNECTIONS,
    prepare=wait_for_paths,
    teams=make_teams((*TEAMS, *SPARE_TEAMS)),
)


async def start_caller(
    entry: harness.EntryHost, team: str, database: str = "g-primary"
) -> harness.Caller:
    """Return a caller of a team."""
    caller = harness.Caller(entry.port)
    await caller.start(database, f"key-{team}")
    return caller


def list_targets(system: harness.System) -> list[targets.Target]:
    return list(system.platform.groups["g"].targets.values())


def count_foreign(system: harness.System) -> int:
    """Return how many statements ran on another team's connection.

    The tests' items and values begin with the name of the team.
    """
    return sum(
        not operand.startswith(user)
        for target in list_targets(system)
        for user, text in target.user_statements
        if (operand := text.partition(" ")[2]) and operand != "READ"
    )


async def run_operations(
    entry: harness.EntryHost, team: str, count: int = 4
) -> list[str]:
    """Return the first message of the answer to each of some operations."""
    caller = await start_caller(entry, team)
    answers: list[str] = []
    for number in range(count):
        answers += await caller.run(f"WRITE {team}-item {number}")
        await caller.run("BEGIN")
        answers += await caller.run(f"WRITE {team}-item {number}")
        answers += await caller.run("COMMIT")
        answers += await caller.run(f"READ {team}-item")
    caller.close()
    return [a for a in answers if not a.startswith("ROW ")]


def find_pool(entry: harness.EntryHost, target: str) -> team_pools.TeamPool:
    pool = entry.host.routers["g"].pools[target]
    assert isinstance(pool, team_pools.TeamPool)
    return pool


def rank_entries(system: harness.System, team: str) -> list[harness.EntryHost]:
    """Return the holders of the primary in a team's order, then the others."""
    primary = system.platform.groups["g"].get_primary().id
    pool = find_pool(system.entry_hosts[0], primary)
    order = team_connections.rank_holders(
        team, pool.holders.paths.holders.hosts
    )
    return sorted(
        system.entry_hosts,
        key=lambda entry: (
            order.index(entry.host.name) if entry.host.name in order else 9
        ),
    )


class ServingTest(testtools.TestCase):
    """Statements of several teams through holders and other hosts."""

    @with_teams()
    async def test_each_statement_runs_on_a_connection_of_its_team(
        self, system: harness.System
    ) -> None:
        answers = await asyncio.gather(
            *(
                run_operations(entry, team)
                for entry in system.entry_hosts
                for team in TEAMS
            )
        )
        refused = [a for run in answers for a in run if a[:5] == "ERROR"]
        self.assertEqual([], refused)
        self.assertEqual(0, count_foreign(system))
        for target in list_targets(system):
            self.assertEqual(0, target.refused_connections)
            self.assertLessEqual(len(target.connections), 12)
        ran = sum(len(t.user_statements) for t in list_targets(system))
        self.assertGreaterEqual(ran, len(TEAMS) * HOSTS * 16)

    @with_teams(hosts=3)
    async def test_guard_refuses_another_teams_connection(
        self, system: harness.System
    ) -> None:
        # The choice of connections is broken on purpose; the guard alone keeps
        # statements from another team's connection. Without it they run there.
        def ignore_team(
            pool: team_pools.TeamPool, *_: object
        ) -> list[connections.Connection]:
            return pool._list_direct()

        async def count_with_broken_choice() -> int:
            for entry in system.entry_hosts:
                for team in TEAMS[:3]:
                    caller = await start_caller(entry, team)
                    await caller.send(f"WRITE {team}-item 1")
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(caller.receive(), 0.5)
                    caller.close()
            return count_foreign(system)

        with mock.patch.object(
            team_pools.TeamPool, "_list_usable", ignore_team
        ):
            self.assertEqual(0, await count_with_broken_choice())
            with mock.patch.object(connections.Connection, "_check_team"):
                self.assertGreater(await count_with_broken_choice(), 0)

    @with_teams(hosts=3, teams=())
    async def test_nothing_is_announced_without_teams(
        self, system: harness.System
    ) -> None:
        # Hosts of earlier builds would forward an announcement to the target.
        with mock.patch.object(
            line_protocol, "encode_announcement", side_effect=AssertionError
        ):
            for entry in system.entry_hosts:
                caller = harness.Caller(entry.port)
                await caller.start("g-primary")
                answer = await caller.run("WRITE item 1")
                self.assertTrue(answer[0].startswith("DONE "), answer)
        users = {u for t in list_targets(system) for u, _ in t.user_statements}
        self.assertEqual({"knapweedtally"}, users)

    @with_teams(max_connections=8)
    async def test_busy_holder_evicts_idle_teams_and_refuses_in_time(
        self, system: harness.System
    ) -> None:
        # A share of two: one named team at a time. An idle connection must
        # yield; one held by a transaction must not, and a statement that waits
        # for it is refused as not run before its caller gives up.
        entry = rank_entries(system, "t0")[0]
        primary = system.platform.groups["g"].get_primary()
        pool = find_pool(entry, primary.id)
        first = [t for t in TEAMS if pool.holders.is_own(t)]
        other = next(t for t in SPARE_TEAMS if pool.holders.is_own(t))
        for team in (first[0], other):
            caller = await start_caller(entry, team)
            answer = await caller.run(f"WRITE {team}-item 1")
            self.assertTrue(answer[0].startswith("DONE "), answer)
        await caller.run("BEGIN")
        await caller.run(f"WRITE {other}-item 2")
        last = system.entry_hosts[-1 if system.entry_hosts[-1] != entry else 0]
        waiting = [await start_caller(e, first[0]) for e in (entry, last)]
        tasks = [
            asyncio.create_task(w.run(f"WRITE {first[0]}-item 2"))
            for w in waiting
        ]
        while not all(task.done() for task in tasks):
            # Keeps the transaction from being ended as idle.
            await caller.run(f"READ {other}-item")
            await asyncio.sleep(0.5)
        for task in tasks:
            (answer,) = await task
            self.assertTrue(answer.startswith("ERROR BUSY"), answer)
        await caller.run("COMMIT")
        self.assertEqual(primary.read(f"{first[0]}-item"), "1")
        self.assertEqual(primary.read(f"{other}-item"), "2")
        self.assertLessEqual(pool.count_by_team().get(other, 0), 1)
        text = entry.host.counters.format_text({})
        for name in ("opened", "evicted"):
            self.assertIn(f"knapweedtally_connections_{name}_total", text)
        self.assertIn('connection_waits_total{label="busy"}', text)

    @with_teams()
    async def test_malformed_announcement_ends_only_its_session(
        self, system: harness.System
    ) -> None:
        holder = rank_entries(system, "t0")[0]
        primary = system.platform.groups["g"].get_primary().id
        server = holder._relay_server
        assert isinstance(server, asyncio.Server)
        address = server.sockets[0].getsockname()
        for text in (b"FOR", b"FOR t0 x 9", b"FOR t0 1 " + b"9" * 5000):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"START g h {primary}\r\n".encode())
            writer.write(b"QUERY - %b\r\nQUERY q1 READ t0-item\r\n" % text)
            async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
                with contextlib.suppress(ConnectionError):
                    answer = await reader.read()
                    self.assertNotIn(b"DONE", answer)
            writer.close()
        answers = await run_operations(holder, "t0", 1)
        self.assertTrue(all(a[:4] == "DONE" for a in answers), answers)


def cut_off(entry: harness.EntryHost, target: targets.Target) -> None:
    """Let a host find nothing at a target's address."""
    (closed_port,) = harness.find_ports(1)
    members = entry.host.catalog.members
    unreachable = members[target.id].entry._replace(
        port=closed_port, revision=store_revisions.Revision(1, 10**9)
    )
    members[target.id] = members[target.id]._replace(entry=unreachable)
    find_pool(entry, target.id).restart(unreachable)


class FailureTest(testtools.TestCase):
    """Failures of holders and targets, one at a time."""

    async def check_served(
        self, system: harness.System, entry: harness.EntryHost, team: str
    ) -> None:
        """Assert that a team is served again soon, on its own connections."""

        async def run_until_served() -> None:
            caller = await start_caller(entry, team)
            for number in itertools.count():
                answer = await caller.run(f"WRITE {team}-item {number}")
                if answer[0].startswith("DONE "):
                    return

        await asyncio.wait_for(run_until_served(), 8.0)
        self.assertEqual(0, count_foreign(system))

    @with_teams()
    async def test_killed_holder(self, system: harness.System) -> None:
        first, _, _, *others = rank_entries(system, "t0")
        await self.check_served(system, others[0], "t0")
        await first.stop()
        system.entry_hosts.remove(first)
        await self.check_served(system, others[0], "t0")

    @with_teams()
    async def test_frozen_holder_is_left_and_used_again(
        self, system: harness.System
    ) -> None:
        first, second, _, *others = rank_entries(system, "t0")
        await self.check_served(system, others[0], "t0")
        primary = system.platform.groups["g"].get_primary().id
        receive = relays.RelaySession.data_received

        def freeze(session: relays.RelaySession, data: bytes) -> None:
            if session not in first.host.relay_sessions:
                receive(session, data)

        with mock.patch.object(relays.RelaySession, "data_received", freeze):
            await self.check_served(system, others[0], "t0")
            pool = find_pool(second, primary)
            self.assertIn("t0", pool.count_by_team())
        pool = find_pool(others[0], primary)
        await harness.wait_for(
            lambda: pool.holders.choose_holder("t0") == first.host.name
        )
        await self.check_served(system, others[0], "t0")

    @with_teams()
    async def test_holder_cut_off_from_its_target(
        self, system: harness.System
    ) -> None:
        first, second, _, *others = rank_entries(system, "t0")
        await self.check_served(system, others[0], "t0")
        primary = system.platform.groups["g"].get_primary()
        cut_off(first, primary)
        # A caller of the cut-off host itself and one of another host.
        for entry in (first, others[0]):
            await self.check_served(system, entry, "t0")
        self.assertIn("t0", find_pool(second, primary.id).count_by_team())
        self.assertIs(system.platform.groups["g"].get_primary(), primary)

    @with_teams()
    async def test_sender_with_many_connections_to_a_cut_off_holder(
        self, system: harness.System
    ) -> None:
        # Each attempt took another connection to the same holder, until none
        # was left and the caller was refused though other holders serve.
        first, _, _, *others = rank_entries(system, "t0")
        callers = [await start_caller(others[0], "t0") for _ in range(6)]
        for caller in callers:
            await caller.run("BEGIN")
            await caller.run("READ t0-item")
        for caller in callers:
            await caller.run("COMMIT")
        primary = system.platform.groups["g"].get_primary()
        sender = find_pool(others[0], primary.id)
        relayed = [c for c in sender._connections if c.relay_host]
        self.assertGreaterEqual(len(relayed), 5)
        cut_off(first, primary)
        await harness.wait_for(
            find_pool(first, primary.id).is_unreachable_for_others
        )
        answer = await callers[0].run("WRITE t0-item 1")
        self.assertTrue(answer[0].startswith("DONE "), answer)

    @with_teams()
    async def test_target_restarts_under_the_same_id(
        self, system: harness.System
    ) -> None:
        entries = rank_entries(system, "t0")
        await self.check_served(system, entries[-1], "t0")
        primary = system.platform.groups["g"].get_primary()
        await primary.stop()
        await primary.start()
        for entry in (entries[0], entries[-1]):
            await self.check_served(system, entry, "t0")

    @with_teams()
    async def test_full_target_makes_holders_wait_and_shrink(
        self, system: harness.System
    ) -> None:
        # Connections that no host knows of fill the target.
        primary = system.platform.groups["g"].get_primary()
        first = rank_entries(system, "t0")[0]
        limit = len(primary.connections)
        primary.group.max_connections = limit
        caller = await start_caller(first, "t0")
        await caller.send("WRITE t0-item 1")
        await harness.wait_for(lambda: primary.refused_connections > 0)
        pool = find_pool(first, primary.id)
        share = pool._get_share(clock.get_time_s())
        self.assertLessEqual(share, len(pool._list_direct()))
        primary.group.max_connections = MAX_CONNECTIONS
        await caller.receive()
        await self.check_served(system, first, "t0")
        self.assertLess(primary.refused_connections, 10)

    @with_teams()
    async def test_differing_views_of_the_holders(
        self, system: harness.System
    ) -> None:
        # A sender takes a host for a holder that doesn't think so.
        *_, wrong, sender = rank_entries(system, "t0")
        primary = system.platform.groups["g"].get_primary().id
        pool = find_pool(sender, primary)
        (relay_host,) = sender.host.paths.find_relay_hosts([wrong.host.name])
        paths = pool.holders.paths
        names = (wrong.host.name, *paths.holders.hosts[1:])
        holders = paths.holders._replace(hosts=names)
        addresses = {**paths.relay_hosts, relay_host.host: relay_host}
        pool.set_paths(paths._replace(holders=holders, relay_hosts=addresses))
        team = next(
            spare
            for spare in SPARE_TEAMS
            if pool.holders.choose_holder(spare) == names[0]
        )
        await self.check_served(system, sender, team)
        self.assertEqual({}, find_pool(wrong, primary).count_by_team())

    @with_teams(max_connections=8)
    async def test_host_that_is_no_holder_any_more_opens_nothing(
        self, system: harness.System
    ) -> None:
        # It opened a connection for each statement that still waited, beside
        # those of the holder that has taken its place.
        first, *_, sender = rank_entries(system, "t0")
        primary = system.platform.groups["g"].get_primary()
        pool = find_pool(first, primary.id)
        teams = [t for t in SPARE_TEAMS if pool.holders.is_own(t)][:3]
        holder, *waiting = [await start_caller(sender, t) for t in teams]
        await holder.run("BEGIN")
        await holder.run(f"READ {teams[0]}-item")
        for team, caller in zip(teams[1:], waiting, strict=True):
            await caller.send(f"WRITE {team}-item 1")
        queues = pool._wait_queues
        await harness.wait_for(lambda: len(queues.count_waiting_by_team()) > 1)
        with mock.patch.object(pool, "_start_opening") as start_opening:
            for entry in system.entry_hosts:
                paths = find_pool(entry, primary.id).holders.paths
                names = [h for h in paths.holders.hosts if h != first.host.name]
                holders = paths.holders._replace(hosts=tuple(names))
                find_pool(entry, primary.id).set_paths(
                    paths._replace(holders=holders)
                )
            for caller in waiting:
                answer = await caller.receive()
                self.assertTrue(answer[0].startswith("DONE "), answer)
            await holder.run("COMMIT")
        directs = [
            call.args[0]
            for call in start_opening.call_args_list
            if call.args[0].relay_host is None
        ]
        self.assertEqual([], directs)

    @with_teams()
    async def test_draining_holder_finishes_transactions(
        self, system: harness.System
    ) -> None:
        first, _, _, *others = rank_entries(system, "t0")
        caller = await start_caller(others[0], "t0")
        await caller.run("BEGIN")
        await caller.run("WRITE t0-item 7")
        first.host.phase = shutdown.Phase.ANNOUNCING
        for session in tuple(first.host.relay_sessions):
            if session.is_idle():
                session.close()
        await self.check_served(system, others[0], "t0")
        answer = await caller.run("WRITE t0-item 8")
        self.assertTrue(answer[0].startswith("DONE "), answer)
        answer = await caller.run("COMMIT")
        self.assertTrue(answer[0].startswith("DONE "), answer)
