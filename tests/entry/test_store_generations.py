"""Tests of a store that comes back from an older copy.

What was written since is gone, and its revisions are given out again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.entry.common import clock
from knapweedtally.entry.fleet import host_registration
from knapweedtally.entry.fleet import store
from knapweedtally.entry.fleet import store_watches
from knapweedtally.entry.members import member_records
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import http
from standins.line_platform import store as store_module
from tests.entry import harness
from tests.entry import listing

KIND = "things"


class FakeLog:
    """Keep the events that are written."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def write(self, event: str, **fields: Any) -> None:
        self.events.append(event)


class Setting:
    """A store, and a client of it."""

    def __init__(self) -> None:
        self.server = store_module.Store()
        self.log: Any = FakeLog()
        self.client = store.StoreClient(
            settings.Address("127.0.0.1", 1), self.log
        )
        listing.connect_client(self.client, self.server)

    async def read(self, name: str) -> store_calls.StoredObject:
        request = store_calls.make_read_request(KIND, name)
        return store_calls.parse_object(await self.client.send(request))

    async def replace(
        self, stored: store_calls.StoredObject, spec: object
    ) -> int:
        answer = await store.replace_object(
            self.client, KIND, stored.name, spec, stored.revision
        )
        return answer.status


def with_setting(
    test: Callable[[Any, Setting], Awaitable[None]],
) -> Callable[[Any], None]:
    def run(case: Any) -> None:
        async def play() -> None:
            async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
                await test(case, Setting())

        asyncio.run(play())

    return run


class ClientTest(testtools.TestCase):
    @with_setting
    async def test_each_answer_names_the_generation(
        self, setting: Setting
    ) -> None:
        setting.server.put(KIND, "a", {})
        first = await setting.read("a")
        setting.server.restore(setting.server.make_copy())
        second = await setting.read("a")
        self.assertEqual(first.revision.number, second.revision.number)
        self.assertLess(first.revision, second.revision)
        self.assertEqual(1, setting.log.events.count("store_restored"))

    @with_setting
    async def test_answer_of_an_earlier_generation_is_not_used(
        self, setting: Setting
    ) -> None:
        setting.server.put(KIND, "a", {})
        setting.server.generation = 3
        await setting.read("a")
        setting.server.generation = 2
        with testtools.ExpectedException(store.StoreError):
            await setting.read("a")
        self.assertEqual(3, setting.client.generation.number)

    @with_setting
    async def test_store_that_names_no_generation_is_used_as_before(
        self, setting: Setting
    ) -> None:
        setting.server.put(KIND, "a", {})
        setting.server.generation = 0
        stored = await setting.read("a")
        self.assertEqual(200, await setting.replace(stored, {"b": 1}))
        self.assertEqual([], setting.log.events)

    def test_header_that_is_no_generation_is_refused(self) -> None:
        for text in ("", "0", "-1", "1.5", "x", "9" * 10, "²"):
            self.assertRaises(
                store_calls.MalformedResponse,
                store_calls.parse_generation,
                {store_calls.GENERATION_HEADER: text},
            )

    @with_setting
    async def test_header_that_cannot_be_read_is_logged_once(
        self, setting: Setting
    ) -> None:
        class OddClient:
            async def send(self, *args: Any) -> http.Response:
                headers = {store_calls.GENERATION_HEADER: "odd"}
                return http.make_json_response(200, {}, headers)

        client: Any = setting.client
        client._client = OddClient()
        for _ in range(3):
            answer = await setting.client.send(
                store_calls.make_read_request(KIND, "a")
            )
            self.assertEqual(0, answer.generation)
        self.assertEqual(["generation_unreadable"], setting.log.events)


class ConditionalWriteTest(testtools.TestCase):
    """A revision of an earlier generation stands for something else now."""

    async def read_and_restore(
        self, setting: Setting
    ) -> store_calls.StoredObject:
        """Read an object whose revision then is that of other content."""
        content = setting.server.make_copy()
        setting.server.put(KIND, "a", {"by": "one"})
        stored = await setting.read("a")
        setting.server.restore(content)
        setting.server.put(KIND, "a", {"by": "other"})
        return stored

    @with_setting
    async def test_is_not_sent_once_the_generation_is_known(
        self, setting: Setting
    ) -> None:
        stored = await self.read_and_restore(setting)
        other = await setting.read("a")
        self.assertEqual(stored.revision.number, other.revision.number)
        with testtools.ExpectedException(store.GenerationEnded):
            await setting.replace(stored, {"by": "late"})
        self.assertEqual({"by": "other"}, (await setting.read("a")).spec)

    @with_setting
    async def test_has_an_unknown_outcome_if_the_answer_shows_it(
        self, setting: Setting
    ) -> None:
        stored = await self.read_and_restore(setting)
        with testtools.ExpectedException(store.GenerationEnded):
            await setting.replace(stored, {"by": "late"})

    @with_setting
    async def test_creation_has_one_too(self, setting: Setting) -> None:
        setting.server.put(KIND, "b", {})
        generation = (await setting.read("b")).revision.generation
        setting.server.restore(setting.server.make_copy())
        with testtools.ExpectedException(store.GenerationEnded):
            await store.create_object(setting.client, KIND, "a", {}, generation)


class WatchTest(testtools.TestCase):
    async def watch(
        self, setting: Setting, change: Callable[[], None]
    ) -> list[list[str]]:
        """Return the names in each list around a change of the store."""
        lists: list[list[str]] = []
        watcher = store_watches.Watcher(
            setting.client,
            KIND,
            lambda objects: lists.append([o.name for o in objects]),
            lambda change: None,
            setting.log,
        )
        task = asyncio.create_task(watcher.run())
        await harness.wait_for(
            lambda: setting.server.waiting_watches[KIND] == 1
        )
        change()
        await harness.wait_for(lambda: len(lists) > 1)
        task.cancel()
        self.assertEqual(
            setting.server.generation, watcher.state.position.generation
        )
        return lists

    @with_setting
    async def test_objects_are_listed_again_after_a_return(
        self, setting: Setting
    ) -> None:
        content = setting.server.make_copy()
        setting.server.put(KIND, "a", {})
        lists = await self.watch(
            setting, lambda: setting.server.restore(content)
        )
        self.assertEqual([["a"], []], lists)

    @with_setting
    async def test_watch_that_is_silent_ends_with_the_generation(
        self, setting: Setting
    ) -> None:
        # The store has the revision again, so that it would not say 410.
        def call_in_a_later_generation() -> None:
            setting.server.generation += 1
            request = store_calls.make_read_request(KIND, "a")
            self.task = asyncio.create_task(setting.client.send(request))

        lists = await self.watch(setting, call_in_a_later_generation)
        self.assertEqual([[], []], lists)

    @with_setting
    async def test_change_of_a_later_generation_is_not_applied_alone(
        self, setting: Setting
    ) -> None:
        def write_in_a_later_generation() -> None:
            setting.server.generation += 1
            setting.server.put(KIND, "b", {})

        lists = await self.watch(setting, write_in_a_later_generation)
        self.assertEqual([[], ["b"]], lists)


class RevisionTest(testtools.TestCase):
    def test_first_answer_is_no_return(self) -> None:
        generation = store_revisions.Generation()
        sights = [
            store_revisions.record_answer(generation, number, float(now))
            for now, number in enumerate((5, None, 5, 6, 5, 6))
        ]
        self.assertEqual(
            ["FIRST", "SAME", "SAME", "NEWER", "OLDER", "SAME"],
            [sight.name for sight in sights],
        )
        self.assertEqual((6, 3.0), (generation.number, generation.seen_s))


def has_restored(system: harness.System) -> bool:
    """Return whether each host has seen the store's present generation."""
    generation = system.platform.store.generation
    return all(
        entry.host.store.generation.number == generation
        for entry in system.entry_hosts
    )


class FleetTest(testtools.TestCase):
    """Hosts before a store that comes back, several times."""

    @harness.with_system(hosts=3)
    async def test_what_the_store_lost_is_written_again(
        self, system: harness.System
    ) -> None:
        # A host that started afterwards didn't find those that had registered
        # in the lost seconds.
        kinds = (host_registration.HOSTS_KIND, member_records.MEMBERS_KIND)
        server = system.platform.store
        content = server.make_copy()
        for name in kinds:
            content.objects.pop(name, None)
        for _ in range(2):
            server.restore(content)
            await harness.wait_for(lambda: has_restored(system))
            await harness.wait_for(
                lambda: len(server.get_objects(kinds[0])) == 3
            )
            await harness.wait_for(lambda: bool(server.get_objects(kinds[1])))
        recorded = server.get_objects(kinds[1])["g"]["spec"]["members"]
        self.assertEqual(3, len(recorded))

    @harness.with_system(hosts=2, contracts=("tenants", "quota"))
    async def test_mark_that_the_store_lost_is_written_again(
        self, system: harness.System
    ) -> None:
        host = system.entry_hosts[0].host
        peer = system.entry_hosts[1].host.name
        host.peers.record_mark(peer, True)
        assert host._silent_hosts is not None
        await host._silent_hosts.restore()
        self.assertEqual({}, host.peers.list_wrong_marks(clock.get_time_s()))

    @harness.with_system(hosts=3)
    async def test_planned_changes_around_returns_use_rising_numbers(
        self, system: harness.System
    ) -> None:
        platform = system.platform
        group = platform.groups["g"]
        for _ in range(3):
            content = platform.store.make_copy()
            primary = group.get_primary()
            platform.leaving.add(primary.id)
            await harness.wait_for(
                lambda old=primary: group.find_primary() not in (None, old)
            )
            platform.leaving.discard(primary.id)
            platform.store.restore(content)
            await harness.wait_for(lambda: has_restored(system))
        numbers = [number for number, _, _ in platform.promotions]
        self.assertEqual(sorted(numbers), numbers)
        holders: dict[int, set[str]] = {}
        for number, holder, _ in platform.promotions:
            holders.setdefault(number, set()).add(holder)
        self.assertEqual({1}, {len(names) for names in holders.values()})
