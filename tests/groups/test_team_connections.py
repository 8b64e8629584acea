"""Tests of the decisions about connections of teams."""

import itertools

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.groups import team_connections

ConnectionState = team_connections.ConnectionState
# Smaller limits have no room for holders in two other data centres.
LIMITS = range(5, 60)


def make_usage(
    *states: ConnectionState, opening: dict[str, int] | None = None
) -> team_connections.Usage:
    return team_connections.Usage(states, opening or {}, 0)


def make_state(
    team: str, since_s: float, is_idle: bool = True, is_held: bool = False
) -> ConnectionState:
    return ConnectionState(team, is_idle, is_held, since_s)


class HolderTest(testtools.TestCase):
    """Which hosts are holders, and how many connections each may hold."""

    HOSTS = {f"h{n}": f"dc{n % 3}" for n in range(75)}

    def test_teams_are_spread_over_local_holders(self) -> None:
        # A hash by which holders are ordered alike for most teams would load
        # one holder.
        holders = team_connections.list_holders("t", "dc1", self.HOSTS, 29)
        self.assertTrue(holders.is_local)
        self.assertEqual({"dc1"}, {self.HOSTS[h] for h in holders.hosts})
        first = [
            team_connections.rank_holders(f"team{n}", holders.hosts)[0]
            for n in range(300)
        ]
        for host in holders.hosts:
            self.assertGreater(first.count(host), 70)

    def test_other_data_centres_hold_where_no_local_host_is_seen(self) -> None:
        holders = team_connections.list_holders("t", "dc9", self.HOSTS, 29)
        self.assertFalse(holders.is_local)
        self.assertEqual(3, len(holders.hosts))

    def test_shares_keep_the_limit_in_differing_views(self) -> None:
        # One holder too many, or a former life of one; and two other data
        # centres that see no host of the target's.
        for limit in LIMITS:
            count, remote_count = (
                len(
                    team_connections.list_holders(
                        "t", where, self.HOSTS, limit
                    ).hosts
                )
                for where in ("dc1", "dc9")
            )
            local = team_connections.get_share(limit, True)
            remote = team_connections.get_share(limit, False)
            self.assertLessEqual((count + 1) * local, limit)
            total = count * local + 2 * remote_count * remote
            self.assertLessEqual(total, limit)


class OpeningTest(testtools.TestCase):
    """When a connection is opened, and which one is closed for it."""

    def plan(
        self, usage: team_connections.Usage, waiting: int = 1, share: int = 4
    ) -> team_connections.Opening | None:
        return team_connections.plan_opening("a", waiting, usage, share, 2)

    def test_least_recently_used_idle_connection_yields(self) -> None:
        usage = make_usage(
            make_state("", 0.0),
            make_state("b", 5.0),
            make_state("c", 3.0),
            make_state("d", 1.0, is_idle=False),
        )
        self.assertEqual(team_connections.Opening(2), self.plan(usage))

    def test_often_used_team_keeps_its_connection(self) -> None:
        usage = make_usage(
            make_state("", 0.0),
            make_state("b", 5.0),
            make_state("c", 3.0)._replace(use_rate=9.0),
            make_state("d", 1.0, is_idle=False),
        )
        self.assertEqual(team_connections.Opening(1), self.plan(usage))

    def test_nothing_is_opened_while_all_are_busy_or_held(self) -> None:
        usage = make_usage(
            make_state("", 0.0),
            *(make_state(t, 1.0, False, t == "c") for t in ("b", "c", "d")),
        )
        self.assertIsNone(self.plan(usage))

    def test_one_is_opened_for_each_waiting_statement_up_to_the_slots(
        self,
    ) -> None:
        usage = make_usage(make_state("", 0.0), opening={"a": 1})
        self.assertIsNotNone(self.plan(usage, waiting=2))
        self.assertIsNone(self.plan(usage, waiting=1))
        usage = make_usage(make_state("", 0.0), opening={"a": 2})
        self.assertIsNone(self.plan(usage, waiting=9))

    def test_control_keeps_a_place(self) -> None:
        # Transactions may hold all connections of teams for long.
        held = [make_state(t, 0.0, False, True) for t in ("b", "c", "d")]
        usage = make_usage(*held)
        self.assertIsNone(self.plan(usage))
        plan = team_connections.plan_opening("", 1, usage, 4, 2)
        self.assertEqual(team_connections.Opening(None), plan)

    def test_team_is_served_with_a_share_of_one(self) -> None:
        usage = make_usage(make_state("", 0.0))
        plan = self.plan(usage, share=1)
        self.assertEqual(team_connections.Opening(0), plan)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["", "a", "b", "c"]),
                strategies.sampled_from(["open", "end", "begin", "close"]),
            ),
            max_size=60,
        ),
        strategies.integers(1, 8),
    )
    def test_share_is_never_exceeded(
        self, steps: list[tuple[str, str]], share: int
    ) -> None:
        states: list[ConnectionState] = []
        for (team, step), at_s in zip(steps, itertools.count(), strict=False):
            usage = make_usage(*states)
            if step == "open":
                plan = team_connections.plan_opening(team, 3, usage, share, 2)
                if plan is None:
                    continue
                if plan.evicted is not None:
                    self.assertTrue(states[plan.evicted].is_idle)
                    del states[plan.evicted]
                states.append(make_state(team, at_s, False))
            elif states and step == "close":
                del states[at_s % len(states)]
            elif states:
                index = at_s % len(states)
                is_begin = step == "begin"
                states[index] = make_state(
                    states[index].team, at_s, not is_begin, is_begin
                )
            self.assertLessEqual(len(states), share)
