"""Split a target's answers into frames and decode what the proxy needs.

Rows are forwarded unchanged; only the few messages that carry a status are
decoded.
"""

import struct
from typing import NamedTuple

from pygwire import messages

from knapweedtally.core import exceptions
from knapweedtally.core import model

HEADER_BYTES = 5
_LENGTH_FIELD = struct.Struct("!I")
MAX_FRAME_BYTES = 64 * 1024 * 1024
READY_FOR_QUERY = ord("Z")
PARAMETER_STATUS = ord("S")
ERROR_RESPONSE = ord("E")
COMMAND_COMPLETE = ord("C")
PARSE_COMPLETE = ord("1")
CLOSE_COMPLETE = ord("3")
DATA_ROW = ord("D")
REPORT_PARAMETER = "kt.report"


class Section(NamedTuple):
    """Part of an answer up to a ReadyForQuery, which is left out.

    Attributes:
        frames: complete messages with their headers, without
            ParameterStatus messages.
        report: value of ``kt.report`` in the section, or empty.
        sqlstate: SQLSTATE of the last error in the section, or empty.
        status: transaction status: ``I``, ``T`` or ``E``.
    """

    frames: list[bytes]
    report: str
    sqlstate: str
    status: str


class SectionReader:
    """Assemble received bytes into sections.

    Attributes:
        sqlstate: SQLSTATE of the last error in the incomplete section, or
            empty.
        size: number of bytes received for the incomplete section.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._frames: list[bytes] = []
        self._report = ""
        self.sqlstate = ""
        self.size = 0

    def feed(self, data: bytes) -> list[Section]:
        """Add received bytes and return the sections that they complete.

        Raises:
            ProtocolError: a frame has an invalid length.
        """
        self.size += len(data)
        # Complete messages are read from the received bytes directly, without
        # a copy into the buffer.
        source: bytes | bytearray = data
        if self._buffer:
            self._buffer += data
            source = self._buffer
        sections: list[Section] = []
        consumed_bytes = self._read_frames(source, sections)
        if source is data:
            self._buffer += data[consumed_bytes:]
        else:
            del self._buffer[:consumed_bytes]
        return sections

    def _read_frames(
        self, source: bytes | bytearray, sections: list[Section]
    ) -> int:
        """Read complete frames and return the offset of the next one."""
        start = 0
        available = len(source)
        while available - start >= HEADER_BYTES:
            length = _LENGTH_FIELD.unpack_from(source, start + 1)[0] + 1
            if not HEADER_BYTES <= length <= MAX_FRAME_BYTES:
                raise exceptions.ProtocolError(f"frame of {length} bytes")
            if available - start < length:
                break
            frame = bytes(source[start : start + length])
            start += length
            section = self._process_frame(frame)
            if section is not None:
                sections.append(section)
        return start

    def _process_frame(self, frame: bytes) -> Section | None:
        kind = frame[0]
        if kind == READY_FOR_QUERY:
            return self._end_section(chr(frame[HEADER_BYTES]))
        if kind == PARAMETER_STATUS:
            self._process_parameter_status(frame)
            return None
        if kind == ERROR_RESPONSE:
            self.sqlstate = read_sqlstate(frame)
        self._frames.append(frame)
        return None

    def _process_parameter_status(self, frame: bytes) -> None:
        name, _, value = frame[HEADER_BYTES:-1].partition(b"\0")
        if name.decode() == REPORT_PARAMETER:
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
    error = messages.ErrorResponse.decode(memoryview(frame)[HEADER_BYTES:])
    return error.fields.get("C", "XX000")


def read_error(frame: bytes) -> str:
    """Return the message of an ErrorResponse frame."""
    error = messages.ErrorResponse.decode(memoryview(frame)[HEADER_BYTES:])
    return error.fields.get("M", "")


def read_tag(section: Section) -> str:
    """Return the last command tag of a section, or an empty string."""
    for frame in reversed(section.frames):
        if frame[0] == COMMAND_COMPLETE:
            return frame[HEADER_BYTES:-1].decode()
    return ""


def read_rows(section: Section) -> list[list[str | None]]:
    """Return the rows of a section as text."""
    rows = []
    for frame in section.frames:
        if frame[0] != DATA_ROW:
            continue
        row = messages.DataRow.decode(memoryview(frame)[HEADER_BYTES:])
        rows.append(
            [None if c is None else bytes(c).decode() for c in row.columns]
        )
    return rows


def parse_report(target: str, text: str) -> model.TargetReport | None:
    """Return the report in ``TERM/OFFSET/AGE_MS/p`` or ``.../r``.

    The last field is ``p`` for a primary and ``r`` for a replica.

    Returns:
        The report, or None if the text is empty or malformed.
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
    """Return the message of a simple query."""
    return messages.Query(query_string=sql).to_wire()


def quote_literal(text: str) -> str:
    """Return an SQL string literal."""
    return "'" + text.replace("'", "''") + "'"
