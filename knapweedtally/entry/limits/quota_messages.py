"""Payloads of the extension messages that ask for tokens and lend them."""

from typing import Any

from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import slices

ASK_KIND = "quota-ask"
LEND_KIND = "quota-lend"

# Bounds of what a message may state. Larger values are errors of the sender.
MAX_TOKENS = 10_000
MAX_NUMBER = 2**63
MAX_RATE_PER_S = 1e9
MAX_NAME_LENGTH = 200
MAX_RETRY_MS = 60_000


class MalformedPayload(ValueError):  # noqa: N818 - named after the cause
    """A payload that isn't a question or an answer."""


def encode_ask(ask: messages.Ask) -> list[Any]:
    """Return the payload of a question."""
    return [ask.id, ask.team, *ask.limit, ask.needed, ask.ahead]


def decode_ask(payload: Any) -> messages.Ask:
    """Return the question of a payload.

    Raises:
        MalformedPayload: a field is missing, has the wrong type or is out of
            range.
    """
    id_, team, version, rate, burst, needed, ahead = _unpack(payload, 7)
    return messages.Ask(
        _parse_integer("id", id_, MAX_NUMBER),
        _parse_name(team),
        _parse_limit(version, rate, burst),
        _parse_integer("needed", needed, MAX_TOKENS),
        _parse_integer("ahead", ahead, MAX_TOKENS),
    )


def encode_lend(lend: messages.Lend) -> list[Any]:
    """Return the payload of an answer."""
    return [
        lend.id,
        lend.team,
        int(lend.reply),
        lend.tokens,
        round(lend.fill * 100),
        round(lend.retry_s * 1000),
        *lend.limit,
    ]


def decode_lend(payload: Any) -> messages.Lend:
    """Return the answer of a payload.

    Raises:
        MalformedPayload: a field is missing, has the wrong type or is out of
            range.
    """
    fields = _unpack(payload, 9)
    id_, team, reply, tokens, fill, retry_ms, version, rate, burst = fields
    last = max(messages.Reply)
    return messages.Lend(
        _parse_integer("id", id_, MAX_NUMBER),
        _parse_name(team),
        messages.Reply(_parse_integer("reply", reply, last)),
        _parse_integer("tokens", tokens, 2 * MAX_TOKENS),
        _parse_integer("fill", fill, 100) / 100,
        _parse_integer("retry", retry_ms, MAX_RETRY_MS) / 1000,
        _parse_limit(version, rate, burst),
    )


def _unpack(payload: Any, length: int) -> list[Any]:
    if not isinstance(payload, list) or len(payload) != length:
        raise MalformedPayload(f"payload must be a list of {length} fields")
    return payload


def _parse_integer(name: str, value: Any, maximum: int) -> int:
    if type(value) is not int or not 0 <= value <= maximum:
        raise MalformedPayload(f"{name} must be an integer up to {maximum}")
    return value


def _parse_name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise MalformedPayload("team must be a name")
    return value


def _parse_limit(version: Any, rate: Any, burst: Any) -> slices.Limit:
    return slices.Limit(
        _parse_integer("version", version, MAX_NUMBER),
        _parse_amount("rate", rate),
        _parse_amount("burst", burst),
    )


def _parse_amount(name: str, value: Any) -> float:
    # A comparison is safe for any number; a huge integer has no float.
    is_number = type(value) in (int, float)
    if not is_number or not 0 <= value <= MAX_RATE_PER_S:
        raise MalformedPayload(f"{name} must be a number from 0")
    return float(value)
