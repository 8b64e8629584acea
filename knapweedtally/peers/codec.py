"""Encode and decode messages between peers as CBOR.

A message is encoded as a list: the code of its type, then its fields in order.
A message of ``COMPRESSION_THRESHOLD_BYTES`` or more is encoded as a list of two
items: ``COMPRESSED_CODE`` and the zlib-compressed encoding.
"""

import zlib
from typing import Any
from typing import NamedTuple
from typing import NoReturn

import cbor2

from knapweedtally.core.membership import messages
from knapweedtally.peers import errors
from knapweedtally.peers import fields
from knapweedtally.peers import messages as peer_messages

MAX_MESSAGE_BYTES = 1_048_576
MAX_DEPTH = 20

# Messages of at least this encoded size are compressed.
COMPRESSION_THRESHOLD_BYTES = 512
COMPRESSION_LEVEL = 1
COMPRESSED_CODE = 0

# CBOR tags that cbor2 decodes to other objects, such as regular expressions.
_REFUSED_TAGS = (
    *range(6),
    *(25, 28, 29, 30, 35, 36, 37, 52, 54, 100, 256, 258, 260, 261, 1004),
    *(43000, 55799),
)

Message = (
    messages.Message
    | peer_messages.Hello
    | peer_messages.DecisionRequest
    | peer_messages.DecisionAnswer
)


class MessageCodec(NamedTuple):
    """Encoding of one message type.

    Attributes:
        code: number that identifies the type on the wire; never reused.
        fields: codecs of the message's fields, in order.
    """

    code: int
    fields: tuple[fields.Field, ...]


CODECS: dict[type, MessageCodec] = {
    peer_messages.Hello: MessageCodec(
        1, (fields.TEXT, fields.TEXT, fields.NUMBER, fields.PURPOSE)
    ),
    peer_messages.DecisionRequest: MessageCodec(2, (fields.TEXT,)),
    peer_messages.DecisionAnswer: MessageCodec(3, (fields.DECISION,)),
    messages.Heartbeat: MessageCodec(4, ()),
    messages.Deltas: MessageCodec(5, (fields.REGISTERS,)),
    messages.Summary: MessageCodec(6, (fields.HASHES_BY_KIND,)),
    messages.Digest: MessageCodec(
        7,
        (
            fields.REGISTER_KIND,
            fields.TEXT,
            fields.TEXT,
            fields.DIGEST_ENTRIES,
            fields.BOOLEAN,
        ),
    ),
    messages.ProbeRequest: MessageCodec(8, (fields.TEXT,)),
    messages.ProbeAnswer: MessageCodec(9, (fields.TEXT,)),
}

_TYPES_BY_CODE = {
    codec.code: message_type for message_type, codec in CODECS.items()
}


class Encoder:
    """Encode messages and cache the encoding of the last one.

    A message that is sent to several peers in a row is encoded only once.
    """

    def __init__(self) -> None:
        self._message: Message | None = None
        self._data = b""

    def encode(self, message: Message) -> bytes:
        """Return the encoded message."""
        if message != self._message or type(message) is not type(self._message):
            self._data = encode_message(message)
            self._message = message
        return self._data


def encode_message(message: Message) -> bytes:
    """Return the encoded message, compressed if it is large."""
    codec = CODECS[type(message)]
    encoded_fields = [
        field.encode(value)
        for field, value in zip(codec.fields, message, strict=True)
    ]
    data = cbor2.dumps([codec.code, *encoded_fields])
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    compressed = zlib.compress(data, COMPRESSION_LEVEL)
    return cbor2.dumps([COMPRESSED_CODE, compressed])


def decode_message(data: bytes) -> Message:
    """Decode a message from its bytes on the wire.

    Raises:
        PeerCodecError: the bytes are not a valid message, or the message is
            too large.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.PeerCodecError(
            f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        )
    parts = _load_parts(data)
    if parts[0] == COMPRESSED_CODE:
        parts = _load_parts(_decompress(parts))
    message_type = (
        _TYPES_BY_CODE.get(parts[0]) if isinstance(parts[0], int) else None
    )
    if message_type is None:
        raise errors.PeerCodecError("type of the message is unknown")
    codec = CODECS[message_type]
    if len(parts) != len(codec.fields) + 1:
        raise errors.PeerCodecError(
            f"{message_type.__name__} has {len(codec.fields)} fields, "
            f"got {len(parts) - 1}"
        )
    values = [
        field.decode(part)
        for field, part in zip(codec.fields, parts[1:], strict=True)
    ]
    return message_type(*values)


def _refuse_tag(*arguments: Any) -> NoReturn:
    raise errors.PeerCodecError("tagged values are not allowed")


_SEMANTIC_DECODERS = dict.fromkeys(_REFUSED_TAGS, _refuse_tag)


def _decompress(parts: list[Any]) -> bytes:
    """Return the decompressed message; its size is limited."""
    if len(parts) != 2 or not isinstance(parts[1], bytes):
        raise errors.PeerCodecError("compressed message is malformed")
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(parts[1], MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise errors.PeerCodecError(f"not valid zlib: {error}") from error
    if not decompressor.eof:
        raise errors.PeerCodecError(
            f"decompressed message exceeds {MAX_MESSAGE_BYTES} bytes"
        )
    return data


def _load_parts(data: bytes) -> list[Any]:
    try:
        parts = cbor2.loads(
            data,
            tag_hook=_refuse_tag,
            semantic_decoders=_SEMANTIC_DECODERS,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORDecodeError, errors.PeerCodecError) as error:
        raise errors.PeerCodecError(f"not valid CBOR: {error}") from error
    if not isinstance(parts, list) or not parts:
        raise errors.PeerCodecError("message is no list")
    return parts
