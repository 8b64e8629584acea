"""Scenarios in which a bundle changes a group's targets."""

import functools

import testtools

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core.bundles import codec
from knapweedtally.core.bundles import signatures
from knapweedtally.core.failover import state as failover_state
from tests.failover import harness

LIMIT_S = 5.0
SIGNER = "operator"
PRIVATE_KEY = bytes(32)


class World(harness.World):
    """Group whose targets, and the hosts' bundles, change during a run."""

    def set_members(self, *names: str) -> None:
        """Set the targets that each instance counts as its group."""
        for instance in self.instances.values():
            instance.members = frozenset(names)

    def make_bundle(self, version: int, *names: str) -> model.Bundle:
        """Return a bundle in which the group has these targets."""
        group = self.bundle.groups[harness.GROUP]
        targets = tuple(self.targets[name] for name in names)
        return self.bundle._replace(
            version=version,
            groups={harness.GROUP: group._replace(targets=targets)},
        )

    def put_in_force(self, bundle: model.Bundle, *hosts: str) -> None:
        """Put a bundle in force on some hosts, or on all."""
        for host in hosts or self.states:
            self.states[host].directory.set_bundle(bundle)

    def roll_out(self, bundle: model.Bundle, *hosts: str) -> None:
        """Store a bundle in the platform, and put it in force on some hosts."""
        value = codec.dump_bundle(bundle._replace(signer=SIGNER))
        value["signature"] = signatures.sign_bundle(value, PRIVATE_KEY)
        self.bundle_object = (bundle.version, value)
        for state in self.states.values():
            state.bundles.keys = {
                SIGNER: signatures.derive_public_key(PRIVATE_KEY)
            }
        self.put_in_force(bundle, *hosts)

    def lose_primary(
        self, frozen: set[str], is_platform_down: bool = False
    ) -> None:
        """Lose the primary, and more once the next term is installed.

        Args:
            frozen: targets that freeze before they install the term.
            is_platform_down: whether the platform fails then.
        """

        def interrupt(host: str, effect: effects.Effect) -> None:
            is_control = isinstance(effect, effects.ControlTarget)
            if is_control and effect.command == "install_term":
                self.frozen |= frozen
                self.is_platform_down = is_platform_down
                self.effect_hook = None

        self.effect_hook = interrupt
        self.dead.add(self.primary)

    def has_fenced(self, *names: str) -> bool:
        """Return whether a promotion has fenced exactly these targets."""
        return any(
            promotion.fenced.keys() == set(names)
            for state in self.states.values()
            for promotion in state.failover.promotions.values()
        )

    def is_choosing(self) -> bool:
        """Return whether a promotion is about to store its choice."""
        return any(
            promotion.step is failover_state.Step.CHOOSING
            for state in self.states.values()
            for promotion in state.failover.promotions.values()
        )


class RemovedTargetTest(testtools.TestCase):
    def check_recovery(self, world: World) -> None:
        """Check that the group serves again with all acknowledged writes."""
        self.assertTrue(
            world.run_until(world.is_serving, LIMIT_S), world.choices()
        )
        self.assertEqual([], world.faults, world.choices())

    def test_removed_target_does_not_count_as_fenced(self) -> None:
        for seed in range(6):
            world = World(seed, targets=4)
            world.start()
            old = world.primary
            holder, behind, removed = sorted(set(world.targets) - {old})
            world.set_members(old, holder, behind)
            world.partition(behind, others={old})
            world.run(0.5)
            world.lose_primary(frozen={holder})
            self.assertTrue(
                world.run_until(
                    functools.partial(world.has_fenced, behind, removed),
                    LIMIT_S,
                ),
                world.choices(),
            )
            world.put_in_force(world.make_bundle(2, old, holder, behind))
            world.run(1.0)
            world.unfreeze()
            self.check_recovery(world)
            self.assertEqual(holder, world.primary)

    def test_removed_target_is_not_chosen(self) -> None:
        for removed in ("t1", "t2", "t3"):
            world = World(1, targets=4)
            world.start()
            self.assertEqual("t0", world.primary)
            names = set(world.targets) - {removed}
            world.set_members(*names)
            world.lose_primary(frozen=set(), is_platform_down=True)
            self.assertTrue(world.run_until(world.is_choosing, LIMIT_S))
            world.run(0.1)
            world.put_in_force(world.make_bundle(2, *names))
            world.is_platform_down = False
            self.check_recovery(world)
            self.assertNotEqual(removed, world.primary)

    def test_choice_waits_for_a_majority_of_the_changed_group(self) -> None:
        world = World(1, targets=5)
        world.start()
        old = world.primary
        holder, behind, *_ = sorted(set(world.targets) - {old})
        world.set_members(old, holder, behind)
        world.partition(behind, others={old})
        world.run(0.5)
        world.lose_primary(frozen={holder}, is_platform_down=True)
        self.assertTrue(world.run_until(world.is_choosing, LIMIT_S))
        world.run(0.1)
        world.put_in_force(world.make_bundle(2, old, holder, behind))
        world.is_platform_down = False
        world.run(1.0)
        self.assertEqual("electing", world.object[1]["phase"])
        world.unfreeze()
        self.check_recovery(world)
        self.assertEqual(holder, world.primary)


class OutdatedBundleTest(testtools.TestCase):
    """A host that missed the two bundles that replaced a target."""

    def replace_target(self, world: World, missed: str) -> str:
        """Replace a replica while one host is away.

        Args:
            world: world of four targets, the last of which has no log.
            missed: host that learns of no bundle.

        Returns:
            The replica that stays.
        """
        world.put_in_force(world.make_bundle(1, "t0", "t1", "t2"))
        world.set_members("t0", "t1", "t2")
        world.start()
        old = world.primary
        behind, removed = sorted({"t0", "t1", "t2"} - {old})
        others = set(world.states) - {missed}
        world.partition(missed, others={*others, harness.PLATFORM, old})
        world.set_members(*world.targets)
        world.roll_out(world.make_bundle(2, *world.targets), *others)
        self.assertTrue(
            world.run_until(world.is_whole, LIMIT_S), world.choices()
        )
        world.set_members(*(set(world.targets) - {removed}))
        world.roll_out(
            world.make_bundle(3, *(set(world.targets) - {removed})), *others
        )
        world.run(1.0)
        return behind

    def test_host_that_missed_two_bundles(self) -> None:
        for seed in range(4):
            for missed in ("h1", "h5"):
                world = World(seed, targets=4)
                behind = self.replace_target(world, missed)
                world.partition(behind, others={world.primary})
                world.run(0.5)
                world.partitions = {
                    pair for pair in world.partitions if missed not in pair
                }
                world.dead.add(world.primary)
                self.assertTrue(
                    world.run_until(
                        lambda world=world: (
                            world.term > 1 and world.is_serving()
                        ),
                        LIMIT_S,
                    ),
                    world.choices(),
                )
                self.assertEqual([], world.faults, world.choices())
                self.assertEqual("t3", world.primary)
