"""Read a target's answers: frames, and what the proxy needs of them.

Rows are passed on as they came; only the few messages that carry a status
are decoded.
"""

import struct
from typing import NamedTuple

from pygwire import messages

from knapweedtally.core import exceptions
from knapweedtally.core import model

HEADER_LENGTH = 5
_LENGTH = struct.Struct("!I")
MAX_FRAME_LENGTH = 64 * 1024 * 1024
READY_FOR_QUERY = ord("Z")
PARAMETER_STATUS = ord("S")
ERROR_RESPONSE = ord("E")
COMMAND_COMPLETE = ord("C")
PARSE_COMPLETE = ord("1")
CLOSE_COMPLETE = ord("3")
DATA_ROW = ord("D")
REPORT_NAME = "kt.report"


class Section(NamedTuple):
    """Hold the answer up to one ReadyForQuery, which is left out.

    Attributes:
        frames: whole messages with their headers, without target reports.
        report: ``kt.report`` of the section, or empty.
        sqlstate: SQLSTATE of its error answer, or empty.
        status: transaction status, ``I``, ``T`` or ``E``.
    """

    frames: list[bytes]
    report: str
    sqlstate: str
    status: str


class SectionReader:
    """Collect received bytes into sections.

    Attributes:
        sqlstate: SQLSTATE of an error in the section under way, or empty.
        size: bytes received for the section under way.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._frames: list[bytes] = []
        self._report = ""
        self.sqlstate = ""
        self.size = 0

    def feed(self, data: bytes) -> list[Section]:
        """Add received bytes and return the sections they complete.

        Raises:
            ProtocolError: a frame has an impossible length.
        """
        self.size += len(data)
        # Whole messages are read from the received bytes without a copy.
        source: bytes | bytearray = data
        if self._buffer:
            self._buffer += data
            source = self._buffer
        sections: list[Section] = []
        rest = self._take_frames(source, sections)
        if source is data:
            self._buffer += data[rest:]
        else:
            del self._buffer[:rest]
        return sections

    def _take_frames(
        self, source: bytes | bytearray, sections: list[Section]
    ) -> int:
        """Take whole frames and return where the next one begins."""
        start = 0
        available = len(source)
        while available - start >= HEADER_LENGTH:
            length = _LENGTH.unpack_from(source, start + 1)[0] + 1
            if not HEADER_LENGTH <= length <= MAX_FRAME_LENGTH:
                raise exceptions.ProtocolError(f"frame of {length} bytes")
            if available - start < length:
                break
            frame = bytes(source[start : start + length])
            start += length
            section = self._take_frame(frame)
            if section is not None:
                sections.append(section)
        return start

    def _take_frame(self, frame: bytes) -> Section | None:
        kind = frame[0]
        if kind == READY_FOR_QUERY:
            return self._end_section(chr(frame[HEADER_LENGTH]))
        if kind == PARAMETER_STATUS:
            self._take_parameter(frame)
            return None
        if kind == ERROR_RESPONSE:
            self.sqlstate = read_sqlstate(frame)
        self._frames.append(frame)
        return None

    def _take_parameter(self, frame: bytes) -> None:
        name, _, value = frame[HEADER_LENGTH:-1].partition(b"\0")
        if name.decode() == REPORT_NAME:
            self._report = value.decode()

    def _end_section(self, status: str) -> Section:
        section = Section(self._frames, self._report, self.sqlstate, status)
        self._frames = []
        self._report = ""
        self.sqlstate = ""
        self.size = 0
        return section


def read_sqlstate(frame: bytes) -> str:
    """Return the SQLSTATE of an ErrorResponse frame."""
    error = messages.ErrorResponse.decode(memoryview(frame)[HEADER_LENGTH:])
    return error.fields.get("C", "XX000")


def read_error(frame: bytes) -> str:
    """Return the message of an ErrorResponse frame."""
    error = messages.ErrorResponse.decode(memoryview(frame)[HEADER_LENGTH:])
    return error.fields.get("M", "")


def read_tag(section: Section) -> str:
    """Return the last command tag of a section, or an empty string."""
    for frame in reversed(section.frames):
        if frame[0] == COMMAND_COMPLETE:
            return frame[HEADER_LENGTH:-1].decode()
    return ""


def read_rows(section: Section) -> list[list[str | None]]:
    """Return the rows of a section as text."""
    rows = []
    for frame in section.frames:
        if frame[0] != DATA_ROW:
            continue
        row = messages.DataRow.decode(memoryview(frame)[HEADER_LENGTH:])
        rows.append(
            [None if c is None else bytes(c).decode() for c in row.columns]
        )
    return rows


def parse_report(target: str, text: str) -> model.TargetReport | None:
    """Return the report of ``TERM/OFFSET/AGE_MS/p`` or ``.../r``.

    Returns:
        None when the text is empty or malformed.
    """
    fields = text.split("/")
    try:
        term, offset, age_ms, role = fields
        return model.TargetReport(
            target, int(term), int(offset), float(age_ms), role == "p"
        )
    except ValueError:
        return None


def encode_query(sql: str) -> bytes:
    """Return a simple query message."""
    return messages.Query(query_string=sql).to_wire()


def quote_literal(text: str) -> str:
    """Return an SQL string literal."""
    return "'" + text.replace("'", "''") + "'"
