"""Keep where a caller's session stands, as its tokens say."""

from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.core.sessions import token as token_module

# Value of the token setting by which a new session says that it will carry
# the tokens that it is given.
NEW_SESSION = "new"


class SessionTokens:
    """Hold the positions of a session on one connection.

    Only a session that carries its tokens is known to be whole on this
    connection: another one may have written over other connections, so its
    position isn't known, and its reads have to be confirmed at the primary.

    Attributes:
        is_carried: whether the session has shown that it carries tokens.
    """

    def __init__(
        self, keys: tuple[token_module.SigningKey, ...], caller: str
    ) -> None:
        self.is_carried = False
        self._keys = keys
        self._caller = caller
        self._positions: token_module.Positions = {}
        self._is_new = False

    def load(self, text: str) -> None:
        """Take in a token; an invalid one counts as none.

        After an invalid one the position isn't known: the session may stand
        further on than this connection has seen.
        """
        if text == NEW_SESSION:
            self._is_new = not self.is_carried
            self.is_carried = True
            return
        try:
            decoded = token_module.decode_token(self._keys, self._caller, text)
        except exceptions.TokenError:
            self.is_carried = False
            return
        for group, position in decoded.items():
            self.advance(group, position)
        self.is_carried = True
        self._is_new = False

    def advance(self, group: str, position: model.Position) -> None:
        """Move the session's position in a group forward, never back."""
        token_module.advance_positions(self._positions, group, position)

    def get_position(self, group: str) -> model.Position | None:
        """Return the session's position in a group, or None if not known.

        A valid token without the group says that the session has written
        nothing there; a new session may have lost its token, so its first
        read of a group is confirmed.
        """
        if not self.is_carried:
            return None
        if self._is_new:
            return self._positions.get(group)
        return self._positions.get(group, model.Position(0, 0))

    def encode(self) -> str:
        """Return the token for what is known now."""
        return token_module.encode_token(
            self._keys[0], self._caller, self._positions
        )
