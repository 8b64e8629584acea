"""Tests of groups whose record names targets that were replaced."""

import asyncio
import random

import testtools

from standins.line_platform import store
from standins.line_platform import targets
from tests.entry import harness
from tests.entry import test_member_records


class Fleet:
    """A group whose targets are replaced, and hosts that restart."""

    def __init__(self, system: harness.System) -> None:
        self.system = system
        self.platform = system.platform
        self.store = system.platform.store
        self.group = system.platform.groups["g"]

    def list_replicas(self) -> list[targets.Target]:
        primary = self.group.get_primary()
        return [t for t in self.group.targets.values() if t is not primary]

    async def replace(
        self, old: targets.Target, keeps_log: bool = True
    ) -> targets.Target:
        """Replace a target as planned, or by one that starts empty."""
        self.platform.leaving.add(old.id)
        await harness.wait_for(lambda: self.group.find_primary() is not old)
        await old.stop()
        self.store.remove("servers", old.id)
        new = self.group.replace(old, keeps_log)
        new.is_partitioned = not keeps_log
        await new.start()
        return new

    async def restart_hosts(self) -> None:
        """Replace all hosts by new ones that know nothing."""
        await self.stop_hosts()
        for _ in range(2):
            await harness.add_host(self.system)

    async def restart_host(self) -> None:
        """Replace one host by a new one."""
        await self.hosts[0].stop()
        await harness.add_host(self.system)

    async def stop_hosts(self) -> None:
        for host in self.hosts:
            await host.stop()

    @property
    def hosts(self) -> list[harness.EntryHost]:
        """The hosts that were started last."""
        return self.system.entry_hosts[-2:]

    async def restore(self, copy: store.StoreCopy, expiry_s: float) -> None:
        """Let the store come back; entries of targets that left expire."""
        self.store.restore(copy)
        await asyncio.sleep(expiry_s)
        for name in [*self.store.get_objects("servers")]:
            if name not in self.group.targets:
                self.store.remove("servers", name)

    async def wait_ready(self) -> None:
        for host in self.hosts:
            await harness.wait_for(host.host.is_ready)

    async def wait_led(self) -> None:
        await harness.wait_for(lambda: self.group.find_primary() is not None)

    async def wait_recorded(self) -> None:
        """Wait until the record has the members and nothing else."""
        await harness.wait_for(
            lambda: (
                test_member_records.list_recorded(self.system)
                == sorted(self.group.targets)
            )
        )

    async def write(self, value: str) -> None:
        """Write a value, again after each refusal."""
        caller = harness.Caller(self.hosts[-1].port)
        await caller.start("g-primary")
        async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
            answer = ["ERROR BUSY"]
            while answer[0].startswith("ERROR BUSY"):
                answer = await caller.run(f"WRITE item {value}")
                await asyncio.sleep(0.05)
        caller.close()

    async def lose_primary_and_hosts(self) -> None:
        """End the primary for good, and all hosts at the same moment."""
        primary = self.group.get_primary()
        await self.stop_hosts()
        await primary.stop()
        primary.has_platform_entry = False
        self.store.remove("servers", primary.id)
        for _ in range(2):
            await harness.add_host(self.system)
        await harness.wait_for(
            lambda: self.group.find_primary() not in (None, primary)
        )


class ReturnTest(testtools.TestCase):
    """The store comes back with the record of before a replacement.

    Guards against a group that has no primary any more, since its record names
    a former member that never answers beside one that is lost.
    """

    @harness.with_system(hosts=2)
    async def test_one_replica_was_replaced_before_a_restart(
        self, system: harness.System
    ) -> None:
        fleet = Fleet(system)
        await fleet.wait_recorded()
        copy = fleet.store.make_copy()
        await fleet.replace(fleet.list_replicas()[0])
        await fleet.wait_recorded()
        await fleet.restart_hosts()
        await fleet.wait_ready()
        for _ in range(2):
            fleet.store.restore(copy)
            await fleet.wait_recorded()
        await fleet.write("kept")
        await fleet.lose_primary_and_hosts()
        self.assertEqual("kept", fleet.group.get_primary().read("item"))

    @harness.with_system(hosts=2)
    async def test_both_replicas_were_replaced_twice(
        self, system: harness.System
    ) -> None:
        fleet = Fleet(system)
        await fleet.wait_recorded()
        copies = [fleet.store.make_copy()]
        for _ in range(2):
            for old in fleet.list_replicas():
                await fleet.replace(old)
            await asyncio.sleep(1.0)
            copies.append(fleet.store.make_copy())
        await fleet.restart_hosts()
        await fleet.wait_ready()
        for copy in reversed(copies):
            fleet.store.restore(copy)
            await asyncio.sleep(0.3)
        await fleet.wait_recorded()
        await fleet.write("kept")
        await fleet.lose_primary_and_hosts()
        self.assertEqual("kept", fleet.group.get_primary().read("item"))

    @harness.with_system(hosts=2)
    async def test_the_primary_was_replaced_and_hosts_are_lost_at_once(
        self, system: harness.System
    ) -> None:
        fleet = Fleet(system)
        await fleet.wait_recorded()
        copy = fleet.store.make_copy()
        await fleet.write("kept")
        await fleet.replace(fleet.group.get_primary())
        await fleet.wait_ready()
        await fleet.write("kept too")
        await fleet.stop_hosts()
        fleet.store.restore(copy)
        await fleet.lose_primary_and_hosts()
        self.assertEqual("kept too", fleet.group.get_primary().read("item"))


async def play(fleet: Fleet, seed: int) -> None:
    """Draw replacements, returns and restarts, and then the final fault."""
    rng = random.Random(seed)
    copies = [fleet.store.make_copy()]
    for number in range(rng.randint(3, 6)):
        for _ in range(rng.randint(1, 2)):
            await fleet.wait_led()
            candidates = [*fleet.list_replicas(), fleet.group.get_primary()]
            await fleet.replace(rng.choice(candidates))
            if rng.random() < 0.5:
                copies.append(fleet.store.make_copy())
        await fleet.write(f"{seed}-{number}")
        if rng.random() < 0.7:
            copy = rng.choice(copies[-3:])
            await fleet.restore(copy, rng.uniform(0.0, 1.0))
        if rng.random() < 0.7:
            restart = rng.choice((fleet.restart_host, fleet.restart_hosts))
            await restart()
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 2.0))))
    await fleet.lose_primary_and_hosts()


class DrawnTest(testtools.TestCase):
    """Drawn replacements, returns and restarts before the final fault."""

    async def assert_recovers(self, system: harness.System, seed: int) -> None:
        fleet = Fleet(system)
        await fleet.wait_recorded()
        await play(fleet, seed)
        value = fleet.group.get_primary().read("item")
        self.assertTrue(value.startswith(f"{seed}-"), value)
        await fleet.write("and more")

    @harness.with_system(hosts=2)
    async def test_group_is_led_again(self, system: harness.System) -> None:
        await self.assert_recovers(system, 1)


class EmptySuccessorTest(testtools.TestCase):
    """The target that has a replaced one's address started without its log."""

    # Guards against the loss of commits that only the replaced target and a
    # primary that is away have.
    @harness.with_system(hosts=2)
    async def test_commits_wait_for_the_primary_that_has_them(
        self, system: harness.System
    ) -> None:
        fleet = Fleet(system)
        await fleet.wait_recorded()
        copy = fleet.store.make_copy()
        primary = fleet.group.get_primary()
        replaced, behind = fleet.list_replicas()
        behind.is_partitioned = True
        await fleet.write("kept")
        self.assertEqual("-", behind.read("item"))
        new = await fleet.replace(replaced, keeps_log=False)
        await primary.stop()
        await fleet.stop_hosts()
        fleet.store.restore(copy)
        await fleet.restart_hosts()
        host = fleet.hosts[-1]
        await harness.wait_for(
            lambda: len(host.find_lines("group_without_primary")) > 3
        )
        self.assertIs(primary, fleet.group.find_primary())
        self.assertEqual([], fleet.group.promotion_history)
        report = host.find_lines("group_without_primary")[-1]
        self.assertEqual([new.id], report["successors"])
        # The primary comes back, and the others receive its log.
        for target in (primary, behind, new):
            target.is_partitioned = False
        await primary.start()
        await fleet.wait_ready()
        await fleet.write("and more")
        await fleet.wait_recorded()
        await fleet.lose_primary_and_hosts()
        values = fleet.group.get_primary().read_all("item")
        self.assertEqual(["kept", "and more"], values)

    # Guards the way out that the operators' page names.
    @harness.with_system(hosts=2)
    async def test_group_is_led_without_those_logs_once_its_record_is_removed(
        self, system: harness.System
    ) -> None:
        fleet = Fleet(system)
        await fleet.write("kept")
        await fleet.wait_recorded()
        replaced, _ = fleet.list_replicas()
        primary = fleet.group.get_primary()
        await fleet.stop_hosts()
        await primary.stop()
        primary.has_platform_entry = False
        fleet.store.remove("servers", primary.id)
        await fleet.replace(replaced, keeps_log=False)
        await fleet.restart_hosts()
        host = fleet.hosts[-1]
        await harness.wait_for(
            lambda: len(host.find_lines("group_without_primary")) > 3
        )
        self.assertEqual([], fleet.group.promotion_history)
        await fleet.stop_hosts()
        harness.forget_members(system)
        await fleet.restart_hosts()
        await harness.wait_for(lambda: fleet.group.promotion_history != [])
        self.assertEqual("kept", fleet.group.get_primary().read("item"))
