"""Parsers of settings; they raise ``ValueError`` if a text is not allowed."""

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from knapweedtally.conf import secrets

# In characters of a secret token and in bytes of a key.
MIN_SECRET_LENGTH = 16
PUBLIC_KEY_BYTES = 32
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class TokenKey(NamedTuple):
    """A key that signs or verifies session tokens."""

    id: str
    key: bytes


Parser = Callable[[str], Any]


def parse_name(text: str) -> str:
    """Return a name made of lower-case letters, digits, dots and dashes."""
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError
    return text


def parse_ip(text: str) -> str:
    """Return an IP address in its canonical form."""
    return str(ipaddress.ip_address(text))


def parse_port(text: str) -> int:
    """Return a port; 0 lets the operating system choose one."""
    return _parse_int(text, 0, 65_535)


def parse_path(text: str) -> str:
    """Return the path of a file; an empty text means no file."""
    if "\0" in text:
        raise ValueError
    return text


def parse_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` denotes."""
    host, _, port = text.rpartition(":")
    return Address(parse_ip(host.strip("[]")), _parse_int(port, 1, 65_535))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses in ``IP:PORT,...``; an empty text contains none."""
    return tuple(parse_address(part) for part in _split_list(text))


def parse_seconds(text: str) -> float:
    """Return a duration of 1 to 3600 seconds."""
    seconds = float(text)
    if not 1 <= seconds <= 3600:
        raise ValueError
    return seconds


def parse_secret_token(text: str) -> secrets.Secret[str]:
    """Return a secret token that is long enough not to be guessed."""
    if len(text) < MIN_SECRET_LENGTH:
        raise ValueError
    return secrets.Secret(text)


def parse_token_keys(text: str) -> secrets.Secret[tuple[TokenKey, ...]]:
    """Return the keys in ``ID:HEX,...``, the signing key first."""
    keys = tuple(
        TokenKey(name, key)
        for name, key in _parse_keys(text, MIN_SECRET_LENGTH)
    )
    return secrets.Secret(keys)


def parse_bundle_keys(text: str) -> dict[str, bytes]:
    """Return the public keys in ``OPERATOR:HEX,...`` by operator."""
    keys = dict(_parse_keys(text, PUBLIC_KEY_BYTES))
    if any(len(key) != PUBLIC_KEY_BYTES for key in keys.values()):
        raise ValueError
    return keys


def make_choice_parser(*choices: str) -> Parser:
    """Return a parser that accepts only the given texts."""

    def parse_choice(text: str) -> str:
        if text not in choices:
            raise ValueError
        return text

    return parse_choice


def _parse_keys(text: str, min_bytes: int) -> list[tuple[str, bytes]]:
    pairs = []
    for part in _split_list(text):
        name, _, key = part.partition(":")
        pairs.append((parse_name(name), bytes.fromhex(key)))
    names = [name for name, _ in pairs]
    is_long_enough = all(len(key) >= min_bytes for _, key in pairs)
    if not pairs or not is_long_enough or len(set(names)) < len(names):
        raise ValueError
    return pairs


def _parse_int(text: str, minimum: int, maximum: int) -> int:
    number = int(text)
    if not minimum <= number <= maximum:
        raise ValueError
    return number


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]
