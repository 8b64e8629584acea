"""Mutation tests: replacing a safety rule violates the guarantee it keeps.

Each scenario runs with a number of seeds, first with the rule and then with a
mutant of it, and returns the violated guarantees.
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
    """Lose the primary while one replica lags behind the other."""
    slow = world.random.choice(sorted(set(world.targets) - {world.primary}))
    world.replication_lag_s[slow] = 1.0
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
    """Lose the primary while slow messages make several hosts act at once."""
    world.max_delay_s = 0.35
    world.dead.add(world.primary)
    world.run(5.0)


def isolate_one_observer(world: harness.World) -> None:
    """Partition one host from the primary only; no term may begin."""
    host = world.random.choice(sorted(world.states))
    world.partition(host, others={world.primary})
    world.run(5.0)
    if world.term != 1:
        world.faults.append("one observer was enough")


def freeze_twice(world: harness.World) -> None:
    """Freeze the new primary within the cooldown after a promotion."""
    world.frozen.add(world.primary)
    world.run_until(lambda: world.is_serving() and world.term == 2, 5.0)
    world.run(0.5)
    world.frozen = {world.primary}
    world.run(4.0)
    if world.term != 2:
        world.faults.append("replaced again within the pause")


def end_isolation(world: harness.World) -> None:
    """End the isolation of a data centre that considers the primary failed."""
    replica = min(set(world.targets) - {world.primary})
    centre = world.targets[replica].data_centre
    inside = {
        name: centre
        for name, state in world.states.items()
        if state.identity.data_centre == centre
    }
    everything = {*world.states, *world.targets}
    nodes = {replica, *inside}
    world.partition(*nodes, others=everything - nodes)
    for name in inside:
        world.states[name].membership.live = dict(inside)
    world.run(2.0 + world.random.random())
    world.partitions.clear()
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
            isolate_one_observer,
            rules,
            "is_failure_agreed",
            lambda observers, failed: bool(failed),
            "one observer was enough",
        )

    def test_majority_installs_the_term_before_opening(self) -> None:
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

    def test_operation_is_verified_after_an_update(self) -> None:
        self.check(
            fail_on_slow_network,
            rules,
            "is_own_operation",
            lambda record, operation: True,
            "a term it did not begin",
        )

    def test_cooldown_after_a_promotion(self) -> None:
        self.check(
            freeze_twice,
            rules,
            "is_replaceable",
            lambda *arguments: True,
            "replaced again within the pause",
        )

    def test_evidence_is_checked_after_the_prevote(self) -> None:
        self.check(
            end_isolation,
            prevote,
            "is_recovered",
            lambda *arguments: False,
            "a primary that answers was replaced",
        )
