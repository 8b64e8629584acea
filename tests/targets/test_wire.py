"""Tests of splitting a target's answers into sections."""

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import exceptions
from knapweedtally.targets import wire

READY = b"Z\0\0\0\x05I"


def make_frame(kind: bytes, payload: bytes) -> bytes:
    """Return a message with its header."""
    return kind + (len(payload) + 4).to_bytes(4, "big") + payload


FRAMES = st.builds(
    make_frame, st.sampled_from([b"D", b"T", b"C"]), st.binary(max_size=40)
)


class SectionReaderTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(st.lists(FRAMES, max_size=5), max_size=4),
        st.lists(st.integers(1, 30), min_size=1, max_size=20),
    )
    def test_pieces_of_any_size_give_the_same_sections(
        self, answers: list[list[bytes]], sizes: list[int]
    ) -> None:
        report = make_frame(b"S", b"kt.report\x001/2/3/p\0")
        data = b"".join(b"".join(a) + report + READY for a in answers)
        reader = wire.SectionReader()
        sections: list[wire.Section] = []
        while data:
            size = sizes[len(data) % len(sizes)]
            sections += reader.feed(data[:size])
            data = data[size:]
        expected = [wire.Section(a, "1/2/3/p", "", "I") for a in answers]
        self.assertEqual(expected, sections)

    def test_invalid_length_is_an_error(self) -> None:
        for first in (b"", b"D"):
            reader = wire.SectionReader()
            reader.feed(first)
            data = b"D\0\0\0\0"[len(first) :]
            self.assertRaises(exceptions.ProtocolError, reader.feed, data)
