"""Tests of which hosts a host exchanges messages with."""

import collections

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.groups import distribution

# Fleets by number of hosts and of data centres.
FLEETS = ((30, 3), (195, 5), (800, 11))


def make_fleet(hosts: int, data_centres: int) -> dict[str, str]:
    """Return the data centres of hosts by name."""
    return {f"host-{n}": f"dc{n % data_centres}" for n in range(hosts)}


class ContactsTest(testtools.TestCase):
    """Contacts when all hosts agree on which ones are live."""

    def test_hosts_of_a_small_fleet_all_send_to_each_other(self) -> None:
        fleet = make_fleet(distribution.MAX_DIRECT_HOSTS, 3)
        contacts = distribution.plan_contacts("host-0", fleet, fleet)
        self.assertTrue(contacts.is_direct)

    def test_contacts_do_not_grow_with_the_fleet(self) -> None:
        per_data_centre = distribution.DISTRIBUTORS_PER_DATA_CENTRE
        for hosts, data_centres in FLEETS:
            fleet = make_fleet(hosts, data_centres)
            plans = [
                distribution.plan_contacts(host, fleet, fleet) for host in fleet
            ]
            for plan in plans:
                self.assertLessEqual(len(plan.local), per_data_centre)
                self.assertEqual(
                    len(plan.remote), per_data_centre * (data_centres - 1)
                )
            distributors = sum(plan.rank is not None for plan in plans)
            self.assertEqual(distributors, per_data_centre * data_centres)

    def test_every_host_receives_from_each_distributor_of_its_own(self) -> None:
        fleet = make_fleet(195, 5)
        received: collections.Counter[str] = collections.Counter()
        for host in fleet:
            plan = distribution.plan_contacts(host, fleet, fleet)
            for receiver in plan.receivers:
                self.assertEqual(fleet[receiver], fleet[host])
                received[receiver] += 1
        self.assertEqual(received.keys(), fleet.keys())

    def test_next_host_in_rank_takes_the_place_of_one_that_is_gone(
        self,
    ) -> None:
        fleet = make_fleet(195, 5)
        ranked = distribution.rank_distributors(
            "dc0", [host for host in fleet if fleet[host] == "dc0"]
        )
        live = {host: dc for host, dc in fleet.items() if host != ranked[0]}
        for rank, host in enumerate(ranked[1:3]):
            plan = distribution.plan_contacts(host, live, fleet)
            self.assertEqual(plan.rank, rank)

    def test_data_centre_without_a_live_host_is_tried(self) -> None:
        fleet = make_fleet(195, 5)
        live = {host: dc for host, dc in fleet.items() if dc != "dc4"}
        plan = distribution.plan_contacts("host-0", live, fleet)
        tried = [host for host in plan.remote if fleet[host] == "dc4"]
        self.assertEqual(len(tried), distribution.DISTRIBUTORS_PER_DATA_CENTRE)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.sets(strategies.integers(0, 59)))
    def test_any_view_leads_to_a_host_that_knows_more(
        self, unseen: set[int]
    ) -> None:
        """A host that sees only some hosts sends to a true distributor."""
        fleet = make_fleet(60, 3)
        host = "host-0"
        live = {
            name: dc
            for name, dc in fleet.items()
            if name == host or int(name[5:]) not in unseen
        }
        plan = distribution.plan_contacts(host, live, fleet)
        own = [name for name in fleet if fleet[name] == fleet[host]]
        first = distribution.rank_distributors(fleet[host], own)[0]
        self.assertIn(first, (host, *plan.local))
