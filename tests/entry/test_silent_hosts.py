"""Tests of the marks on hosts that are gone, and of introductions.

They guard against a removed host that delays the limits' start at each later
start of a host, and against hosts that learn of each other seconds after that.
"""

import asyncio
from unittest import mock

import testtools

from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import heard_hosts
from knapweedtally.entry.fleet import host_registration
from knapweedtally.entry.fleet import silent_hosts
from tests.entry import harness

KIND = host_registration.HOSTS_KIND


def is_marked(system: harness.System, name: str) -> bool:
    spec = system.platform.store.get_objects(KIND)[name]["spec"]
    return bool(spec.get(host_registration.SILENT_FIELD))


class DecisionTest(testtools.TestCase):
    def test_marks_follow_what_was_heard(self) -> None:
        heard = heard_hosts.HeardHosts("a", "x", logs.Log("a", -1), 10.0)
        heard.peers = {
            name: heard_hosts.Peer(("127.0.0.1", 1), "x", is_marked)
            for name, is_marked in (("b", False), ("c", True), ("d", True))
        }
        heard.peers["c"].heard_s = 10.5
        # A marked host that wasn't heard since the start stays marked.
        self.assertEqual({"c": False}, heard.list_wrong_marks(11.0))
        self.assertEqual({"b": True}, heard.list_wrong_marks(20.0))

    def test_one_live_host_of_a_data_centre_writes(self) -> None:
        live = {"a": "x", "b": "x", "c": "y"}
        writer = silent_hosts.choose_writer("x", live)
        self.assertIn(writer, ("a", "b"))
        del live[writer or ""]
        self.assertEqual(
            {"a", "b"} - {writer}, {silent_hosts.choose_writer("x", live)}
        )
        self.assertIsNone(silent_hosts.choose_writer("z", live))


class MarkTest(testtools.TestCase):
    @harness.with_system(hosts=0)
    async def test_mark_comes_and_goes_with_a_host(
        self, system: harness.System
    ) -> None:
        entries = [
            await harness.add_host(system, ("tenants", "quota"))
            for _ in range(3)
        ]
        for entry in entries:
            await harness.wait_for(entry.host.peers.has_met_data_centre)
        gone = entries[2]
        with mock.patch.object(heard_hosts, "SILENT_AFTER_S", 3.0):
            await gone.stop()
            await harness.wait_for(lambda: is_marked(system, "host-2"))
            late = await harness.add_host(system, ("tenants", "quota"))
            # The host that is gone isn't waited for.
            await harness.wait_for(late.host.peers.has_met_data_centre)
        again = harness.EntryHost(gone._settings)
        system.entry_hosts.append(again)
        await again.start()
        await harness.wait_for(lambda: not is_marked(system, "host-2"))

    @harness.with_system(hosts=0)
    async def test_entry_that_its_host_changed_is_left(
        self, system: harness.System
    ) -> None:
        # Guards against a mark on a host that has just started again.
        entry = await harness.add_host(system, ("tenants", "quota"))
        await entry.host.peers.wait_until_listed()
        store, client = system.platform.store, entry.host.store
        spec = store.get_objects(KIND)["host-0"]["spec"]
        send = client.send

        async def change_before_write(request, *arguments):
            if request.method == "PUT":
                store.put(KIND, "host-0", spec)
            return await send(request, *arguments)

        with mock.patch.object(client, "send", change_before_write):
            await host_registration.mark_host(client, "host-0", True)
        self.assertFalse(is_marked(system, "host-0"))

    @harness.with_system(hosts=0)
    async def test_store_that_is_down_ends_nothing(
        self, system: harness.System
    ) -> None:
        entry = await harness.add_host(system, ("tenants", "quota"))
        await harness.wait_for(entry.host.is_ready)
        marks = entry.host._silent_hosts
        assert marks is not None
        system.platform.store.is_down = True
        with mock.patch.object(
            entry.host.peers,
            "list_wrong_marks",
            return_value={"host-9": True},
        ):
            await harness.wait_for(
                lambda: any(
                    line["kind"] == KIND
                    for line in entry.find_lines("store_call_failed")
                )
            )
        await asyncio.sleep(0.1)
        self.assertIsNone(marks._task)
