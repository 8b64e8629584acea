"""Tests of leaving targets from every source that reports them."""

from typing import Any

import testtools

from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import rules
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.draining import targets
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import messages
from tests.membership import network

TargetState = draining_state.TargetState


def build_bundle(version: int, leaving: tuple[str, ...] = ()) -> model.Bundle:
    group = model.Group(
        "g",
        tuple(
            model.Target(f"t{number}", f"127.0.1.{number}", 5432, "dc1")
            for number in (1, 2, 3)
        ),
        leaving=frozenset(leaving),
    )
    return model.Bundle(version, "", {"g": group})


def build_host_list(is_leaving: bool) -> events.HostListSeen:
    listed = model.ListedHost("x", "127.0.1.1", 5432, "dc1", is_leaving)
    return events.HostListSeen((listed,))


def build_answer(target: str) -> events.ProbeAnswered:
    report = model.TargetReport(target, 1, 1, 0.0, False)
    return events.ProbeAnswered(report, "t2", 1, 1, 1.0)


REFUSED = events.TargetStopping("t1")
UNREACHABLE = events.ProbeFailed("t1", True)
TIMED_OUT = events.ProbeFailed("t1", False)
ANSWERED = build_answer("t1")
LISTED = build_host_list(True)
UNLISTED = build_host_list(False)


class LeavingTargetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reset_state()

    def reset_state(self) -> None:
        identity = state_module.Identity("h1", "dc1", 1)
        self.state = state_module.ProxyState(identity)
        self.use_bundle(build_bundle(1))

    def use_bundle(self, bundle: model.Bundle) -> None:
        self.state.directory.bundle = bundle
        self.submit(events.Ticked())

    def submit(self, *items: Any, at: float = 1.0) -> None:
        for item in items:
            reducer.decide(self.state, model.Moment(at, 0.5), item)

    def is_leaving(self, target: str = "t1") -> bool:
        bundle = self.state.directory.bundle
        return rules.is_leaving(self.state, target, bundle.groups["g"])

    def get_target_state(self) -> TargetState:
        entry = self.state.draining.target_entries.get("t1")
        return entry.state if entry else TargetState.SERVING

    def list_choices(self) -> list[str]:
        return [
            decision.choice
            for decision in self.state.explanations.ring.values()
            if decision.subject == "t1"
        ]

    def test_each_source_alone_makes_a_target_leaving(self) -> None:
        register = model.Register("target", "t1", (1, 2), {})
        peer = membership_events.PeerMessageReceived(
            "h2", messages.Deltas((register,))
        )
        for source in (LISTED, REFUSED, peer):
            self.reset_state()
            self.assertFalse(self.is_leaving())
            self.submit(source)
            self.assertTrue(self.is_leaving())
            self.assertFalse(self.is_leaving("t2"))
        self.reset_state()
        self.use_bundle(build_bundle(2, ("t1",)))
        self.assertTrue(self.is_leaving())

    def test_states_follow_the_signals(self) -> None:
        cases: list[tuple[list[Any], TargetState]] = [
            ([UNREACHABLE], TargetState.SERVING),
            ([LISTED], TargetState.LISTED),
            ([LISTED, UNLISTED], TargetState.SERVING),
            ([LISTED, ANSWERED], TargetState.LISTED),
            ([LISTED, TIMED_OUT], TargetState.LISTED),
            ([LISTED, UNREACHABLE], TargetState.GONE),
            ([REFUSED, UNLISTED], TargetState.STOPPING),
            ([REFUSED, ANSWERED], TargetState.STOPPING),
            ([REFUSED, UNREACHABLE], TargetState.GONE),
            ([REFUSED, UNREACHABLE, UNLISTED], TargetState.GONE),
            ([REFUSED, UNREACHABLE, ANSWERED], TargetState.SERVING),
        ]
        for signals, expected in cases:
            self.reset_state()
            self.submit(*signals)
            self.assertEqual(expected, self.get_target_state(), signals)

    def test_a_stopping_target_that_still_answers_is_used_again(
        self,
    ) -> None:
        self.submit(REFUSED)
        self.submit(ANSWERED, at=1.0 + targets.STOPPING_RETRY_S)
        self.assertFalse(self.is_leaving())

    def test_each_change_leaves_a_decision_record(self) -> None:
        self.submit(LISTED, LISTED, REFUSED, UNREACHABLE, ANSWERED)
        self.use_bundle(build_bundle(2, ("t1",)))
        self.use_bundle(build_bundle(3))
        self.assertEqual(
            ["listed", "stopping", "gone", "serving", "leaving", "serving"],
            self.list_choices(),
        )

    def test_a_target_removed_from_the_bundle_is_forgotten(self) -> None:
        self.submit(REFUSED)
        self.use_bundle(model.Bundle(2, "", {}))
        self.assertEqual({}, self.state.draining.target_entries)
        self.use_bundle(build_bundle(3))
        self.assertFalse(self.is_leaving())
        self.submit(REFUSED)
        self.assertTrue(self.is_leaving())

    def test_a_version_stands_for_one_state(self) -> None:
        versions = {}
        for signal in [LISTED, REFUSED, UNREACHABLE, ANSWERED] * 3:
            self.submit(signal)
            entry = self.state.draining.target_entries["t1"]
            self.assertNotIn(entry.version, versions)
            versions[entry.version] = entry.state
            rank = entry.version[1] % targets.COUNT_STEP
            self.assertEqual(entry.state.value, rank)
        self.assertEqual(sorted(versions), list(versions))

    def test_a_malformed_register_changes_nothing(self) -> None:
        for version in ((), (1,), (1, 2, 3)):
            register = model.Register("target", "t1", version, {})
            self.submit(events.RegisterSeen(register))
        self.assertFalse(self.is_leaving())


class TargetStatePropagationTest(testtools.TestCase):
    def test_new_state_reaches_all_hosts_within_a_second(self) -> None:
        net = network.Network(1, [20, 20, 20])
        net.run(20.0)
        for node in net.list_live():
            node.state.directory.bundle = build_bundle(1)
        net.run(1.0)
        net.submit("dc1-h2", REFUSED)
        net.run(1.0)
        for node in net.list_live():
            group = node.state.directory.bundle.groups["g"]
            self.assertTrue(rules.is_leaving(node.state, "t1", group))
