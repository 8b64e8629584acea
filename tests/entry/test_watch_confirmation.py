"""Tests of how hosts confirm each other's watches of the store."""

import asyncio
from typing import Any

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.core import watch_confirmation
from knapweedtally.entry.fleet import watch_confirmations
from tests.entry import harness

ASKED_S = 100.0


def make_revision(number: int, generation: int = 2) -> store_revisions.Revision:
    return store_revisions.Revision(generation, number)


def confirm(
    state: watch_confirmation.State,
    number: int,
    shown_s: float,
    now_s: float,
    generation: int = 2,
) -> None:
    """Record what another host has said."""
    revision = make_revision(number, generation)
    watch_confirmation.record_confirmation(state, revision, shown_s, now_s)


def make_state() -> watch_confirmation.State:
    """Return the state of a host that has listed and then asked at ASKED_S."""
    state = watch_confirmation.State()
    watch_confirmation.record_answer(
        state, make_revision(50), make_revision(40), ASKED_S - 0.1
    )
    return state


class DecisionTest(testtools.TestCase):
    def test_watch_that_nobody_confirms_is_abandoned(self) -> None:
        deadline_s = watch_confirmation.compute_deadline_s(
            make_state(), ASKED_S
        )
        self.assertEqual(
            ASKED_S + watch_confirmation.UNCONFIRMED_AFTER_S, deadline_s
        )

    def test_confirmation_counts_from_the_answer_of_the_store(self) -> None:
        # Guards against a delayed message that confirms too much.
        state = make_state()
        confirm(state, 50, 104.0, 109.0)
        self.assertEqual(
            104.0 + watch_confirmation.UNCONFIRMED_AFTER_S,
            watch_confirmation.compute_deadline_s(state, ASKED_S),
        )

    def test_change_that_another_host_has_seen_ends_the_watch_soon(
        self,
    ) -> None:
        state = make_state()
        confirm(state, 51, 104.0, 104.0)
        self.assertEqual(
            104.0 + watch_confirmation.BEHIND_AFTER_S,
            watch_confirmation.compute_deadline_s(state, ASKED_S + 3),
        )

    def test_revision_that_the_store_lacks_is_asked_for_once(self) -> None:
        # Guards against lists without end for one wrong message.
        state = make_state()
        confirm(state, 10**9, 104.0, 104.0)
        watch_confirmation.record_answer(
            state, make_revision(50), make_revision(40), 104.5
        )
        confirm(state, 10**9, 105.0, 105.0)
        self.assertIsNone(state.awaited_revision)
        self.assertEqual(104.5, state.confirmed_s)

    def test_host_that_nobody_confirms_asks_with_short_waits(self) -> None:
        state = make_state()
        short_s = watch_confirmation.CONFIRMING_WAIT_S
        for is_confirming, is_heard, expected_s in (
            (False, False, short_s),
            (True, True, short_s),
            (False, True, 15.0),
        ):
            if is_heard:
                confirm(state, 40, 101, 101)
            wait_s = watch_confirmation.compute_wait_s(
                state, 15.0, is_confirming, 102.0
            )
            self.assertEqual(expected_s, wait_s)

    def test_malformed_confirmations_are_dropped(self) -> None:
        for item in (None, [], ["k", 1], ["k", -1, 0], ["k", 1, 2**80], "kkk"):
            self.assertRaises(
                watch_confirmation.MalformedConfirmation,
                watch_confirmation.parse_confirmations,
                [["k", 1, 0], item],
            )

    def test_confirmation_names_the_generation_of_the_store(self) -> None:
        for generation in (0, 3):
            confirmation = watch_confirmation.Confirmation(
                "k", store_revisions.Revision(generation, 7), 0.25
            )
            encoded = watch_confirmation.encode_confirmations([confirmation])
            self.assertEqual(["k", 7, 250_000], encoded[0])
            self.assertEqual(
                [confirmation], watch_confirmation.parse_confirmations(encoded)
            )

    def test_earlier_generation_of_the_store_confirms_nothing(self) -> None:
        # Its revisions say nothing about those that were given out again.
        state = make_state()
        confirm(state, 50, 104.0, 104.0, 1)
        self.assertEqual(ASKED_S - 0.1, state.confirmed_s)

    def test_later_generation_of_the_store_ends_the_watch_soon(self) -> None:
        state = make_state()
        confirm(state, 1, 104.0, 104.0, 3)
        self.assertEqual(
            104.0 + watch_confirmation.BEHIND_AFTER_S,
            watch_confirmation.compute_deadline_s(state, ASKED_S + 3),
        )


class ConfirmationTest(testtools.TestCase):
    """Confirmations between hosts of one data centre."""

    @harness.with_system(hosts=3)
    async def test_one_host_of_a_data_centre_asks_often(
        self, system: harness.System
    ) -> None:
        # Guards against calls that grow with the number of hosts.
        hosts = [entry.host for entry in system.entry_hosts]
        await harness.wait_for(
            lambda: (
                sum(host._confirmations.is_confirming for host in hosts) == 1
            )
        )
        store = system.platform.store
        await asyncio.sleep(2 * watch_confirmation.UNCONFIRMED_AFTER_S)
        calls = store.calls_by_kind["config"]
        await asyncio.sleep(3.0)
        self.assertLessEqual(store.calls_by_kind["config"] - calls, 4)

    @harness.with_system(hosts=2)
    async def test_malformed_message_changes_nothing(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        payloads: list[Any] = [None, 7, [1, 2], [1, 2, [[]]], [1, 10**400, []]]
        for payload in payloads:
            entry.host._confirmations._receive("host-1", payload, 1.0)
        reasons = [
            line["reason"] for line in entry.find_lines("peer_message_broken")
        ]
        kind = watch_confirmations.CONFIRMATION_KIND
        self.assertEqual(
            len(payloads), sum(reason.startswith(kind) for reason in reasons)
        )
        for watcher in entry.host.watchers:
            self.assertIsNone(watcher.state.awaited_revision)
