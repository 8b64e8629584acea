"""Tests of the platform adapter against a stand-in process."""

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import testtools

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.store import adapter
from tests.store import stand_in

HOST = model.ListedHost("a1", "127.0.1.2", 7100, "dc1", False)


class Harness:
    """Adapter under test, the events that it submitted, and a client."""

    def __init__(self, port: int) -> None:
        self.events: list[Any] = []
        self.changed = anyio.Event()
        self.is_leaving = False
        self.caller = stand_in.Caller(port)
        self.adapter = adapter.PlatformAdapter(
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

    async def wait_for_event(self, matches: Callable[[Any], bool]) -> Any:
        """Wait for an event that matches the predicate and return it."""
        with anyio.fail_after(stand_in.TIMEOUT_S):
            while True:
                self.changed = anyio.Event()
                for event in self.events:
                    if matches(event):
                        return event
                await self.changed.wait()

    async def run_effect(self, effect: effects.Effect) -> Any:
        """Run an effect and return the event with its result."""
        self.events.clear()
        self.adapter.run_effect(effect)
        return await self.wait_for_event(
            lambda event: (
                not isinstance(event, events.HostListSeen | events.ObjectSeen)
            )
        )

    async def set_faults(self, **faults: object) -> None:
        await self.caller.call("POST", "/faults", faults)


def run_with_harness(scenario: Callable[[Harness], Awaitable[None]]) -> None:
    async def run(port: int) -> None:
        harness = Harness(port)
        async with anyio.create_task_group() as task_group:
            await task_group.start(harness.adapter.serve)
            await scenario(harness)
            task_group.cancel_scope.cancel()
        await harness.caller.client.close()

    with stand_in.run_platform("--host-lag-s", "0") as port:
        anyio.run(run, port)


def make_update(version: int, **value: object) -> effects.UpdateObject:
    return effects.UpdateObject("op", "group", "g", version, value)


class PlatformAdapterTest(testtools.TestCase):
    def test_outcomes_of_updates(self) -> None:
        async def scenario(harness: Harness) -> None:
            names = ("op", "group", "g")
            created = await harness.run_effect(make_update(0, n=1))
            self.assertEqual(events.ObjectUpdated(*names, 1, {"n": 1}), created)
            conflicted = await harness.run_effect(make_update(0, n=2))
            self.assertEqual(
                events.ObjectConflicted(*names, 1, {"n": 1}), conflicted
            )
            await harness.set_faults(lose_answers=1)
            unknown = await harness.run_effect(make_update(1, n=3))
            self.assertEqual(events.PlatformFailed(*names, True), unknown)
            harness.adapter.run_effect(effects.ReadObject("op", "group", "g"))
            await harness.wait_for_event(
                lambda event: (
                    event == events.ObjectSeen("group", "g", 2, {"n": 3})
                )
            )
            await harness.set_faults(mode="down")
            refused = await harness.run_effect(make_update(2, n=4))
            self.assertEqual(events.PlatformFailed(*names, False), refused)
            too_large = await harness.run_effect(make_update(2, n="x" * 2**20))
            self.assertEqual(events.PlatformFailed(*names, False), too_large)

        run_with_harness(scenario)

    def test_update_without_an_answer_may_have_run(self) -> None:
        async def scenario(harness: Harness) -> None:
            await harness.set_faults(cut=["127.0.1."])
            failed = await harness.run_effect(make_update(0))
            self.assertTrue(failed.may_have_run)

        run_with_harness(scenario)

    def test_a_refused_connection_means_not_run(self) -> None:
        async def run() -> None:
            harness = Harness(1)
            async with anyio.create_task_group() as task_group:
                await task_group.start(harness.adapter.serve)
                failed = await harness.run_effect(make_update(0))
                self.assertFalse(failed.may_have_run)
                task_group.cancel_scope.cancel()

        anyio.run(run)

    def test_missing_object_is_reported_with_version_0(self) -> None:
        async def scenario(harness: Harness) -> None:
            harness.adapter.run_effect(
                effects.ReadObject("op", "group", "none")
            )
            await harness.wait_for_event(
                lambda event: event == events.ObjectSeen("group", "none", 0, {})
            )

        run_with_harness(scenario)

    def test_changes_are_fetched_before_the_next_poll(self) -> None:
        async def scenario(harness: Harness) -> None:
            await harness.run_effect(effects.FetchChanges("op 1", "bundle"))
            answer = await harness.caller.call(
                "PUT", "/objects/bundle/current", {"n": 1}, if_match="0"
            )
            self.assertEqual(200, answer.status)
            seen = events.ObjectSeen("bundle", "current", 1, {"n": 1})
            for operation, expected in (("op 2", [seen]), ("op 3", [])):
                fetched = await harness.run_effect(
                    effects.FetchChanges(operation, "bundle")
                )
                self.assertEqual(
                    events.ChangesFetched(operation, "bundle"), fetched
                )
                found = [event for event in harness.events if event == seen]
                self.assertEqual(expected, found)
            await harness.set_faults(mode="down")
            self.assertEqual(
                events.PlatformFailed("op 4", "bundle", "", False),
                await harness.run_effect(
                    effects.FetchChanges("op 4", "bundle")
                ),
            )

        run_with_harness(scenario)

    def test_watch_sees_changes_made_before_and_after_an_outage(self) -> None:
        async def scenario(harness: Harness) -> None:
            harness.adapter.run_effect(effects.SetWatching(True))
            for version, value in enumerate(("a", "b", "c")):
                if value == "c":
                    await harness.set_faults(mode="down")
                    await harness.set_faults(mode="up")
                answer = await harness.caller.call(
                    "PUT",
                    "/objects/bundle/current",
                    {"n": value},
                    if_match=str(version),
                )
                self.assertEqual(200, answer.status)
                seen = events.ObjectSeen(
                    "bundle", "current", version + 1, {"n": value}
                )
                await harness.wait_for_event(
                    lambda event, seen=seen: event == seen
                )

        run_with_harness(scenario)

    def test_host_without_watches_lists_each_kind_once_at_start(self) -> None:
        async def scenario(harness: Harness) -> None:
            counters = {}
            with anyio.fail_after(stand_in.TIMEOUT_S):
                while counters.get("list", 0) < len(adapter.WATCHED_KINDS):
                    answer = await harness.caller.call("GET", "/counters")
                    counters = answer.parse_json()
                    await anyio.sleep(0.01)
            self.assertEqual(len(adapter.WATCHED_KINDS), counters["list"])

        run_with_harness(scenario)

    def test_host_is_registered_and_listed(self) -> None:
        async def scenario(harness: Harness) -> None:
            await harness.wait_for_event(
                lambda event: event == events.HostListSeen((HOST,))
            )
            harness.is_leaving = True
            leaving = HOST._replace(is_leaving=True)
            await harness.wait_for_event(
                lambda event: event == events.HostListSeen((leaving,))
            )

        run_with_harness(scenario)
