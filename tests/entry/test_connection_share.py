"""Tests of the share of a target's connections, and of remote holders."""

import asyncio
from typing import Any
from unittest import mock

import testtools

from knapweedtally.entry.common import clock
from knapweedtally.entry.pools import connection_share
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import pools
from standins.line_platform import platform
from tests.entry import harness
from tests.entry import test_team_pools

_make_entry = platform.Platform._make_target_entry


def make_remote_entry(*arguments: Any) -> dict[str, Any]:
    """Return a target's entry in a data centre without hosts."""
    return _make_entry(*arguments) | {"zone": "other"}


class ShareTest(testtools.TestCase):
    """How many connections a holder may hold."""

    def test_full_target_reduces_the_share_for_a_while(self) -> None:
        share = connection_share.ConnectionShare()
        self.assertEqual(7, share.get_share(29, True, 0, 0.0, 10.0))
        share.reduce(2, 10.0)
        self.assertEqual(2, share.get_share(29, True, 0, 0.0, 14.9))
        self.assertEqual(7, share.get_share(29, True, 0, 0.0, 15.1))

    def test_remote_holder_uses_only_room_that_was_lately_seen(self) -> None:
        # Otherwise the two sides of a partition would exceed the limit.
        share = connection_share.ConnectionShare()
        self.assertEqual(7, share.get_share(29, False, 22, 9.5, 10.0))
        self.assertEqual(1, share.get_share(29, False, 23, 9.5, 10.0))
        self.assertEqual(1, share.get_share(29, False, 0, 8.9, 10.0))

    def test_silent_connection_counts_until_the_target_drops_it(self) -> None:
        share = connection_share.ConnectionShare()
        share.add_lingering(10.0)
        self.assertEqual(1, share.count_lingering(12.9))
        self.assertEqual(0, share.count_lingering(13.1))


class SilentTargetTest(testtools.TestCase):
    """Connections that are closed while the target may not notice it."""

    @test_team_pools.with_teams()
    async def test_connection_given_up_by_the_sender_of_a_statement(
        self, system: harness.System
    ) -> None:
        # The sender stops waiting before the holder does. Uncounted, the
        # holder would open as many again while the target keeps the old ones.
        first, *_, sender = test_team_pools.rank_entries(system, "t0")
        primary = system.platform.groups["g"].get_primary()
        pool = test_team_pools.find_pool(first, primary.id)
        caller = await test_team_pools.start_caller(sender, "t0")
        await caller.run("BEGIN")
        await caller.run("READ t0-item")
        receive = connections.Connection.data_received

        def lose(connection: connections.Connection, data: bytes) -> None:
            if connection._owner is not pool:
                receive(connection, data)

        with mock.patch.object(connections.Connection, "data_received", lose):
            await caller.send("WRITE t0-item 1")
            await asyncio.sleep(2 * pools.CONTROL_TIMEOUT_S)
            (session,) = (
                session
                for session in first.host.relay_sessions
                if session._running_connection is not None
            )
            now_s = clock.get_time_s()
            count = pool._share.count_lingering(now_s)
            session.abort()
        self.assertEqual(count + 1, pool._share.count_lingering(now_s))


class RemoteHolderTest(testtools.TestCase):
    """Targets in a data centre without hosts."""

    @mock.patch.object(
        platform.Platform, "_make_target_entry", make_remote_entry
    )
    @test_team_pools.with_teams(hosts=3)
    async def test_teams_are_served_from_another_data_centre(
        self, system: harness.System
    ) -> None:
        answers = await asyncio.gather(
            *(
                test_team_pools.run_operations(entry, team)
                for entry in system.entry_hosts
                for team in test_team_pools.TEAMS
            )
        )
        refused = [a for run in answers for a in run if a[:5] == "ERROR"]
        self.assertEqual([], refused)
        self.assertEqual(0, test_team_pools.count_foreign(system))
        for target in test_team_pools.list_targets(system):
            self.assertEqual(0, target.refused_connections)

    @mock.patch.object(
        platform.Platform, "_make_target_entry", make_remote_entry
    )
    @test_team_pools.with_teams(hosts=3)
    async def test_one_connection_is_opened_for_each_report(
        self, system: harness.System
    ) -> None:
        # Several holders would open all their share in the same free places.
        entry = test_team_pools.rank_entries(system, "t0")[0]
        primary = system.platform.groups["g"].get_primary().id
        pool = test_team_pools.find_pool(entry, primary)
        with (
            mock.patch.object(pool, "_start_opening") as start_opening,
            mock.patch.object(pool, "_request_count"),
        ):
            pool._opened_s = clock.get_time_s() - 0.1
            pool.reported_connections = 3
            pool.reported_s = clock.get_time_s()
            known = pool._get_usage(pool.reported_s).count_all()
            self.assertEqual(4, pool._get_share(pool.reported_s))
            self.assertLess(known, 3)
            for team in test_team_pools.SPARE_TEAMS[:5]:
                pool._open_direct(team, 1)
            opened = pool._get_usage(pool.reported_s).count_all() - known
            self.assertEqual(1, opened)
            self.assertGreaterEqual(start_opening.call_count, 1)


class ChangeTest(testtools.TestCase):
    """A configuration that adds teams, and one that removes them."""

    @test_team_pools.with_teams(hosts=3, teams=())
    async def test_teams_are_added_and_removed(
        self, system: harness.System
    ) -> None:
        # A pool kept from before would hold connections without a team.
        for teams in (test_team_pools.TEAMS, ()):
            system.platform.teams = test_team_pools.make_teams(teams)
            system.platform.write_configuration()
            for entry in system.entry_hosts:
                router = entry.host.routers["g"]
                await harness.wait_for(
                    lambda router=router, teams=teams: (
                        router.has_teams is bool(teams)
                    )
                )
                await harness.wait_for(
                    lambda router=router: all(
                        pool.is_answering for pool in router.pools.values()
                    )
                )
                team = "t0" if teams else ""
                caller = await test_team_pools.start_caller(entry, team)
                answer = await caller.run("WRITE t0-item 1")
                self.assertTrue(answer[0].startswith("DONE "), answer)
                caller.close()
        users = [
            user
            for target in test_team_pools.list_targets(system)
            for user, _ in target.user_statements
        ]
        self.assertEqual(["t0"] * 3 + ["knapweedtally"] * 3, users)

    @test_team_pools.with_teams()
    async def test_no_statement_waits_at_a_replaced_pool(
        self, system: harness.System
    ) -> None:
        # Nothing serves it there; a write ended as timed out.
        first, *_, sender = test_team_pools.rank_entries(system, "t0")
        caller = await test_team_pools.start_caller(sender, "t0")
        await caller.run("WRITE t0-item 1")
        host = first.host
        configuration = host.catalog.configuration
        for teams in ({}, configuration.teams):
            host.catalog.configuration = configuration._replace(teams=teams)
            host._sync_routers()
        await asyncio.sleep(2 * pools.CONTROL_TIMEOUT_S)
        answer = await caller.run("WRITE t0-item 2")
        self.assertTrue(answer[0].startswith("DONE "), answer)
