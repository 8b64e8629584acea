"""Tests of a fleet in which distributors pass messages on."""

import types
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core.groups import distribution
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.core.groups import status_polling
from knapweedtally.entry.fleet import heard_hosts
from knapweedtally.entry.members import evidence_sharing
from knapweedtally.entry.members import observer
from tests.entry import simulated_peers

HOSTS = 60
DATA_CENTRES = 5

# Time after which hosts that start have heard all others, in seconds.
START_S = 5.0


class LivenessTest(testtools.TestCase):
    """Which hosts take which others for live."""

    def start(
        self, hosts: int = HOSTS, share_listed: float = 1.0
    ) -> simulated_peers.Fleet:
        fleet = simulated_peers.Fleet()
        self.enterContext(fleet.patch_clock())
        fleet.start_hosts(hosts, DATA_CENTRES, share_listed)
        fleet.run(START_S)
        return fleet

    def assert_all_see(self, fleet: simulated_peers.Fleet) -> None:
        expected = len(fleet.hosts)
        self.assertEqual(fleet.count_live(), [expected] * expected)

    def test_hosts_that_start_hear_all_others(self) -> None:
        self.assert_all_see(self.start(195))

    def test_hosts_that_list_few_others_hear_all(self) -> None:
        fleet = self.start(share_listed=0.3)
        fleet.run(10.0)
        self.assert_all_see(fleet)

    def test_messages_grow_with_the_hosts_and_not_with_their_square(
        self,
    ) -> None:
        for hosts in (60, 195):
            fleet = self.start(hosts)
            fleet.sent.clear()
            fleet.run(30.0)
            # A heartbeat to each of two distributors, three messages from each
            # of them, and what distributors of data centres send to each other.
            per_data_centre = 2 * 2 * (DATA_CENTRES - 1)
            bound = 30 * (8 * hosts + 2 * per_data_centre * DATA_CENTRES)
            self.assertLessEqual(fleet.sent.total(), bound)

    def test_killed_distributors_are_replaced(self) -> None:
        fleet = self.start()
        killed = [
            name
            for name, exchange in fleet.hosts.items()
            if exchange.contacts.rank is not None
        ]
        for name in killed:
            fleet.remove_host(name)
        fleet.run(15.0)
        self.assert_all_see(fleet)

    def test_data_centre_that_is_cut_off_is_heard_again(self) -> None:
        fleet = self.start()
        fleet.cut = {"dc1"}
        fleet.run(20.0)
        local = HOSTS // DATA_CENTRES
        self.assertEqual(
            fleet.count_live(),
            [local] * local + [HOSTS - local] * (HOSTS - local),
        )
        fleet.cut = set()
        fleet.run(10.0)
        self.assert_all_see(fleet)

    def test_fleet_that_grows_past_the_direct_size_is_heard_throughout(
        self,
    ) -> None:
        fleet = self.start(distribution.MAX_DIRECT_HOSTS)
        names = list(fleet.hosts)
        for number in range(4):
            names.append(fleet.add_host(f"dc{number % 3}", names[:9]))
            for _ in range(12):
                fleet.run(0.5)
                settled = fleet.count_live()[: len(fleet.hosts) - 1]
                self.assertGreaterEqual(settled[0], len(fleet.hosts) - 1)
        fleet.run(10.0)
        self.assert_all_see(fleet)

    def test_fleet_that_shrinks_is_heard_throughout(self) -> None:
        fleet = self.start(distribution.MAX_DIRECT_HOSTS + 3)
        for name in list(fleet.hosts)[:5]:
            fleet.remove_host(name)
        fleet.run(heard_hosts.FLEET_MEMORY_S + 10.0)
        self.assert_all_see(fleet)
        self.assertTrue(all(e.contacts.is_direct for e in fleet.hosts.values()))

    def test_hosts_of_a_large_data_centre_are_heard_throughout(self) -> None:
        fleet = simulated_peers.Fleet()
        self.enterContext(fleet.patch_clock())
        fleet.start_hosts(120, 1)
        fleet.run(START_S)
        for _ in range(10):
            fleet.run(1.0)
            self.assert_all_see(fleet)

    def test_host_that_starts_with_its_machine_is_described(self) -> None:
        fleet = self.start()
        name = fleet.add_host("dc0", list(fleet.hosts)[:1])
        # The clock starts with the machine.
        fleet.offsets_s[name] = -fleet.now_s
        fleet.hosts[name]._heard._started_s = 0.0
        fleet.run(10.0)
        self.assert_all_see(fleet)

    def test_lost_datagrams_make_no_host_look_gone(self) -> None:
        fleet = self.start()
        fleet.loss = 0.05
        fleet.run(3.0)
        for _ in range(40):
            fleet.run(0.5)
            self.assert_all_see(fleet)

    def test_host_that_is_gone_is_live_for_a_limited_time(self) -> None:
        fleet = self.start()
        gone = next(iter(fleet.hosts))
        fleet.remove_host(gone)
        limit_s = heard_hosts.MAX_HEARD_AGE_S + 2.0
        fleet.run(limit_s)
        self.assert_all_see(fleet)


class EvidenceTest(testtools.TestCase):
    """Evidence that distributors pass on, between hosts with other clocks."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = simulated_peers.Fleet()
        self.enterContext(self.fleet.patch_clock())
        self.fleet.start_hosts(HOSTS, DATA_CENTRES)
        self.sharers: dict[str, evidence_sharing.EvidenceSharer] = {}
        self.observers: dict[str, observer.Observer] = {}
        self.last_poll_s: dict[str, float] = {}
        # Virtual time of the last answer that any host got.
        self.true_seen_s = 0.0
        self.unpolled = False
        for name in self.fleet.hosts:
            self.add_observer(name)
        self.fleet.on_evidence = self.receive
        self.fleet.on_tick = self.tick

    def add_observer(self, name: str) -> None:
        pools: Any = {"i-1": mock.Mock(), "i-2": mock.Mock()}
        with self.fleet.run_as(name):
            watcher = observer.Observer("g", pools, mock.Mock(), lambda: None)
            router: Any = types.SimpleNamespace(
                settings=model.GroupSettings("g", 50, 1), observer=watcher
            )
            self.sharers[name] = evidence_sharing.EvidenceSharer(
                name, self.fleet.hosts[name], {"g": router}
            )
        self.observers[name] = watcher

    def receive(
        self, name: str, shared: sharing.SharedEvidence, sent_s: float, by: str
    ) -> None:
        self.sharers[name].receive(shared, sent_s, by)

    def tick(self, name: str, now_s: float) -> None:
        """Poll the group as a poller does, and share the evidence."""
        watcher = self.observers[name]
        leadership = watcher.leadership
        age_s = now_s - leadership.primary_seen_s
        is_due = age_s > status_polling.POLLER_MAX_EVIDENCE_AGE_S
        if watcher.is_poller and is_due and not self.unpolled:
            evidence.record_primary(leadership, "i-1", 1, now_s)
            leadership.member_seen_s = now_s
            position = model.Position(1, 1)
            evidence.record_position(leadership, "i-1", position, now_s)
            self.true_seen_s = self.fleet.now_s
        self.sharers[name].share_new_evidence(now_s, lambda group: False)

    def get_ages(self) -> list[float]:
        """Return the ages of the hosts' evidence, sorted."""
        ages = []
        for name in self.fleet.hosts:
            with self.fleet.run_as(name) as now_s:
                leadership = self.observers[name].leadership
                ages.append(now_s - leadership.primary_seen_s)
        return sorted(ages)

    def run_and_check(self, duration_s: float) -> list[float]:
        """Run for a while and return the largest age seen at each step."""
        largest = []
        for _ in range(round(duration_s / 0.05)):
            self.fleet.run(0.05)
            ages = self.get_ages()
            # No host believes its evidence to be newer than it is.
            self.assertGreaterEqual(
                ages[0], self.fleet.now_s - self.true_seen_s - 1e-6
            )
            largest.append(ages[-1])
        return largest

    def test_evidence_reaches_each_host_before_it_polls_itself(self) -> None:
        self.fleet.run(START_S)
        largest = self.run_and_check(10.0)
        self.assertLess(
            max(largest), status_polling.NON_POLLER_MAX_EVIDENCE_AGE_S
        )

    def test_evidence_is_valid_while_distributors_are_killed(self) -> None:
        self.fleet.run(START_S)
        for data_centre in ("dc0", "dc1"):
            killed = next(
                name
                for name, exchange in self.fleet.hosts.items()
                if exchange.contacts.rank == 0
                and self.fleet.data_centres[name] == data_centre
            )
            self.fleet.remove_host(killed)
        largest = self.run_and_check(6.0)
        self.assertLess(max(largest), evidence.EVIDENCE_VALIDITY_S)

    def test_evidence_is_no_younger_across_lost_messages_and_cuts(self) -> None:
        self.fleet.run(START_S)
        self.fleet.loss = 0.2
        self.run_and_check(3.0)
        self.fleet.cut = {"dc2"}
        self.run_and_check(5.0)
        self.fleet.cut = set()
        self.run_and_check(5.0)

    def test_evidence_that_nobody_renews_expires_everywhere(self) -> None:
        self.fleet.run(START_S)
        self.unpolled = True
        self.run_and_check(evidence.EVIDENCE_VALIDITY_S + 0.05)
        self.assertGreater(self.get_ages()[0], evidence.EVIDENCE_VALIDITY_S)
