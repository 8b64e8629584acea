"""Small reader of SQL text: statements, their kind, casts and placeholders."""

import enum
import functools
import re
from typing import NamedTuple

_TOKEN = re.compile(
    r"""
    (?P<space>\s+|--[^\n]*|/\*.*?\*/)
  | (?P<string>[xX]?'(?:[^']|'')*')
  | (?P<name>"(?:[^"]|"")*"|[A-Za-z_][A-Za-z0-9_]*)
  | (?P<parameter>\$\d+)
  | (?P<number>\d+(?:\.\d+)?(?:[eE][+-]?\d+)?)
  | (?P<cast>::\s*[A-Za-z_][A-Za-z0-9_]*(?:\s*\(\s*\d+\s*\))?)
  | (?P<end>;)
  | (?P<operator><=|>=|<>|!=|\|\||.)
    """,
    re.VERBOSE | re.DOTALL,
)


class Kind(enum.Enum):
    """Tell how a statement has to be run."""

    BEGIN = "begin"
    COMMAND = "command"
    COMMIT = "commit"
    IGNORED = "ignored"
    READ = "read"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SHOW = "show"
    WRITE = "write"


class Token(NamedTuple):
    """Hold one token; ``kind`` names the group of the pattern."""

    kind: str
    text: str


class Text(NamedTuple):
    """Hold one statement's text.

    Attributes:
        sql: text for SQLite, without casts and row locks.
        kind: how the statement has to be run.
        verb: first word, in capitals.
        tokens: tokens without space.
        casts: type name by number of the placeholder that it was cast to.
    """

    sql: str
    kind: Kind
    verb: str
    tokens: tuple[Token, ...]
    casts: dict[int, str]


_KINDS = {
    "ABORT": Kind.ROLLBACK,
    "BEGIN": Kind.BEGIN,
    "CLOSE": Kind.IGNORED,
    "COMMIT": Kind.COMMIT,
    "DEALLOCATE": Kind.IGNORED,
    "DISCARD": Kind.IGNORED,
    "END": Kind.COMMIT,
    "EXPLAIN": Kind.READ,
    "LISTEN": Kind.IGNORED,
    "PRAGMA": Kind.READ,
    "RELEASE": Kind.SAVEPOINT,
    "RESET": Kind.IGNORED,
    "ROLLBACK": Kind.ROLLBACK,
    "SAVEPOINT": Kind.SAVEPOINT,
    "SELECT": Kind.READ,
    "SET": Kind.IGNORED,
    "SHOW": Kind.SHOW,
    "START": Kind.BEGIN,
    "UNLISTEN": Kind.IGNORED,
    "VALUES": Kind.READ,
}
_WRITING_WORDS = frozenset({"INSERT", "UPDATE", "DELETE", "REPLACE"})
_COMMAND_PREFIX = "kt_"
_CACHED_TEXTS = 1024


@functools.lru_cache(maxsize=_CACHED_TEXTS)
def split(text: str) -> tuple[Text, ...]:
    """Split a query string into its statements, leaving out empty ones."""
    statements: list[Text] = []
    tokens: list[Token] = []
    for match in _TOKEN.finditer(text):
        token = Token(match.lastgroup or "operator", match.group())
        if token.kind == "end":
            _add_statement(statements, tokens)
            tokens = []
        else:
            tokens.append(token)
    _add_statement(statements, tokens)
    return tuple(statements)


def is_word(token: Token, *words: str) -> bool:
    """Return whether a token is one of the given words, in capitals."""
    return token.kind == "name" and token.text.upper() in words


def unquote(token: Token) -> str:
    """Return the value of a string or the name of an identifier."""
    if token.text[:1] in "'\"":
        quote = token.text[0]
        return token.text[1:-1].replace(quote * 2, quote)
    return token.text


def _add_statement(statements: list[Text], tokens: list[Token]) -> None:
    words = tuple(token for token in tokens if token.kind != "space")
    if not words:
        return
    words = _drop_row_lock(words)
    verb = words[0].text.upper()
    casts = {
        int(token.text[1:]): _name_type(words[index + 1])
        for index, token in enumerate(words[:-1])
        if token.kind == "parameter" and words[index + 1].kind == "cast"
    }
    kept = tuple(token for token in words if token.kind != "cast")
    sql = " ".join(token.text for token in kept)
    statements.append(Text(sql, _classify(verb, kept), verb, kept, casts))


def _name_type(cast: Token) -> str:
    return cast.text[2:].strip().lower()


def _drop_row_lock(words: tuple[Token, ...]) -> tuple[Token, ...]:
    has_lock = (
        len(words) > 2
        and is_word(words[-2], "FOR")
        and is_word(words[-1], "UPDATE", "SHARE")
    )
    return words[:-2] if has_lock else words


def _classify(verb: str, words: tuple[Token, ...]) -> Kind:
    if verb == "SELECT" and len(words) > 2:
        name = words[1].text.lower()
        if name.startswith(_COMMAND_PREFIX) and words[2].text == "(":
            return Kind.COMMAND
    if verb == "ROLLBACK" and any(is_word(word, "TO") for word in words):
        return Kind.SAVEPOINT
    if verb == "WITH":
        is_write = any(is_word(word, *_WRITING_WORDS) for word in words)
        return Kind.WRITE if is_write else Kind.READ
    return _KINDS.get(verb, Kind.WRITE)
