"""A host that reads the store's entries of targets but connects to none."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from knapweedtally.entry import host as host_module
from knapweedtally.entry.common import logs
from knapweedtally.entry.pools import pools
from knapweedtally.entry.statements import router as router_module
from knapweedtally.platform import settings
from knapweedtally.utils import http
from standins.line_platform import store as store_module
from tests.entry import harness

SETTINGS = {
    "node": "host-0",
    "zone": "dc",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internalPorts": [3, 4],
    "platform": {"addr": "127.0.0.1:5"},
    "cloudApi": {"addr": "127.0.0.1:6"},
    "bounds": {"graceS": 10, "drainMs": 7000},
}


def make_spec(address: str = "10.0.0.1:80", **changes: Any) -> dict[str, Any]:
    """Return what a target of the group ``g`` writes into the store."""
    spec = {
        "backend": "g",
        "addr": address,
        "zone": "dc",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldLeftMs": 0,
        "dbRole": "replica",
        "seq": 1,
    }
    return {**spec, **changes}


def make_configuration() -> dict[str, Any]:
    """Return a configuration with the group ``g``."""
    groups = [{"name": "g", "maxConns": 8, "syncReplicas": 1}]
    return {"version": 1, "routes": [], "backends": groups, "limits": {}}


def make_host() -> host_module.Host:
    """Return a host whose log lines aren't written."""
    return host_module.Host(
        settings.parse_settings(SETTINGS), logs.Log("host-0", -1)
    )


@contextlib.contextmanager
def connect_to_nothing() -> Iterator[None]:
    """Let pools open no connections."""
    with mock.patch.object(pools.Pool, "open_connection", lambda pool: None):
        yield


class HttpClient:
    """A client that calls the store without a connection."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def send(
        self, request: http.Request, timeout_s: float = 0.0
    ) -> http.Response:
        try:
            return await self._store.answer(request)
        except http.ExchangeDropped as error:
            raise http.ResponseLost(str(error)) from error


def connect_client(client: Any, store: store_module.Store) -> None:
    """Let a store client call a store in the test's process."""
    client._client = HttpClient(store)


class ListingHost:
    """A host whose watchers run with a store in the test's process."""

    def __init__(self) -> None:
        self.store = store_module.Store()
        self.host = make_host()
        connect_client(self.host.store, self.store)
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def router(self) -> router_module.Router:
        """Return the router of the only group."""
        return self.host.routers["g"]

    def start(self) -> None:
        """Start the watchers."""
        self.store.put("config", "main", make_configuration())
        self.tasks = [
            asyncio.create_task(watcher.run())
            for watcher in self.host.make_watchers()
        ]

    async def list_anew(self) -> None:
        """Let the watches expire, and wait until everything was listed."""
        self.store.drop_history()
        # Changes since the watches began come first, then the list.
        await self.wait_until_watching()

    async def wait_until_watching(self) -> None:
        """Wait until the watchers have seen everything in the store.

        Raises:
            Exception: a watcher has ended.
        """
        settled = 0
        while settled < 5:
            await asyncio.sleep(0.01)
            for task in self.tasks:
                if task.done():
                    task.result()
            waiting = self.store.waiting_watches
            is_watching = waiting["servers"] == waiting["config"] == 1
            settled = settled + 1 if is_watching else 0

    async def stop(self) -> None:
        """Stop the watchers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def run_host() -> Any:
    """Run a host that isn't started yet until the block ends."""
    listing = ListingHost()
    with connect_to_nothing():
        try:
            async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
                yield listing
        finally:
            await listing.stop()
