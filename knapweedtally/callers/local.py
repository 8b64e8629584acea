"""Statements and batches that the proxy answers by itself."""

from pygwire import messages

from knapweedtally.callers import answers
from knapweedtally.callers import batch as batch_module
from knapweedtally.callers import options as options_module
from knapweedtally.callers import sql

Kind = sql.StatementKind
KINDS = frozenset({Kind.EMPTY, Kind.SET, Kind.SHOW, Kind.RESET})


def run_statement(
    statement: sql.Statement, options: options_module.Options
) -> bytes:
    """Run a statement on the session's settings and return its answer.

    Raises:
        OptionError: the setting isn't known or its value isn't allowed.
    """
    return _RUNNERS[statement.kind](statement, options)


def is_local_batch(parts: list[messages.FrontendMessage]) -> bool:
    """Return whether a batch only prepares or closes statements."""
    return all(
        isinstance(part, messages.Parse | messages.Close) for part in parts
    )


def is_preparation(parts: list[messages.FrontendMessage]) -> bool:
    """Return whether a batch only prepares, describes or closes statements."""
    return all(
        isinstance(part, messages.Parse | messages.Close)
        or (isinstance(part, messages.Describe) and part.kind == "S")
        for part in parts
    )


def answer_parts(
    parts: list[messages.FrontendMessage],
    statements: batch_module.Statements,
) -> bytes:
    """Return the answer to a batch that only prepares or closes."""
    result = b""
    for part in parts:
        if isinstance(part, messages.Close):
            if part.kind == "S":
                statements.pop(part.name, None)
            result += messages.CloseComplete().to_wire()
        else:
            result += messages.ParseComplete().to_wire()
    return result


def render_bound(parts: list[messages.FrontendMessage]) -> bytes:
    """Return the answers to Parse, Bind and Describe without rows."""
    return b"".join(_render_part(part) for part in parts)


def _render_part(part: messages.FrontendMessage) -> bytes:
    if isinstance(part, messages.Parse):
        return messages.ParseComplete().to_wire()
    if isinstance(part, messages.Bind):
        return messages.BindComplete().to_wire()
    if isinstance(part, messages.Describe):
        parameters = b""
        if part.kind == "S":
            parameters = messages.ParameterDescription().to_wire()
        return parameters + messages.NoData().to_wire()
    return b""


def _run_empty(
    statement: sql.Statement, options: options_module.Options
) -> bytes:
    return messages.EmptyQueryResponse().to_wire()


def _run_set(
    statement: sql.Statement, options: options_module.Options
) -> bytes:
    options.set_option(statement.name, statement.value)
    return answers.encode_complete("SET")


def _run_show(
    statement: sql.Statement, options: options_module.Options
) -> bytes:
    value = options.get_option(statement.name)
    return answers.encode_text_row(statement.name, value)


def _run_reset(
    statement: sql.Statement, options: options_module.Options
) -> bytes:
    if statement.name in ("all", options_module.PREFIX + "max_age_ms"):
        options.max_age_ms = None
    if statement.name in ("all", options_module.PREFIX + "idempotency_key"):
        options.idempotency_key = ""
    return answers.encode_complete("RESET")


_RUNNERS = {
    Kind.EMPTY: _run_empty,
    Kind.SET: _run_set,
    Kind.SHOW: _run_show,
    Kind.RESET: _run_reset,
}
