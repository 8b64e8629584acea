"""Encode and decode the fields of messages between peers.

The encoded form is plain data: text, numbers, booleans, bytes, null, lists and
tables.
"""

import enum
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import registers
from knapweedtally.peers import errors
from knapweedtally.peers import messages as peer_messages

MAX_TEXT_CHARACTERS = 4096
MAX_VERSION_PARTS = 4
MAX_NUMBER = 2**64 - 1
MAX_VALUE_DEPTH = 12

_PLAIN_TYPES = (str, int, float, bytes, type(None))


class Field(NamedTuple):
    """Codec of one field of a message.

    Attributes:
        encode: returns a value as plain data.
        decode: returns the value that plain data encodes; raises
            ``PeerCodecError`` for any other data.
    """

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


def convert_to_plain_data(value: object) -> object:
    """Return a value as data that CBOR and JSON can represent."""
    if isinstance(value, enum.Enum):
        return convert_to_plain_data(value.value)
    if isinstance(value, _PLAIN_TYPES):
        return value
    if isinstance(value, Mapping):
        return {
            str(key): convert_to_plain_data(item) for key, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [convert_to_plain_data(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted((convert_to_plain_data(item) for item in value), key=repr)
    return str(value)


def _return_unchanged(value: Any) -> Any:
    return value


def _make_type_error(expected: str, value: object) -> errors.PeerCodecError:
    return errors.PeerCodecError(
        f"expected {expected}, got {type(value).__name__}"
    )


def _decode_text(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise _make_type_error(
            f"text of up to {MAX_TEXT_CHARACTERS} characters", value
        )
    return value


def _decode_number(value: object) -> int:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 0 <= int(str(value)) <= MAX_NUMBER:
        raise _make_type_error(f"a whole number up to {MAX_NUMBER}", value)
    return int(str(value))


def _decode_time(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _make_type_error("a time in seconds", value)
    return float(value)


def _decode_boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise _make_type_error("true or false", value)
    return value


def _decode_register_kind(value: object) -> str:
    if value not in registers.KINDS:
        raise _make_type_error(f"one of {', '.join(registers.KINDS)}", value)
    return str(value)


def _decode_purpose(value: object) -> peer_messages.Purpose:
    try:
        return peer_messages.Purpose(value)
    except ValueError:
        raise _make_type_error("a purpose of the connection", value) from None


def _decode_list(value: object, length: int | None = None) -> list[Any]:
    if not isinstance(value, list):
        raise _make_type_error("a list", value)
    if length is not None and len(value) != length:
        raise errors.PeerCodecError(
            f"expected a list of {length}, got one of {len(value)}"
        )
    return value


def _decode_version(value: object) -> tuple[int, ...]:
    parts = _decode_list(value)
    if not 1 <= len(parts) <= MAX_VERSION_PARTS:
        raise _make_type_error(
            f"a version of up to {MAX_VERSION_PARTS} numbers", value
        )
    return tuple(map(_decode_number, parts))


def _check_plain_data(value: object, depth: int = 0) -> None:
    if isinstance(value, _PLAIN_TYPES):
        return
    if depth > MAX_VALUE_DEPTH or not isinstance(value, list | dict):
        raise _make_type_error("plain data of limited depth", value)
    items = value.values() if isinstance(value, dict) else value
    for item in items:
        _check_plain_data(item, depth + 1)


def _decode_table(value: object) -> dict[str, object]:
    if not isinstance(value, dict):
        raise _make_type_error("a table", value)
    if not all(isinstance(key, str) for key in value):
        raise _make_type_error("a table with text as keys", value)
    _check_plain_data(value)
    return value


def _encode_registers(value: tuple[model.Register, ...]) -> list[Any]:
    return [list(register) for register in value]


def _decode_registers(value: object) -> tuple[model.Register, ...]:
    return tuple(map(_decode_register, _decode_list(value)))


def _decode_register(value: object) -> model.Register:
    kind, name, version, content = _decode_list(value, 4)
    return model.Register(
        _decode_register_kind(kind),
        _decode_text(name),
        _decode_version(version),
        _decode_table(content),
    )


def _encode_digest_entries(
    value: tuple[messages.DigestEntry, ...],
) -> list[Any]:
    return [list(entry) for entry in value]


def _decode_digest_entries(value: object) -> tuple[messages.DigestEntry, ...]:
    return tuple(map(_decode_digest_entry, _decode_list(value)))


def _decode_digest_entry(value: object) -> messages.DigestEntry:
    name, version = _decode_list(value, 2)
    return messages.DigestEntry(_decode_text(name), _decode_version(version))


def _decode_hashes(value: object) -> dict[str, int]:
    table = _decode_table(value)
    return {
        _decode_register_kind(kind): _decode_number(number)
        for kind, number in table.items()
    }


def _encode_decision(
    value: explanations_state.Decision | None,
) -> list[Any] | None:
    if value is None:
        return None
    return [convert_to_plain_data(item) for item in value]


def _decode_decision(value: object) -> explanations_state.Decision | None:
    if value is None:
        return None
    parts = _decode_list(value, len(explanations_state.Decision._fields))
    decision_id, at, part, subject, choice, reason, evidence, remedy = parts
    return explanations_state.Decision(
        _decode_text(decision_id),
        _decode_time(at),
        _decode_text(part),
        _decode_text(subject),
        _decode_text(choice),
        _decode_text(reason),
        _decode_table(evidence),
        _decode_text(remedy),
    )


def _get_enum_value(value: enum.Enum) -> Any:
    return value.value


TEXT = Field(_return_unchanged, _decode_text)
NUMBER = Field(_return_unchanged, _decode_number)
BOOLEAN = Field(_return_unchanged, _decode_boolean)
REGISTER_KIND = Field(_return_unchanged, _decode_register_kind)
PURPOSE = Field(_get_enum_value, _decode_purpose)
REGISTERS = Field(_encode_registers, _decode_registers)
DIGEST_ENTRIES = Field(_encode_digest_entries, _decode_digest_entries)
HASHES_BY_KIND = Field(_return_unchanged, _decode_hashes)
DECISION = Field(_encode_decision, _decode_decision)
