"""Classify SQL statements by their first words.

A statement that isn't known to be a read is classified as a write, which is
always safe: writes run at the primary and are never retried without an
idempotency key.
"""

import enum
import functools
import re
from typing import NamedTuple


class StatementKind(enum.Enum):
    """The kind of an SQL statement."""

    # Members are singletons, so their identity can be hashed. The default
    # hashes the member's name on every lookup.
    __hash__ = object.__hash__

    EMPTY = "empty"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    SHOW = "show"
    RESET = "reset"
    UNSUPPORTED = "unsupported"
    MULTIPLE = "multiple"


class Statement(NamedTuple):
    """A classified SQL statement.

    Attributes:
        kind: kind of the statement.
        tables: names that follow FROM and JOIN, in lower case.
        name: name of the session setting, for SET, SHOW and RESET.
        value: value of the session setting, for SET.
    """

    kind: StatementKind
    tables: frozenset[str] = frozenset()
    name: str = ""
    value: str = ""


_QUOTED_OR_COMMENT = re.compile(
    r"""--[^\n]*|/\*.*?\*/|'(?:[^']|'')*'|"(?:[^"]|"")*"|\$(\w*)\$.*?\$\1\$""",
    re.DOTALL,
)
_COMMENT = re.compile(
    r"(?P<literal>'(?:[^']|'')*')|--[^\n]*|/\*.*?\*/", re.DOTALL
)
_WORD = re.compile(r"[a-z_]+")
_TABLE = re.compile(r"\b(?:from|join)\s+([a-z_][\w.]*)")
_WRITE_KEYWORD = re.compile(
    r"\b(insert|update|delete|merge|into|create|drop|alter|lock|nextval|"
    r"setval)\b"
)
_SET = re.compile(
    r"set\s+(?:session\s+|local\s+)?(?P<name>[\w.]+)\s*(?:=|\bto\b)\s*"
    r"(?P<value>.*)",
    re.IGNORECASE | re.DOTALL,
)
_NAME = re.compile(r"(?:show|reset)\s+(?P<name>[\w.]+)", re.IGNORECASE)

_KINDS_BY_FIRST_WORD = {
    "select": StatementKind.READ,
    "with": StatementKind.READ,
    "values": StatementKind.READ,
    "table": StatementKind.READ,
    "explain": StatementKind.READ,
    "begin": StatementKind.BEGIN,
    "start": StatementKind.BEGIN,
    "commit": StatementKind.COMMIT,
    "end": StatementKind.COMMIT,
    "rollback": StatementKind.ROLLBACK,
    "abort": StatementKind.ROLLBACK,
    "set": StatementKind.SET,
    "show": StatementKind.SHOW,
    "reset": StatementKind.RESET,
    "discard": StatementKind.RESET,
    "copy": StatementKind.UNSUPPORTED,
    "listen": StatementKind.UNSUPPORTED,
    "unlisten": StatementKind.UNSUPPORTED,
    "notify": StatementKind.UNSUPPORTED,
    "prepare": StatementKind.UNSUPPORTED,
    "execute": StatementKind.UNSUPPORTED,
    "deallocate": StatementKind.RESET,
    "declare": StatementKind.WRITE,
    "fetch": StatementKind.WRITE,
}


@functools.lru_cache(maxsize=4096)
def classify_statement(text: str) -> Statement:
    """Return the classification of a query string.

    Several statements in one string are classified as one.
    """
    stripped = _QUOTED_OR_COMMENT.sub(" ", text).strip().rstrip(";").strip()
    lowered = stripped.lower()
    if not lowered:
        return Statement(StatementKind.EMPTY)
    if ";" in lowered:
        return _classify_multiple(lowered)
    word = _WORD.match(lowered)
    first = word.group() if word else ""
    kind = _KINDS_BY_FIRST_WORD.get(first, StatementKind.WRITE)
    return _STATEMENT_REFINERS.get(kind, _make_statement)(kind, lowered, text)


def _classify_multiple(lowered: str) -> Statement:
    kinds = {classify_statement(part).kind for part in lowered.split(";")}
    if kinds <= {StatementKind.READ, StatementKind.EMPTY}:
        tables = frozenset(_TABLE.findall(lowered))
        return Statement(StatementKind.READ, tables)
    data_kinds = {StatementKind.READ, StatementKind.WRITE, StatementKind.EMPTY}
    if kinds <= data_kinds:
        return Statement(StatementKind.WRITE)
    return Statement(StatementKind.MULTIPLE)


def _make_statement(kind: StatementKind, lowered: str, text: str) -> Statement:
    return Statement(kind)


def _refine_read(kind: StatementKind, lowered: str, text: str) -> Statement:
    if " for update" in lowered or " for share" in lowered:
        return Statement(StatementKind.WRITE)
    if _WRITE_KEYWORD.search(lowered) or lowered.startswith("explain analyze"):
        return Statement(StatementKind.WRITE)
    return Statement(kind, frozenset(_TABLE.findall(lowered)))


def _refine_begin(kind: StatementKind, lowered: str, text: str) -> Statement:
    if "read only" in " ".join(lowered.split()):
        return Statement(StatementKind.BEGIN_READ_ONLY)
    return Statement(kind)


def _refine_rollback(kind: StatementKind, lowered: str, text: str) -> Statement:
    words = lowered.split()
    if "to" in words[1:]:
        return Statement(StatementKind.WRITE)
    if "prepared" in words:
        return Statement(StatementKind.UNSUPPORTED)
    return Statement(kind)


def _remove_comment(match: re.Match[str]) -> str:
    """Return a literal unchanged and a space for a comment.

    Literals are matched too, because they may contain comment markers.
    """
    return match["literal"] or " "


def _refine_set(kind: StatementKind, lowered: str, text: str) -> Statement:
    stripped = _COMMENT.sub(_remove_comment, text)
    match = _SET.match(stripped.strip().rstrip(";").strip())
    if match is None:
        return Statement(kind, name=" ".join(lowered.split()[1:3]))
    value = match["value"].strip()
    if len(value) >= 2 and value[0] == value[-1] == "'":
        value = value[1:-1].replace("''", "'")
    return Statement(kind, name=match["name"].lower(), value=value)


def _refine_name(kind: StatementKind, lowered: str, text: str) -> Statement:
    match = _NAME.match(lowered)
    return Statement(kind, name=match["name"] if match else "all")


_STATEMENT_REFINERS = {
    StatementKind.READ: _refine_read,
    StatementKind.BEGIN: _refine_begin,
    StatementKind.ROLLBACK: _refine_rollback,
    StatementKind.SET: _refine_set,
    StatementKind.SHOW: _refine_name,
    StatementKind.RESET: _refine_name,
}
