"""Classify SQL statements by their first words.

What isn't known to be a read counts as a write, which is always safe: writes
run at the primary and are never repeated without an idempotency key.
"""

import enum
import functools
import re
from typing import NamedTuple


class StatementKind(enum.Enum):
    """Name what a statement asks for."""

    # Members are single objects; the default hashes their names each time.
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
    """Hold what the proxy needs to know of a statement.

    Attributes:
        kind: kind of the statement.
        tables: names that stand behind FROM and JOIN, in lower case.
        name: name of the setting, for SET, SHOW and RESET.
        value: value of the setting, for SET.
    """

    kind: StatementKind
    tables: frozenset[str] = frozenset()
    name: str = ""
    value: str = ""


_NOISE = re.compile(
    r"""--[^\n]*|/\*.*?\*/|'(?:[^']|'')*'|"(?:[^"]|"")*"|\$(\w*)\$.*?\$\1\$""",
    re.DOTALL,
)
_COMMENT = re.compile(
    r"(?P<literal>'(?:[^']|'')*')|--[^\n]*|/\*.*?\*/", re.DOTALL
)
_WORD = re.compile(r"[a-z_]+")
_TABLE = re.compile(r"\b(?:from|join)\s+([a-z_][\w.]*)")
_WRITING_WORD = re.compile(
    r"\b(insert|update|delete|merge|into|create|drop|alter|lock|nextval|"
    r"setval)\b"
)
_SET = re.compile(
    r"set\s+(?:session\s+|local\s+)?(?P<name>[\w.]+)\s*(?:=|\bto\b)\s*"
    r"(?P<value>.*)",
    re.IGNORECASE | re.DOTALL,
)
_NAME = re.compile(r"(?:show|reset)\s+(?P<name>[\w.]+)", re.IGNORECASE)

_FIRST_WORDS = {
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
def classify(text: str) -> Statement:
    """Return what a statement asks for."""
    plain = _NOISE.sub(" ", text).strip().rstrip(";").strip()
    lowered = plain.lower()
    if not lowered:
        return Statement(StatementKind.EMPTY)
    if ";" in lowered:
        return _classify_several(lowered)
    word = _WORD.match(lowered)
    first = word.group() if word else ""
    kind = _FIRST_WORDS.get(first, StatementKind.WRITE)
    return _REFINERS.get(kind, _keep)(kind, lowered, text)


def _classify_several(lowered: str) -> Statement:
    kinds = {classify(part).kind for part in lowered.split(";")}
    if kinds <= {StatementKind.READ, StatementKind.EMPTY}:
        tables = frozenset(_TABLE.findall(lowered))
        return Statement(StatementKind.READ, tables)
    data = {StatementKind.READ, StatementKind.WRITE, StatementKind.EMPTY}
    if kinds <= data:
        return Statement(StatementKind.WRITE)
    return Statement(StatementKind.MULTIPLE)


def _keep(kind: StatementKind, lowered: str, text: str) -> Statement:
    return Statement(kind)


def _refine_read(kind: StatementKind, lowered: str, text: str) -> Statement:
    if " for update" in lowered or " for share" in lowered:
        return Statement(StatementKind.WRITE)
    if _WRITING_WORD.search(lowered) or lowered.startswith("explain analyze"):
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


def _drop_comment(match: re.Match[str]) -> str:
    """Return a literal as it is, which may hold signs of a comment."""
    return match["literal"] or " "


def _refine_set(kind: StatementKind, lowered: str, text: str) -> Statement:
    stripped = _COMMENT.sub(_drop_comment, text)
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


_REFINERS = {
    StatementKind.READ: _refine_read,
    StatementKind.BEGIN: _refine_begin,
    StatementKind.ROLLBACK: _refine_rollback,
    StatementKind.SET: _refine_set,
    StatementKind.SHOW: _refine_name,
    StatementKind.RESET: _refine_name,
}
