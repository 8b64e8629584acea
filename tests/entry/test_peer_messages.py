"""Tests and fuzz tests of the datagrams between hosts."""

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry import peer_messages

MESSAGE = peer_messages.PeerMessage(
    "front-1",
    "dc",
    77,
    123.5,
    99.25,
    0.125,
    (
        sharing.SharedEvidence(
            "g",
            "i-1",
            3,
            0.5,
            0.25,
            0.5,
            model.Position(3, 12),
            refused_share=0.25,
        ),
    ),
)


class CodecTest(testtools.TestCase):
    """Messages survive a round trip, and other data is rejected."""

    def test_round_trip(self) -> None:
        data = peer_messages.encode_message(MESSAGE)
        self.assertEqual(peer_messages.decode_message(data), MESSAGE)

    def test_first_message_has_no_echo(self) -> None:
        message = MESSAGE._replace(echoed_s=None, shared=())
        data = peer_messages.encode_message(message)
        self.assertEqual(peer_messages.decode_message(data), message)

    def test_infinite_age_is_sent_as_the_maximum_age(self) -> None:
        never_seen = MESSAGE.shared[0]._replace(member_age_s=float("inf"))
        data = peer_messages.encode_message(
            MESSAGE._replace(shared=(never_seen,))
        )
        shared = peer_messages.decode_message(data).shared[0]
        self.assertEqual(shared.member_age_s, peer_messages.MAX_AGE_S)

    @hypothesis.given(strategies.binary(max_size=120))
    def test_any_bytes_are_decoded_or_rejected(self, data: bytes) -> None:
        try:
            peer_messages.decode_message(data)
        except peer_messages.MalformedMessage:
            pass

    @hypothesis.given(strategies.data())
    def test_damaged_messages_are_decoded_or_rejected(
        self, data: strategies.DataObject
    ) -> None:
        raw = bytearray(peer_messages.encode_message(MESSAGE))
        index = data.draw(strategies.integers(0, len(raw) - 1))
        raw[index] = data.draw(strategies.integers(0, 255))
        try:
            peer_messages.decode_message(bytes(raw))
        except peer_messages.MalformedMessage:
            pass
