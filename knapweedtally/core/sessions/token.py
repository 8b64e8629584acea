"""Encoding of session positions as opaque signed tokens.

A token is the URL-safe base64 form of a CBOR list ``[key id, caller,
{group: [term, offset]}]`` followed by the first 16 bytes of its HMAC-SHA-256
(RFC 2104). It is bound to the caller, so that no other caller can use it.
"""

import base64
import binascii
import hashlib
import hmac
from typing import NamedTuple

import cbor2

from knapweedtally.core import exceptions
from knapweedtally.core import model

MAC_LENGTH = 16
MAX_TOKEN_LENGTH = 4096

Positions = dict[str, model.Position]


class SigningKey(NamedTuple):
    """A key that signs tokens."""

    id: str
    secret: bytes


def encode_token(key: SigningKey, caller: str, positions: Positions) -> str:
    """Return the signed token for a caller's positions."""
    body = cbor2.dumps([key.id, caller, positions])
    mac = _compute_mac(key, body)
    return base64.urlsafe_b64encode(body + mac).decode().rstrip("=")


def decode_token(
    keys: tuple[SigningKey, ...], caller: str, token: str
) -> Positions:
    """Return the positions of a token.

    Raises:
        TokenError: the token is malformed, signed with an unknown key, or
            belongs to another caller.
    """
    body, mac = _split_token(token)
    key_id, owner, positions = _parse_body(body)
    for key in keys:
        if key.id != key_id:
            continue
        if not hmac.compare_digest(_compute_mac(key, body), mac):
            raise exceptions.TokenError("session token has a wrong signature")
        if owner != caller:
            raise exceptions.TokenError("session token is another caller's")
        return positions
    raise exceptions.TokenError("session token is signed with an unknown key")


def advance_position(
    positions: Positions, group: str, position: model.Position
) -> None:
    """Advance a session's position in a group; ignore a lower position."""
    known = positions.get(group)
    if known is None or position > known:
        positions[group] = position


def _compute_mac(key: SigningKey, body: bytes) -> bytes:
    return hmac.digest(key.secret, body, hashlib.sha256)[:MAC_LENGTH]


def _split_token(token: str) -> tuple[bytes, bytes]:
    if len(token) > MAX_TOKEN_LENGTH:
        raise exceptions.TokenError(
            f"session token is longer than {MAX_TOKEN_LENGTH} characters"
        )
    padding = "=" * (-len(token) % 4)
    try:
        raw = base64.urlsafe_b64decode(token.encode("ascii") + padding.encode())
    except (binascii.Error, ValueError) as error:
        raise exceptions.TokenError("session token is not base64") from error
    return raw[:-MAC_LENGTH], raw[-MAC_LENGTH:]


def _parse_body(body: bytes) -> tuple[str, str, Positions]:
    try:
        key_id, caller, raw_positions = cbor2.loads(body)
        positions = {
            str(group): model.Position(int(term), int(offset))
            for group, (term, offset) in raw_positions.items()
        }
    except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError) as e:
        raise exceptions.TokenError("session token is malformed") from e
    return str(key_id), str(caller), positions
