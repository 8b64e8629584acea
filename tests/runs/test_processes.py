"""Runs with separate processes, checked by the history checker."""

import itertools
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import psycopg
import testtools

from bench import cluster
from bench import readings
from knapweedtally.utils import http
from knapweedtally.utils import http_client
from tests.history import checker
from tests.history import model
from tests.runs import recorder

GROUP = "fog-1"
SESSIONS = 6
LOAD_S = 9.0
FAULT_AFTER_S = 2.0
PLATFORM_TIMEOUT_S = 5.0

Disturb = Callable[[cluster.Cluster], Awaitable[None]]


async def record_run(
    system: cluster.Cluster, disturb: Disturb
) -> model.History:
    """Run sessions while the system is disturbed; return the history."""
    proxies = list(system.proxies.values())
    events: list[model.Event] = []
    numbers = itertools.count(1)
    await create_table(proxies[0])
    ends_at = time.monotonic() + LOAD_S
    async with anyio.create_task_group() as tasks:
        for number in range(SESSIONS):
            session = recorder.Session(
                f"session-{number}", GROUP, proxies, events, numbers
            )
            tasks.start_soon(session.run, ends_at)
        await anyio.sleep(FAULT_AFTER_S)
        await disturb(system)
    members = [system.targets[name] for name in system.groups[GROUP]]
    table = await recorder.read_table(members, GROUP)
    return model.History(tuple(events), {GROUP: table})


async def create_table(proxy: cluster.Member) -> None:
    await readings.prepare(proxy, GROUP)
    async with await psycopg.AsyncConnection.connect(
        host=proxy.host,
        port=proxy.port,
        user="setup",
        dbname=GROUP,
        autocommit=True,
    ) as connection:
        await connection.execute(
            f"CREATE TABLE {recorder.TABLE} (session TEXT, value TEXT)"
        )


async def set_platform_fault(system: cluster.Cluster, body: bytes) -> None:
    client = http_client.Client(cluster.PLATFORM_HOST, system.platform_port)
    request = http.Request("POST", "/faults", {}, body)
    await client.send(request, PLATFORM_TIMEOUT_S)
    await client.close()


async def set_target_fault(member: cluster.Member, value: str) -> None:
    async with await psycopg.AsyncConnection.connect(
        host=member.host,
        port=member.port,
        user="faults",
        dbname=GROUP,
        autocommit=True,
    ) as connection:
        await connection.execute(f"SELECT kt_fault('{value}')")


async def kill_primary_and_proxy(system: cluster.Cluster) -> None:
    """Kill the primary, and a proxy in the middle of transactions."""
    await set_platform_fault(system, b'{"lose_answers": 2}')
    system.kill(f"{GROUP}-a")
    await anyio.sleep(1.0)
    proxy = list(system.proxies)[1]
    system.kill(proxy)
    await anyio.sleep(1.0)
    system.start_proxy(proxy)


async def freeze_primary(system: cluster.Cluster) -> None:
    """Pause the primary until it has been replaced, and let it go on."""
    system.send_signal(f"{GROUP}-a", signal.SIGSTOP)
    await anyio.sleep(4.0)
    system.send_signal(f"{GROUP}-a", signal.SIGCONT)


async def cut_off_primary(system: cluster.Cluster) -> None:
    """Cut the primary off from the other data centres, not from its own."""
    primary = system.targets[f"{GROUP}-a"]
    await set_platform_fault(system, b'{"mode": "slow", "delay_ms": 300}')
    await set_target_fault(primary, '{"cut": ["127.0.2.", "127.0.3."]}')
    await anyio.sleep(4.0)
    await set_target_fault(primary, '{"cut": []}')
    await set_platform_fault(system, b'{"mode": "up"}')


class ProcessesTest(testtools.TestCase):
    def check(self, disturb: Disturb) -> None:
        layout = cluster.Layout(groups=(GROUP,))
        with cluster.Cluster(layout) as system:
            history = anyio.run(record_run, system, disturb)
        self.assertEqual([], checker.check_history(history))
        kinds = {request.kind for request, _ in checker.Index(history).done}
        self.assertEqual(set(model.Kind), kinds)

    def test_primary_and_proxy_killed_with_lost_answers(self) -> None:
        self.check(kill_primary_and_proxy)

    def test_primary_frozen_while_it_is_replaced(self) -> None:
        self.check(freeze_primary)

    def test_primary_cut_off_with_slow_platform(self) -> None:
        self.check(cut_off_primary)
