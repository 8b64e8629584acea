"""Tests of the session positions that a connection knows."""

import testtools

from knapweedtally.callers import tokens
from knapweedtally.core import model
from knapweedtally.core.sessions import token

KEYS = (token.SigningKey("k1", b"1" * 32),)


class SessionTokensTest(testtools.TestCase):
    def make_tokens(self, *loaded_tokens: str) -> tokens.SessionTokens:
        session_tokens = tokens.SessionTokens(KEYS, "ana")
        for text in loaded_tokens:
            session_tokens.load_token(text)
        return session_tokens

    def test_session_without_valid_token_has_no_position(self) -> None:
        """Writes on this connection say nothing about those on others."""
        for loaded_tokens in ((), ("forged",)):
            session_tokens = self.make_tokens(*loaded_tokens)
            session_tokens.advance_position("g", model.Position(1, 5))
            self.assertIsNone(session_tokens.get_position("g"))

    def test_new_session_has_no_position_before_its_first_answer(self) -> None:
        session_tokens = self.make_tokens(tokens.NEW_SESSION)
        self.assertIsNone(session_tokens.get_position("g"))
        session_tokens.advance_position("g", model.Position(1, 5))
        self.assertEqual(model.Position(1, 5), session_tokens.get_position("g"))

    def test_token_gives_a_position_for_every_group(self) -> None:
        text = token.encode_token(KEYS[0], "ana", {"g": model.Position(1, 5)})
        session_tokens = self.make_tokens(text, tokens.NEW_SESSION)
        self.assertEqual(model.Position(1, 5), session_tokens.get_position("g"))
        self.assertEqual(
            model.Position(0, 0), session_tokens.get_position("other")
        )

    def test_position_is_unknown_after_an_invalid_token(self) -> None:
        """The rejected token may hold later positions than those known."""
        text = token.encode_token(KEYS[0], "ana", {"g": model.Position(1, 5)})
        session_tokens = self.make_tokens(text, text[:-3])
        self.assertIsNone(session_tokens.get_position("g"))
        session_tokens.load_token(text)
        self.assertEqual(model.Position(1, 5), session_tokens.get_position("g"))
