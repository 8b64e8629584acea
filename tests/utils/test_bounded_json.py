"""Tests of decoding JSON with odd values in it."""

import json

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.utils import bounded_json

DEEP = "[" * 100_000 + "]" * 100_000
DEEP_OBJECTS = '{"a":[' * 50_000 + "]}" * 50_000
LONG = "9" * 5_000

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**300), 10**300)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=20,
)


class BoundedJsonTest(testtools.TestCase):
    def test_odd_value_costs_nothing_beside_it(self) -> None:
        for odd in (DEEP, DEEP_OBJECTS, LONG, f"-{LONG}.5e7", '"\udcff"'):
            text = '{"a": [1, "]}"], "b": ' + odd + ', "c": {"d": "\\"[x"}}'
            data = text.encode("utf-8", "surrogateescape")
            decoded = bounded_json.decode(data)
            self.assertEqual([1, "]}"], decoded["a"])
            self.assertEqual({"d": '"[x'}, decoded["c"])

    def test_what_is_not_json_is_refused(self) -> None:
        for data in (b"", b"[", DEEP.encode()[:-1], b'{"a": "', b"[1 2]"):
            self.assertRaises(ValueError, bounded_json.decode, data)

    @hypothesis.given(VALUES)
    @hypothesis.settings(deadline=None, derandomize=True)
    def test_usual_values_are_kept(self, value: object) -> None:
        text = json.dumps(value)
        self.assertEqual(
            value, json.loads(bounded_json.replace_oversized(text))
        )
