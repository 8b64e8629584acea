"""Tests of failure detection on a deterministic network of reducers."""

import testtools

from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import liveness
from knapweedtally.core.membership import state as membership_state
from tests.membership import network

SMALL = [3, 3, 3]
LARGE = [20, 20, 20]

# Timeouts of silence, probe and suspicion, and a margin for ticks and gossip.
DEATH_LIMIT_S = (
    liveness.SILENCE_TIMEOUT_S
    + liveness.PROBE_TIMEOUT_S
    + liveness.SUSPICION_TIMEOUT_S
    + 1.0
)
Status = membership_state.Status


def is_converged(net: network.Network) -> bool:
    """Return whether every running node has just the running ones as live."""
    names = {name for name, node in net.nodes.items() if node.is_alive}
    return all(
        hosts.get_live_hosts(node.state).keys() == names
        for node in net.list_live()
    )


def list_statuses(net: network.Network, name: str) -> set[Status]:
    """Return the statuses that the running nodes have of a host."""
    return {
        node.state.membership.hosts[name].status for node in net.list_live()
    }


class LivenessTest(testtools.TestCase):
    def build(self, sizes: list[int], seed: int = 1) -> network.Network:
        net = network.Network(seed, sizes)
        self.assertTrue(net.run_until(lambda: is_converged(net), 20.0))
        # By then, the links that joining opened outside the overlay are closed.
        net.run(15.0)
        self.assertTrue(is_converged(net))
        return net

    def test_a_killed_host_is_dead_everywhere_in_bounded_time(self) -> None:
        for sizes in (SMALL, LARGE):
            for is_silent in (True, False):
                net = self.build(sizes)
                net.kill_node("dc2-h2", is_silent)
                net.run(DEATH_LIMIT_S)
                self.assertEqual({Status.DEAD}, list_statuses(net, "dc2-h2"))
                self.assertTrue(is_converged(net))

    def test_a_link_to_a_silently_dead_host_is_closed(self) -> None:
        net = self.build(SMALL)
        net.kill_node("dc2-h2", is_silent=True)
        net.run(2 * DEATH_LIMIT_S)
        for node in net.list_live():
            link = node.state.membership.links.get("dc2-h2")
            self.assertFalse(link is not None and link.is_open)

    def test_a_whole_data_centre_may_die(self) -> None:
        net = self.build(SMALL)
        for name in ("dc3-h1", "dc3-h2", "dc3-h3"):
            net.kill_node(name, is_silent=True)
        net.run(3 * DEATH_LIMIT_S)
        self.assertTrue(is_converged(net))

    def test_a_suspect_counts_as_live(self) -> None:
        net = self.build(SMALL)
        net.kill_node("dc2-h2", is_silent=True)
        suspect = {Status.SUSPECT}
        self.assertTrue(
            net.run_until(lambda: list_statuses(net, "dc2-h2") == suspect, 4.0)
        )
        for node in net.list_live():
            self.assertIn("dc2-h2", hosts.get_live_hosts(node.state))

    def test_a_host_cut_off_one_way_from_some_peers_stays_live(self) -> None:
        for sizes in (SMALL, LARGE):
            net = self.build(sizes)
            links = net.nodes["dc1-h2"].state.membership.links
            peer = sorted(links)[0]
            net.faults.cuts.add(("dc1-h2", peer))
            for _ in range(300):
                net.run(network.TICK_S)
                statuses = list_statuses(net, "dc1-h2")
                self.assertNotIn(Status.DEAD, statuses)

    def test_a_host_paused_for_less_than_the_limit_refutes(self) -> None:
        net = self.build(SMALL)
        net.pause("dc1-h2", 4.5)
        seen = set()
        for _ in range(100):
            net.run(network.TICK_S)
            seen |= list_statuses(net, "dc1-h2")
        self.assertEqual({Status.LIVE, Status.SUSPECT}, seen)
        self.assertTrue(is_converged(net))

    def test_a_host_paused_for_longer_returns_and_suspects_nobody(
        self,
    ) -> None:
        net = self.build(SMALL)
        net.pause("dc1-h2", 30.0)
        net.run(29.0)
        others = [node for name, node in net.nodes.items() if name != "dc1-h2"]
        for node in others:
            self.assertNotIn("dc1-h2", hosts.get_live_hosts(node.state))
        for _ in range(100):
            net.run(network.TICK_S)
            for name in net.nodes.keys() - {"dc1-h2"}:
                self.assertEqual({Status.LIVE}, list_statuses(net, name))
        self.assertTrue(is_converged(net))

    def check_partition(self, sizes: list[int], cut_s: float) -> None:
        net = self.build(sizes)
        first = {name for name in net.nodes if name.startswith("dc1")}
        rest = net.nodes.keys() - first
        net.drop_messages(first, rest)
        net.run(cut_s)
        for name, node in net.nodes.items():
            side = first if name in first else rest
            self.assertEqual(side, hosts.get_live_hosts(node.state).keys())
        net.faults = network.Faults()
        self.assertTrue(net.run_until(lambda: is_converged(net), 60.0))

    def test_both_sides_of_a_partition_go_on_and_merge_again(self) -> None:
        self.check_partition(SMALL, 20.0)
        self.check_partition(LARGE, 25.0)

    def test_a_partition_heals_after_its_sides_removed_one_another(
        self,
    ) -> None:
        self.check_partition(SMALL, liveness.DEAD_RETENTION_S + 60.0)

    def test_a_restarted_host_replaces_its_earlier_start(self) -> None:
        net = self.build(SMALL)
        net.kill_node("dc2-h2")
        net.run(1.0)
        net.add_node(2, 2, incarnation=2)
        net.run(10.0)
        self.assertTrue(is_converged(net))
        for node in net.list_live():
            known = node.state.membership.hosts["dc2-h2"]
            self.assertEqual(2, known.incarnation)

    def test_a_start_with_a_lower_incarnation_still_becomes_live(
        self,
    ) -> None:
        net = self.build(SMALL)
        net.kill_node("dc2-h2")
        net.run(DEATH_LIMIT_S)
        net.add_node(2, 2, incarnation=0)
        net.run(10.0)
        self.assertTrue(is_converged(net))

    def test_dead_hosts_are_removed_after_the_retention_time(self) -> None:
        net = self.build(SMALL)
        net.kill_node("dc2-h2", is_silent=True)
        net.run(DEATH_LIMIT_S + liveness.DEAD_RETENTION_S + 1.0)
        for node in net.list_live():
            self.assertNotIn("dc2-h2", node.state.membership.hosts)
            self.assertNotIn(
                ("host", "dc2-h2"), node.state.membership.store.entries
            )

    def test_host_list_of_the_platform_leads_to_peers(self) -> None:
        net = network.Network(1, [3, 3])
        for node in net.list_live():
            settings = node.state.membership.settings
            node.state.membership.settings = settings._replace(seeds=())
        listed = tuple(
            model.ListedHost(name, address, network.PEER_PORT, "", False)
            for address, name in net.by_address.items()
        )
        net.run(5.0)
        self.assertFalse(is_converged(net))
        net.submit("dc1-h1", events.HostListSeen(listed))
        self.assertTrue(net.run_until(lambda: is_converged(net), 60.0))

    def test_a_bundle_in_force_shows_in_the_host_register(self) -> None:
        net = self.build(SMALL)
        node = net.nodes["dc1-h1"]
        node.state.directory.bundle = model.Bundle(7, "", {})
        net.run(2.0)
        for other in net.list_live():
            known = other.state.membership.hosts["dc1-h1"]
            self.assertEqual(7, known.bundle_version)


class WatcherTest(testtools.TestCase):
    def list_watchers(
        self, net: network.Network, data_centre: str
    ) -> list[str]:
        return [
            name
            for name, node in net.nodes.items()
            if node.is_alive
            and name.startswith(data_centre)
            and node.state.membership.is_watching
        ]

    def test_two_hosts_of_a_data_centre_watch_and_are_replaced(self) -> None:
        net = network.Network(1, [5, 5])
        net.run(10.0)
        watchers = self.list_watchers(net, "dc1")
        self.assertEqual(2, len(watchers))
        for name in watchers:
            net.kill_node(name, is_silent=True)
        net.run(DEATH_LIMIT_S + 2.0)
        replacements = self.list_watchers(net, "dc1")
        self.assertEqual(2, len(replacements))
        self.assertEqual(set(), set(watchers) & set(replacements))

    def test_a_host_cut_off_from_all_peers_watches_for_itself(self) -> None:
        net = network.Network(1, [5, 5])
        net.run(10.0)
        others = net.nodes.keys() - set(self.list_watchers(net, "dc1"))
        name = min(others)
        net.drop_messages({name}, net.nodes.keys() - {name})
        net.run(liveness.SILENCE_TIMEOUT_S + 0.5)
        self.assertIn(name, self.list_watchers(net, "dc1"))
        net.faults = network.Faults()
        net.run(30.0)
        self.assertNotIn(name, self.list_watchers(net, "dc1"))
