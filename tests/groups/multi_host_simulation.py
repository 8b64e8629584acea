"""Simulation of several hosts that change the primary of one group.

Each set of faults can be switched on by itself. Targets crash for a moment,
members are listed late or not at all, promotions take effect late, and a
primary that stepped down may lead again after a restart. A commit counts as
lost if a caller was told of it and a target that is promoted lacks it.
"""

import asyncio
import enum
from typing import Any
from unittest import mock

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import model
from knapweedtally.entry.common import clock
from knapweedtally.entry.members import promoter
from knapweedtally.utils import http
from tests.groups import simulated_hosts
from tests.groups import simulated_targets

# Time until the hosts rely on their first list of targets.
START_S = catalog.SETTLING_TIME_S - 1.5
DURATION_S = 16.0 + START_S


class Fault(enum.Enum):
    """Faults that can be switched on by themselves.

    The primary is replaced because of crashes, cuts and drains in any run, and
    members are cut off or receive nothing for a while.
    """

    ONE_RESTART = "one member restarts during a change"
    RESTARTS = "members restart during a change"
    UNLISTED = "a member that runs has no entry in the store"
    DIFFERENT_LISTS = "hosts start with lists that lack members"
    LATE_WATCH = "hosts learn of changed entries late"
    JOINS = "a member joins during a change"
    MEMBER_DRAINS = "a member leaves, and a successor takes over its log"
    LOST_ENTRIES = "the entry of a member that runs is lost"
    NEW_HOSTS = "a host starts during a change"
    STORE_CUTS = "a host can't reach the store for a while"
    LATE_CALLS = "a promotion call arrives seconds late"
    LATE_EFFECTS = "a promotion takes effect seconds late"
    LOST_ANSWERS = "the answer to a promotion call is lost"
    LATE_MESSAGES = "messages to targets arrive up to a second late"
    KILLED_HOSTS = "a host is killed while it changes the primary"
    LEADS_AGAIN = "a primary that stepped down leads again after a restart"
    FENCE_CHECK = "the platform rejects lower fencing tokens"
    STORE_RETURNS = "the store comes back from an older copy"
    EMPTY_SUCCESSORS = "a successor starts without the log"


RESTARTS = frozenset({Fault.RESTARTS})
LISTS = frozenset(
    {
        Fault.UNLISTED,
        Fault.DIFFERENT_LISTS,
        Fault.LATE_WATCH,
        Fault.JOINS,
        Fault.MEMBER_DRAINS,
        Fault.LOST_ENTRIES,
        Fault.NEW_HOSTS,
        Fault.STORE_CUTS,
    }
)
LATE_PROMOTIONS = frozenset(
    {
        Fault.LATE_CALLS,
        Fault.LATE_EFFECTS,
        Fault.LOST_ANSWERS,
        Fault.LATE_MESSAGES,
        Fault.KILLED_HOSTS,
        Fault.STORE_CUTS,
    }
)
LEADS_AGAIN = frozenset({Fault.LEADS_AGAIN})


class Client:
    """Connection to the promotion call."""

    def __init__(self, platform: simulated_targets.Platform) -> None:
        self._platform = platform

    async def connect(self) -> None:
        await asyncio.sleep(0.002)

    async def send(
        self, request: http.Request, timeout_s: float
    ) -> http.Response:
        return http.Response(await self._platform.call(request, timeout_s))

    async def close(self) -> None:
        return


class Simulation:
    """One run with its targets, hosts and faults."""

    def __init__(self, seed: int, faults: frozenset[Fault]) -> None:
        self.world: Any = simulated_targets.World(seed)
        self.random = self.world.random
        self.faults = faults
        self.platform = simulated_targets.Platform(
            self.world,
            simulated_targets.ApiFaults(
                lost_answer=0.3 if Fault.LOST_ANSWERS in faults else 0.05,
                held_up=0.4 if Fault.LATE_CALLS in faults else 0.0,
                slow_effect=0.3 if Fault.LATE_EFFECTS in faults else 0.0,
                checks_fence=Fault.FENCE_CHECK in faults,
            ),
        )
        if Fault.LATE_MESSAGES in faults:
            self.world.max_delay_s = 1.0
        self.platform.on_accepted.append(self._disturb_promotion)
        self.store = simulated_targets.Store(self.world)
        self._number = 0
        self._error: BaseException | None = None
        self._methods = {
            Fault.RESTARTS: self._restart_member,
            Fault.JOINS: self._join,
            Fault.MEMBER_DRAINS: self._drain_member,
            Fault.LOST_ENTRIES: self._lose_entry,
            Fault.NEW_HOSTS: self._start_host,
            Fault.STORE_CUTS: self._cut_store,
            Fault.KILLED_HOSTS: self._replace_host,
            Fault.STORE_RETURNS: self._restore_store,
        }

    def run(self) -> simulated_targets.World:
        """Play the run and return its world."""
        world = self.world
        with (
            mock.patch.object(clock, "get_time_s", lambda: world.now_s),
            mock.patch.object(
                promoter.http_client,
                "Client",
                lambda *_, **__: Client(self.platform),
            ),
        ):
            world.loop.set_exception_handler(self._record_error)
            self._start()
            player = world.loop.create_task(self._play())
            world.loop.call_later(DURATION_S, world.loop.stop)
            world.loop.run_forever()
            self._close()
        if self._error is not None:
            raise self._error
        if not player.cancelled():
            player.result()
        return world

    def _record_error(self, loop: Any, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self._error = self._error or error or AssertionError(str(context))

    def _close(self) -> None:
        loop = self.world.loop
        for host in self.store.hosts:
            host.is_alive = False
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.wait(tasks))
        loop.discard_timers()
        loop.close()

    def _start(self) -> None:
        count = self.random.choice((2, 3, 3, 3, 4))
        for _ in range(count):
            self._add_target(None)
        first: simulated_targets.Target = self.world.targets["t1"]
        first.is_primary = True
        for target in self.world.targets.values():
            self.store.publish(target)
        self.store.record_members()
        self.world.live_hosts = ["h1", "h2", "h3"]
        self.world.live_version = 1
        unlisted = None
        if Fault.UNLISTED in self.faults and self.random.random() < 0.4:
            unlisted = f"t{count}"
            self.world.note(f"{unlisted} has no entry in the store")
            del self.store.entries[unlisted]
        for name in self.world.live_hosts:
            entries = [
                entry
                for entry in self.store.entries.values()
                if not self._is_omitted(entry)
            ]
            simulated_hosts.Host(self.world, self.store, name, entries)
        if Fault.LATE_WATCH in self.faults:
            for name in self.world.live_hosts:
                self.store.watch_delays_s[name] = self.random.choice(
                    (0.0, 0.0, 0.5, 2.0)
                )

    def _is_omitted(self, entry: model.TargetEntry) -> bool:
        """Return whether a host that starts doesn't find an entry."""
        if Fault.DIFFERENT_LISTS not in self.faults or entry.target == "t1":
            return False
        return self.random.random() < 0.1

    def _add_target(self, address: str | None) -> simulated_targets.Target:
        self._number += 1
        name = f"t{self._number}"
        return simulated_targets.Target(self.world, name, address or name)

    # Faults.

    async def _play(self) -> None:
        await asyncio.sleep(START_S)
        while True:
            await asyncio.sleep(self.random.uniform(1.5, 2.5))
            primary = self.world.find_newest_primary()
            if primary is None:
                continue
            trigger = self.random.choice(
                (self._cut, self._crash, self._drain, self._stall)
            )
            background = asyncio.ensure_future(self._disturb())
            await trigger(primary)
            await background
            await asyncio.sleep(self.random.uniform(0.0, 2.0))
            for one, other in sorted(map(sorted, self.world.cut)):
                self.world.heal_link(one, other)

    async def _cut(self, primary: simulated_targets.Target) -> None:
        """Cut some hosts, at times all of them, from the primary."""
        hosts = [host.name for host in self.store.hosts if host.is_alive]
        count = self.random.choice((2, 2, 2, 3))
        for name in self.random.sample(hosts, min(count, len(hosts))):
            self.world.cut_link(name, primary.name)
        await asyncio.sleep(self.random.uniform(1.0, 4.0))

    async def _crash(self, primary: simulated_targets.Target) -> None:
        primary.crash()
        await asyncio.sleep(self.random.uniform(0.1, 4.0))
        primary.restart(Fault.LEADS_AGAIN in self.faults)
        if not primary.is_gone:
            self.store.publish(primary)

    async def _drain(self, target: simulated_targets.Target) -> None:
        """Drain a target, and start its successor at its address."""
        target.is_draining = True
        self.world.note(f"{target.name} is draining")
        self.store.publish(target)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        if target.is_gone or not target.is_up:
            return
        await self._succeed(target)

    async def _succeed(self, target: simulated_targets.Target) -> None:
        if target.is_primary and self.random.random() < 0.5:
            return
        target.crash()
        target.is_gone = True
        self.store.remove(target.name)
        await asyncio.sleep(self.random.uniform(0.1, 0.6))
        successor = self._add_target(target.address)
        successor.log = list(target.log)
        successor.term, successor.log_term = target.term, target.log_term
        successor.is_primary = target.is_primary
        successor.has_stepped_down = target.has_stepped_down
        del self.world.targets[target.name]
        self.world.note(f"{successor.name} takes over {target.name}'s log")
        is_replica = not target.is_primary
        if Fault.EMPTY_SUCCESSORS in self.faults and is_replica:
            self._empty(successor)
        successor.restart(Fault.LEADS_AGAIN in self.faults)
        self.store.publish(successor)

    def _empty(self, successor: simulated_targets.Target) -> None:
        """Let a successor start without the log, at times also cut off."""
        self.world.note(f"{successor.name} starts empty")
        successor.log, successor.log_term = [], 0
        primary = self.world.find_newest_primary()
        if primary is not None and self.random.random() < 0.7:
            self.world.cut_link(successor.name, primary.name)

    async def _stall(self, primary: simulated_targets.Target) -> None:
        """Cut the primary from most of its replicas."""
        others = [n for n in self.world.targets if n != primary.name]
        spared = self.random.choice([*others, None, None])
        for name in others:
            if name != spared:
                self.world.cut_link(primary.name, name)
        await asyncio.sleep(self.random.uniform(1.0, 4.0))

    async def _disturb(self) -> None:
        """Play further faults while the primary is changed."""
        for _ in range(self.random.randint(1, 4)):
            await asyncio.sleep(self.random.uniform(0.0, 1.2))
            kinds = [self._cut_member, self._delay_member]
            kinds += [
                method
                for fault, method in self._methods.items()
                if fault in self.faults
            ] * 2
            await self.random.choice(kinds)()

    def _choose_host(self) -> simulated_hosts.Host:
        hosts = [host for host in self.store.hosts if host.is_alive]
        return self.random.choice(hosts)

    def _choose_member(self) -> simulated_targets.Target | None:
        members = [
            t
            for t in self.world.targets.values()
            if t.is_up and not t.is_primary
        ]
        return self.random.choice(members) if members else None

    async def _cut_member(self) -> None:
        """Cut a member from some hosts."""
        member = self._choose_member()
        host = self._choose_host()
        if member is not None:
            self.world.cut_link(host.name, member.name)

    async def _delay_member(self) -> None:
        """Let a member receive nothing for a while."""
        member = self._choose_member()
        primary = self.world.find_newest_primary()
        if member is None or primary is None:
            return
        self.world.cut_link(member.name, primary.name)
        await asyncio.sleep(self.random.uniform(0.05, 0.5))
        self.world.heal_link(member.name, primary.name)

    async def _restart_member(self) -> None:
        member = self._choose_member()
        if member is not None:
            await self._restart(member)

    async def _restart(self, member: simulated_targets.Target) -> None:
        member.crash()
        await asyncio.sleep(self.random.uniform(0.02, 0.3))
        if not member.is_up:
            member.restart(Fault.LEADS_AGAIN in self.faults)
            if not member.is_gone and member.name in self.store.entries:
                self.store.publish(member)

    async def _join(self) -> None:
        """Let a new member join with a copy of the primary's log."""
        primary = self.world.find_newest_primary()
        if primary is None or len(self.world.targets) > 5:
            return
        target = self._add_target(None)
        target.log = list(primary.log)
        target.term = target.log_term = primary.term
        self.world.note(f"{target.name} joins")
        await asyncio.sleep(self.random.choice((0.0, 0.3, 1.0)))
        self.store.publish(target)

    async def _drain_member(self) -> None:
        member = self._choose_member()
        if member is not None and not member.is_draining:
            await self._drain(member)

    async def _lose_entry(self) -> None:
        """Remove the entry of a member that still runs."""
        member = self._choose_member()
        if member is not None:
            self.world.note(f"the entry of {member.name} is lost")
            self.store.remove(member.name)

    async def _start_host(self) -> None:
        """Start a host, which may not find all entries."""
        name = f"h{len(self.store.hosts) + 1}"
        self.world.note(f"{name} starts")
        entries = [
            entry
            for entry in self.store.entries.values()
            if not self._is_omitted(entry)
        ]
        simulated_hosts.Host(self.world, self.store, name, entries)
        self.world.live_hosts.append(name)
        self.world.live_version += 1

    async def _cut_store(self) -> None:
        """Cut a host from the store for a while."""
        host = self._choose_host()
        self.world.note(f"{host.name} loses the store")
        self.store.cut_hosts.add(host.name)
        self.world.loop.call_later(
            self.random.uniform(1.0, 5.0), self.store.reconnect, host
        )

    async def _restore_store(self) -> None:
        """Let the store come back, and at times restart all hosts."""
        self.store.restore()
        if self.random.random() < 0.5:
            hosts = [host for host in self.store.hosts if host.is_alive]
            for host in hosts:
                self._kill(host)
            for _ in hosts:
                await self._start_host()

    async def _replace_host(self) -> None:
        """Kill a host, at best one that is changing the primary."""
        hosts = [h for h in self.store.hosts if h.is_alive]
        changing = [
            h for h in hosts if h.changes.is_changing(simulated_targets.GROUP)
        ]
        if len(hosts) < 3:
            return
        host = self.random.choice(changing or hosts)
        self._kill(host)
        await self._start_host()

    def _kill(self, host: simulated_hosts.Host) -> None:
        self.world.note(f"{host.name} is killed")
        host.is_alive = False
        self.store.cut_hosts.add(host.name)
        self.world.dead.add(host.name)
        for name in [*self.world.targets, *self.world.live_hosts]:
            if name != host.name:
                self.world.cut.add(frozenset((host.name, name)))
        self.world.loop.call_later(3.0, self._forget_host, host)

    def _forget_host(self, host: simulated_hosts.Host) -> None:
        self.world.live_hosts.remove(host.name)
        self.world.live_version += 1

    def _disturb_promotion(self, candidate: str) -> None:
        """Play the faults of a set between a promotion's call and effect."""
        loop = self.world.loop
        count = 0
        if Fault.RESTARTS in self.faults and self.random.random() < 0.6:
            count = self.random.randint(1, 2)
        elif Fault.ONE_RESTART in self.faults:
            count = 1
        for _ in range(count):
            member = self._choose_member()
            if member is not None:
                delay_s = self.random.uniform(0.0, 0.2)
                loop.call_later(delay_s, self._restart_later, member)
        if Fault.KILLED_HOSTS in self.faults and self.random.random() < 0.4:
            loop.create_task(self._hand_over(candidate))
        if Fault.LEADS_AGAIN in self.faults and self.random.random() < 0.6:
            for target in list(self.world.targets.values()):
                if target.has_stepped_down and target.is_up:
                    delay_s = self.random.uniform(0.0, 0.2)
                    loop.call_later(delay_s, self._restart_later, target)

    async def _hand_over(self, candidate: str) -> None:
        """Kill the promoter; the next one can't fence all members at first."""
        await asyncio.sleep(self.random.uniform(0.0, 0.1))
        await self._replace_host()
        await asyncio.sleep(self.random.uniform(1.0, 2.5))
        member = self._choose_member()
        if member is None or member.name == candidate:
            return
        for host in self.store.hosts:
            if host.is_alive:
                self.world.cut_link(host.name, member.name)
        await asyncio.sleep(self.random.uniform(1.5, 3.0))
        for host in self.store.hosts:
            self.world.heal_link(host.name, member.name)

    def _restart_later(self, target: simulated_targets.Target) -> None:
        self.world.loop.create_task(self._restart(target))


def run(seed: int, faults: frozenset[Fault]) -> simulated_targets.World:
    """Play one seed and return its world."""
    return Simulation(seed, faults).run()
