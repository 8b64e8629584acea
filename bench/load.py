"""Generate an open-loop load on entry hosts.

Arrivals follow a Poisson process of a given rate, whether or not earlier ones
were answered, and latency counts from the intended time of arrival. Arrivals
queue until a session of their group is idle.
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

DRAIN_TIMEOUT_S = 12.0
RETRY_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.05
PROGRESS_INTERVAL_S = 1.0
MILLISECONDS_PER_S = 1000


class Plan(NamedTuple):
    """Parameters of a load.

    Attributes:
        rate: arrivals per second over all groups, or 0 for a closed loop, in
            which each session starts the next arrival at once.
        duration_s: length of the recorded time.
        warm_up_s: length of the load before it, which isn't recorded.
        sessions: sessions of each group.
        mix: statements that callers send.
        callers: number of user names that the sessions of a group connect
            with, or 0 for one name per session.
        seed: seed of the arrival times and of the sessions' choices.
    """

    rate: float = 100.0
    duration_s: float = 10.0
    warm_up_s: float = 2.0
    sessions: int = 8
    mix: workload.Mix = workload.Mix()
    callers: int = 0
    seed: int = 1


class Load:
    """Run one plan on the addresses of some groups.

    Attributes:
        recorder: recorder of the outcomes.
        sessions: sessions of all groups.
    """

    def __init__(
        self,
        name: str,
        addresses_by_group: dict[str, list[client.Address]],
        plan: Plan,
        recorder: recorder_module.Recorder,
    ) -> None:
        self.recorder = recorder
        self.sessions: list[workload.Session] = []
        self._ends_at = 0.0
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._groups = list(addresses_by_group)
        for group, addresses in addresses_by_group.items():
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
        """Generate arrivals for a time and wait for their answers.

        Args:
            duration_s: length of the time with arrivals.
        """
        ends_at = self._ends_at = time.monotonic() + duration_s
        with anyio.move_on_after(duration_s + DRAIN_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                if self._plan.rate:
                    await self._run_open_loop(tasks, ends_at)
                else:
                    for session in self.sessions:
                        tasks.start_soon(
                            self._run_closed_loop, session, ends_at
                        )
            return
        self.recorder.unanswered += 1

    async def check_final_data(self) -> None:
        """Count lost and duplicate writes of all sessions.

        Raises:
            TimeoutError: the final data can't be read in time.
        """
        for session in self.sessions:
            with anyio.fail_after(RETRY_TIMEOUT_S):
                await _retry_until_connected(
                    session.check_final_data, self.recorder
                )

    async def close(self) -> None:
        """Close the connections of all sessions."""
        for session in self.sessions:
            await session.close()

    async def _run_open_loop(
        self, tasks: anyio.abc.TaskGroup, ends_at: float
    ) -> None:
        queues: dict[str, memory.MemoryObjectSendStream[float]] = {}
        for group in self._groups:
            sender, receiver = anyio.create_memory_object_stream[float](
                1_000_000
            )
            queues[group] = sender
            for session in self.sessions:
                if session.group == group:
                    tasks.start_soon(self._consume_arrivals, session, receiver)
        next_at = time.monotonic()
        while True:
            next_at += self._random.expovariate(self._plan.rate)
            if next_at > ends_at:
                break
            delay = next_at - time.monotonic()
            if delay > 0:
                await anyio.sleep(delay)
            queues[self._random.choice(self._groups)].send_nowait(next_at)
        for sender in queues.values():
            sender.close()

    async def _consume_arrivals(
        self,
        session: workload.Session,
        arrivals: memory.MemoryObjectReceiveStream[float],
    ) -> None:
        async for intended_at in arrivals:
            if time.monotonic() > self._ends_at:
                self.recorder.unsent += 1
                continue
            await self._run_arrival(session, intended_at)

    async def _run_closed_loop(
        self, session: workload.Session, ends_at: float
    ) -> None:
        while time.monotonic() < ends_at:
            await self._run_arrival(session, time.monotonic())

    async def _run_arrival(
        self, session: workload.Session, intended_at: float
    ) -> None:
        for kind in session.draw_kinds():
            sqlstate = await session.run_statement(
                kind, intended_at, self.recorder
            )
            if sqlstate == workload.CONNECTION_LOST:
                await anyio.sleep(RETRY_DELAY_S)
            intended_at = time.monotonic()
            if self._plan.mix.think_ms:
                think_s = self._plan.mix.think_ms / MILLISECONDS_PER_S
                intended_at += think_s
                await anyio.sleep(think_s)


async def create_tables(
    addresses_by_group: dict[str, list[client.Address]],
) -> None:
    """Create the table and its index in each group, retrying until it can.

    Raises:
        TimeoutError: a group doesn't accept writes in time.
    """
    for group, addresses in addresses_by_group.items():
        with anyio.fail_after(RETRY_TIMEOUT_S):
            await _retry_until_connected(_create_table, addresses[0], group)


async def show_progress(
    title: str, recorder: recorder_module.Recorder, ends_at: float
) -> None:
    """Update a progress line on the terminal until cancelled.

    Args:
        title: name of the run.
        recorder: recorder of the run.
        ends_at: monotonic time at which the run ends.
    """
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        remaining_s = max(0.0, ends_at - time.monotonic())
        answered = sum(recorder.answered.values())
        refused = sum(sum(c.values()) for c in recorder.refused.values())
        line = f"{title}: {remaining_s:3.0f} s left, {answered} answered"
        print(f"\r{line}, {refused} refused ", end="", file=sys.stderr)


async def _create_table(address: client.Address, group: str) -> None:
    connection = await client.Connection.connect(address, "setup", group)
    for statement in (workload.CREATE_TABLE, workload.CREATE_INDEX):
        (reply,) = await connection.run_statements(statement)
        if reply.sqlstate:
            await connection.close()
            raise client.ConnectionLostError(reply.sqlstate)
    await connection.close()


async def _retry_until_connected(
    function: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Call a function, retrying it while it loses its connection."""
    while True:
        try:
            await function(*arguments)
            return
        except client.ConnectionLostError:
            await anyio.sleep(RETRY_DELAY_S)
