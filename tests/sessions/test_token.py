"""Tests of session tokens."""

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.core.sessions import token

KEYS = (token.SigningKey("k2", b"2" * 32), token.SigningKey("k1", b"1" * 32))
POSITIONS = st.dictionaries(
    st.text(min_size=1, max_size=20),
    st.builds(model.Position, st.integers(0, 2**40), st.integers(0, 2**60)),
    max_size=4,
)


class TokenTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(POSITIONS, st.sampled_from(KEYS))
    def test_round_trip_preserves_positions(
        self, positions: token.Positions, key: token.SigningKey
    ) -> None:
        text = token.encode_token(key, "ana", positions)
        self.assertEqual(positions, token.decode_token(KEYS, "ana", text))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.data())
    def test_a_changed_token_is_refused(self, data: st.DataObject) -> None:
        text = token.encode_token(KEYS[0], "ana", {"g": model.Position(1, 2)})
        index = data.draw(st.integers(0, len(text) - 2))
        character = data.draw(st.sampled_from("ABCabc012"))
        changed = text[:index] + character + text[index + 1 :]
        hypothesis.assume(changed != text)
        self.assertRaises(
            exceptions.TokenError, token.decode_token, KEYS, "ana", changed
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.text(max_size=100))
    def test_arbitrary_text_raises_only_token_error(self, text: str) -> None:
        self.assertRaises(
            exceptions.TokenError, token.decode_token, KEYS, "ana", text
        )

    def test_another_callers_token_is_refused(self) -> None:
        text = token.encode_token(KEYS[0], "ana", {})
        self.assertRaises(
            exceptions.TokenError, token.decode_token, KEYS, "bo", text
        )
