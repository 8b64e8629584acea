"""Fault injection: the kinds of faults, and their choice from a seed."""

import functools
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from knapweedtally.core import effects
from tests.driver import connection as connection_module
from tests.driver import replacement
from tests.driver import world as world_module

World = world_module.World

EARLIEST_START_S = 1.0
LATEST_FIRST_START_S = 6.0
LATEST_START_S = 10.0
MAX_DURATIONS_S = (0.5, 2.0, 4.0, 8.0)
MAX_GAPS_S = (0.2, 1.0, 3.0)

# Commands of a promotion at which a process may crash.
COMMANDS = ("hold", "install_term", "promote", "follow")
MAX_CRASHES = 3
MAX_CRASH_DELAY_S = 0.010
MAX_DOWNTIME_S = 0.3
MAX_ANSWER_DELAY_S = 0.35

# Place of a fault at the first group's primary, found when the fault starts.
PRIMARY = "primary"


class Fault(NamedTuple):
    """One fault of a run.

    Attributes:
        at: virtual time at which it starts, in seconds.
        kind: name of the fault, a key of ``KINDS``.
        place: names of the processes or the data centre that it affects,
            separated by commas; empty if the kind needs none.
        duration_s: time from its start until it is healed.
    """

    at: float
    kind: str
    place: str
    duration_s: float


class FaultKind(NamedTuple):
    """How to start and heal a kind of fault.

    Attributes:
        start: starts the fault at a place.
        heal: ends the fault at a place.
        choose_place: returns the place that the fault is to affect.
    """

    start: Callable[[World, str], None]
    heal: Callable[[World, str], None]
    choose_place: Callable[[World, random.Random], str]


def draw_faults(world: World, rng: random.Random) -> list[Fault]:
    """Draw one to three faults, most of them close together."""
    faults: list[Fault] = []
    at = rng.uniform(EARLIEST_START_S, LATEST_FIRST_START_S)
    for _ in range(rng.choice((1, 2, 2, 3))):
        name = rng.choice(sorted(KINDS))
        place = KINDS[name].choose_place(world, rng)
        duration_s = rng.choice(MAX_DURATIONS_S) * rng.uniform(0.5, 1.0)
        faults.append(Fault(round(at, 3), name, place, round(duration_s, 3)))
        at = min(LATEST_START_S, at + rng.choice(MAX_GAPS_S) * rng.random())
    return sorted(faults)


def schedule_faults(world: World, faults: Sequence[Fault]) -> None:
    """Schedule the start and the end of each fault."""
    for fault in faults:
        world.schedule.call_later(fault.at, _make_start(world, fault))


def _make_start(world: World, fault: Fault) -> Callable[[], None]:
    kind = KINDS[fault.kind]

    def start() -> None:
        place = fault.place
        if place == PRIMARY:
            place = world.get_primary_id(world.groups[0])
        world.schedule.add_trace_line(f"fault {fault.kind} {place}")
        kind.start(world, place)
        world.schedule.call_later(fault.duration_s, lambda: heal(place))

    def heal(place: str) -> None:
        world.schedule.add_trace_line(f"healed {fault.kind} {place}")
        kind.heal(world, place)

    return start


def _choose_proxy(world: World, rng: random.Random) -> str:
    return rng.choice(sorted(world.proxies))


def _choose_target(world: World, rng: random.Random) -> str:
    return rng.choice((PRIMARY, rng.choice(sorted(world.targets))))


def _choose_partition(world: World, rng: random.Random) -> str:
    """Choose the processes on one side of a network partition."""
    processes = sorted((*world.proxies, *world.targets, "platform"))
    return ",".join(name for name in processes if rng.random() < 0.5)


def _choose_data_centre(world: World, rng: random.Random) -> str:
    return rng.choice(world_module.DATA_CENTRES)


def _choose_nothing(world: World, rng: random.Random) -> str:
    return ""


def _list_other_places(place: str) -> list[str]:
    others = (*world_module.DATA_CENTRES, "platform")
    return [other for other in others if other != place]


def _isolate_data_centre(world: World, place: str) -> None:
    """Isolate a data centre from the others; callers still reach it."""
    _block_inbound(world, place)
    _block_outbound(world, place)


def _reconnect_data_centre(world: World, place: str) -> None:
    for other in _list_other_places(place):
        world.network.unblock(other, place)
        world.network.unblock(place, other)


def _block_inbound(world: World, place: str) -> None:
    for other in _list_other_places(place):
        world.network.block(other, place)


def _block_outbound(world: World, place: str) -> None:
    for other in _list_other_places(place):
        world.network.block(place, other)


def _isolate_from_targets(world: World, place: str) -> None:
    """Isolate a target from the other targets, but not from proxies."""
    for other in sorted(world.targets):
        if other != place:
            world.network.block(place, other)
            world.network.block(other, place)


def _reconnect_to_targets(world: World, place: str) -> None:
    for other in sorted(world.targets):
        world.network.unblock(place, other)
        world.network.unblock(other, place)


def _block_answers_to_proxies(world: World, place: str) -> None:
    """Block a target's answers to proxies; requests still reach it."""
    for proxy in sorted(world.proxies):
        world.network.block(place, proxy)


def _unblock_answers_to_proxies(world: World, place: str) -> None:
    for proxy in sorted(world.proxies):
        world.network.unblock(place, proxy)


def _block_link(world: World, place: str) -> None:
    """Block messages between two processes in both directions."""
    one, two = place.split(",")
    world.network.block(one, two)
    world.network.block(two, one)


def _unblock_link(world: World, place: str) -> None:
    one, two = place.split(",")
    world.network.unblock(one, two)
    world.network.unblock(two, one)


def _choose_link(world: World, rng: random.Random) -> str:
    proxy = rng.choice(sorted(world.proxies))
    return f"{proxy},{rng.choice(sorted(world.targets))}"


def _list_partition_pairs(world: World, place: str) -> list[tuple[str, str]]:
    inside = set(place.split(","))
    processes = (*world.proxies, *world.targets, "platform")
    outside = [name for name in processes if name not in inside]
    return [(one, two) for one in sorted(inside) for two in outside]


def _partition_network(world: World, place: str) -> None:
    """Isolate some processes from the others; callers reach both sides."""
    for one, two in _list_partition_pairs(world, place):
        world.network.block(one, two)
        world.network.block(two, one)


def _heal_partition(world: World, place: str) -> None:
    for one, two in _list_partition_pairs(world, place):
        world.network.unblock(one, two)
        world.network.unblock(two, one)


def _stop_platform(world: World, place: str) -> None:
    world.platform.is_down = True


def _delay_platform(world: World, place: str) -> None:
    world.platform.delay_s = 0.8


def _lose_platform_answers(world: World, place: str) -> None:
    world.platform.lost_answers = 3


def _heal_platform(world: World, place: str) -> None:
    world.platform.heal()


def _delay_replicas(world: World, place: str) -> None:
    for target in world.targets.values():
        target.apply_lag_s = 1.5


def _reset_replica_delay(world: World, place: str) -> None:
    for target in world.targets.values():
        target.apply_lag_s = 0.0


def _delay_pulls(world: World, place: str) -> None:
    world.targets[place].pull_delay_s = 3.0


def _reset_pull_delay(world: World, place: str) -> None:
    world.targets[place].pull_delay_s = 0.0


def _drain_proxy(world: World, place: str) -> None:
    world.proxies[place].drain()


def _roll_out_two_bundles(world: World, place: str) -> None:
    """Let two operators each roll out a bundle in which a target leaves."""
    world.roll_out(place)
    world.roll_out(world.schedule.random.choice(sorted(world.targets)))


def _request_two_primaries(world: World, place: str) -> None:
    """Let two operators request a planned primary change at once."""
    for target in world.schedule.random.sample(sorted(world.targets), 2):
        world.request_primary_change(target)


def _lose_messages(world: World, place: str) -> None:
    world.network.loss_probability = 0.2


def _stop_message_loss(world: World, place: str) -> None:
    world.network.loss_probability = 0.0


def _delay_answers(world: World, place: str) -> None:
    """Delay answers to commands and probes, up to beyond a restart."""
    world.network.max_answer_delay_s = MAX_ANSWER_DELAY_S


def _end_answer_delay(world: World, place: str) -> None:
    world.network.max_answer_delay_s = 0.0


def _choose_crash(world: World, rng: random.Random) -> str:
    """Choose a command, and which process crashes when it is sent."""
    return f"{rng.choice(COMMANDS)},{rng.choice(('proxy', 'target'))}"


def _crash_in_replacement(world: World, place: str) -> None:
    """Kill the primary, and crash processes while it is replaced."""
    _crash_at_command(world, place)
    world.targets[world.get_primary_id(world.groups[0])].kill()


def _crash_in_planned_change(world: World, place: str) -> None:
    """Request a primary change, and crash processes while it runs."""
    _crash_at_command(world, place)
    group = world.groups[0]
    names = [target.id for target in world.list_targets(group)]
    names.remove(world.get_primary_id(group))
    world.request_primary_change(world.schedule.random.choice(names))


def _crash_at_command(world: World, place: str) -> None:
    """Crash the sender or the receiver of the next commands of one kind.

    The process starts again soon; it may end before or after the command has
    arrived, and its answer may still be on the way.
    """
    command, victim = place.split(",")
    draw = world.schedule.random.random
    crashes = world.schedule.random.randint(1, MAX_CRASHES)

    def crash(proxy: str, effect: effects.ControlTarget) -> None:
        nonlocal crashes
        if effect.command != command or not crashes:
            return
        crashes -= 1
        process = world.proxies[proxy]
        if victim == "target":
            process = world.targets[effect.target]
        delay_s = MAX_CRASH_DELAY_S * draw()
        world.schedule.call_later(delay_s, process.kill)
        delay_s += MAX_DOWNTIME_S * draw()
        world.schedule.call_later(delay_s, process.restart)

    for name, proxy in world.proxies.items():
        proxy.on_command = functools.partial(crash, name)


def _end_crashes(world: World, place: str) -> None:
    for proxy in world.proxies.values():
        proxy.on_command = connection_module.ignore
    for target in world.targets.values():
        target.restart()


def _replace_target(world: World, place: str) -> None:
    """Let an operator add a target, and then remove another one."""
    group = place.rpartition("-")[0]
    replacement.Replacement(world, group, place).start()


def _choose_removed(world: World, rng: random.Random) -> str:
    return rng.choice(sorted(world.targets))


def _do_nothing(world: World, place: str) -> None:
    """Do nothing, as the fault ends by itself."""


KINDS: dict[str, FaultKind] = {
    "kill proxy": FaultKind(
        lambda world, place: world.proxies[place].kill(),
        lambda world, place: world.proxies[place].restart(),
        _choose_proxy,
    ),
    "freeze proxy": FaultKind(
        lambda world, place: world.proxies[place].process.pause(),
        lambda world, place: world.proxies[place].process.resume(),
        _choose_proxy,
    ),
    "kill target": FaultKind(
        lambda world, place: world.targets[place].kill(),
        lambda world, place: world.targets[place].restart(),
        _choose_target,
    ),
    "freeze target": FaultKind(
        lambda world, place: world.targets[place].process.pause(),
        lambda world, place: world.targets[place].process.resume(),
        _choose_target,
    ),
    "cut data centre": FaultKind(
        _isolate_data_centre, _reconnect_data_centre, _choose_data_centre
    ),
    "cut inwards": FaultKind(
        _block_inbound, _reconnect_data_centre, _choose_data_centre
    ),
    "cut outwards": FaultKind(
        _block_outbound, _reconnect_data_centre, _choose_data_centre
    ),
    "cut target": FaultKind(
        _isolate_from_targets, _reconnect_to_targets, _choose_target
    ),
    "mute target": FaultKind(
        _block_answers_to_proxies, _unblock_answers_to_proxies, _choose_target
    ),
    "cut link": FaultKind(_block_link, _unblock_link, _choose_link),
    "split": FaultKind(_partition_network, _heal_partition, _choose_partition),
    "far behind": FaultKind(_delay_pulls, _reset_pull_delay, _choose_target),
    "platform down": FaultKind(_stop_platform, _heal_platform, _choose_nothing),
    "platform slow": FaultKind(
        _delay_platform, _heal_platform, _choose_nothing
    ),
    "lost answers": FaultKind(
        _lose_platform_answers, _do_nothing, _choose_nothing
    ),
    "replicas behind": FaultKind(
        _delay_replicas, _reset_replica_delay, _choose_nothing
    ),
    "operators race": FaultKind(
        _request_two_primaries, _do_nothing, _choose_nothing
    ),
    "planned stop": FaultKind(
        _drain_proxy,
        lambda world, place: world.proxies[place].restart(),
        _choose_proxy,
    ),
    "bundles race": FaultKind(
        _roll_out_two_bundles, _do_nothing, _choose_target
    ),
    "late answers": FaultKind(
        _delay_answers, _end_answer_delay, _choose_nothing
    ),
    "crash in replacement": FaultKind(
        _crash_in_replacement, _end_crashes, _choose_crash
    ),
    "crash in planned change": FaultKind(
        _crash_in_planned_change, _end_crashes, _choose_crash
    ),
    "replace target": FaultKind(_replace_target, _do_nothing, _choose_removed),
    "lossy network": FaultKind(
        _lose_messages, _stop_message_loss, _choose_nothing
    ),
}
