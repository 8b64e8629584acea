"""Each rule that keeps a promise: with it the proof holds, without it fails.

A proof runs one scenario for a number of seeds and returns what was broken.
"""

from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core.failover import prevote
from knapweedtally.core.failover import rules
from tests.failover import harness

SEEDS = 12


def fail_with_slow_replica(world: harness.World) -> None:
    """Lose the primary while one replica lacks what the other has."""
    slow = world.random.choice(sorted(set(world.targets) - {world.primary}))
    world.pull_s[slow] = 1.0
    world.run(3.0)
    world.dead.add(world.primary)
    world.run(5.0)


def fail_while_fencing(world: harness.World) -> None:
    """Lose the primary, and a replica while the term is installed."""
    old = world.primary

    def kill(host: str, effect: effects.Effect) -> None:
        is_control = isinstance(effect, effects.ControlTarget)
        if is_control and effect.command == "install_term":
            world.dead.add(max(set(world.targets) - {old}))

    world.effect_hook = kill
    world.dead.add(old)
    world.run(5.0)


def fail_on_slow_network(world: harness.World) -> None:
    """Lose the primary while messages take so long that turns overlap."""
    world.slowness = 0.35
    world.dead.add(world.primary)
    world.run(5.0)


def slow_one_observer(world: harness.World) -> None:
    """Cut one host off from the primary only; no term may begin."""
    host = world.random.choice(sorted(world.states))
    world.cut(host, others={world.primary})
    world.run(5.0)
    if world.term != 1:
        world.faults.append("one observer was enough")


def freeze_twice(world: harness.World) -> None:
    """Freeze the new primary soon after a promotion; it gets a pause."""
    world.frozen.add(world.primary)
    world.run_until(lambda: world.is_serving() and world.term == 2, 5.0)
    world.run(0.5)
    world.frozen = {world.primary}
    world.run(4.0)
    if world.term != 2:
        world.faults.append("replaced again within the pause")


def return_from_cut(world: harness.World) -> None:
    """Bring back a data centre whose hosts hold the primary for failed."""
    replica = min(set(world.targets) - {world.primary})
    centre = world.targets[replica].data_centre
    inside = {
        name: centre
        for name, state in world.states.items()
        if state.identity.data_centre == centre
    }
    everything = {*world.states, *world.targets}
    nodes = {replica, *inside}
    world.cut(*nodes, others=everything - nodes)
    for name in inside:
        world.states[name].membership.live = dict(inside)
    world.run(2.0 + world.random.random())
    world.cuts.clear()
    world.run(3.0)
    if world.term != 1:
        world.faults.append("a primary that answers was replaced")


def choose_least_advanced(
    group: model.Group, fenced: Any, preferred: str, replaced: str
) -> str:
    return min(fenced, key=lambda target: fenced[target])


class MutantTest(testtools.TestCase):
    def run_proof(self, scenario: Callable[[harness.World], None]) -> list[str]:
        faults = []
        for seed in range(SEEDS):
            world = harness.World(seed)
            world.start()
            scenario(world)
            faults += world.faults
        return faults

    def check(
        self,
        scenario: Callable[[harness.World], None],
        module: Any,
        rule: str,
        mutant: Callable[..., Any],
        message: str,
    ) -> None:
        self.assertEqual([], self.run_proof(scenario))
        with mock.patch.object(module, rule, mutant):
            faults = self.run_proof(scenario)
        self.assertIn(message, "\n".join(faults))

    def test_majority_of_observers(self) -> None:
        self.check(
            slow_one_observer,
            rules,
            "is_failure_agreed",
            lambda observers, failed: bool(failed),
            "one observer was enough",
        )

    def test_term_on_a_majority_before_opening(self) -> None:
        self.check(
            fail_while_fencing,
            rules,
            "is_majority_fenced",
            lambda group, fenced: bool(fenced),
            "opened without a majority",
        )

    def test_most_advanced_is_chosen(self) -> None:
        self.check(
            fail_with_slow_replica,
            rules,
            "choose_primary",
            choose_least_advanced,
            "lost write",
        )

    def test_conditional_update(self) -> None:
        self.check(
            fail_on_slow_network,
            rules,
            "get_expected_version",
            lambda record: harness.ANY_VERSION,
            "has two operations",
        )

    def test_operation_is_read_back(self) -> None:
        self.check(
            fail_on_slow_network,
            rules,
            "is_own_operation",
            lambda record, operation: True,
            "a term it did not begin",
        )

    def test_pause_after_a_promotion(self) -> None:
        self.check(
            freeze_twice,
            rules,
            "is_replaceable",
            lambda *arguments: True,
            "replaced again within the pause",
        )

    def test_evidence_stands_after_the_prevote(self) -> None:
        self.check(
            return_from_cut,
            prevote,
            "is_recovered",
            lambda *arguments: False,
            "a primary that answers was replaced",
        )
