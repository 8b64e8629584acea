"""Random faults from hypothesis: guarantees hold and service recovers."""

from collections.abc import Callable

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import effects
from tests.failover import harness

RECOVERY_S = 30.0
MAX_DEAD_HOSTS = 3
PAUSE_SHARE = 0.06
LONGEST_PAUSE_S = 4.0

World = harness.World
Fault = Callable[[World], None]


def pick_host(world: World) -> str:
    return world.random.choice(sorted(world.states))


def kill_primary(world: World) -> None:
    world.dead.add(world.primary)


def revive_targets(world: World) -> None:
    world.dead -= set(world.targets)


def freeze_primary(world: World) -> None:
    world.frozen.add(world.primary)


def freeze_hosts(world: World) -> None:
    world.frozen.update({pick_host(world), pick_host(world)})


def unfreeze(world: World) -> None:
    world.unfreeze()


def kill_host(world: World) -> None:
    if len(world.dead & set(world.states)) < MAX_DEAD_HOSTS:
        world.dead.add(pick_host(world))


def isolate_primary_from_replicas(world: World) -> None:
    world.partition(world.primary, others=set(world.targets) - {world.primary})


def isolate_data_centre(world: World) -> None:
    centre = world.random.choice(["dc0", "dc1", "dc2"])
    centres = {
        **{name: item.data_centre for name, item in world.targets.items()},
        **{
            name: state.identity.data_centre
            for name, state in world.states.items()
        },
    }
    inside = [name for name, place in centres.items() if place == centre]
    world.partition(*inside, others=set(centres) - set(inside))


def end_partitions(world: World) -> None:
    world.partitions.clear()


def stop_platform(world: World) -> None:
    world.is_platform_down = True


def start_platform(world: World) -> None:
    world.is_platform_down = False


def lose_answers(world: World) -> None:
    world.lost_answers += 3


def lose_messages(world: World) -> None:
    world.loss_rate = 0.2


def slow_messages(world: World) -> None:
    world.max_delay_s = 0.3


def slow_replica(world: World) -> None:
    name = world.random.choice(sorted(world.targets))
    world.replication_lag_s[name] = 1.5


def request_change(world: World) -> None:
    version, value = world.object
    preferred = world.random.choice(sorted(world.targets))
    world.update_object(version, {**value, "preferred": preferred})
    event = harness.events.ObjectSeen("group", harness.GROUP, *world.object)
    world.submit(pick_host(world), event)


FAULTS: tuple[Fault, ...] = (
    kill_primary,
    revive_targets,
    freeze_primary,
    freeze_hosts,
    unfreeze,
    kill_host,
    isolate_primary_from_replicas,
    isolate_data_centre,
    end_partitions,
    stop_platform,
    start_platform,
    lose_answers,
    lose_messages,
    slow_messages,
    slow_replica,
    request_change,
)

SCHEDULES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(FAULTS),
        strategies.integers(min_value=0, max_value=1500),
    ),
    min_size=1,
    max_size=8,
)
SEEDS = strategies.integers(min_value=0, max_value=2**32)


def freeze_promoting_hosts(world: World) -> None:
    """Freeze some hosts while they send a promotion's commands."""

    def pause(host: str, effect: effects.Effect) -> None:
        is_command = isinstance(
            effect, effects.ControlTarget | effects.UpdateObject
        )
        if is_command and world.random.random() < PAUSE_SHARE:
            world.frozen.add(host)
            world.run_after(
                world.random.random() * LONGEST_PAUSE_S, world.unfreeze
            )

    world.effect_hook = pause


def run_schedule(seed: int, schedule: list[tuple[Fault, int]]) -> World:
    """Run faults, each followed by a pause in ms, then end all faults."""
    world = World(seed)
    world.start()
    if seed % 2:
        freeze_promoting_hosts(world)
    for fault, pause_ms in schedule:
        fault(world)
        world.run(pause_ms / 1000)
    world.effect_hook = None
    world.clear_faults()
    revive_targets(world)
    return world


class RandomFaultsTest(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=60, database=None
    )
    @hypothesis.given(SEEDS, SCHEDULES)
    def test_promises_hold_and_service_returns(
        self, seed: int, schedule: list[tuple[Fault, int]]
    ) -> None:
        world = run_schedule(seed, schedule)
        is_whole = world.run_until(world.is_whole, RECOVERY_S)
        self.assertEqual([], world.faults, world.choices())
        self.assertTrue(is_whole, "\n".join(world.choices()))
