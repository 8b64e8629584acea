"""Faults of a run, drawn from its seed."""

import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from tests.driver import world as world_module

World = world_module.World

START_S = 1.0
LAST_FIRST_S = 6.0
LAST_S = 10.0
DURATIONS_S = (0.5, 2.0, 4.0, 8.0)
GAPS_S = (0.2, 1.0, 3.0)

# Stands for the primary of the first group when the fault begins.
PRIMARY = "primary"


class Fault(NamedTuple):
    """Describe one fault.

    Attributes:
        at: when it begins, in seconds.
        kind: name of the fault, a key of ``KINDS``.
        place: what it strikes: a process or a data centre, or empty.
        duration_s: time until it is mended.
    """

    at: float
    kind: str
    place: str
    duration_s: float


class FaultKind(NamedTuple):
    """Say how to begin and mend a kind of fault.

    Attributes:
        begin: starts it at a place.
        mend: ends it.
        choose: names the place to strike.
    """

    begin: Callable[[World, str], None]
    mend: Callable[[World, str], None]
    choose: Callable[[World, random.Random], str]


def draw_faults(world: World, draw: random.Random) -> list[Fault]:
    """Draw one to three faults, most of them close together."""
    faults: list[Fault] = []
    at = draw.uniform(START_S, LAST_FIRST_S)
    for _ in range(draw.choice((1, 2, 2, 3))):
        name = draw.choice(sorted(KINDS))
        place = KINDS[name].choose(world, draw)
        duration_s = draw.choice(DURATIONS_S) * draw.uniform(0.5, 1.0)
        faults.append(Fault(round(at, 3), name, place, round(duration_s, 3)))
        at = min(LAST_S, at + draw.choice(GAPS_S) * draw.random())
    return sorted(faults)


def plan(world: World, faults: Sequence[Fault]) -> None:
    """Put the begin and the end of each fault into the schedule."""
    for fault in faults:
        world.schedule.call_later(fault.at, _make_begin(world, fault))


def _make_begin(world: World, fault: Fault) -> Callable[[], None]:
    kind = KINDS[fault.kind]

    def begin() -> None:
        place = fault.place
        if place == PRIMARY:
            place = world.name_primary(world.groups[0])
        world.schedule.note(f"fault {fault.kind} {place}")
        kind.begin(world, place)
        world.schedule.call_later(fault.duration_s, lambda: mend(place))

    def mend(place: str) -> None:
        world.schedule.note(f"mended {fault.kind} {place}")
        kind.mend(world, place)

    return begin


def _choose_proxy(world: World, draw: random.Random) -> str:
    return draw.choice(sorted(world.proxies))


def _choose_target(world: World, draw: random.Random) -> str:
    return draw.choice((PRIMARY, draw.choice(sorted(world.targets))))


def _choose_side(world: World, draw: random.Random) -> str:
    """Choose the processes on one side of a split."""
    everyone = sorted((*world.proxies, *world.targets, "platform"))
    return ",".join(name for name in everyone if draw.random() < 0.5)


def _choose_data_centre(world: World, draw: random.Random) -> str:
    return draw.choice(world_module.DATA_CENTRES)


def _choose_nothing(world: World, draw: random.Random) -> str:
    return ""


def _list_other_places(place: str) -> list[str]:
    others = (*world_module.DATA_CENTRES, "platform")
    return [other for other in others if other != place]


def _cut_away(world: World, place: str) -> None:
    """Cut a data centre off from the others; callers still reach it."""
    _cut_in(world, place)
    _cut_out(world, place)


def _mend_away(world: World, place: str) -> None:
    for other in _list_other_places(place):
        world.network.heal_cut(other, place)
        world.network.heal_cut(place, other)


def _cut_in(world: World, place: str) -> None:
    for other in _list_other_places(place):
        world.network.cut(other, place)


def _cut_out(world: World, place: str) -> None:
    for other in _list_other_places(place):
        world.network.cut(place, other)


def _cut_target(world: World, place: str) -> None:
    """Cut a target off from the other targets, but not from proxies."""
    for other in sorted(world.targets):
        if other != place:
            world.network.cut(place, other)
            world.network.cut(other, place)


def _mend_target(world: World, place: str) -> None:
    for other in sorted(world.targets):
        world.network.heal_cut(place, other)
        world.network.heal_cut(other, place)


def _mute_target(world: World, place: str) -> None:
    """Stop a target's answers to proxies; requests still reach it."""
    for proxy in sorted(world.proxies):
        world.network.cut(place, proxy)


def _mend_mute(world: World, place: str) -> None:
    for proxy in sorted(world.proxies):
        world.network.heal_cut(place, proxy)


def _cut_link(world: World, place: str) -> None:
    """Cut two processes off from each other."""
    one, two = place.split(",")
    world.network.cut(one, two)
    world.network.cut(two, one)


def _mend_link(world: World, place: str) -> None:
    one, two = place.split(",")
    world.network.heal_cut(one, two)
    world.network.heal_cut(two, one)


def _choose_link(world: World, draw: random.Random) -> str:
    proxy = draw.choice(sorted(world.proxies))
    return f"{proxy},{draw.choice(sorted(world.targets))}"


def _list_split(world: World, place: str) -> list[tuple[str, str]]:
    inside = set(place.split(","))
    everyone = (*world.proxies, *world.targets, "platform")
    outside = [name for name in everyone if name not in inside]
    return [(one, two) for one in sorted(inside) for two in outside]


def _split(world: World, place: str) -> None:
    """Cut some processes off from the others; callers reach both sides."""
    for one, two in _list_split(world, place):
        world.network.cut(one, two)
        world.network.cut(two, one)


def _mend_split(world: World, place: str) -> None:
    for one, two in _list_split(world, place):
        world.network.heal_cut(one, two)
        world.network.heal_cut(two, one)


def _stop_platform(world: World, place: str) -> None:
    world.platform.is_down = True


def _slow_platform(world: World, place: str) -> None:
    world.platform.delay_s = 0.8


def _lose_answers(world: World, place: str) -> None:
    world.platform.lost_answers = 3


def _mend_platform(world: World, place: str) -> None:
    world.platform.heal()


def _lag_replicas(world: World, place: str) -> None:
    for target in world.targets.values():
        target.apply_lag_s = 1.5


def _mend_lag(world: World, place: str) -> None:
    for target in world.targets.values():
        target.apply_lag_s = 0.0


def _slow_pulls(world: World, place: str) -> None:
    world.targets[place].pull_delay_s = 3.0


def _mend_pulls(world: World, place: str) -> None:
    world.targets[place].pull_delay_s = 0.0


def _drain_proxy(world: World, place: str) -> None:
    world.proxies[place].drain()


def _roll_out(world: World, place: str) -> None:
    """Let two operators roll out a bundle in which a target leaves."""
    world.roll_out(place)
    world.roll_out(world.schedule.random.choice(sorted(world.targets)))


def _race_operators(world: World, place: str) -> None:
    """Let two operators ask for a planned change at the same moment."""
    for target in world.schedule.random.sample(sorted(world.targets), 2):
        world.ask_for_primary(target)


def _lose_messages(world: World, place: str) -> None:
    world.network.loss = 0.2


def _mend_loss(world: World, place: str) -> None:
    world.network.loss = 0.0


def _do_nothing(world: World, place: str) -> None:
    """Mend nothing: the fault is over at once."""


KINDS: dict[str, FaultKind] = {
    "kill proxy": FaultKind(
        lambda world, place: world.proxies[place].kill(),
        lambda world, place: world.proxies[place].restart(),
        _choose_proxy,
    ),
    "freeze proxy": FaultKind(
        lambda world, place: world.proxies[place].process.freeze(),
        lambda world, place: world.proxies[place].process.thaw(),
        _choose_proxy,
    ),
    "kill target": FaultKind(
        lambda world, place: world.targets[place].kill(),
        lambda world, place: world.targets[place].restart(),
        _choose_target,
    ),
    "freeze target": FaultKind(
        lambda world, place: world.targets[place].process.freeze(),
        lambda world, place: world.targets[place].process.thaw(),
        _choose_target,
    ),
    "cut data centre": FaultKind(_cut_away, _mend_away, _choose_data_centre),
    "cut inwards": FaultKind(_cut_in, _mend_away, _choose_data_centre),
    "cut outwards": FaultKind(_cut_out, _mend_away, _choose_data_centre),
    "cut target": FaultKind(_cut_target, _mend_target, _choose_target),
    "mute target": FaultKind(_mute_target, _mend_mute, _choose_target),
    "cut link": FaultKind(_cut_link, _mend_link, _choose_link),
    "split": FaultKind(_split, _mend_split, _choose_side),
    "far behind": FaultKind(_slow_pulls, _mend_pulls, _choose_target),
    "platform down": FaultKind(_stop_platform, _mend_platform, _choose_nothing),
    "platform slow": FaultKind(_slow_platform, _mend_platform, _choose_nothing),
    "lost answers": FaultKind(_lose_answers, _do_nothing, _choose_nothing),
    "replicas behind": FaultKind(_lag_replicas, _mend_lag, _choose_nothing),
    "operators race": FaultKind(_race_operators, _do_nothing, _choose_nothing),
    "planned stop": FaultKind(
        _drain_proxy,
        lambda world, place: world.proxies[place].restart(),
        _choose_proxy,
    ),
    "bundles race": FaultKind(_roll_out, _do_nothing, _choose_target),
    "lossy network": FaultKind(_lose_messages, _mend_loss, _choose_nothing),
}
