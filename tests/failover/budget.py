"""Print the time without acknowledged writes for each kind of failure.

Run as ``python -m tests.failover.budget [SEEDS]``. Times are simulated, with
messages of 0.5 to 3.5 ms, so the figures depend on the limits and not on the
speed of the machine.
"""

import statistics
import sys
from collections.abc import Callable

from tests.failover import harness

SEEDS = 200
RECOVERY_S = 20.0
World = harness.World


def refuse(world: World) -> None:
    """Make the primary refuse connections."""
    world.dead.add(world.primary)


def freeze(world: World) -> None:
    """Freeze the primary."""
    world.frozen.add(world.primary)


def cut_off(world: World) -> None:
    """Partition the primary from its replicas only."""
    world.partition(world.primary, others=set(world.targets) - {world.primary})


def lose_centre(world: World) -> None:
    """Kill the primary and all proxies of its data centre."""
    centre = world.targets[world.primary].data_centre
    world.dead.add(world.primary)
    for name, state in world.states.items():
        if state.identity.data_centre == centre:
            world.dead.add(name)


def lose_answer(world: World) -> None:
    """Make the primary refuse connections, and lose a platform answer."""
    world.lost_answers = 1
    world.dead.add(world.primary)


def change(world: World) -> None:
    """Request a planned change of the primary."""
    preferred = max(set(world.targets) - {world.primary})
    version, value = world.object
    world.update_object(version, {**value, "preferred": preferred})
    event = harness.events.ObjectSeen("group", harness.GROUP, *world.object)
    world.submit("h0", event)


FAILURES: tuple[Callable[[World], None], ...] = (
    refuse,
    freeze,
    cut_off,
    lose_centre,
    lose_answer,
    change,
)


def measure_gap(seed: int, failure: Callable[[World], None]) -> float | None:
    """Return the gap in seconds, or None if writes didn't resume."""
    world = World(seed, hosts=9)
    world.start()
    world.run(world.random.random())
    old = world.term
    before = world.acknowledged_at[-1]
    failure(world)

    def is_over() -> bool:
        return world.term > old and world.is_serving()

    if not world.run_until(is_over, RECOVERY_S):
        return None
    late = zip(world.acknowledged, world.acknowledged_at, strict=True)
    before = max(at for (term, _), at in late if term == old)
    late = zip(world.acknowledged, world.acknowledged_at, strict=True)
    return min(at for (term, _), at in late if term > old) - before


def main() -> None:
    """Print one line for each kind of failure."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    for failure in FAILURES:
        gaps = [measure_gap(seed, failure) for seed in range(seeds)]
        known = sorted(gap for gap in gaps if gap is not None)
        print(
            f"{failure.__name__:12} median {statistics.median(known):.2f} s"
            f" 99% {known[int(len(known) * 0.99)]:.2f} s"
            f" largest {known[-1]:.2f} s"
            f" not back {len(gaps) - len(known)} of {len(gaps)}"
        )


if __name__ == "__main__":
    main()
