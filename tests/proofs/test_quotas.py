"""Tests with one mutant for each rule that keeps the limits of teams.

The same run exceeds the bound without the rule and keeps it with the rule.
"""

from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core.quotas import allocator
from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import slices
from tests.proofs import mutant
from tests.quotas import model

RULES = "knapweedtally.core.quotas.rules."
SLICES = "knapweedtally.core.quotas.slices."

TEAM = "t"
STEADY = slices.Limit(1, 195.0, 100.0)
SMALL = slices.Limit(1, 2.0, 2.0)
BURSTY = slices.Limit(1, 200.0, 2000.0)


def make_fleet(limit: slices.Limit, hosts: int = 27) -> model.Model:
    """Return a fleet with one team."""
    return model.Model(hosts, {TEAM: limit}, 1)


def find_allocators(fleet: model.Model) -> list[str]:
    """Return the hosts that grant the team's tokens."""
    places = slices.list_data_centres(fleet.known)
    found = [slices.find_allocator(TEAM, p, fleet.known) for p in places]
    return [name for name in found if name]


def demand(fleet: model.Model, rate_per_s: float, duration_s: float) -> None:
    """Let callers on all hosts exceed the limit for a while."""
    fleet.offer(TEAM, rate_per_s, duration_s, list(fleet.known))
    fleet.run(duration_s)


def freeze_allocators() -> model.Model:
    """Drain the successors of frozen allocators, which then wake up."""
    fleet = make_fleet(BURSTY)
    fleet.run(15.0)
    for name in find_allocators(fleet):
        fleet.freeze(name, 15.0)
    fleet.run(14.0)
    demand(fleet, 1500.0, 4.0)
    return fleet


def kill_allocators() -> model.Model:
    """Kill the allocators after they have granted their burst."""
    fleet = make_fleet(BURSTY)
    fleet.run(15.0)
    demand(fleet, 2000.0, 1.5)
    for name in find_allocators(fleet):
        fleet.kill(name)
    demand(fleet, 2000.0, 6.0)
    return fleet


def stay_idle() -> model.Model:
    """Let a team send nothing for a while, and then much."""
    fleet = make_fleet(STEADY)
    fleet.run(30.0)
    demand(fleet, 800.0, 4.0)
    return fleet


def hold_operations() -> model.Model:
    """Let operations with tokens wait for a failover and go out at once."""
    fleet = make_fleet(STEADY)
    fleet.held_until_s = fleet.now_s + 4.0
    demand(fleet, 800.0, 8.0)
    return fleet


def delay_answers() -> model.Model:
    """Let the answers of some seconds arrive at once."""
    fleet = make_fleet(STEADY, 80)
    fleet.run(4.0)
    fleet.delayed_until_s = fleet.now_s + 5.0
    demand(fleet, 4000.0, 9.0)
    return fleet


def divide_data_centres() -> model.Model:
    """Cut all hosts from each other."""
    fleet = make_fleet(STEADY)
    fleet.parted = {name: n for n, name in enumerate(fleet.known)}
    demand(fleet, 1500.0, 16.0)
    return fleet


def restart_without_store() -> model.Model:
    """Restart hosts that neither the store nor other hosts answer."""
    fleet = make_fleet(STEADY)
    fleet.has_store = False
    fleet.parted = {name: n for n, name in enumerate(fleet.known)}
    for name in tuple(fleet.known):
        fleet.kill(name)
        fleet.start(name)
    demand(fleet, 1500.0, 8.0)
    return fleet


def send_above_limit() -> model.Model:
    """Let callers on all hosts exceed the limit."""
    fleet = make_fleet(STEADY)
    demand(fleet, 1500.0, 8.0)
    return fleet


def restart_with_store() -> model.Model:
    """Restart all hosts while they don't reach each other."""
    fleet = make_fleet(STEADY)
    fleet.parted = {name: n for n, name in enumerate(fleet.known)}
    for name in tuple(fleet.known):
        fleet.kill(name)
        fleet.start(name)
    demand(fleet, 1500.0, 8.0)
    return fleet


def restart_divided() -> model.Model:
    """Restart all hosts but those that took over, cut off from these."""
    fleet = make_fleet(STEADY)
    gone = find_allocators(fleet)
    for name in gone:
        fleet.kill(name)
    demand(fleet, 1500.0, 9.0)
    live = {n: p for n, p in fleet.known.items() if n not in gone}
    places = slices.list_data_centres(fleet.known)
    granting = [slices.find_allocator(TEAM, place, live) for place in places]
    part = [name for name in fleet.known if name not in granting]
    fleet.parted = dict.fromkeys(part, 1)
    for name in part:
        fleet.kill(name)
        fleet.start(name)
    demand(fleet, 1500.0, 6.0)
    return fleet


class QuotaRuleTest(testtools.TestCase):
    def check(
        self,
        run: Callable[[], model.Model],
        rule: str,
        replacement: Callable[..., Any],
    ) -> None:
        fleet = run()
        excess = model.find_excess(fleet.ran[TEAM], fleet.limits[TEAM])
        self.assertLessEqual(excess, 0)
        self.assertTrue(fleet.ran[TEAM] or fleet.refused[TEAM])
        with mock.patch(rule, replacement):
            fleet = run()
        excess = model.find_excess(fleet.ran[TEAM], fleet.limits[TEAM])
        self.assertGreater(excess, 0, f"no excess without {rule}")

    def test_allocator_that_wakes_up_with_its_tokens(self) -> None:
        self.check(
            freeze_allocators,
            RULES + "was_suspended",
            lambda last_s, now_s: False,
        )

    def test_allocator_that_takes_over_with_a_burst(self) -> None:
        self.check(
            kill_allocators,
            RULES + "get_initial_level",
            lambda capacity: capacity,
        )

    def test_bucket_without_capacity(self) -> None:
        self.check(
            stay_idle, RULES + "limit_level", lambda level, capacity: level
        )

    def test_token_used_after_its_expiry(self) -> None:
        self.check(hold_operations, RULES + "is_valid", mutant.return_true)

    def test_expiry_counted_from_the_answer(self) -> None:
        self.check(
            delay_answers,
            RULES + "compute_expiry_s",
            lambda asked_s, received_s: received_s + 0.25,
        )

    def test_whole_slice_for_each_part_of_a_data_centre(self) -> None:
        self.check(
            divide_data_centres,
            RULES + "compute_share",
            lambda live, recent: 1.0,
        )

    def test_grants_before_the_hosts_are_known(self) -> None:
        self.check(
            restart_without_store, RULES + "is_settled", mutant.return_true
        )

    def test_grants_before_all_hosts_have_answered(self) -> None:
        # The hosts that were cut off grant the whole slice for some seconds.
        self.check(
            restart_divided,
            RULES + "is_settled",
            lambda since_s, now_s, is_listed, has_met: is_listed,
        )

    def test_tokens_for_each_start(self) -> None:
        # A team of a small rate, whose allocators restart again and again.
        def run() -> float:
            fleet = model.Model(9, {TEAM: SMALL}, 1)
            for _ in range(8):
                for name in fleet.known:
                    fleet.kill(name)
                    fleet.start(name)
                demand(fleet, 100.0, 1.2)
            return model.find_excess(fleet.ran[TEAM], SMALL)

        self.assertLessEqual(run(), 0)
        with mock.patch(SLICES + "compute_start_level", lambda *_: 4.0):
            self.assertGreater(run(), 0)

    def test_whole_limit_for_each_data_centre(self) -> None:
        self.check(
            send_above_limit,
            SLICES + "split_limit",
            lambda limit, count, share: slices.Slice(*limit[1:]),
        )

    def test_allowance_for_each_host(self) -> None:
        # Without the split, each host that no allocator answers has the whole
        # tolerance for itself.
        self.check(
            restart_with_store,
            SLICES + "compute_allowance",
            lambda *arguments: slices.Allowance(20.0, 20.0),
        )

    def test_lowered_limit_that_is_ignored(self) -> None:
        def run() -> float:
            fleet = make_fleet(STEADY)
            fleet.run(3.0)
            lowered = slices.Limit(2, 20.0, 10.0)
            fleet.set_limit(TEAM, lowered)
            demand(fleet, 800.0, 12.0)
            since_s = 1000 + 3 + 2.25
            return model.find_excess(fleet.ran[TEAM], lowered, since_s)

        self.assertLessEqual(run(), 0)
        with mock.patch(RULES + "is_newer", lambda version, known: False):
            self.assertGreater(run(), 0)

    def test_repeated_question_that_is_charged_twice(self) -> None:
        # Tokens of an answer that was lost would be lost with it.
        def run() -> list[int]:
            source = allocator.Allocator(
                "h0", "dc0", slices.Tolerance(5.0, 0.0, 0.0), 0.0
            )
            source.update_limits({TEAM: slices.Limit(1, 30.0, 30.0)}, 0.0)
            places = {"h0": "dc0"}
            fleet = slices.Fleet(places, places, frozenset(), True)
            for second in range(8):
                source.update_fleet(fleet, second * 0.5)
            ask = messages.Ask(1, TEAM, slices.Limit(1, 30.0, 30.0), 10, 0)
            asks = (ask, ask, ask._replace(id=2))
            return [source.answer("h1", ask, 3.6).tokens for ask in asks]

        self.assertEqual([10, 10, 8], run())
        with mock.patch(RULES + "is_repeated", lambda ask, last: False):
            self.assertEqual([10, 8, 0], run())
