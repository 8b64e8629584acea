"""Scenarios of failed, slow and replaced primaries, one fault at a time."""

import testtools

from knapweedtally.core import effects
from knapweedtally.core.failover import limits
from tests.failover import harness

LIMIT_S = 5.0


class ScenarioTest(testtools.TestCase):
    def make_world(self, seed: int = 1, **settings: float) -> harness.World:
        world = harness.World(seed, **settings)
        world.start()
        return world

    def check_replaced(self, world: harness.World, old: str) -> None:
        self.assertTrue(
            world.run_until(
                lambda: world.is_serving() and world.primary != old, LIMIT_S
            ),
            world.choices(),
        )
        self.assertEqual([], world.faults)

    def test_first_start_makes_one_primary(self) -> None:
        world = self.make_world()
        self.assertTrue(world.is_whole())
        self.assertEqual(1, world.term)

    def test_serving_primary_is_adopted(self) -> None:
        world = harness.World(1)
        for instance in world.instances.values():
            instance.install_term(4, "by hand")
        world.instances["t2"].promote(4, "by hand")
        for name in ("t0", "t1"):
            world.instances[name].follow(4, "t2")
        world.start()
        self.assertEqual((4, "t2"), (world.term, world.primary))

    def test_primary_that_refuses_connections_is_replaced(self) -> None:
        world = self.make_world()
        old = world.primary
        world.dead.add(old)
        self.check_replaced(world, old)

    def test_frozen_primary_is_replaced_and_rejoins(self) -> None:
        world = self.make_world()
        old = world.primary
        world.frozen.add(old)
        self.check_replaced(world, old)
        world.unfreeze()
        self.assertTrue(world.run_until(world.is_whole, LIMIT_S))
        self.assertFalse(world.instances[old].is_primary)

    def test_primary_isolated_from_replicas_is_replaced(self) -> None:
        world = self.make_world()
        old = world.primary
        world.partition(old, others=set(world.targets) - {old})
        self.check_replaced(world, old)

    def test_primary_unreachable_for_most_hosts_is_replaced(self) -> None:
        for seed in range(5):
            world = self.make_world(seed=seed)
            old = world.primary
            centre = world.targets[old].data_centre
            outside = {
                name
                for name, state in world.states.items()
                if state.identity.data_centre != centre
            }
            world.partition(old, others=outside)
            self.check_replaced(world, old)

    def test_loss_of_the_primarys_data_centre(self) -> None:
        world = self.make_world()
        old = world.primary
        centre = world.targets[old].data_centre
        hosts = [
            name
            for name, state in world.states.items()
            if state.identity.data_centre == centre
        ]
        world.dead.update([old, *hosts])
        self.check_replaced(world, old)

    def test_second_failure_within_the_cooldown(self) -> None:
        world = harness.World(3, targets=5)
        world.start()
        for _ in range(2):
            old = world.primary
            world.dead.add(old)
            self.check_replaced(world, old)

    def test_one_isolated_observer_causes_no_promotion(self) -> None:
        for host in [f"h{number}" for number in range(6)]:
            for is_only_primary in (False, True):
                world = self.make_world()
                lost = {world.primary} if is_only_primary else world.targets
                world.partition(host, others=set(lost))
                world.run(10.0)
                self.assertEqual(1, world.term, world.choices())
                self.assertTrue(world.is_serving())

    def test_slow_replica_causes_no_promotion(self) -> None:
        world = self.make_world()
        replica = min(set(world.targets) - {world.primary})
        world.replication_lag_s[replica] = 3.0
        world.run(5.0)
        world.frozen.add(replica)
        world.run(10.0)
        self.assertEqual(1, world.term, world.choices())
        self.assertTrue(world.is_serving())

    def test_isolated_data_centre_begins_no_term(self) -> None:
        world = self.make_world()
        hosts = [
            name
            for name, state in world.states.items()
            if state.identity.data_centre != "dc0"
        ]
        inside = {"h0", "h3", "t0"}
        for name in inside:
            world.partition(name, others={*hosts, "t1", "t2"})
        for name in ("h0", "h3"):
            world.states[name].membership.live = {"h0": "dc0", "h3": "dc0"}
        world.run(LIMIT_S)
        world.clear_faults()
        world.run(LIMIT_S)
        terms = 1 if world.opened[1] != ["t0"] else 2
        self.assertEqual(terms, world.term, world.choices())
        self.assertEqual([], world.faults)

    def test_platform_outage_begins_no_term_and_recovers(self) -> None:
        world = self.make_world()
        old = world.primary
        world.is_platform_down = True
        world.dead.add(old)
        world.run(20.0)
        self.assertEqual(1, world.term)
        self.assertEqual({1}, {item.term for item in world.instances.values()})
        world.is_platform_down = False
        self.assertTrue(world.run_until(world.is_serving, 15.0))

    def test_platform_outage_during_a_promotion_opens_no_primary(self) -> None:
        world = self.make_world()
        old = world.primary

        def stop(host: str, effect: effects.Effect) -> None:
            is_control = isinstance(effect, effects.ControlTarget)
            if is_control and effect.command == "install_term":
                world.is_platform_down = True

        world.effect_hook = stop
        world.dead.add(old)
        world.run(10.0)
        self.assertEqual([1], list(world.opened))
        world.effect_hook = None
        world.is_platform_down = False
        self.assertTrue(world.run_until(world.is_serving, 10.0))
        self.assertEqual([], world.faults)

    def test_lost_answers_are_read_back(self) -> None:
        for lost in (1, 2, 3):
            world = self.make_world(seed=lost)
            old = world.primary
            world.lost_answers = lost
            world.dead.add(old)
            self.check_replaced(world, old)
            self.assertEqual(2, world.term)

    def test_operator_update_conflicts_with_each_update(self) -> None:
        for turn in (1, 2):
            world = self.make_world(seed=turn)
            seen = []

            def race(
                host: str,
                effect: effects.Effect,
                world: harness.World = world,
                seen: list[str] = seen,
                turn: int = turn,
            ) -> None:
                if isinstance(effect, effects.UpdateObject):
                    seen.append(host)
                    if len(seen) == turn:
                        version, value = world.object
                        world.update_object(
                            version, {**value, "preferred": "t2"}
                        )

            world.effect_hook = race
            old = world.primary
            world.dead.add(old)
            self.check_replaced(world, old)
            self.assertEqual(2, world.term)


class DeadPromoterTest(testtools.TestCase):
    """Kill the promoting host when it emits a given effect."""

    def check_completion(self, kind: type, command: str, count: int) -> None:
        world = harness.World(count)
        world.start()
        killed: list[str] = []
        seen = [0]

        def kill(host: str, effect: effects.Effect) -> None:
            if killed or not isinstance(effect, kind):
                return
            if getattr(effect, "command", command) != command:
                return
            seen[0] += 1
            if seen[0] == count:
                killed.append(host)
                world.dead.add(host)

        world.effect_hook = kill
        old = world.primary
        world.dead.add(old)
        self.assertTrue(
            world.run_until(world.is_serving, LIMIT_S), world.choices()
        )
        self.assertEqual(1, len(killed))
        self.assertEqual([], world.faults)

    def test_before_and_after_the_term_is_reserved(self) -> None:
        self.check_completion(effects.UpdateObject, "", 1)

    def test_before_the_choice_is_stored(self) -> None:
        self.check_completion(effects.UpdateObject, "", 2)

    def test_while_the_term_is_installed(self) -> None:
        for count in (1, 2, 3):
            self.check_completion(effects.ControlTarget, "install_term", count)

    def test_before_the_primary_is_opened(self) -> None:
        self.check_completion(effects.ControlTarget, "promote", 1)

    def test_while_the_other_instances_get_follow_commands(self) -> None:
        self.check_completion(effects.ControlTarget, "follow", 1)


class PlannedChangeTest(testtools.TestCase):
    def make_world(self) -> harness.World:
        world = harness.World(2)
        world.start()
        return world

    def request_change(self, world: harness.World, preferred: str) -> None:
        version, value = world.object
        assert world.update_object(version, {**value, "preferred": preferred})
        world.submit(
            "h0",
            harness.events.ObjectSeen("group", harness.GROUP, *world.object),
        )

    def test_preferred_replica_takes_over(self) -> None:
        world = self.make_world()
        preferred = max(set(world.targets) - {world.primary})
        self.request_change(world, preferred)
        self.assertTrue(
            world.run_until(
                lambda: world.is_whole() and world.primary == preferred, 1.0
            ),
            world.choices(),
        )
        self.assertEqual("", world.object[1]["preferred"])
        self.assertEqual((2, []), (world.term, world.faults))

    def test_lagging_preferred_replica_aborts_the_change(self) -> None:
        world = self.make_world()
        old = world.primary
        preferred = max(set(world.targets) - {old})
        world.replication_lag_s[preferred] = 30.0
        world.run(0.5)
        self.request_change(world, preferred)
        world.run(limits.SWITCH_LIMIT_S + 1.0)
        self.assertEqual((1, old), (world.term, world.primary))
        self.assertEqual("", world.object[1]["preferred"])
        self.assertIn("give up", "".join(world.choices()))
        self.assertTrue(world.is_serving())

    def test_impossible_preferred_target_is_refused_with_a_reason(self) -> None:
        world = self.make_world()
        for preferred in (world.primary, "nobody"):
            self.request_change(world, preferred)
            world.run(1.0)
            self.assertEqual("", world.object[1]["preferred"])
        self.assertEqual(1, world.term)
        self.assertIn("no target of group", "".join(world.choices()))

    def test_leaving_primary_is_replaced(self) -> None:
        world = self.make_world()
        old = world.primary
        group = world.bundle.groups[harness.GROUP]
        bundle = world.bundle._replace(
            version=2,
            groups={harness.GROUP: group._replace(leaving=frozenset({old}))},
        )
        for state in world.states.values():
            state.directory.bundle = bundle
        self.assertTrue(
            world.run_until(
                lambda: world.is_serving() and world.primary != old, LIMIT_S
            ),
            world.choices(),
        )
        self.assertEqual((2, []), (world.term, world.faults))

    def test_platform_down_holds_no_writes(self) -> None:
        world = self.make_world()
        preferred = max(set(world.targets) - {world.primary})
        self.request_change(world, preferred)
        world.is_platform_down = True
        world.effects.clear()
        world.run(10.0)
        holds = [
            effect
            for _, effect in world.effects
            if isinstance(effect, effects.ControlTarget)
        ]
        self.assertEqual([], holds)

    def test_primary_that_fails_while_holding_writes_is_replaced(self) -> None:
        world = self.make_world()
        old = world.primary
        preferred = max(set(world.targets) - {old})
        world.replication_lag_s[preferred] = 1.0
        self.request_change(world, preferred)
        world.run(0.1)
        world.dead.add(old)
        self.assertTrue(
            world.run_until(world.is_serving, LIMIT_S), world.choices()
        )
        self.assertEqual([], world.faults)
