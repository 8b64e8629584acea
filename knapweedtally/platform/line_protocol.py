"""Messages of the line protocol, which callers and targets use."""

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements

MAX_MESSAGE_BYTES = 1024 * 1024
TERMINATOR = b"\r\n"
NO_POSITION = b"-"
# Stands for the team of statements that belong to none.
NO_TEAM = b"-"
# Longer numbers are malformed; Python limits the digits that it converts.
MAX_DIGITS = 9
# Id of the statements that this host itself sends to a target.
HOST_STATEMENT_ID = b"-"

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
    b"NOAUTH": _Code.UNAUTHENTICATED,
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

# For the first word of a statement: its kind, and the minimum and maximum
# number of fields after the word. The last field extends to the end of the
# line and may contain spaces.
_SYNTAX: dict[bytes, tuple[statements.Kind, int, int]] = {
    b"COMMIT": (_Kind.COMMIT, 0, 0),
    b"ROLLBACK": (_Kind.ROLLBACK, 0, 0),
    b"READ": (_Kind.READ, 1, 1),
    b"WRITE": (_Kind.WRITE, 1, 2),
    b"SET": (_Kind.SET, 1, 2),
    b"EXEC": (_Kind.EXECUTE, 1, 2),
    b"CLOSE": (_Kind.DEALLOCATE, 1, 1),
}


class MalformedMessage(Exception):  # noqa: N818 - named after the cause
    """Raised for bytes that aren't a valid message.

    The connection can't be used any further.
    """


class OversizedMessage(MalformedMessage):
    """Raised for a message that is longer than the limit."""


class MessageBuffer:
    """Split a stream of received bytes into messages.

    Attributes:
        size: number of buffered bytes of the incomplete message.
    """

    __slots__ = ("_data", "_searched_bytes")

    def __init__(self) -> None:
        """Make an empty buffer."""
        self._data = bytearray()
        self._searched_bytes = 0

    @property
    def size(self) -> int:
        """Return the number of buffered bytes of the incomplete message."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the messages that they complete.

        Raises:
            OversizedMessage: a message is longer than ``MAX_MESSAGE_BYTES``.
        """
        if not self._data and data.endswith(TERMINATOR):
            lines = data.split(TERMINATOR)
            lines.pop()
        else:
            self._data += data
            end = self._data.rfind(TERMINATOR, max(0, self._searched_bytes - 1))
            if end < 0:
                self._searched_bytes = len(self._data)
                if self._searched_bytes > MAX_MESSAGE_BYTES:
                    raise OversizedMessage(f"over {MAX_MESSAGE_BYTES} bytes")
                return []
            lines = bytes(self._data[:end]).split(TERMINATOR)
            del self._data[: end + len(TERMINATOR)]
            self._searched_bytes = 0
        if any(len(line) > MAX_MESSAGE_BYTES for line in lines):
            raise OversizedMessage(f"over {MAX_MESSAGE_BYTES} bytes")
        return lines


def parse_statement(id_: bytes, text: bytes) -> statements.Statement:
    """Return the statement in the text of a query.

    Text that doesn't follow the syntax gives a ``MALFORMED`` statement.
    """
    word, _, rest = text.partition(b" ")
    if word == b"BEGIN":
        kinds = {b"": _Kind.BEGIN, b"READ": _Kind.BEGIN_READ}
        kind = kinds.get(rest, _Kind.MALFORMED)
        return statements.Statement(id_, kind, text)
    if word == b"PREPARE":
        return _parse_prepare(id_, text, rest)
    syntax = _SYNTAX.get(word)
    if syntax is None:
        return statements.Statement(id_, _Kind.MALFORMED, text)
    kind, min_fields, max_fields = syntax
    fields = rest.split(b" ", max_fields - 1) if max_fields and rest else []
    if (
        not min_fields <= len(fields) <= max_fields
        or (rest and not max_fields)
        or b"" in fields[:min_fields]
    ):
        return statements.Statement(id_, _Kind.MALFORMED, text)
    name = fields[0] if fields else b""
    remainder = fields[1] if len(fields) > 1 else b""
    return statements.Statement(id_, kind, text, name, remainder)


def _parse_prepare(
    id_: bytes, text: bytes, rest: bytes
) -> statements.Statement:
    name, _, definition = rest.partition(b" ")
    verb, _, query = definition.partition(b" ")
    if not name or verb not in (b"READ", b"WRITE") or not query:
        return statements.Statement(id_, _Kind.MALFORMED, text)
    return statements.Statement(id_, _Kind.PREPARE, text, name, definition)


def is_write_definition(definition: bytes) -> bool:
    """Return whether a prepared statement's definition is a write."""
    return definition.startswith(b"WRITE ")


def parse_query(line: bytes) -> statements.Statement | None:
    """Return the statement of a caller's ``QUERY`` message.

    Returns:
        None if the line is not such a message.
    """
    if not line.startswith(b"QUERY "):
        return None
    id_, _, text = line[6:].partition(b" ")
    if not id_ or not text:
        return statements.Statement(
            id_ or HOST_STATEMENT_ID, _Kind.MALFORMED, text
        )
    return parse_statement(id_, text)


def parse_start(line: bytes) -> str | None:
    """Return the database that a caller's ``START`` message names.

    Returns:
        None if the line is not such a message.
    """
    fields = line.split(b" ")
    if len(fields) < 2 or fields[0] != b"START" or not fields[1]:
        return None
    return fields[1].decode("utf-8", "replace")


def parse_start_key(line: bytes) -> str:
    """Return the key in a caller's ``START`` message, or an empty text."""
    fields = line.split(b" ")
    return fields[2].decode("utf-8", "replace") if len(fields) > 2 else ""


def parse_target_start(line: bytes) -> tuple[str, str] | None:
    """Return the group and the target in a ``START`` message to a target.

    Returns:
        None if the line is not such a message.
    """
    fields = line.decode("utf-8", "replace").split(" ")
    if len(fields) != 4 or fields[0] != "START":
        return None
    return fields[1], fields[3]


def split_query(line: bytes) -> tuple[bytes, bytes] | None:
    """Return the id and the text of a ``QUERY`` message.

    Returns:
        None if the line is not such a message.
    """
    fields = line.split(b" ", 2)
    if len(fields) != 3 or fields[0] != b"QUERY":
        return None
    return fields[1], fields[2]


def split_required_position(text: bytes) -> tuple[bytes, bytes]:
    """Split a text into its ``SINCE`` prefix and the statement.

    The prefix is empty if the text has none. Joining the two parts gives the
    original text.
    """
    if not text.startswith(b"SINCE "):
        return b"", text
    word, position, statement = [*text.split(b" ", 2), b"", b""][:3]
    return b"%b %b " % (word, position), statement


def is_control(text: bytes) -> bool:
    """Return whether a statement is a control statement to a target."""
    return text.partition(b" ")[0] in _CONTROL_WORDS


def is_reset(text: bytes) -> bool:
    """Return whether a statement resets a connection's session state.

    A reset clears the session values and the prepared statements.
    """
    return text == RESET


def is_session_end(line: bytes) -> bool:
    """Return whether a message from a caller ends its session."""
    return line == b"BYE" or line.startswith(b"BYE ")


def encode_ready(
    state: statements.SessionState, position: bytes = NO_POSITION
) -> bytes:
    """Return the ``READY`` message, which ends each answer."""
    return b"READY %b %b\r\n" % (_STATE_WORDS[state], position)


def encode_done(signature: bytes = b"-") -> bytes:
    """Return the ``DONE`` message, which reports success."""
    return b"DONE %b\r\n" % signature


def encode_error(code: statements.Code, detail: bytes) -> bytes:
    """Return the ``ERROR`` message; ``OTHER`` is sent as ``FAIL``."""
    word = _CODE_WORDS.get(code, b"FAIL")
    return b"ERROR %b %b\r\n" % (word, detail or b"-")


def encode_start(group: str, user: str, target: str) -> bytes:
    """Return the ``START`` message, which opens a connection to a target.

    It names the id that the target is expected to have.
    """
    return f"START {group} {user} {target}\r\n".encode()


def encode_query(id_: bytes, text: bytes) -> bytes:
    """Return the ``QUERY`` message of a statement."""
    return b"QUERY %b %b\r\n" % (id_, text)


def encode_position(position: model.Position) -> bytes:
    """Return a position in its wire format."""
    return b"%d.%d" % position


def parse_position(text: bytes) -> model.Position | None:
    """Return the position in a text, or None if the text is malformed."""
    term, dot, number = text.partition(b".")
    if not dot or not term.isdigit() or not number.isdigit():
        return None
    return model.Position(int(term), int(number))


def add_required_position(text: bytes, position: model.Position) -> bytes:
    """Return a read that a target runs only if its log has this position."""
    return b"SINCE %d.%d %b" % (position.term, position.number, text)


def encode_set(name: bytes, value: bytes) -> bytes:
    """Return the statement that sets a session value."""
    return b"SET %b %b" % (name, value) if value else b"SET %b" % name


def encode_prepare(name: bytes, definition: bytes) -> bytes:
    """Return the statement that prepares another one."""
    return b"PREPARE %b %b" % (name, definition)


def encode_execute(name: bytes, arguments: bytes) -> bytes:
    """Return the statement that executes a prepared one."""
    return b"EXEC %b %b" % (name, arguments) if arguments else b"EXEC %b" % name


# First message of a host that asks another one for its configuration.
CONFIGURATION_REQUEST = b"CONFIGURATION"

# Longest part of a text in one row, in bytes.
_ROW_BYTES = 64 * 1024


def encode_rows(data: bytes) -> bytes:
    """Return ``ROW`` messages with the parts of a text without line breaks."""
    return b"".join(
        b"ROW %b\r\n" % data[start : start + _ROW_BYTES]
        for start in range(0, len(data), _ROW_BYTES)
    )


def join_rows(rows: bytes) -> bytes:
    """Return the text whose parts are the rows of an answer."""
    return b"".join(row[4:] for row in rows.split(TERMINATOR))


def encode_announcement(team: str, priority: int, time_s: float) -> bytes:
    """Return the statement that names the team of what follows.

    It is sent between hosts only, on relay connections.

    Args:
        team: name of the team, or empty.
        priority: priority of the statement that follows.
        time_s: time left for its answer.
    """
    name = team.encode() or NO_TEAM
    return b"FOR %b %d %d" % (name, priority, max(0, round(time_s * 1000)))


def parse_announcement(text: bytes) -> tuple[str, int, float] | None:
    """Return the team, the priority and the time left in an announcement.

    Returns:
        None if the text isn't a valid announcement; the time is in seconds.
    """
    fields = text.split(b" ")
    if len(fields) != 4 or fields[0] != b"FOR" or not fields[1]:
        return None
    if not all(f.isdigit() and len(f) <= MAX_DIGITS for f in fields[2:]):
        return None
    team = "" if fields[1] == NO_TEAM else fields[1].decode("utf-8", "replace")
    return team, int(fields[2]), int(fields[3]) / 1000


def is_announcement(text: bytes) -> bool:
    """Return whether a statement is meant to name a team."""
    return text.partition(b" ")[0] == b"FOR"


BEGIN = b"BEGIN"
BEGIN_READ = b"BEGIN READ"
ROLLBACK = b"ROLLBACK"
RESET = b"RESET"
STATUS = b"STATUS"
_CONTROL_WORDS = frozenset({b"STATUS", b"PAUSE", b"RESUME", b"STEPDOWN"})
RESUME = b"RESUME"


def encode_pause(term: int) -> bytes:
    """Return the statement that makes a replica stop receiving the log."""
    return b"PAUSE %d" % term


def encode_step_down(term: int) -> bytes:
    """Return the statement that demotes a primary of a lower term."""
    return b"STEPDOWN %d" % term


def parse_status(answer: statements.Answer) -> model.TargetStatus | None:
    """Return the status row of an answer, or None if it has no valid one."""
    if answer.code is not None or not answer.rows.startswith(b"ROW "):
        return None
    fields = answer.rows[4:].partition(TERMINATOR)[0].split(b" ")
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
    """Assemble a target's messages into complete answers."""

    __slots__ = ("_code", "_detail", "_lines", "_rows", "_signature")

    def __init__(self) -> None:
        """Make a reader that has received no message."""
        self._lines = MessageBuffer()
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._rows: list[bytes] = []
        self._signature: bytes | None = None
        self._code: statements.Code | None = None
        self._detail = b""

    def feed(self, data: bytes) -> list[statements.Answer]:
        """Add received bytes and return the answers that they complete.

        Raises:
            MalformedMessage: the bytes aren't valid messages.
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
                answers.append(self._finish_answer(rest))
            else:
                raise MalformedMessage(f"unknown message {word[:20]!r}")
        return answers

    def get_refusal(self) -> statements.Code | None:
        """Return the error of the incomplete answer, if any.

        A target that refuses a connection sends an error and closes it.
        """
        return self._code

    def _finish_answer(self, rest: bytes) -> statements.Answer:
        state_word, _, position = rest.partition(b" ")
        state = _STATES.get(state_word)
        if state is None:
            raise MalformedMessage(f"unknown state {state_word[:20]!r}")
        rows = b"".join(row + TERMINATOR for row in self._rows)
        answer = statements.Answer(
            rows,
            self._signature,
            self._code,
            self._detail,
            state,
            position or NO_POSITION,
        )
        self._reset_answer()
        return answer
