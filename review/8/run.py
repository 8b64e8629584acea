"""A former member comes back in a group's record and stops its recovery."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import kit  # noqa: E402

RECORDS = "knapweedtally-members"
RECOVER_S = 12.0


async def restart(entry, number):
    """End a host by a signal and start it again."""
    entry.signal(number)
    await entry.process.wait()
    await asyncio.sleep(0.5)
    await entry.start()


def list_recorded(platform):
    """Return the members in the group's record."""
    stored = platform.store.get_objects(RECORDS).get("g")
    return sorted(stored["spec"]["members"]) if stored else []


async def count_served(entries, for_s):
    """Return how many writes were sent and how many succeeded."""
    sent = served = 0
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        entry = entries[sent % len(entries)]
        sent += 1
        client = kit.Client(f"c{sent}")
        try:
            await client.connect(entry.port, "g-primary")
            lines = await client.run(f"WRITE item {sent}")
            served += bool(lines) and lines[-1].startswith("DONE ")
        except (TimeoutError, OSError):
            pass
        client.close()
        await asyncio.sleep(0.1)
    return sent, served


async def scenario(platform, folder, record, entries):
    """Run the case and return what broke the rule."""
    group = platform.groups["g"]
    for number in range(3):
        entry = kit.Entry(platform, f"front-{number}", f"dc-{number}", folder)
        entries.append(entry)
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(3)
    record.write("recorded members:", *list_recorded(platform))
    copy = platform.store.make_copy()
    primary = group.get_primary()
    old = next(t for t in group.targets.values() if t is not primary)
    platform.leaving.add(old.id)
    await asyncio.sleep(0.5)
    await old.stop()
    platform.store.remove("servers", old.id)
    new = group.replace(old, keeps_log=True)
    await new.start()
    record.write(f"{old.id} was replaced by {new.id}")
    await asyncio.sleep(2)
    record.write("recorded members:", *list_recorded(platform))
    await asyncio.gather(*(restart(e, signal.SIGKILL) for e in entries))
    for entry in entries:
        await entry.wait_ready()
    record.write("recorded members:", *list_recorded(platform))
    if kit.HAS_TROUBLE:
        platform.store.is_down = True
        await asyncio.sleep(1)
        platform.store.restore(copy)
        platform.store.remove("servers", old.id)
        platform.rewrite_configuration()
        platform.store.is_down = False
        record.write("the store is back from a copy")
    await asyncio.sleep(6)
    record.write("recorded members:", *list_recorded(platform))
    before = await count_served(entries, 3)
    record.write("sent and served before the final fault:", before)
    await primary.stop()
    platform.store.remove("servers", primary.id)
    record.write(f"{primary.id} is lost for good; all hosts are killed")
    await asyncio.gather(*(restart(e, signal.SIGKILL) for e in entries))
    await asyncio.sleep(RECOVER_S)
    after = await count_served(entries, 25)
    record.write("sent and served after recoverS:", after)
    if 4 * after[1] < after[0] and 4 * before[1] >= before[0]:
        return [f"{after[1]} of {after[0]} requests are served"]
    return []


kit.run_case(FOLDER, scenario)
