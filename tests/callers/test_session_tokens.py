"""Tests of what a connection knows of its session."""

import testtools

from knapweedtally.callers import tokens
from knapweedtally.core import model
from knapweedtally.core.sessions import token

KEYS = (token.SigningKey("k1", b"1" * 32),)


class SessionTokensTest(testtools.TestCase):
    def make(self, *loaded: str) -> tokens.SessionTokens:
        made = tokens.SessionTokens(KEYS, "ana")
        for text in loaded:
            made.load_token(text)
        return made

    def test_a_session_that_carries_no_token_has_no_position(self) -> None:
        """Its writes over this connection tell nothing of the others."""
        for loaded in ((), ("forged",)):
            made = self.make(*loaded)
            made.advance_position("g", model.Position(1, 5))
            self.assertIsNone(made.get_position("g"))

    def test_a_new_session_is_confirmed_before_it_has_a_position(self) -> None:
        made = self.make(tokens.NEW_SESSION)
        self.assertIsNone(made.get_position("g"))
        made.advance_position("g", model.Position(1, 5))
        self.assertEqual(model.Position(1, 5), made.get_position("g"))

    def test_a_token_tells_of_every_group(self) -> None:
        text = token.encode_token(KEYS[0], "ana", {"g": model.Position(1, 5)})
        made = self.make(text, tokens.NEW_SESSION)
        self.assertEqual(model.Position(1, 5), made.get_position("g"))
        self.assertEqual(model.Position(0, 0), made.get_position("other"))

    def test_after_an_invalid_token_the_position_is_not_known(self) -> None:
        """What it stood for may be newer than what is known here."""
        text = token.encode_token(KEYS[0], "ana", {"g": model.Position(1, 5)})
        made = self.make(text, text[:-3])
        self.assertIsNone(made.get_position("g"))
        made.load_token(text)
        self.assertEqual(model.Position(1, 5), made.get_position("g"))
