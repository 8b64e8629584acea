"""Statements and batches that the proxy answers without a target."""

from pygwire import messages

from knapweedtally.callers import answers
from knapweedtally.callers import batch as batch_module
from knapweedtally.callers import options as options_module
from knapweedtally.callers import sql

Kind = sql.StatementKind
LOCAL_KINDS = frozenset({Kind.EMPTY, Kind.SET, Kind.SHOW, Kind.RESET})


def run_statement(
    statement: sql.Statement, options: options_module.Options
) -> bytes:
    """Run a statement against the session's settings and return its answer.

    Raises:
        OptionError: the setting is unknown or its value is not allowed.
    """
    return _STATEMENT_RUNNERS[statement.kind](statement, options)


def is_local_batch(frontend_messages: list[messages.FrontendMessage]) -> bool:
    """Return whether a batch consists of Parse and Close messages only."""
    return all(
        isinstance(message, messages.Parse | messages.Close)
        for message in frontend_messages
    )


def is_preparation(frontend_messages: list[messages.FrontendMessage]) -> bool:
    """Return whether a batch only prepares, describes or closes statements.

    Describe messages of portals don't count: a portal needs a Bind.
    """
    return all(
        isinstance(message, messages.Parse | messages.Close)
        or (isinstance(message, messages.Describe) and message.kind == "S")
        for message in frontend_messages
    )


def answer_local_batch(
    frontend_messages: list[messages.FrontendMessage],
    statements: batch_module.PreparedStatements,
) -> bytes:
    """Return the answer to a batch of Parse and Close messages.

    Args:
        frontend_messages: messages up to the Sync.
        statements: the session's statements; closed ones are removed.
    """
    result = b""
    for message in frontend_messages:
        if isinstance(message, messages.Close):
            if message.kind == "S":
                statements.pop(message.name, None)
            result += messages.CloseComplete().to_wire()
        else:
            result += messages.ParseComplete().to_wire()
    return result


def encode_empty_responses(
    frontend_messages: list[messages.FrontendMessage],
) -> bytes:
    """Return the responses to Parse, Bind and Describe messages.

    They describe a statement without parameters that returns no rows.
    """
    return b"".join(_encode_response(message) for message in frontend_messages)


def _encode_response(message: messages.FrontendMessage) -> bytes:
    if isinstance(message, messages.Parse):
        return messages.ParseComplete().to_wire()
    if isinstance(message, messages.Bind):
        return messages.BindComplete().to_wire()
    if isinstance(message, messages.Describe):
        parameters = b""
        if message.kind == "S":
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


_STATEMENT_RUNNERS = {
    Kind.EMPTY: _run_empty,
    Kind.SET: _run_set,
    Kind.SHOW: _run_show,
    Kind.RESET: _run_reset,
}
