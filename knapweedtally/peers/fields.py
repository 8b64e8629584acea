"""Write and read the fields of messages between peers as plain CBOR data."""

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
    """Convert one field of a message.

    Attributes:
        write: returns plain data for a value.
        read: returns the value of plain data; raises ``PeerCodecError``.
    """

    write: Callable[[Any], Any]
    read: Callable[[Any], Any]


def make_plain(value: object) -> object:
    """Return a value as data that CBOR and JSON can carry."""
    if isinstance(value, enum.Enum):
        return make_plain(value.value)
    if isinstance(value, _PLAIN_TYPES):
        return value
    if isinstance(value, Mapping):
        return {str(key): make_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [make_plain(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted((make_plain(item) for item in value), key=repr)
    return str(value)


def _keep(value: Any) -> Any:
    return value


def _fail(expected: str, value: object) -> errors.PeerCodecError:
    return errors.PeerCodecError(
        f"expected {expected}, got {type(value).__name__}"
    )


def _read_text(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise _fail(f"text of up to {MAX_TEXT_CHARACTERS} characters", value)
    return value


def _read_number(value: object) -> int:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 0 <= int(str(value)) <= MAX_NUMBER:
        raise _fail(f"a whole number up to {MAX_NUMBER}", value)
    return int(str(value))


def _read_time(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _fail("a time in seconds", value)
    return float(value)


def _read_flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise _fail("true or false", value)
    return value


def _read_kind(value: object) -> str:
    if value not in registers.KINDS:
        raise _fail(f"one of {', '.join(registers.KINDS)}", value)
    return str(value)


def _read_purpose(value: object) -> peer_messages.Purpose:
    try:
        return peer_messages.Purpose(value)
    except ValueError:
        raise _fail("a purpose of the connection", value) from None


def _read_list(value: object, length: int | None = None) -> list[Any]:
    if not isinstance(value, list):
        raise _fail("a list", value)
    if length is not None and len(value) != length:
        raise errors.PeerCodecError(
            f"expected a list of {length}, got one of {len(value)}"
        )
    return value


def _read_version(value: object) -> tuple[int, ...]:
    parts = _read_list(value)
    if not 1 <= len(parts) <= MAX_VERSION_PARTS:
        raise _fail(f"a version of up to {MAX_VERSION_PARTS} numbers", value)
    return tuple(map(_read_number, parts))


def _check_plain(value: object, depth: int = 0) -> None:
    if isinstance(value, _PLAIN_TYPES):
        return
    if depth > MAX_VALUE_DEPTH or not isinstance(value, list | dict):
        raise _fail("plain data of limited depth", value)
    items = value.values() if isinstance(value, dict) else value
    for item in items:
        _check_plain(item, depth + 1)


def _read_value(value: object) -> dict[str, object]:
    if not isinstance(value, dict):
        raise _fail("a table", value)
    if not all(isinstance(key, str) for key in value):
        raise _fail("a table with text as keys", value)
    _check_plain(value)
    return value


def _write_registers(value: tuple[model.Register, ...]) -> list[Any]:
    return [list(register) for register in value]


def _read_registers(value: object) -> tuple[model.Register, ...]:
    return tuple(map(_read_register, _read_list(value)))


def _read_register(value: object) -> model.Register:
    kind, name, version, content = _read_list(value, 4)
    return model.Register(
        _read_kind(kind),
        _read_text(name),
        _read_version(version),
        _read_value(content),
    )


def _write_entries(value: tuple[messages.DigestEntry, ...]) -> list[Any]:
    return [list(entry) for entry in value]


def _read_entries(value: object) -> tuple[messages.DigestEntry, ...]:
    return tuple(map(_read_entry, _read_list(value)))


def _read_entry(value: object) -> messages.DigestEntry:
    name, version = _read_list(value, 2)
    return messages.DigestEntry(_read_text(name), _read_version(version))


def _read_hashes(value: object) -> dict[str, int]:
    table = _read_value(value)
    return {
        _read_kind(kind): _read_number(number) for kind, number in table.items()
    }


def _write_decision(
    value: explanations_state.Decision | None,
) -> list[Any] | None:
    if value is None:
        return None
    return [make_plain(item) for item in value]


def _read_decision(value: object) -> explanations_state.Decision | None:
    if value is None:
        return None
    parts = _read_list(value, len(explanations_state.Decision._fields))
    decision_id, at, part, subject, choice, reason, evidence, remedy = parts
    return explanations_state.Decision(
        _read_text(decision_id),
        _read_time(at),
        _read_text(part),
        _read_text(subject),
        _read_text(choice),
        _read_text(reason),
        _read_value(evidence),
        _read_text(remedy),
    )


def _get_enum_value(value: enum.Enum) -> Any:
    return value.value


TEXT = Field(_keep, _read_text)
NUMBER = Field(_keep, _read_number)
FLAG = Field(_keep, _read_flag)
KIND = Field(_keep, _read_kind)
PURPOSE = Field(_get_enum_value, _read_purpose)
REGISTERS = Field(_write_registers, _read_registers)
ENTRIES = Field(_write_entries, _read_entries)
HASHES = Field(_keep, _read_hashes)
DECISION = Field(_write_decision, _read_decision)
