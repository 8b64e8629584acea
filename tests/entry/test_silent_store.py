"""Tests of watches that the store never answers."""

import asyncio
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core import watch_confirmation
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import store
from knapweedtally.entry.fleet import store_watches
from knapweedtally.platform import settings
from knapweedtally.utils import http
from tests.entry import harness

# Time after the end of a failure of the store in which a host need not know of
# changes yet, the bound for a configuration and that for a leaving target, in
# seconds: ``stableMs``, ``configApplyMs`` and ``drainMs`` of the users' rules.
SETTLING_TIME_S = 4.0
CONFIGURATION_BOUND_S = 3.0
DRAIN_BOUND_S = 7.0


async def leave_watches_unanswered(system: harness.System, kind: str) -> None:
    """Let each host send a watch that is never answered, after a change."""
    store_server = system.platform.store
    store_server.is_silent = True
    if kind == "config":
        system.platform.write_configuration()
    else:
        store_server.put(kind, "stranger", {"backend": "g"})
    await harness.wait_for(
        lambda: store_server.unanswered_calls[kind] >= len(system.entry_hosts)
    )
    store_server.is_silent = False


class UnansweredWatchTest(testtools.TestCase):
    """Each host asked for the next change while the store was silent."""

    @harness.with_system(hosts=2)
    async def test_configuration_applies_after_an_unanswered_watch(
        self, system: harness.System
    ) -> None:
        await leave_watches_unanswered(system, "config")
        await asyncio.sleep(SETTLING_TIME_S - CONFIGURATION_BOUND_S)
        system.platform.routes.append(
            {**system.platform.routes[0], "host": "added", "name": "r-added"}
        )
        system.platform.write_configuration()
        async with asyncio.timeout(CONFIGURATION_BOUND_S):
            await harness.wait_for(
                lambda: all(
                    entry.host.catalog.find_route("added") is not None
                    for entry in system.entry_hosts
                )
            )

    @harness.with_system(hosts=2)
    async def test_leaving_target_gets_no_work_after_an_unanswered_watch(
        self, system: harness.System
    ) -> None:
        await leave_watches_unanswered(system, "servers")
        await asyncio.sleep(SETTLING_TIME_S)
        group = system.platform.groups["g"]
        leaving = next(t for t in group.targets.values() if not t.is_primary)
        system.platform.leaving.add(leaving.id)
        async with asyncio.timeout(DRAIN_BOUND_S):
            await harness.wait_for(
                lambda: all(
                    not entry.host.routers["g"]
                    .pools[leaving.id]
                    .load.accepts_new_work
                    for entry in system.entry_hosts
                )
            )


ADDRESS = settings.Address("127.0.0.1", 1)


class ScriptedClient:
    """A client whose waiting watches are never answered.

    Attributes:
        targets: what was asked for, in order.
    """

    def __init__(self) -> None:
        self.targets: list[str] = []

    async def send(
        self, request: http.Request, timeout_s: float = 0.0
    ) -> http.Response:
        self.targets.append(request.target)
        if "waitMs=0" in request.target:
            return http.make_json_response(200, {"events": [], "asOf": 8})
        if "waitMs" in request.target:
            await asyncio.Event().wait()
        return http.make_json_response(200, {"items": [], "asOf": 7})


class AbandonedWatchTest(testtools.TestCase):
    def test_abandoned_watch_is_followed_by_one_without_a_wait(self) -> None:
        # Guards against lists on all hosts of a fleet after each silence.
        async def run() -> list[str]:
            log = logs.Log("host-0", -1)
            store_client: Any = store.StoreClient(ADDRESS, log)
            store_client._client = client = ScriptedClient()
            watcher = store_watches.Watcher(
                store_client,
                "config",
                lambda objects: None,
                lambda change: None,
                log,
            )
            task = asyncio.create_task(watcher.run())
            await harness.wait_for(lambda: len(client.targets) >= 4)
            task.cancel()
            return list(client.targets[:4])

        with mock.patch.object(watch_confirmation, "UNCONFIRMED_AFTER_S", 0.05):
            targets = asyncio.run(run())
        self.assertEqual(
            [
                "/objects/config",
                "/objects/config?watch=7&waitMs=1000",
                "/objects/config?watch=7&waitMs=0",
                "/objects/config?watch=8&waitMs=1000",
            ],
            targets,
        )
