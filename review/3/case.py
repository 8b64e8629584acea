"""DRAIN: after a drill of the store, a draining instance still gets work."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import world as world_module  # noqa: E402

SERVICE = "svc"
AWAY_S = 1.0
# How much longer than drainMs a draining instance serves here.
EXTRA_S = 4.0


async def wait_for_successor(
    service: world_module.Service, former: world_module.Instance
) -> world_module.Instance:
    """Return the instance that leads after another one, for a second."""
    end_s = world_module.now_s() + 20.0
    since_s = world_module.now_s()
    while world_module.now_s() < end_s:
        primary = service.find_primary()
        if primary is None or primary is former or primary.is_draining:
            since_s = world_module.now_s()
        elif world_module.now_s() - since_s > 1.0:
            return primary
        await asyncio.sleep(0.05)
    raise world_module.CannotRun("the service got no new primary")


async def play(world: world_module.World) -> list[str]:
    """Replace two primaries in turn, with a drill of the store between."""
    await world.start([SERVICE], 3)
    service = world.services[SERVICE]
    for number, host in enumerate(world.hosts):
        for index, kind in enumerate(("primary", "read_your_writes") * 2):
            client = world_module.Client(
                world, host, f"{SERVICE}-{kind}", f"c{number}{index}"
            )
            world.spawn(client.run_writes(0.05))
    await asyncio.sleep(6.0)
    before_s = world_module.now_s()
    first = service.find_primary()
    assert first is not None
    world.record.say(f"the primary {first.id} is to be replaced")
    world.spawn(first.drain(EXTRA_S))
    second = await wait_for_successor(service, first)
    world.record.say(f"{second.id} is the primary")
    if world_module.has_trouble():
        age_s = await world.store.drill(before_s, AWAY_S)
        world.record.say(
            f"the store was away for {AWAY_S} s and is back from a copy that "
            f"was {age_s:.1f} s old"
        )
    # The first release ends, and the store is stable again.
    await asyncio.sleep(world_module.DRAIN_S + EXTRA_S + 2.0)
    world.record.say(f"the primary {second.id} is to be replaced")
    await second.drain(EXTRA_S)
    await asyncio.sleep(1.0)
    return judge(world, second)


def judge(
    world: world_module.World, instance: world_module.Instance
) -> list[str]:
    """Return the requests that reached a draining instance too late."""
    reported_s = instance.drain_acknowledged_s
    assert reported_s is not None
    after = [
        run
        for run in instance.runs
        if run[0] > reported_s and run[1] != "-" and run[3]
    ]
    late = [run for run in after if run[0] > reported_s + world_module.DRAIN_S]
    world.record.say(
        f"{instance.id} reported draining at {reported_s:.3f} s; "
        f"{len(after)} requests reached it later, {len(late)} of them more "
        f"than {world_module.DRAIN_S} s later"
    )
    unanswered = [
        (id_, answer)
        for client in world.clients
        for sent_s, _, id_, _, answer in client.outcomes
        if reported_s + world_module.DRAIN_S < sent_s
        and (not answer or "INDOUBT" in answer)
    ]
    world.record.say(f"writes without a known outcome since then: {unanswered}")
    return [
        f"DRAIN: {id_} {text!r} reached {instance.id} "
        f"{time_s - reported_s:.3f} s after the store acknowledged that it is "
        "draining"
        for time_s, id_, text, _ in late[:5]
    ]


if __name__ == "__main__":
    world_module.main(play, FOLDER)
