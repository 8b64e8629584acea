"""Tests and fuzz tests of the datagrams between hosts."""

from typing import Any

import cbor2
import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry.fleet import peer_messages

# Largest UDP payload of one Ethernet frame, in bytes: 1,500 less the headers of
# IP and UDP.
ETHERNET_PAYLOAD_SIZE = 1500 - 28

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

    def test_heard_hosts_survive_a_round_trip(self) -> None:
        key = peer_messages.make_host_key("front-3")
        message = MESSAGE._replace(
            heard=(
                peer_messages.HeardHost("front-2", "dc", "10.0.0.2", 7440, 1.5),
            ),
            ages=((key, 0.5),),
            lacks_names=True,
        )
        data = peer_messages.encode_message(message)
        self.assertEqual(peer_messages.decode_message(data), message)

    def test_ages_are_rounded_up(self) -> None:
        key = peer_messages.make_host_key("front-3")
        body = peer_messages.encode_body((), (), [(key, 0.21), (key, 99.0)])
        data = peer_messages.encode_message(MESSAGE, body)
        ages = [age_s for _, age_s in peer_messages.decode_message(data).ages]
        self.assertEqual(ages, [0.3, peer_messages.MAX_AGE_TENTHS / 10])

    def test_message_of_heard_hosts_fits_into_one_frame(self) -> None:
        name = "front-" + "x" * 20
        heard = [
            peer_messages.HeardHost(name, "recepcion", "10.1.0.2", 7440, 9.0)
        ] * peer_messages.MAX_HEARD_HOSTS
        ages = [(peer_messages.make_host_key(name), 9.0)]
        ages *= peer_messages.MAX_AGES
        for body in (
            peer_messages.encode_body((), heard),
            peer_messages.encode_body((), (), ages),
        ):
            data = peer_messages.encode_message(MESSAGE, body)
            self.assertLessEqual(len(data), ETHERNET_PAYLOAD_SIZE)

    def test_malformed_heard_hosts_are_rejected(self) -> None:
        valid = ["front-2", "dc", b"\x0a\x00\x00\x02", 7440, 15]
        changes: list[tuple[int, Any]] = [
            (0, 7),
            (1, None),
            (2, b"\x0a"),
            (2, "nowhere"),
            (3, 0),
            (3, 65536),
            (3, "7440"),
            (4, -1),
            (4, 1.5),
        ]
        header = [6, "front-1", "dc", 7, 1, None, 0, []]
        for index, value in changes:
            entry = list(valid)
            entry[index] = value
            data = cbor2.dumps([*header, [entry], b"", False])
            with self.assertRaises(peer_messages.MalformedMessage):
                peer_messages.decode_message(data)
        for ages in (b"12345", "123456", None):
            data = cbor2.dumps([*header, [], ages, False])
            with self.assertRaises(peer_messages.MalformedMessage):
                peer_messages.decode_message(data)

    def test_times_that_are_no_whole_microseconds_are_rejected(self) -> None:
        # Guards against a clock offset that isn't a number.
        for time_us in (float("nan"), float("inf"), 10**400, "1", 1.5):
            for header in (
                [5, "front-1", "dc", 7, time_us, None, 0, []],
                [5, "front-1", "dc", 7, 1, time_us, 0, []],
                [5, "front-1", "dc", 7, 1, None, time_us, []],
            ):
                with self.assertRaises(peer_messages.MalformedMessage):
                    peer_messages.decode_message(cbor2.dumps(header))

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
