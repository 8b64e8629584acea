"""Messages of the line protocol that callers and targets speak."""

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements

MAX_MESSAGE_BYTES = 1024 * 1024
END = b"\r\n"
NO_POSITION = b"-"
# Id of statements that a host issues itself.
OWN_ID = b"-"

_Kind = statements.Kind
_Code = statements.Code
_State = statements.SessionState

_CODES: dict[bytes, statements.Code] = {
    b"BUSY": _Code.BUSY,
    b"ABORTED": _Code.ABORTED,
    b"LAGGING": _Code.BEHIND,
    b"READONLY": _Code.READ_ONLY,
    b"WRONGNODE": _Code.WRONG_TARGET,
    b"MAXCONN": _Code.TOO_MANY_CONNECTIONS,
    b"INDOUBT": _Code.UNKNOWN_OUTCOME,
    b"TIMEOUT": _Code.TIMED_OUT,
    b"FAIL": _Code.FAILED,
    b"NOSTMT": _Code.UNKNOWN_STATEMENT,
    b"NODB": _Code.UNKNOWN_DATABASE,
    b"TOOBIG": _Code.TOO_LARGE,
    b"MALFORMED": _Code.MALFORMED,
}
_CODE_WORDS = {code: word for word, code in _CODES.items()}
_STATES: dict[bytes, statements.SessionState] = {
    b"I": _State.IDLE,
    b"T": _State.IN_TRANSACTION,
    b"E": _State.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}

# Statements by first word: kind, fewest and most fields after the word. The
# last field runs to the end of the line.
_FORMS: dict[bytes, tuple[statements.Kind, int, int]] = {
    b"COMMIT": (_Kind.COMMIT, 0, 0),
    b"ROLLBACK": (_Kind.ROLLBACK, 0, 0),
    b"READ": (_Kind.READ, 1, 1),
    b"WRITE": (_Kind.WRITE, 1, 2),
    b"SET": (_Kind.SET, 1, 2),
    b"EXEC": (_Kind.EXECUTE, 1, 2),
    b"CLOSE": (_Kind.DEALLOCATE, 1, 1),
}


class BrokenLine(Exception):  # noqa: N818 - named after the cause
    """Report bytes that are no message; the connection can't go on."""


class OversizedLine(BrokenLine):
    """Report a message over the limit."""


class LineBuffer:
    """Split received bytes into messages.

    Attributes:
        size: bytes received and not yet taken.
    """

    __slots__ = ("_data", "_searched")

    def __init__(self) -> None:
        """Start empty."""
        self._data = bytearray()
        self._searched = 0

    @property
    def size(self) -> int:
        """Return the number of bytes that wait for the end of a message."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the messages that are complete.

        Raises:
            OversizedLine: a message is over ``MAX_MESSAGE_BYTES``.
        """
        if not self._data and data.endswith(END):
            lines = data.split(END)
            lines.pop()
        else:
            self._data += data
            end = self._data.rfind(END, max(0, self._searched - 1))
            if end < 0:
                self._searched = len(self._data)
                if self._searched > MAX_MESSAGE_BYTES:
                    raise OversizedLine(f"over {MAX_MESSAGE_BYTES} bytes")
                return []
            lines = bytes(self._data[:end]).split(END)
            del self._data[: end + len(END)]
            self._searched = 0
        if any(len(line) > MAX_MESSAGE_BYTES for line in lines):
            raise OversizedLine(f"over {MAX_MESSAGE_BYTES} bytes")
        return lines


def parse_statement(id_: bytes, text: bytes) -> statements.Statement:
    """Return the statement that a query's text holds."""
    word, _, rest = text.partition(b" ")
    if word == b"BEGIN":
        kinds = {b"": _Kind.BEGIN, b"READ": _Kind.BEGIN_READ}
        kind = kinds.get(rest, _Kind.MALFORMED)
        return statements.Statement(id_, kind, text)
    if word == b"PREPARE":
        return _parse_prepare(id_, text, rest)
    form = _FORMS.get(word)
    if form is None:
        return statements.Statement(id_, _Kind.MALFORMED, text)
    kind, fewest, most = form
    fields = rest.split(b" ", most - 1) if most and rest else []
    if (
        not fewest <= len(fields) <= most
        or (rest and not most)
        or b"" in fields[:fewest]
    ):
        return statements.Statement(id_, _Kind.MALFORMED, text)
    name = fields[0] if fields else b""
    remainder = fields[1] if len(fields) > 1 else b""
    return statements.Statement(id_, kind, text, name, remainder)


def _parse_prepare(
    id_: bytes, text: bytes, rest: bytes
) -> statements.Statement:
    name, _, definition = rest.partition(b" ")
    verb, _, shape = definition.partition(b" ")
    if not name or verb not in (b"READ", b"WRITE") or not shape:
        return statements.Statement(id_, _Kind.MALFORMED, text)
    return statements.Statement(id_, _Kind.PREPARE, text, name, definition)


def is_write_definition(definition: bytes) -> bool:
    """Tell whether a prepared statement's definition is that of a write."""
    return definition.startswith(b"WRITE ")


def parse_query(line: bytes) -> statements.Statement | None:
    """Return the statement of a caller's ``QUERY`` message, None for others."""
    if not line.startswith(b"QUERY "):
        return None
    id_, _, text = line[6:].partition(b" ")
    if not id_ or not text:
        return statements.Statement(id_ or OWN_ID, _Kind.MALFORMED, text)
    return parse_statement(id_, text)


def parse_start(line: bytes) -> str | None:
    """Return the database that a ``START`` message names, None for others."""
    fields = line.split(b" ")
    if len(fields) < 2 or fields[0] != b"START" or not fields[1]:
        return None
    return fields[1].decode("utf-8", "replace")


def parse_target_start(line: bytes) -> tuple[str, str] | None:
    """Return group and target of a ``START`` message to a target."""
    fields = line.decode("utf-8", "replace").split(" ")
    if len(fields) != 4 or fields[0] != "START":
        return None
    return fields[1], fields[3]


def split_query(line: bytes) -> tuple[bytes, bytes] | None:
    """Return id and text of a ``QUERY`` message, None for others."""
    fields = line.split(b" ", 2)
    if len(fields) != 3 or fields[0] != b"QUERY":
        return None
    return fields[1], fields[2]


def split_position(text: bytes) -> tuple[bytes, bytes]:
    """Return the position that precedes a statement, or nothing, and the rest.

    The first part joined to the second is the text again.
    """
    if not text.startswith(b"SINCE "):
        return b"", text
    word, position, bare = [*text.split(b" ", 2), b"", b""][:3]
    return b"%b %b " % (word, position), bare


def is_control(text: bytes) -> bool:
    """Tell whether a statement is an order or a question to a target."""
    return text.partition(b" ")[0] in _CONTROL_WORDS


def is_reset(text: bytes) -> bool:
    """Tell whether a statement clears a connection's values and names."""
    return text == RESET


def is_goodbye(line: bytes) -> bool:
    """Tell whether a caller ends its session."""
    return line == b"BYE" or line.startswith(b"BYE ")


def encode_ready(
    state: statements.SessionState, position: bytes = NO_POSITION
) -> bytes:
    """Return the message that ends each answer."""
    return b"READY %b %b\r\n" % (_STATE_WORDS[state], position)


def encode_done(signature: bytes = b"-") -> bytes:
    """Return the message of a success."""
    return b"DONE %b\r\n" % signature


def encode_error(code: statements.Code, detail: bytes) -> bytes:
    """Return the message of an error; ``OTHER`` is told as a failure."""
    word = _CODE_WORDS.get(code, b"FAIL")
    return b"ERROR %b %b\r\n" % (word, detail or b"-")


def encode_start(group: str, user: str, target: str) -> bytes:
    """Return the first message to a target, with the expected id."""
    return f"START {group} {user} {target}\r\n".encode()


def encode_query(id_: bytes, text: bytes) -> bytes:
    """Return a statement's message."""
    return b"QUERY %b %b\r\n" % (id_, text)


def encode_position(position: model.Position) -> bytes:
    """Return a position in wire form."""
    return b"%d.%d" % position


def parse_position(text: bytes) -> model.Position | None:
    """Return a position, or None where the text holds none."""
    term, dot, number = text.partition(b".")
    if not dot or not term.isdigit() or not number.isdigit():
        return None
    return model.Position(int(term), int(number))


def add_position(text: bytes, position: model.Position) -> bytes:
    """Return a read's text that runs only on a log with this position."""
    return b"SINCE %d.%d %b" % (position.term, position.number, text)


def encode_set(name: bytes, value: bytes) -> bytes:
    """Return the text that sets a session value."""
    return b"SET %b %b" % (name, value) if value else b"SET %b" % name


def encode_prepare(name: bytes, definition: bytes) -> bytes:
    """Return the text that prepares a statement."""
    return b"PREPARE %b %b" % (name, definition)


def encode_execute(name: bytes, arguments: bytes) -> bytes:
    """Return the text that runs a prepared statement."""
    return b"EXEC %b %b" % (name, arguments) if arguments else b"EXEC %b" % name


BEGIN = b"BEGIN"
BEGIN_READ = b"BEGIN READ"
ROLLBACK = b"ROLLBACK"
RESET = b"RESET"
STATUS = b"STATUS"
_CONTROL_WORDS = frozenset({b"STATUS", b"PAUSE", b"RESUME", b"STEPDOWN"})
RESUME = b"RESUME"


def encode_pause(term: int) -> bytes:
    """Return the text that stops a replica from receiving."""
    return b"PAUSE %d" % term


def encode_step_down(term: int) -> bytes:
    """Return the text that makes a primary of a lower term a replica."""
    return b"STEPDOWN %d" % term


def parse_status(answer: statements.Answer) -> model.TargetStatus | None:
    """Return the status row of an answer, or None where there is none."""
    if answer.code is not None or not answer.rows.startswith(b"ROW "):
        return None
    fields = answer.rows[4:].partition(END)[0].split(b" ")
    if len(fields) < 7:
        return None
    received = parse_position(fields[2]) or model.Position(0, 0)
    try:
        return model.TargetStatus(
            is_primary=fields[0] == b"primary",
            term=int(fields[1]),
            received=received,
            paused_for=int(fields[3]),
            lag_s=float(fields[4]) / 1000,
            busy=int(fields[5]),
            connections=int(fields[6]),
        )
    except ValueError:
        return None


class AnswerReader:
    """Collect a target's messages into whole answers."""

    __slots__ = ("_code", "_detail", "_lines", "_rows", "_signature")

    def __init__(self) -> None:
        """Start before the first message."""
        self._lines = LineBuffer()
        self._clear()

    def _clear(self) -> None:
        self._rows: list[bytes] = []
        self._signature: bytes | None = None
        self._code: statements.Code | None = None
        self._detail = b""

    def feed(self, data: bytes) -> list[statements.Answer]:
        """Add received bytes and return the answers that are complete.

        Raises:
            BrokenLine: the bytes are no messages.
        """
        answers = []
        for line in self._lines.feed(data):
            word, _, rest = line.partition(b" ")
            if word == b"ROW":
                self._rows.append(line)
            elif word == b"DONE":
                self._signature = rest
            elif word == b"ERROR":
                code, _, self._detail = rest.partition(b" ")
                self._code = _CODES.get(code, _Code.OTHER)
            elif word == b"READY":
                answers.append(self._finish(rest))
            else:
                raise BrokenLine(f"unknown message {word[:20]!r}")
        return answers

    def take_refusal(self) -> statements.Code | None:
        """Return the error that came before the connection's end, if any."""
        return self._code

    def _finish(self, rest: bytes) -> statements.Answer:
        state_word, _, position = rest.partition(b" ")
        state = _STATES.get(state_word)
        if state is None:
            raise BrokenLine(f"unknown state {state_word[:20]!r}")
        rows = b"".join(row + END for row in self._rows)
        answer = statements.Answer(
            rows,
            self._signature,
            self._code,
            self._detail,
            state,
            position or NO_POSITION,
        )
        self._clear()
        return answer
