"""Tests that all hosts converge after random faults have ended."""

import random
from collections.abc import Callable
from unittest import mock

import testtools

from knapweedtally.core import effects
from knapweedtally.core.membership import gossip
from knapweedtally.core.membership import liveness
from tests.membership import network
from tests.membership import test_liveness

SEED_COUNT = 20
FAULT_COUNT = 12
CONVERGENCE_LIMIT_S = 120.0


class FaultInjector:
    """Inject random faults that are drawn from one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.net = network.Network(seed, [3, 3, 3])
        self.incarnation = 1

    def run(self) -> None:
        """Inject faults, then remove them and restart every dead host."""
        actions: list[Callable[[], None]] = [
            self.kill_host,
            self.restart_host,
            self.pause_host,
            self.partition_hosts,
            self.block_one_way,
            self.set_message_loss,
            self.remove_faults,
        ]
        self.net.run(5.0)
        for _ in range(FAULT_COUNT):
            self.net.run(self.random.uniform(0.0, 6.0))
            self.random.choice(actions)()
        self.remove_faults()
        while self.list_dead():
            self.restart_host()

    def list_dead(self) -> list[str]:
        nodes = self.net.nodes
        return [name for name in nodes if not nodes[name].is_alive]

    def pick_host(self) -> str:
        return self.random.choice(list(self.net.nodes))

    def kill_host(self) -> None:
        self.net.kill_node(
            self.pick_host(), is_silent=self.random.random() < 0.5
        )

    def restart_host(self) -> None:
        dead = self.list_dead()
        if dead:
            place, number = self.random.choice(dead)[2:].split("-h")
            self.incarnation += 1
            self.net.add_node(int(place), int(number), self.incarnation)

    def pause_host(self) -> None:
        self.net.pause(self.pick_host(), self.random.uniform(0.0, 12.0))

    def partition_hosts(self) -> None:
        names = list(self.net.nodes)
        isolated = set(self.random.sample(names, self.random.randint(1, 4)))
        self.net.drop_messages(isolated, set(names) - isolated)

    def block_one_way(self) -> None:
        self.net.faults.cuts.add((self.pick_host(), self.pick_host()))

    def set_message_loss(self) -> None:
        self.net.faults.loss = self.random.choice([0.0, 0.1, 0.3])

    def remove_faults(self) -> None:
        self.net.faults = network.Faults()


def converges_after_faults(seed: int) -> bool:
    """Return whether all hosts agree within the limit and keep agreeing."""
    injector = FaultInjector(seed)
    injector.run()
    net = injector.net
    if not net.run_until(
        lambda: test_liveness.is_converged(net), CONVERGENCE_LIMIT_S
    ):
        return False
    net.run(30.0)
    return test_liveness.is_converged(net)


class FaultsTest(testtools.TestCase):
    def test_all_hosts_agree_after_random_faults(self) -> None:
        failed = [
            seed
            for seed in range(SEED_COUNT)
            if not converges_after_faults(seed)
        ]
        self.assertEqual([], failed)

    def test_hosts_do_not_agree_when_none_refutes(self) -> None:
        with mock.patch.object(gossip, "refute_register", return_value=[]):
            converged = [converges_after_faults(seed) for seed in range(5)]
        self.assertIn(False, converged)

    def test_a_paused_host_declares_others_dead_without_the_reset(
        self,
    ) -> None:
        def list_deaths() -> list[effects.WriteLog]:
            net = network.Network(1, [3, 3, 3])
            net.run(20.0)
            net.pause("dc1-h3", 4.5)
            node = net.nodes["dc1-h2"]
            net.run_until(lambda: node.state.membership.suspected, 4.5)
            net.pause("dc1-h2", 10.0)
            net.run(12.0)
            return [
                effect
                for effect in node.outputs
                if isinstance(effect, effects.WriteLog)
                and effect.message == "host is dead"
            ]

        self.assertEqual([], list_deaths())
        with mock.patch.object(liveness, "reset_timers_after_pause"):
            self.assertNotEqual([], list_deaths())
