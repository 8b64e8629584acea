"""Wire formats of the value types that the stand-in supports."""

import struct
from collections.abc import Callable
from typing import NamedTuple

from standins.target import errors
from standins.target import log as logs

BOOL = 16
BYTEA = 17
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
OID = 26
FLOAT4 = 700
FLOAT8 = 701
UNKNOWN = 705
VARCHAR = 1043

TEXT_FORMAT = 0
BINARY_FORMAT = 1

_TRUE_LITERALS = frozenset({"t", "true", "1", "on", "yes"})
_STRUCTS_BY_OID = {
    INT2: struct.Struct("!h"),
    INT4: struct.Struct("!i"),
    INT8: struct.Struct("!q"),
    OID: struct.Struct("!I"),
    FLOAT4: struct.Struct("!f"),
    FLOAT8: struct.Struct("!d"),
}
_SIZES_BY_OID = {
    BOOL: 1,
    **{oid: item.size for oid, item in _STRUCTS_BY_OID.items()},
}
_OIDS_BY_NAME = {
    "bool": BOOL,
    "boolean": BOOL,
    "blob": BYTEA,
    "bytea": BYTEA,
    "bigint": INT8,
    "int": INT8,
    "int2": INT2,
    "int4": INT4,
    "int8": INT8,
    "integer": INT8,
    "smallint": INT8,
    "double": FLOAT8,
    "double precision": FLOAT8,
    "float": FLOAT8,
    "float4": FLOAT8,
    "float8": FLOAT8,
    "numeric": FLOAT8,
    "real": FLOAT8,
}


class ValueFormatError(errors.TargetError):
    """A value does not have the format of its type."""

    sqlstate = "22P02"


class Column(NamedTuple):
    """Result column with its name and type OID."""

    name: str
    oid: int


def find_oid(name: str) -> int:
    """Return the OID of a declared type, or TEXT for an unknown type."""
    return _OIDS_BY_NAME.get(name.lower().split("(")[0].strip(), TEXT)


def get_size(oid: int) -> int:
    """Return the size of a type in bytes, or -1 for a variable size."""
    return _SIZES_BY_OID.get(oid, -1)


def infer_type(value: logs.Value) -> int:
    """Return the type OID for a Python value."""
    if isinstance(value, int):
        return INT8
    if isinstance(value, float):
        return FLOAT8
    return BYTEA if isinstance(value, bytes) else TEXT


def decode(data: bytes | None, oid: int, format_code: int) -> logs.Value:
    """Decode a parameter value.

    Raises:
        ValueFormatError: the data does not have the format of its type.
    """
    if data is None:
        return None
    decoder = _decode_binary if format_code == BINARY_FORMAT else _decode_text
    try:
        return decoder(data, oid)
    except (ValueError, struct.error) as error:
        raise ValueFormatError(
            f"parameter {data[:40]!r} does not fit type {oid}: {error}"
        ) from error


def encode(value: logs.Value, oid: int, format_code: int) -> bytes | None:
    """Encode a result value.

    Raises:
        ValueFormatError: the value does not fit the type of its column.
    """
    if value is None:
        return None
    encoder = _encode_binary if format_code == BINARY_FORMAT else _encode_text
    try:
        return encoder(value, oid)
    except (ValueError, TypeError, struct.error) as error:
        raise ValueFormatError(
            f"value {str(value)[:40]!r} does not fit type {oid}: {error}"
        ) from error


def _decode_text(data: bytes, oid: int) -> logs.Value:
    text = data.decode()
    parser = _TEXT_PARSERS_BY_OID.get(oid)
    return parser(text) if parser else text


def _decode_binary(data: bytes, oid: int) -> logs.Value:
    if oid in _STRUCTS_BY_OID:
        value: int | float = _STRUCTS_BY_OID[oid].unpack(data)[0]
        return value
    if oid == BOOL:
        return data != b"\0"
    return data if oid == BYTEA else data.decode()


def _parse_bytes(text: str) -> bytes:
    if text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text.encode()


def _parse_bool(text: str) -> bool:
    return text.strip().lower() in _TRUE_LITERALS


_TEXT_PARSERS_BY_OID: dict[int, Callable[[str], logs.Value]] = {
    BOOL: _parse_bool,
    BYTEA: _parse_bytes,
    INT2: int,
    INT4: int,
    INT8: int,
    OID: int,
    FLOAT4: float,
    FLOAT8: float,
}


def _encode_text(value: logs.Value, oid: int) -> bytes:
    if oid == BOOL:
        return b"t" if value else b"f"
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    if isinstance(value, bool):
        return b"1" if value else b"0"
    return str(value).encode()


def _encode_binary(value: logs.Value, oid: int) -> bytes:
    if oid == BOOL:
        return b"\1" if value else b"\0"
    if oid in _STRUCTS_BY_OID:
        return _STRUCTS_BY_OID[oid].pack(value)
    if isinstance(value, bytes):
        return value
    return str(value).encode()
