"""Tests of the platform edge against the real stand-in process."""

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import testtools

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.store import edge
from tests.store import stand_in

HOST = model.ListedHost("a1", "127.0.1.2", 7100, "dc1", False)


class Bed:
    """Hold an edge, the events that it submitted, and a caller."""

    def __init__(self, port: int) -> None:
        self.events: list[Any] = []
        self.changed = anyio.Event()
        self.is_leaving = False
        self.caller = stand_in.Caller(port)
        self.edge = edge.PlatformEdge(
            self.submit,
            ("127.0.0.1", port),
            HOST.address,
            HOST,
            random.Random(1),
            lambda: self.is_leaving,
        )

    def submit(self, event: Any) -> None:
        self.events.append(event)
        self.changed.set()

    async def find(self, matches: Callable[[Any], bool]) -> Any:
        """Wait for an event that matches and return it."""
        with anyio.fail_after(stand_in.TIMEOUT_S):
            while True:
                self.changed = anyio.Event()
                for event in self.events:
                    if matches(event):
                        return event
                await self.changed.wait()

    async def run_effect(self, effect: effects.Effect) -> Any:
        """Run an effect and return the event that answers it."""
        self.events.clear()
        self.edge.run_effect(effect)
        return await self.find(
            lambda event: (
                not isinstance(event, events.HostListSeen | events.ObjectSeen)
            )
        )

    async def switch(self, **faults: object) -> None:
        await self.caller.call("POST", "/faults", faults)


def run_with_bed(body: Callable[[Bed], Awaitable[None]]) -> None:
    async def run(port: int) -> None:
        bed = Bed(port)
        async with anyio.create_task_group() as group:
            await group.start(bed.edge.serve)
            await body(bed)
            group.cancel_scope.cancel()
        await bed.caller.client.close()

    with stand_in.run_platform("--host-lag-s", "0") as port:
        anyio.run(run, port)


def make_update(version: int, **value: object) -> effects.UpdateObject:
    return effects.UpdateObject("op", "group", "g", version, value)


class PlatformEdgeTest(testtools.TestCase):
    def test_outcomes_of_updates(self) -> None:
        async def body(bed: Bed) -> None:
            names = ("op", "group", "g")
            created = await bed.run_effect(make_update(0, n=1))
            self.assertEqual(events.ObjectUpdated(*names, 1, {"n": 1}), created)
            lost = await bed.run_effect(make_update(0, n=2))
            self.assertEqual(events.ObjectConflicted(*names, 1, {"n": 1}), lost)
            await bed.switch(lose_answers=1)
            unknown = await bed.run_effect(make_update(1, n=3))
            self.assertEqual(events.PlatformFailed(*names, True), unknown)
            bed.edge.run_effect(effects.ReadObject("op", "group", "g"))
            await bed.find(
                lambda event: (
                    event == events.ObjectSeen("group", "g", 2, {"n": 3})
                )
            )
            await bed.switch(mode="down")
            refused = await bed.run_effect(make_update(2, n=4))
            self.assertEqual(events.PlatformFailed(*names, False), refused)
            too_large = await bed.run_effect(make_update(2, n="x" * 2**20))
            self.assertEqual(events.PlatformFailed(*names, False), too_large)

        run_with_bed(body)

    def test_a_cut_off_update_may_have_run(self) -> None:
        async def body(bed: Bed) -> None:
            await bed.switch(cut=["127.0.1."])
            failed = await bed.run_effect(make_update(0))
            self.assertTrue(failed.may_have_run)

        run_with_bed(body)

    def test_a_refused_connection_means_not_run(self) -> None:
        async def run() -> None:
            bed = Bed(1)
            async with anyio.create_task_group() as group:
                await group.start(bed.edge.serve)
                failed = await bed.run_effect(make_update(0))
                self.assertFalse(failed.may_have_run)
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_an_absent_object_is_seen_with_version_0(self) -> None:
        async def body(bed: Bed) -> None:
            bed.edge.run_effect(effects.ReadObject("op", "group", "none"))
            await bed.find(
                lambda event: event == events.ObjectSeen("group", "none", 0, {})
            )

        run_with_bed(body)

    def test_watch_sees_changes_made_before_and_after_an_outage(self) -> None:
        async def body(bed: Bed) -> None:
            bed.edge.run_effect(effects.SetWatching(True))
            for version, value in enumerate(("a", "b", "c")):
                if value == "c":
                    await bed.switch(mode="down")
                    await bed.switch(mode="up")
                answer = await bed.caller.call(
                    "PUT",
                    "/objects/bundle/current",
                    {"n": value},
                    if_match=str(version),
                )
                self.assertEqual(200, answer.status)
                seen = events.ObjectSeen(
                    "bundle", "current", version + 1, {"n": value}
                )
                await bed.find(lambda event, seen=seen: event == seen)

        run_with_bed(body)

    def test_a_host_that_does_not_watch_lists_once_at_start(self) -> None:
        async def body(bed: Bed) -> None:
            counters = {}
            with anyio.fail_after(stand_in.TIMEOUT_S):
                while counters.get("list", 0) < len(edge.WATCHED_KINDS):
                    answer = await bed.caller.call("GET", "/counters")
                    counters = answer.parse_json()
                    await anyio.sleep(0.01)
            self.assertEqual(len(edge.WATCHED_KINDS), counters["list"])

        run_with_bed(body)

    def test_host_is_registered_and_listed(self) -> None:
        async def body(bed: Bed) -> None:
            await bed.find(lambda event: event == events.HostListSeen((HOST,)))
            bed.is_leaving = True
            leaving = HOST._replace(is_leaving=True)
            await bed.find(
                lambda event: event == events.HostListSeen((leaving,))
            )

        run_with_bed(body)
