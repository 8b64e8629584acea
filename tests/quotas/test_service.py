"""Tests of what callers within and above a limit receive."""

from unittest import mock

import testtools

from knapweedtally.core.quotas import borrower
from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import slices
from tests.quotas import model

TEAM = "t"
LIMIT = slices.Limit(1, 60.0, 60.0)


def make_fleet() -> model.Model:
    return model.Model(27, {TEAM: LIMIT}, 3)


class ServiceTest(testtools.TestCase):
    def test_team_within_its_limit_is_served(self) -> None:
        # A split that ignores where callers are refuses some of them.
        for names in (None, ["h0", "h3", "h6"], ["h1"]):
            fleet = make_fleet()
            fleet.run(3.0)
            chosen = names or list(fleet.known)
            fleet.offer(TEAM, 0.7 * LIMIT.rate_per_s, 10.0, chosen)
            fleet.run(11.0)
            self.assertGreater(len(fleet.ran[TEAM]), 350)
            self.assertLess(len(fleet.refused[TEAM]), 5)

    def test_team_above_its_limit_gets_the_limit(self) -> None:
        # Tokens that hosts hold back unused would be lost.
        fleet = make_fleet()
        fleet.offer(TEAM, 7.5 * LIMIT.rate_per_s, 10.0, list(fleet.known))
        fleet.run(10.0)
        self.assertGreater(len(fleet.ran[TEAM]), 0.95 * 600)
        self.assertLess(fleet.sent, 10 * 800)

    def test_data_centre_that_is_cut_off_keeps_its_slice(self) -> None:
        fleet = make_fleet()
        local = [n for n, place in fleet.places.items() if place == "dc1"]
        fleet.parted = dict.fromkeys(local, 1)
        fleet.run(12.0)
        fleet.offer(TEAM, LIMIT.rate_per_s, 10.0, local)
        fleet.run(10.0)
        self.assertGreater(len(fleet.ran[TEAM]), 190)
        # One burst of the slice beyond its rate.
        self.assertLess(len(fleet.ran[TEAM]), 225)

    def test_killed_allocators_are_replaced(self) -> None:
        fleet = make_fleet()
        fleet.run(3.0)
        for place in ("dc0", "dc1", "dc2"):
            name = slices.find_allocator(TEAM, place, fleet.known)
            fleet.kill(name or "")
        fleet.run(4.0)
        fleet.offer(TEAM, 0.5 * LIMIT.rate_per_s, 5.0, list(fleet.hosts))
        fleet.run(5.0)
        self.assertGreater(len(fleet.ran[TEAM]), 130)
        self.assertLess(len(fleet.refused[TEAM]), 3)

    # Guards against seconds without service after a restart of all hosts: an
    # allocator that started granted nothing for 3 s. 75 hosts, teams at 1 / 1.6
    # of their limits.
    def test_teams_are_served_at_once_after_all_hosts_restarted(self) -> None:
        for rate_per_s in (2.0, 20.0, 100.0):
            served, refused = self.count_after_restart(rate_per_s)
            self.assertGreater(served, 0.9 * (served + refused))

    def test_teams_were_refused_for_seconds_before(self) -> None:
        with mock.patch.object(model.Model, "_introduce"):
            served, refused = self.count_after_restart(100.0)
        self.assertEqual(0, served)
        self.assertGreater(refused, 100)

    # Guards against limits that grant nothing for seconds after each restart
    # once a host has been removed, as it never answers.
    def test_removed_host_delays_no_start(self) -> None:
        served, refused = self.count_after_restart(100.0, removed=("h0", "h4"))
        self.assertGreater(served, 0.85 * (served + refused))
        with mock.patch.object(model.Model, "_mark_silent_hosts"):
            found = self.count_after_restart(100.0, removed=("h0", "h4"))
        self.assertLess(found[0], 0.75 * served)

    def count_after_restart(
        self, rate_per_s: float, removed: tuple[str, ...] = ()
    ) -> tuple[int, int]:
        """Return what is served and refused in 3 s after a restart of all."""
        limit = slices.Limit(1, rate_per_s, rate_per_s)
        fleet = model.Model(75, {TEAM: limit}, 5)
        for name in removed:
            fleet.kill(name)
        fleet.run(8.0)
        names = list(fleet.hosts)
        fleet.offer(TEAM, rate_per_s / 1.6, 10.0, names)
        fleet.run(5.0)
        for name in names:
            fleet.kill(name)
        fleet.run(1.6)
        start_s = fleet.now_s
        for name in names:
            fleet.start(name)
        fleet.run(3.0)
        excess = model.find_excess(fleet.ran[TEAM], limit)
        self.assertLessEqual(excess, 0)
        served, refused = (
            sum(1 for at_s in times[TEAM] if at_s > start_s)
            for times in (fleet.ran, fleet.refused)
        )
        return served, refused

    # Guards against callers that are refused until the slowest host has
    # started. 75 hosts start within 0.45 s, with callers from the first one on.
    def test_operations_wait_until_the_allocators_have_started(self) -> None:
        refused = self.count_refused_during_start()
        self.assertLess(refused, 30)
        with mock.patch.object(
            borrower, "is_wait_worthwhile", return_value=False
        ):
            self.assertGreater(self.count_refused_during_start(), 3 * refused)

    def count_refused_during_start(self) -> int:
        limit = slices.Limit(1, 160.0, 160.0)
        fleet = model.Model(75, {TEAM: limit}, 5)
        names = list(fleet.known)
        for name in names:
            fleet.kill(name)
        fleet.run(1.6)
        for number, name in enumerate(names):
            fleet.at(0.006 * number, fleet.start, name)
        fleet.offer(TEAM, 100.0, 1.5, names)
        fleet.run(2.5)
        excess = model.find_excess(fleet.ran[TEAM], limit)
        self.assertLessEqual(excess, 0)
        return len(fleet.refused[TEAM])

    def test_host_that_starts_asks_hosts_that_it_has_not_heard(self) -> None:
        # It refused all operations until heartbeats of others had arrived.
        fleet = make_fleet()
        fleet.run(10.0)
        fleet.kill("h4")
        fleet.run(1.5)
        with mock.patch.object(fleet, "_check"):
            fleet.start("h4")
            fleet.admit(fleet.hosts["h4"], TEAM)
            fleet.run(0.1)
        self.assertEqual(1, len(fleet.ran[TEAM]))

    def test_third_allocator_is_asked_after_two_silent_ones(self) -> None:
        # A small team's first operation on a host was refused after these.
        fleet = make_fleet()
        fleet.run(10.0)
        host = fleet.hosts["h4"]
        for place in ("dc0", "dc1"):
            fleet.kill(slices.find_allocator(TEAM, place, fleet.known) or "")
        fleet.admit(host, TEAM)
        fleet.run(0.3)
        self.assertEqual(1, len(fleet.ran[TEAM]))
        self.assertEqual([], fleet.refused[TEAM])

    def test_host_silent_to_one_team_is_asked_last_for_another(self) -> None:
        # Each team of a host waited 60 ms for the same killed allocator.
        teams = {f"t{number}": LIMIT for number in range(40)}
        fleet = model.Model(27, teams, 3)
        fleet.run(10.0)
        gone = slices.find_allocator("t0", "dc1", fleet.known) or ""
        same = [
            team
            for team in teams
            if slices.find_allocator(team, "dc1", fleet.known) == gone
        ]
        fleet.kill(gone)
        name = next(n for n in fleet.hosts if fleet.places[n] == "dc1")
        host = fleet.hosts[name]
        fleet.admit(host, "t0")
        fleet.run(0.2)
        self.assertGreater(len(same), 1)
        for team in same[1:]:
            fleet.admit(host, team)
        fleet.run(0.03)
        states = [host.borrower.get_state(team) for team in same[1:]]
        self.assertEqual(0, sum(len(state.waiters) for state in states))
        self.assertEqual([], [t for t in same[1:] if fleet.refused[t]])

    def test_idle_team_costs_no_message(self) -> None:
        fleet = make_fleet()
        fleet.run(20.0)
        self.assertEqual(0, fleet.sent)

    def test_token_at_hand_needs_no_message(self) -> None:
        # Tokens asked for in advance, and returned ones, are used first.
        fleet = make_fleet()
        fleet.run(3.0)
        host = fleet.hosts["h0"]
        fleet.admit(host, TEAM)
        fleet.run(0.1)
        sent = fleet.sent
        host.borrower.give_back(TEAM, fleet.now_s + 0.2, fleet.now_s)
        fleet.admit(host, TEAM)
        self.assertEqual(sent, fleet.sent)
        self.assertEqual([], fleet.refused[TEAM])

    def test_answer_of_another_host_changes_nothing(self) -> None:
        # A late or forged answer must not add tokens.
        fleet = make_fleet()
        host = fleet.hosts["h0"]
        effects = host.borrower.admit(TEAM, 1, 2.0, fleet.now_s)
        ask = effects[0].ask
        lend = messages.Lend(
            ask.id, TEAM, messages.Reply.GRANTED, 1, 1.0, 0.0, LIMIT
        )
        other = "h1" if effects[0].host != "h1" else "h2"
        for sender, answer in (
            (other, lend),
            (effects[0].host, lend._replace(id=ask.id + 1)),
            (effects[0].host, lend._replace(tokens=99)),
            (effects[0].host, lend._replace(team="other")),
        ):
            found = host.borrower.handle_lend(sender, answer, fleet.now_s)
            self.assertEqual([], found)
        host.borrower.handle_lend(effects[0].host, lend, fleet.now_s)
        self.assertEqual(
            [], host.borrower.handle_lend(effects[0].host, lend, fleet.now_s)
        )

    def test_hints_of_one_host_are_spread(self) -> None:
        # Callers that return together are refused together.
        fleet = make_fleet()
        host = fleet.hosts["h0"]
        host.borrower.update_fleet(
            slices.Fleet({}, {}, frozenset(), True), fleet.now_s
        )
        hints = [
            host.borrower.admit(TEAM, n, 2.0, fleet.now_s)[0].retry_s
            for n in range(10)
        ]
        self.assertEqual(sorted(set(hints)), hints)
