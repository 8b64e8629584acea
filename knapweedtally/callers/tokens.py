"""Track the replication positions of a caller's session by its tokens."""

from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.core.sessions import token as token_module

# Value of the token setting by which a new session declares that it will
# send the tokens that it receives whenever it connects again.
NEW_SESSION = "new"


class SessionTokens:
    """The positions of a session, as far as one connection knows them.

    A session may also write through other connections, and only its tokens
    tell this connection about those writes. Without a valid token the
    session's position is unknown, and its reads have to be confirmed at the
    primary.

    Attributes:
        has_valid_token: whether the last token that the caller sent was valid
            or declared a new session.
    """

    def __init__(
        self, keys: tuple[token_module.SigningKey, ...], caller: str
    ) -> None:
        self.has_valid_token = False
        self._keys = keys
        self._caller = caller
        self._positions: token_module.Positions = {}
        self._is_new_session = False

    def load_token(self, token: str) -> None:
        """Merge the positions of a token; an invalid one counts as none.

        After an invalid token the position is unknown: the session may have
        written at later positions than this connection has seen.
        """
        if token == NEW_SESSION:
            self._is_new_session = not self.has_valid_token
            self.has_valid_token = True
            return
        try:
            decoded = token_module.decode_token(self._keys, self._caller, token)
        except exceptions.TokenError:
            self.has_valid_token = False
            return
        for group, position in decoded.items():
            self.advance_position(group, position)
        self.has_valid_token = True
        self._is_new_session = False

    def advance_position(self, group: str, position: model.Position) -> None:
        """Advance the session's position in a group; it never decreases."""
        token_module.advance_position(self._positions, group, position)

    def get_position(self, group: str) -> model.Position | None:
        """Return the session's position in a group, or None if unknown.

        A valid token without the group means that the session has written
        nothing there. A session that declared itself new may have lost its
        token instead, so its first read of a group is confirmed.
        """
        if not self.has_valid_token:
            return None
        if self._is_new_session:
            return self._positions.get(group)
        return self._positions.get(group, model.Position(0, 0))

    def encode_token(self) -> str:
        """Return a token of the positions that are known now."""
        return token_module.encode_token(
            self._keys[0], self._caller, self._positions
        )
