"""Tests and property tests of the line protocol codec."""

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.platform import line_protocol

_Kind = statements.Kind
_Code = statements.Code

NAMES = strategies.binary(min_size=1, max_size=12).filter(
    lambda text: not set(text) & set(b" \r\n")
)
REST = strategies.binary(max_size=40).filter(
    lambda text: not set(text) & set(b"\r\n")
)


class StatementTest(testtools.TestCase):
    """Parsing of callers' statements."""

    def parse(self, text: bytes) -> statements.Statement:
        return line_protocol.parse_statement(b"id", text)

    def test_kinds(self) -> None:
        cases = {
            b"BEGIN": _Kind.BEGIN,
            b"BEGIN READ": _Kind.BEGIN_READ,
            b"COMMIT": _Kind.COMMIT,
            b"ROLLBACK": _Kind.ROLLBACK,
            b"READ 1a4": _Kind.READ,
            b"WRITE 1a4 some data": _Kind.WRITE,
            b"SET name some value": _Kind.SET,
            b"PREPARE s1 WRITE q2c": _Kind.PREPARE,
            b"EXEC s1 1a4 xkq": _Kind.EXECUTE,
            b"CLOSE s1": _Kind.DEALLOCATE,
        }
        for text, kind in cases.items():
            self.assertEqual(self.parse(text).kind, kind, text)

    def test_malformed(self) -> None:
        cases = (
            b"",
            b"BEGIN WRITE",
            b"COMMIT now",
            b"READ",
            b"READ ",
            b"PREPARE s1 q2c",
            b"PREPARE s1 READ",
            b"SET",
            b"CLOSE",
            b"SINCE 3.4 READ 1a4",
            b"STATUS",
            b"PAUSE 9",
            b"STEPDOWN 9",
            b"RESET",
            b"begin",
        )
        for text in cases:
            self.assertEqual(self.parse(text).kind, _Kind.MALFORMED, text)

    def test_last_field_extends_to_the_end(self) -> None:
        statement = self.parse(b"EXEC s1 1a4 a  b ")
        self.assertEqual(statement.name, b"s1")
        self.assertEqual(statement.arguments, b"1a4 a  b ")

    def test_text_is_kept(self) -> None:
        query = line_protocol.parse_query(b"QUERY 5c0e WRITE 1a4  x ")
        assert query is not None
        self.assertEqual((query.id, query.text), (b"5c0e", b"WRITE 1a4  x "))

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_line_is_parsed_or_rejected(self, line: bytes) -> None:
        line_protocol.parse_start(line)
        statement = line_protocol.parse_query(line)
        self.assertEqual(statement is not None, line.startswith(b"QUERY "))

    @hypothesis.given(NAMES, NAMES, REST)
    def test_execute_round_trip(
        self, name: bytes, item: bytes, rest: bytes
    ) -> None:
        arguments = item + b" " + rest
        text = line_protocol.encode_execute(name, arguments)
        statement = self.parse(text)
        self.assertEqual(statement.kind, _Kind.EXECUTE)
        self.assertEqual(
            (statement.name, statement.arguments), (name, arguments)
        )


class LineBufferTest(testtools.TestCase):
    """Messages that arrive in fragments of any size."""

    @hypothesis.given(
        strategies.lists(REST, max_size=8),
        strategies.lists(strategies.integers(1, 30), min_size=1, max_size=9),
    )
    def test_fragmentation_does_not_change_messages(
        self, messages: list[bytes], fragment_sizes: list[int]
    ) -> None:
        data = b"".join(message + b"\r\n" for message in messages)
        buffer = line_protocol.MessageBuffer()
        received: list[bytes] = []
        offset = 0
        while offset < len(data):
            size = fragment_sizes[offset % len(fragment_sizes)]
            received += buffer.feed(data[offset : offset + size])
            offset += size
        self.assertEqual(received, messages)
        self.assertEqual(buffer.size, 0)

    def test_oversized_message_is_rejected(self) -> None:
        buffer = line_protocol.MessageBuffer()
        chunk = b"x" * 65536
        with testtools.ExpectedException(line_protocol.OversizedMessage):
            for _ in range(20):
                buffer.feed(chunk)

    def test_largest_message_is_accepted(self) -> None:
        buffer = line_protocol.MessageBuffer()
        message = b"x" * line_protocol.MAX_MESSAGE_BYTES
        self.assertEqual(buffer.feed(message + b"\r\n"), [message])


class AnswerTest(testtools.TestCase):
    """Parsing of targets' answers."""

    def read(self, data: bytes) -> list[statements.Answer]:
        return line_protocol.AnswerReader().feed(data)

    def test_rows_are_forwarded(self) -> None:
        data = b"ROW a b\r\nROW c\r\nDONE 7.1f\r\nREADY I 3.12\r\n"
        (answer,) = self.read(data)
        self.assertEqual(answer.rows, b"ROW a b\r\nROW c\r\n")
        self.assertEqual(answer.signature, b"7.1f")
        self.assertEqual(answer.position, b"3.12")
        self.assertIsNone(answer.code)

    def test_error(self) -> None:
        (answer,) = self.read(b"ERROR READONLY i-7f\r\nREADY E 3.9\r\n")
        self.assertEqual(answer.code, _Code.READ_ONLY)
        self.assertEqual(answer.state, statements.SessionState.FAILED)

    def test_unknown_error_does_not_mean_not_run(self) -> None:
        (answer,) = self.read(b"ERROR WHATEVER x\r\nREADY I -\r\n")
        self.assertEqual(answer.code, _Code.OTHER)
        self.assertNotIn(answer.code, statements.NOT_RUN_CODES)

    def test_refused_start(self) -> None:
        reader = line_protocol.AnswerReader()
        self.assertEqual(reader.feed(b"ERROR MAXCONN full\r\n"), [])
        self.assertEqual(reader.get_refusal(), _Code.TOO_MANY_CONNECTIONS)

    def test_status(self) -> None:
        data = b"ROW replica 3 3.1209 4 12 2 17\r\nDONE -\r\nREADY I -\r\n"
        status = line_protocol.parse_status(self.read(data)[0])
        self.assertEqual(
            status,
            model.TargetStatus(
                False, 3, model.Position(3, 1209), 4, 0.012, 2, 17
            ),
        )

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_parsed_or_rejected(self, data: bytes) -> None:
        try:
            answers = self.read(data + b"\r\n")
        except line_protocol.MalformedMessage:
            return
        for answer in answers:
            line_protocol.parse_status(answer)


class AnnouncementTest(testtools.TestCase):
    """The statement that names a team to a relay host."""

    def test_round_trip(self) -> None:
        for team, wire in (("t1", b"FOR t1 2 1500"), ("", b"FOR - 2 1500")):
            text = line_protocol.encode_announcement(team, 2, 1.5)
            self.assertEqual(wire, text)
            self.assertEqual(
                (team, 2, 1.5), line_protocol.parse_announcement(text)
            )

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_parsed_or_rejected(self, data: bytes) -> None:
        for text in (data, b"FOR " + data, b"FOR t 1 " + data):
            line_protocol.parse_announcement(text)


class PositionTest(testtools.TestCase):
    """Order and encoding of log positions."""

    def test_order(self) -> None:
        self.assertLess(model.Position(2, 900), model.Position(3, 1))

    def test_malformed_position(self) -> None:
        for text in (b"-", b"", b"3", b"3.", b".4", b"a.4", b"3.4.5"):
            self.assertIsNone(line_protocol.parse_position(text), text)

    @hypothesis.given(
        strategies.integers(0, 10**9), strategies.integers(0, 10**12)
    )
    def test_round_trip(self, term: int, number: int) -> None:
        position = model.Position(term, number)
        encoded = line_protocol.encode_position(position)
        self.assertEqual(line_protocol.parse_position(encoded), position)
