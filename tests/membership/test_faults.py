"""Random faults on a network of reducers; after healing all hosts agree."""

import random
from collections.abc import Callable
from unittest import mock

import testtools

from knapweedtally.core import effects
from knapweedtally.core.membership import liveness
from knapweedtally.core.membership import spread
from tests.membership import network
from tests.membership import test_liveness

SEEDS = 20
FAULTS = 12
HEALING_LIMIT_S = 120.0


class Chaos:
    """Inject faults drawn from one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.net = network.Network(seed, [3, 3, 3])
        self.incarnation = 1

    def run(self) -> None:
        """Inject faults, then heal and start every host again."""
        actions: list[Callable[[], None]] = [
            self.kill,
            self.restart,
            self.pause,
            self.cut,
            self.cut_one_way,
            self.lose,
            self.heal,
        ]
        self.net.run(5.0)
        for _ in range(FAULTS):
            self.net.run(self.random.uniform(0.0, 6.0))
            self.random.choice(actions)()
        self.heal()
        while self.list_dead():
            self.restart()

    def list_dead(self) -> list[str]:
        nodes = self.net.nodes
        return [name for name in nodes if not nodes[name].is_alive]

    def pick(self) -> str:
        return self.random.choice(list(self.net.nodes))

    def kill(self) -> None:
        self.net.kill(self.pick(), is_silent=self.random.random() < 0.5)

    def restart(self) -> None:
        dead = self.list_dead()
        if dead:
            place, number = self.random.choice(dead)[2:].split("-h")
            self.incarnation += 1
            self.net.add_node(int(place), int(number), self.incarnation)

    def pause(self) -> None:
        self.net.pause(self.pick(), self.random.uniform(0.0, 12.0))

    def cut(self) -> None:
        names = list(self.net.nodes)
        side = set(self.random.sample(names, self.random.randint(1, 4)))
        self.net.cut(side, set(names) - side)

    def cut_one_way(self) -> None:
        self.net.faults.cuts.add((self.pick(), self.pick()))

    def lose(self) -> None:
        self.net.faults.loss = self.random.choice([0.0, 0.1, 0.3])

    def heal(self) -> None:
        self.net.faults = network.Faults()


def is_settled_after_faults(seed: int) -> bool:
    """Return whether all hosts agree in time, and stay so."""
    chaos = Chaos(seed)
    chaos.run()
    net = chaos.net
    if not net.run_until(
        lambda: test_liveness.is_settled(net), HEALING_LIMIT_S
    ):
        return False
    net.run(30.0)
    return test_liveness.is_settled(net)


class FaultsTest(testtools.TestCase):
    def test_all_hosts_agree_after_random_faults(self) -> None:
        failed = [
            seed for seed in range(SEEDS) if not is_settled_after_faults(seed)
        ]
        self.assertEqual([], failed)

    def test_hosts_do_not_agree_when_none_refutes(self) -> None:
        with mock.patch.object(spread, "refute", return_value=[]):
            settled = [is_settled_after_faults(seed) for seed in range(5)]
        self.assertIn(False, settled)

    def test_a_paused_host_buries_others_without_the_pause_rule(
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
        with mock.patch.object(liveness, "excuse_own_pause"):
            self.assertNotEqual([], list_deaths())
