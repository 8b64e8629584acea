"""Bring an open-loop load onto entry hosts.

Arrivals come at random times of a stated rate, whether or not earlier ones
were answered, and latency counts from the intended arrival. An arrival waits
for an idle session of its group.
"""

import random
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
from anyio.streams import memory

from bench import client
from bench import recorder as recorder_module
from bench import workload

DRAIN_LIMIT_S = 12.0
PREPARE_LIMIT_S = 30.0
RETRY_DELAY_S = 0.05
PROGRESS_INTERVAL_S = 1.0
MILLISECONDS = 1000


class Plan(NamedTuple):
    """State a load.

    Attributes:
        rate: arrivals a second in all; 0 lets each session go on at once
            (closed loop).
        duration_s: time of arrivals, warm-up included.
        warm_up_s: time at the beginning that isn't recorded.
        sessions: sessions of each group.
        mix: what callers ask for.
        callers: number of names that the sessions of a group connect with;
            0 for one name each.
        seed: seed of arrivals and choices.
    """

    rate: float = 100.0
    duration_s: float = 10.0
    warm_up_s: float = 2.0
    sessions: int = 8
    mix: workload.Mix = workload.Mix()
    callers: int = 0
    seed: int = 1


class Load:
    """Run one plan on the entry points of some groups.

    Attributes:
        recorder: what was seen.
        sessions: the sessions, for the check at the end.
    """

    def __init__(
        self,
        name: str,
        entries: dict[str, list[client.Address]],
        plan: Plan,
        recorder: recorder_module.Recorder,
    ) -> None:
        self.recorder = recorder
        self.sessions: list[workload.Session] = []
        self._ends_at = 0.0
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._groups = list(entries)
        for group, addresses in entries.items():
            for number in range(plan.sessions):
                session = f"{name}-{group}-{number}"
                caller = number % (plan.callers or plan.sessions)
                self.sessions.append(
                    workload.Session(
                        session,
                        f"{name}-{caller}",
                        group,
                        addresses,
                        plan.mix,
                        random.Random(f"{plan.seed}-{session}"),
                    )
                )

    async def run(self, duration_s: float) -> None:
        """Send arrivals for some seconds and wait for their answers."""
        ends_at = self._ends_at = time.monotonic() + duration_s
        with anyio.move_on_after(duration_s + DRAIN_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                if self._plan.rate:
                    await self._run_open(tasks, ends_at)
                else:
                    for session in self.sessions:
                        tasks.start_soon(self._repeat, session, ends_at)
            return
        self.recorder.unanswered += 1

    async def check(self) -> None:
        """Compare the final data with what was acknowledged."""
        for session in self.sessions:
            with anyio.fail_after(PREPARE_LIMIT_S):
                await _insist(session.check, self.recorder)

    async def close(self) -> None:
        """Close all connections."""
        for session in self.sessions:
            await session.close()

    async def _run_open(
        self, tasks: anyio.abc.TaskGroup, ends_at: float
    ) -> None:
        inputs: dict[str, memory.MemoryObjectSendStream[float]] = {}
        for group in self._groups:
            sender, receiver = anyio.create_memory_object_stream[float](
                1_000_000
            )
            inputs[group] = sender
            for session in self.sessions:
                if session.group == group:
                    tasks.start_soon(self._serve, session, receiver)
        next_at = time.monotonic()
        while True:
            next_at += self._random.expovariate(self._plan.rate)
            if next_at > ends_at:
                break
            delay = next_at - time.monotonic()
            if delay > 0:
                await anyio.sleep(delay)
            inputs[self._random.choice(self._groups)].send_nowait(next_at)
        for sender in inputs.values():
            sender.close()

    async def _serve(
        self,
        session: workload.Session,
        arrivals: memory.MemoryObjectReceiveStream[float],
    ) -> None:
        async for intended_at in arrivals:
            if time.monotonic() > self._ends_at:
                self.recorder.unsent += 1
                continue
            await self._visit(session, intended_at)

    async def _repeat(self, session: workload.Session, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await self._visit(session, time.monotonic())

    async def _visit(
        self, session: workload.Session, intended_at: float
    ) -> None:
        for kind in session.list_kinds():
            sqlstate = await session.run(kind, intended_at, self.recorder)
            if sqlstate == workload.LOST:
                await anyio.sleep(RETRY_DELAY_S)
            intended_at = time.monotonic()
            if self._plan.mix.think_ms:
                think_s = self._plan.mix.think_ms / MILLISECONDS
                intended_at += think_s
                await anyio.sleep(think_s)


async def prepare(entries: dict[str, list[client.Address]]) -> None:
    """Create the tables, once each group serves writes.

    Raises:
        TimeoutError: a group doesn't serve writes in time.
    """
    for group, addresses in entries.items():
        with anyio.fail_after(PREPARE_LIMIT_S):
            await _insist(_create_table, addresses[0], group)


async def show_progress(
    title: str, recorder: recorder_module.Recorder, ends_at: float
) -> None:
    """Keep a progress line on the terminal until the end of a run."""
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        left = max(0.0, ends_at - time.monotonic())
        answered = sum(recorder.answered.values())
        refused = sum(sum(c.values()) for c in recorder.refused.values())
        line = f"{title}: {left:3.0f} s left, {answered} answered"
        print(f"\r{line}, {refused} refused ", end="", file=sys.stderr)


async def _create_table(address: client.Address, group: str) -> None:
    connection = await client.Connection.connect(address, "setup", group)
    for statement in (workload.TABLE, workload.INDEX):
        (reply,) = await connection.run(statement)
        if reply.sqlstate:
            await connection.close()
            raise client.ConnectionLostError(reply.sqlstate)
    await connection.close()


async def _insist(
    function: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Call a function again until its connection isn't lost."""
    while True:
        try:
            await function(*arguments)
            return
        except client.ConnectionLostError:
            await anyio.sleep(RETRY_DELAY_S)
