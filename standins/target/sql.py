"""Minimal SQL tokenizer that splits and classifies statements."""

import enum
import functools
import re
from typing import NamedTuple

_TOKEN_PATTERN = re.compile(
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
    """Way in which a statement has to be run."""

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
    """One token; ``kind`` is the name of the matching pattern group."""

    kind: str
    text: str


class ParsedStatement(NamedTuple):
    """One statement after tokenization.

    Attributes:
        sql: text for SQLite, without casts and row locks.
        kind: how the statement has to be run.
        verb: first keyword, in upper case.
        tokens: tokens without white space and casts.
        casts: type name by the number of the placeholder that is cast to it.
    """

    sql: str
    kind: Kind
    verb: str
    tokens: tuple[Token, ...]
    casts: dict[int, str]


_KINDS_BY_VERB = {
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
_WRITE_KEYWORDS = frozenset({"INSERT", "UPDATE", "DELETE", "REPLACE"})
_COMMAND_PREFIX = "kt_"
_MAX_CACHED_QUERIES = 1024


@functools.lru_cache(maxsize=_MAX_CACHED_QUERIES)
def split_statements(text: str) -> tuple[ParsedStatement, ...]:
    """Split a query string into its statements, leaving out empty ones."""
    statements: list[ParsedStatement] = []
    tokens: list[Token] = []
    for match in _TOKEN_PATTERN.finditer(text):
        token = Token(match.lastgroup or "operator", match.group())
        if token.kind == "end":
            _add_statement(statements, tokens)
            tokens = []
        else:
            tokens.append(token)
    _add_statement(statements, tokens)
    return tuple(statements)


def is_keyword(token: Token, *keywords: str) -> bool:
    """Return whether a token is one of the keywords, given in upper case."""
    return token.kind == "name" and token.text.upper() in keywords


def unquote(token: Token) -> str:
    """Return the value of a string or the name of an identifier."""
    if token.text[:1] in "'\"":
        quote = token.text[0]
        return token.text[1:-1].replace(quote * 2, quote)
    return token.text


def _add_statement(
    statements: list[ParsedStatement], tokens: list[Token]
) -> None:
    significant = tuple(token for token in tokens if token.kind != "space")
    if not significant:
        return
    significant = _remove_row_lock_clause(significant)
    verb = significant[0].text.upper()
    casts = {
        int(token.text[1:]): _get_cast_type(significant[index + 1])
        for index, token in enumerate(significant[:-1])
        if token.kind == "parameter" and significant[index + 1].kind == "cast"
    }
    kept = tuple(token for token in significant if token.kind != "cast")
    sql = " ".join(token.text for token in kept)
    statements.append(
        ParsedStatement(sql, _classify(verb, kept), verb, kept, casts)
    )


def _get_cast_type(cast: Token) -> str:
    return cast.text[2:].strip().lower()


def _remove_row_lock_clause(tokens: tuple[Token, ...]) -> tuple[Token, ...]:
    has_lock = (
        len(tokens) > 2
        and is_keyword(tokens[-2], "FOR")
        and is_keyword(tokens[-1], "UPDATE", "SHARE")
    )
    return tokens[:-2] if has_lock else tokens


def _classify(verb: str, tokens: tuple[Token, ...]) -> Kind:
    if verb == "SELECT" and len(tokens) > 2:
        name = tokens[1].text.lower()
        if name.startswith(_COMMAND_PREFIX) and tokens[2].text == "(":
            return Kind.COMMAND
    if verb == "ROLLBACK" and any(is_keyword(token, "TO") for token in tokens):
        return Kind.SAVEPOINT
    if verb == "WITH":
        is_write = any(is_keyword(token, *_WRITE_KEYWORDS) for token in tokens)
        return Kind.WRITE if is_write else Kind.READ
    return _KINDS_BY_VERB.get(verb, Kind.WRITE)
