"""Scenarios in which a position or an answer is older than a change."""

from collections.abc import Callable

import testtools

from knapweedtally.core import effects
from standins.target import instance as instances
from tests.failover import harness

LIMIT_S = 5.0
# A hold lasts for at most 2 s, and the next host acts after 2.5 s.
BEYOND_HOLD_S = 2.3


class PlannedChangeTest(testtools.TestCase):
    """A planned change that stops when the preferred replica caught up."""

    def start_change(
        self, seed: int, interrupt: Callable[[harness.World, str], None]
    ) -> tuple[harness.World, str, str]:
        """Begin a planned change and interrupt it before the next term.

        Args:
            seed: seed of the run.
            interrupt: called with the promoting host.

        Returns:
            The world, the primary and the preferred replica.
        """
        world = harness.World(seed)
        world.start()
        old = world.primary
        preferred = max(set(world.targets) - {old})
        version, value = world.object
        assert world.update_object(version, {**value, "preferred": preferred})

        def stop(host: str, effect: effects.Effect) -> None:
            if isinstance(effect, effects.UpdateObject):
                self.assertEqual("electing", effect.value["phase"])
                world.effect_hook = None
                interrupt(world, host)

        world.effect_hook = stop
        for host in world.states:
            world.submit(
                host,
                harness.events.ObjectSeen(
                    "group", harness.GROUP, *world.object
                ),
            )
        self.assertTrue(
            world.run_until(lambda: world.effect_hook is None, LIMIT_S)
        )
        return world, old, preferred

    def check_recovery(self, world: harness.World) -> None:
        self.assertTrue(
            world.run_until(
                lambda: world.term > 1 and world.is_whole(), LIMIT_S
            ),
            world.choices(),
        )
        self.assertEqual([], world.faults, world.choices())

    def test_hold_ends_before_the_term_is_reserved(self) -> None:
        for seed in range(6):
            world, old, preferred = self.start_change(
                seed, lambda world, host: world.frozen.add(host)
            )
            world.replication_lag_s[preferred] = 30.0
            count = len(world.acknowledged)
            world.run(BEYOND_HOLD_S)
            self.assertEqual(1, world.term)
            self.assertGreater(len(world.acknowledged), count + 1)
            world.unfreeze()
            world.run(0.3)
            world.replication_lag_s.clear()
            self.check_recovery(world)
            self.assertNotEqual([preferred], world.opened.get(2))

    def test_preferred_replica_restarts_after_its_position_was_read(
        self,
    ) -> None:
        for seed in range(6):
            world, _, preferred = self.start_change(
                seed, lambda world, host: world.frozen.add(host)
            )
            world.dead.add(preferred)
            world.run(0.2)
            world.dead.remove(preferred)
            world.unfreeze()
            self.check_recovery(world)

    def test_preferred_replica_without_its_log_is_not_chosen(self) -> None:
        for seed in range(6):
            world, _, preferred = self.start_change(
                seed, lambda world, host: world.frozen.add(host)
            )
            world.instances[preferred] = instances.Instance(
                preferred, world.targets
            )
            world.unfreeze()
            self.check_recovery(world)
            self.assertNotEqual([preferred], world.opened[2])


class RepeatedStepTest(testtools.TestCase):
    """Commands of a host that was frozen while others finished its term."""

    def check_late_host(self, command: str) -> None:
        for seed in range(6):
            world = harness.World(seed, targets=5)
            world.start()
            late: list[str] = []

            def freeze(
                host: str,
                effect: effects.Effect,
                world: harness.World = world,
                late: list[str] = late,
            ) -> None:
                is_control = isinstance(effect, effects.ControlTarget)
                if is_control and effect.command == command and not late:
                    late.append(host)
                    world.frozen.add(host)

            world.effect_hook = freeze
            for term in (2, 3):
                world.dead.add(world.primary)
                self.assertTrue(
                    world.run_until(
                        lambda world=world, term=term: (
                            world.term == term and world.is_serving()
                        ),
                        2 * LIMIT_S,
                    ),
                    world.choices(),
                )
            self.assertEqual(1, len(late))
            world.dead.clear()
            world.unfreeze()
            world.run(1.0)
            self.assertTrue(
                world.run_until(world.is_whole, LIMIT_S), world.choices()
            )
            self.assertEqual([], world.faults, world.choices())
            self.assertEqual(3, world.term)

    def test_install_term_after_two_changes(self) -> None:
        self.check_late_host("install_term")

    def test_promote_after_two_changes(self) -> None:
        self.check_late_host("promote")

    def test_follow_after_two_changes(self) -> None:
        self.check_late_host("follow")


class RestartTest(testtools.TestCase):
    """Targets that restart with their log between a fence and a promotion."""

    def check_restart(self, command: str, delay_s: float) -> None:
        for seed in range(6):
            world = harness.World(seed)
            world.start()
            old = world.primary
            slow = min(set(world.targets) - {old})
            world.replication_lag_s[slow] = 0.5
            world.run(1.0)
            restarted: list[str] = []

            def restart(
                host: str,
                effect: effects.Effect,
                world: harness.World = world,
                old: str = old,
                restarted: list[str] = restarted,
            ) -> None:
                is_control = isinstance(effect, effects.ControlTarget)
                if not is_control or effect.command != command:
                    return
                name = effect.target
                if name != old and name not in restarted:
                    restarted.append(name)
                    world.run_after(delay_s, lambda: world.dead.add(name))
                    world.run_after(
                        delay_s + 0.2, lambda: world.dead.discard(name)
                    )

            world.effect_hook = restart
            world.dead.add(old)
            self.assertTrue(
                world.run_until(
                    lambda world=world: world.term > 1 and world.is_serving(),
                    2 * LIMIT_S,
                ),
                world.choices(),
            )
            self.assertNotEqual([], restarted)
            self.assertEqual([], world.faults, world.choices())

    def test_fenced_targets_restart(self) -> None:
        for delay_s in (0.0, 0.003, 0.006):
            self.check_restart("install_term", delay_s)

    def test_chosen_target_restarts(self) -> None:
        for delay_s in (0.0, 0.003, 0.006):
            self.check_restart("promote", delay_s)

    def test_followers_restart(self) -> None:
        for delay_s in (0.0, 0.003):
            self.check_restart("follow", delay_s)
