"""Tests of the plain form, the checks and the signatures of bundles."""

import copy
import json
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import model
from knapweedtally.core.bundles import codec
from knapweedtally.core.bundles import signatures
from tests.bundles import strategies

PRIVATE_KEY = bytes(range(32))
KEYS = {"ana": signatures.derive_public_key(PRIVATE_KEY)}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["version", "signer", "groups", "name", "targets", "id"]
            ),
            inner,
        )
    ),
)


def make_value() -> dict[str, Any]:
    """Return the plain form of a small bundle."""
    return {
        "version": 3,
        "signer": "ana",
        "groups": [
            {
                "name": "fog",
                "targets": [
                    {
                        "id": f"fog-{n}",
                        "address": f"127.0.{n}.10:5432",
                        "data_centre": f"dc{n}",
                    }
                    for n in range(1, 4)
                ],
            }
        ],
    }


class CodecTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.bundles())
    def test_round_trip(self, bundle: model.Bundle) -> None:
        plain = json.loads(json.dumps(codec.dump_bundle(bundle)))
        parsed = codec.parse_bundle(plain)
        self.assertEqual(bundle, parsed._replace(digest=""))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(JSON)
    def test_any_value_parses_or_is_malformed(self, value: Any) -> None:
        try:
            codec.parse_bundle(value)
        except codec.MalformedBundleError:
            pass

    def test_defaults_come_from_the_model(self) -> None:
        group = codec.parse_bundle(make_value()).groups["fog"]
        self.assertEqual(15, group.connection_limit)
        self.assertEqual(
            model.Target("fog-1", "127.0.1.10", 5432, "dc1"), group.targets[0]
        )

    def test_all_problems_are_reported(self) -> None:
        value = make_value()
        value["version"] = 0
        group = value["groups"][0]
        group["slots"] = 0
        group["leaving"] = ["fog-9"]
        group["targets"][2]["id"] = "fog-1"
        with self.assertRaises(codec.MalformedBundleError) as caught:
            codec.parse_bundle(value)
        for part in (
            "version: 0",
            "groups.0.slots: 0: use 1 to 1000",
            "groups.0.leaving.0: 'fog-9'",
            "groups.0.targets.2.id: 'fog-1'",
        ):
            self.assertIn(part, str(caught.exception))

    def test_an_invalid_address_is_reported(self) -> None:
        for address in ("fog:5432", "127.0.0.1", "127.0.0.1:0", ":1"):
            value = make_value()
            value["groups"][0]["targets"][0]["address"] = address
            with self.assertRaises(codec.MalformedBundleError) as caught:
                codec.parse_bundle(value)
            self.assertIn(repr(address), str(caught.exception))


class SignatureTest(testtools.TestCase):
    def test_digest_covers_the_content_but_not_the_signature(self) -> None:
        value = make_value()
        digest = codec.compute_digest(value)
        value["signature"] = signatures.sign_bundle(value, PRIVATE_KEY)
        value["operations"] = {"a": 1}
        self.assertEqual(digest, codec.compute_digest(value))
        value["groups"][0]["slots"] = 3
        self.assertNotEqual(digest, codec.compute_digest(value))

    def test_only_the_signed_content_verifies(self) -> None:
        value = make_value()
        value["signature"] = signatures.sign_bundle(value, PRIVATE_KEY)
        self.assertEqual("", signatures.verify_signature(value, KEYS))
        changes: tuple[dict[str, Any], ...] = (
            {"version": 4},
            {"signer": "eva"},
            {"groups": []},
            {"signature": ""},
            {"signature": "zz"},
            {"signature": 7},
            {"signature": "00" * 64},
        )
        for change in changes:
            changed = {**copy.deepcopy(value), **change}
            reason = signatures.verify_signature(changed, KEYS)
            self.assertNotEqual("", reason, change)
