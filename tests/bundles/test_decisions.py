"""Tests of the bundle in force against a reference model."""

from typing import Any

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.bundles import codec
from knapweedtally.core.bundles import decisions
from knapweedtally.core.bundles import rules
from knapweedtally.core.bundles import signatures
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import messages
from tests.bundles import test_codec

MOMENT = model.Moment(1.0, 0.5)
MAX_VERSION = 6


def make_signed(version: int, slots: int = 2) -> dict[str, Any]:
    """Return a signed bundle; slots distinguishes two of the same version."""
    value = test_codec.make_value()
    value["version"] = version
    value["groups"][0]["slots"] = slots
    value["signature"] = signatures.sign_bundle(value, test_codec.PRIVATE_KEY)
    return value


def make_state() -> state_module.ProxyState:
    state = state_module.ProxyState(state_module.Identity("a1", "dc1", 1))
    state.bundles.keys = test_codec.KEYS
    return state


def make_object_event(value: dict[str, Any]) -> events.ObjectSeen:
    return events.ObjectSeen("bundle", "current", 1, value)


def make_register_event(value: dict[str, Any]) -> events.RegisterSeen:
    register = model.Register("bundle", "current", (value["version"],), value)
    return events.RegisterSeen(register)


SIGNED = {version: make_signed(version) for version in range(1, MAX_VERSION)}
FORGED = {
    version: {**value, "signature": "00" * 64}
    for version, value in SIGNED.items()
}


class BundlesTest(testtools.TestCase):
    # The drawn sequences include reordered, repeated and lost bundles.
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from([make_object_event, make_register_event]),
                st.booleans(),
                st.integers(1, MAX_VERSION - 1),
            )
        )
    )
    def test_highest_accepted_version_is_in_force(
        self, steps: list[tuple[Any, bool, int]]
    ) -> None:
        state = make_state()
        highest = 0
        for make_event, is_forged, version in steps:
            value = (FORGED if is_forged else SIGNED)[version]
            result = reducer.decide(state, MOMENT, make_event(value))
            published = [
                effect.register
                for effect in result
                if isinstance(effect, effects.PublishRegister)
            ]
            if not is_forged and version > highest:
                highest = version
                self.assertEqual([(version,)], [r.version for r in published])
                self.assertEqual(value, published[0].value)
            else:
                self.assertEqual([], published)
            in_force = state.directory.bundle
            self.assertEqual(highest, in_force.version if in_force else 0)

    def test_an_older_bundle_is_accepted_without_the_version_check(
        self,
    ) -> None:
        def accept_any(*_: object) -> rules.BundleRelation:
            return rules.BundleRelation.NEWER

        for is_rule_disabled, expected in ((False, 2), (True, 1)):
            if is_rule_disabled:
                self.patch(rules, "compare_bundles", accept_any)
            state = make_state()
            for version in (2, 1):
                reducer.decide(
                    state, MOMENT, make_object_event(SIGNED[version])
                )
            assert state.directory.bundle is not None
            self.assertEqual(expected, state.directory.bundle.version)

    def test_refusals_change_nothing_and_are_reported_once(self) -> None:
        state = make_state()
        reducer.decide(state, MOMENT, make_object_event(SIGNED[2]))
        before = state.directory.bundle
        unsigned = {**SIGNED[3], "signature": ""}
        unknown_signer = {**SIGNED[3], "signer": "eva"}
        malformed = {**SIGNED[3], "groups": "none"}
        conflicting = make_signed(2, slots=3)
        for value in (unsigned, unknown_signer, malformed, conflicting):
            first = reducer.decide(state, MOMENT, make_object_event(value))
            self.assertEqual([effects.WriteLog], [type(e) for e in first])
            decision = state.explanations.ring[first[0].values["decision"]]
            self.assertEqual("refused", decision.choice)
            self.assertNotEqual("", decision.remedy)
            again = reducer.decide(state, MOMENT, make_object_event(value))
            self.assertEqual([], again)
            self.assertIs(before, state.directory.bundle)

    def test_a_valid_bundle_is_accepted_after_a_forged_one(self) -> None:
        state = make_state()
        reducer.decide(state, MOMENT, make_register_event(FORGED[3]))
        reducer.decide(state, MOMENT, make_register_event(SIGNED[3]))
        assert state.directory.bundle is not None
        self.assertEqual(3, state.directory.bundle.version)

    def test_the_operations_of_the_object_are_not_stored(self) -> None:
        state = make_state()
        value = {**SIGNED[1], "operations": {"op": {"version": 1}}}
        reducer.decide(state, MOMENT, make_object_event(value))
        self.assertEqual(SIGNED[1], state.bundles.value)
        self.assertEqual(
            codec.compute_digest(SIGNED[1]), state.directory.bundle.digest
        )

    def test_an_absent_object_and_other_kinds_are_ignored(self) -> None:
        state = make_state()
        for event in (
            events.ObjectSeen("bundle", "current", 0, {}),
            events.ObjectSeen("group", "current", 1, SIGNED[1]),
        ):
            handle = decisions.HANDLERS[type(event)]
            self.assertEqual([], handle(state, MOMENT, event))
            self.assertIsNone(state.directory.bundle)

    def test_a_forged_register_does_not_block_a_valid_one(self) -> None:
        state = make_state()
        for value in (FORGED[5], SIGNED[2]):
            register = model.Register(
                "bundle", "current", (value["version"],), value
            )
            event = membership_events.PeerMessageReceived(
                "a2", messages.Deltas((register,))
            )
            result = reducer.decide(state, MOMENT, event)
        published = [
            e for e in result if isinstance(e, effects.PublishRegister)
        ]
        self.assertEqual([(2,)], [e.register.version for e in published])
        self.assertNotIn(("bundle", "current"), state.membership.store.entries)
