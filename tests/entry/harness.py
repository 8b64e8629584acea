"""Entry hosts in the test's process, with stand-ins for the platform."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import testtools
from testtools import content
from testtools import content_type

from knapweedtally.entry import host as host_module
from knapweedtally.entry.common import logs
from knapweedtally.entry.members import member_records
from knapweedtally.entry.pools import relays
from knapweedtally.entry.statements import sessions
from knapweedtally.platform import settings
from standins import ports
from standins.line_platform import platform as platform_module
from standins.line_platform import targets

# Timeout of waits for a condition, in seconds. It is no bound under test.
WAIT_TIMEOUT_S = 20.0


class EntryHost:
    """One entry host, its listeners and its background tasks."""

    def __init__(self, host_settings: settings.HostSettings) -> None:
        self.lines: list[dict[str, Any]] = []
        log = logs.Log(host_settings.host, -1)
        log.write = self._record_line  # type: ignore[method-assign]
        self.host = host_module.Host(host_settings, log)
        self.port = 0
        self._settings = host_settings
        self._server: asyncio.AbstractServer | None = None
        self._relay_server: asyncio.AbstractServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def _record_line(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: sessions.CallerSession(self.host), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        peers = self._settings.peers
        assert peers is not None
        self._relay_server = await loop.create_server(
            lambda: relays.RelaySession(
                self.host.find_direct_pool,
                self.host.relay_sessions,
                self.host.configuration.exchange.get_source,
                self.host.is_stopping,
            ),
            peers.host,
            peers.port,
        )
        background_loops = [
            *(watcher.run() for watcher in self.host.make_watchers()),
            self.host.peers.run(),
            self.host.run_ticks(),
        ]
        self._tasks = [
            loop.create_task(loop_run) for loop_run in background_loops
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (self._server, self._relay_server):
            if server is not None:
                server.close()
        for relay in tuple(self.host.relay_sessions):
            relay.close()
        for session in tuple(self.host.sessions):
            session.close()
        for router in self.host.routers.values():
            for pool in router.pools.values():
                pool.close()
        self.host.configuration.exchange.close()
        self.host.peers.close()

    def attach_changes(self, test: testtools.TestCase) -> None:
        """Attach the log lines about primary changes to a failed test."""

        def encode_lines() -> list[bytes]:
            prefixes = ("change", "duty", "primary", "promotion", "standstill")
            return [
                f"{line}\n".encode()
                for line in self.lines
                if line["event"].startswith(prefixes)
            ]

        text_type = content_type.UTF8_TEXT
        test.addDetail(
            f"changes-{self.host.name}",
            content.Content(text_type, encode_lines),
        )

    def find_lines(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]


class Caller:
    """A caller that uses the line protocol with an entry host."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._ids = 0
        self.prefix = "q"
        self.state = ""

    @property
    def last_id(self) -> str:
        """Return the id of the statement that was sent last."""
        return f"{self.prefix}{self._ids}"

    async def start(self, database: str, key: str = "tests") -> str:
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        await self.send_raw(f"START {database} {key}\r\n".encode())
        return await self.read_line()

    async def send_raw(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def read_line(self) -> str:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode()

    async def send(self, text: str) -> None:
        self._ids += 1
        await self.send_raw(f"QUERY {self.last_id} {text}\r\n".encode())

    async def receive(self) -> list[str]:
        """Return an answer's messages, and store the state that ends it."""
        messages: list[str] = []
        while not messages or not messages[-1].startswith("READY "):
            messages.append(await self.read_line())
        self.state = messages.pop().split(" ")[1]
        return messages

    async def run(self, text: str) -> list[str]:
        await self.send(text)
        return await self.receive()

    async def wait_for_close(self) -> bool:
        """Return whether the host closes the connection without more data."""
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                return not await self._reader.read(1)
        except ConnectionError:
            return True

    def get_address(self) -> tuple[str, int]:
        """Return the address by which the host knows the caller."""
        address: tuple[str, int] = self._writer.get_extra_info("sockname")
        return address

    def close(self) -> None:
        self._writer.close()


class Writer:
    """A caller that writes a new value again and again.

    Attributes:
        acknowledged: values whose writes were acknowledged.
    """

    def __init__(self, port: int, database: str) -> None:
        self.acknowledged: list[str] = []
        self._port = port
        self._database = database
        self._caller: Caller | None = None
        self._count = 0

    async def run_for(self, duration_s: float) -> None:
        """Write for a while; connect again after an error."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            if self._caller is None:
                self._caller = Caller(self._port)
                await self._caller.start(self._database)
            self._count += 1
            answer = await self._caller.run(f"WRITE item {self._count}")
            if answer[0].startswith("DONE "):
                self.acknowledged.append(str(self._count))
            await asyncio.sleep(0.02)

    async def run_until(self, condition: Callable[[], bool]) -> None:
        """Write until a condition holds."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await self.run_for(0.05)

    def list_lost(self, group: targets.Group) -> list[str]:
        """Return the acknowledged values that the primary's log lacks."""
        kept = set(group.get_primary().read_all("item"))
        return [value for value in self.acknowledged if value not in kept]


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def find_ports(count: int, address: str = "127.0.0.1") -> list[int]:
    """Return ports of an address that are currently free."""
    found: list[int] = []
    while len(found) < count:
        port = ports.find_free_port(address)
        if port not in found:
            found.append(port)
    return found


class System(NamedTuple):
    """The stand-ins and the entry hosts of one test."""

    platform: platform_module.Platform
    entry_hosts: list[EntryHost]


@contextlib.asynccontextmanager
async def run_system(
    hosts: int = 1,
    max_connections: int = 16,
    contracts: tuple[str, ...] = (),
    teams: Sequence[dict[str, Any]] = (),
    limits: Mapping[str, int] | None = None,
) -> AsyncIterator[System]:
    """Run the stand-ins, and entry hosts that are ready to serve."""
    platform = platform_module.Platform()
    platform.teams = list(teams)
    for group in platform.groups.values():
        group.max_connections = max_connections
    await platform.start()
    entries: list[EntryHost] = []
    try:
        for _ in range(hosts):
            await add_host(System(platform, entries), contracts, limits)
        for entry in entries:
            await wait_for(entry.host.is_ready)
        yield System(platform, entries)
    finally:
        for entry in entries:
            await entry.stop()
        await platform.stop()


async def add_host(
    system: System,
    contracts: tuple[str, ...] = (),
    limits: Mapping[str, int] | None = None,
) -> EntryHost:
    """Start another entry host and return it."""
    number = len(system.entry_hosts)
    content = system.platform.make_settings(f"host-{number}", find_ports(4))
    content["contracts"] = [*content["contracts"], *contracts]
    content["limits"] = dict(limits or {})
    entry = EntryHost(settings.parse_settings(content))
    system.entry_hosts.append(entry)
    await entry.start()
    return entry


def forget_members(system: System) -> None:
    """Remove the records of members, as if no host had ever listed them."""
    for group in system.platform.groups:
        system.platform.store.remove(member_records.MEMBERS_KIND, group)


async def _prepare_nothing(system: System) -> None:
    """Return at once, since the hosts of a running system are ready."""


def with_system(
    hosts: int = 1,
    max_connections: int = 16,
    prepare: Callable[[System], Awaitable[None]] = _prepare_nothing,
    contracts: tuple[str, ...] = (),
    teams: Sequence[dict[str, Any]] = (),
    limits: Mapping[str, int] | None = None,
) -> Callable[
    [Callable[[Any, System], Awaitable[None]]], Callable[[Any], None]
]:
    """Return a decorator that runs a test with a system of its own.

    Args:
        hosts: number of entry hosts.
        max_connections: number of connections that each target accepts.
        prepare: called with the system before the test.
        contracts: contracts in the settings of the entry hosts.
        teams: teams of the first configuration.
        limits: limits of the entry hosts' machines.
    """

    def decorate(
        test: Callable[[Any, System], Awaitable[None]],
    ) -> Callable[[Any], None]:
        @functools.wraps(test)
        def run_test(case: Any) -> None:
            async def run() -> None:
                async with run_system(
                    hosts, max_connections, contracts, teams, limits
                ) as system:
                    await prepare(system)
                    await test(case, system)

            asyncio.run(run())

        return run_test

    return decorate
