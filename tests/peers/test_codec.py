"""Tests of the codec of peer messages, with fuzz tests of its input."""

import zlib

import cbor2
import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import model
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import registers
from knapweedtally.peers import codec
from knapweedtally.peers import errors
from knapweedtally.peers import fields
from knapweedtally.peers import messages as peer_messages

TEXT = strategies.text(max_size=20)
KIND = strategies.sampled_from(registers.KINDS)
VERSION = strategies.lists(
    strategies.integers(0, 2**63), min_size=1, max_size=4
).map(tuple)
PLAIN = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.floats(allow_nan=False)
    | TEXT,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=8,
)
VALUE = strategies.dictionaries(TEXT, PLAIN, max_size=4)
REGISTER = strategies.builds(model.Register, KIND, TEXT, VERSION, VALUE)
ENTRY = strategies.builds(messages.DigestEntry, TEXT, VERSION)
DECISION = strategies.builds(
    explanations_state.Decision,
    *(TEXT, strategies.floats(0, 1e9), TEXT, TEXT, TEXT, TEXT, VALUE, TEXT),
)
MESSAGE = strategies.one_of(
    strategies.builds(
        peer_messages.Hello,
        TEXT,
        TEXT,
        strategies.integers(0, 2**63),
        strategies.sampled_from(peer_messages.Purpose),
    ),
    strategies.builds(peer_messages.DecisionRequest, TEXT),
    strategies.builds(
        peer_messages.DecisionAnswer, strategies.none() | DECISION
    ),
    strategies.just(messages.Heartbeat()),
    strategies.builds(
        messages.Deltas, strategies.lists(REGISTER, max_size=3).map(tuple)
    ),
    strategies.builds(
        messages.Summary,
        strategies.dictionaries(KIND, strategies.integers(0, 2**64 - 1)),
    ),
    strategies.builds(
        messages.Digest,
        KIND,
        TEXT,
        TEXT,
        strategies.lists(ENTRY, max_size=3).map(tuple),
        strategies.booleans(),
    ),
    strategies.builds(messages.ProbeRequest, TEXT),
    strategies.builds(messages.ProbeAnswer, TEXT),
)
MUTATION = strategies.tuples(
    strategies.integers(0, 10_000), strategies.binary(max_size=6)
)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)


def decode_or_refuse(data: bytes) -> codec.Message | None:
    """Return the decoded message, or None if the codec refuses the bytes.

    Any error other than the codec's own fails the test.
    """
    try:
        return codec.decode_message(data)
    except errors.PeerCodecError:
        return None


class CodecTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(MESSAGE)
    def test_messages_survive_the_wire(self, message: codec.Message) -> None:
        data = codec.encode_message(message)
        self.assertEqual(message, codec.decode_message(data))

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_are_refused_or_decoded(self, data: bytes) -> None:
        decode_or_refuse(data)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(PLAIN, max_size=7), strategies.integers(-1, 11)
    )
    def test_random_fields_are_refused_or_decoded(
        self, parts: list[object], code: int
    ) -> None:
        message = decode_or_refuse(cbor2.dumps([code, *parts]))
        if message is not None:
            self.assertIn(type(message), codec.CODECS)

    @SETTINGS
    @hypothesis.given(MESSAGE, MUTATION)
    def test_damaged_messages_are_refused_or_decoded(
        self, message: codec.Message, mutation: tuple[int, bytes]
    ) -> None:
        place, noise = mutation
        data = bytearray(codec.encode_message(message))
        start = place % len(data)
        data[start : start + len(noise)] = noise
        decode_or_refuse(bytes(data))

    def test_unsafe_and_malformed_input_is_refused(self) -> None:
        regular_expression = b"\x82\x08\xd8\x23\x61a"
        shared_reference = b"\x82\x08\xd8\x1c\x81\xd8\x1d\x00"
        unknown_tag = b"\x82\x08\xd9\x27\x0f\x61a"
        nested = b"\x81" * 30 + b"\x00"
        indefinite = b"\x9f\x04\xff"
        oversized = bytes(codec.MAX_MESSAGE_BYTES + 1)
        code_as_list = cbor2.dumps([[4]])
        for data in (
            regular_expression,
            shared_reference,
            unknown_tag,
            nested,
            indefinite,
            oversized,
            code_as_list,
            b"",
        ):
            with testtools.ExpectedException(errors.PeerCodecError):
                codec.decode_message(data)

    def test_long_messages_are_compressed(self) -> None:
        value: dict[str, object] = {"x": "y" * 10_000}
        register = model.Register("bundle", "current", (1,), value)
        message = messages.Deltas((register,))
        data = codec.encode_message(message)
        self.assertLess(len(data), 1000)
        self.assertEqual(message, codec.decode_message(data))

    def test_invalid_and_oversized_compressed_messages_are_refused(
        self,
    ) -> None:
        inner = cbor2.dumps([8, "x" * codec.MAX_MESSAGE_BYTES])
        compressed_twice = cbor2.dumps(
            [0, zlib.compress(cbor2.dumps([0, b"x"]))]
        )
        for data in (
            cbor2.dumps([0, zlib.compress(inner)]),
            cbor2.dumps([0, zlib.compress(inner)[:-4]]),
            cbor2.dumps([0, b"not compressed"]),
            cbor2.dumps([0, "text"]),
            cbor2.dumps([0]),
            compressed_twice,
        ):
            with testtools.ExpectedException(errors.PeerCodecError):
                codec.decode_message(data)

    @SETTINGS
    @hypothesis.given(strategies.lists(MESSAGE, max_size=4))
    def test_an_encoder_gives_each_message_its_own_bytes(
        self, items: list[codec.Message]
    ) -> None:
        encoder = codec.Encoder()
        for message in items * 2:
            expected = codec.encode_message(message)
            self.assertEqual(expected, encoder.encode(message))

    def test_cached_encoding_is_not_used_for_another_type(self) -> None:
        encoder = codec.Encoder()
        for message_type in (messages.ProbeRequest, messages.ProbeAnswer):
            data = encoder.encode(message_type("h"))
            self.assertIs(message_type, type(codec.decode_message(data)))

    def test_message_codes_are_unique(self) -> None:
        codes = {item.code for item in codec.CODECS.values()}
        self.assertEqual(len(codec.CODECS), len(codes))

    def test_evidence_of_any_type_is_converted_to_plain_data(self) -> None:
        evidence = {
            "position": model.Position(1, 2),
            "phase": model.Phase.OPEN,
            "names": frozenset({"b", "a"}),
            3: ValueError("x"),
        }
        expected = {
            "position": [1, 2],
            "phase": "open",
            "names": ["a", "b"],
            "3": "x",
        }
        self.assertEqual(expected, fields.convert_to_plain_data(evidence))
