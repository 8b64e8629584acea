"""What callers are told, and what is written down about it."""

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.entry import requests
from knapweedtally.entry import services as services_module
from knapweedtally.platform import lines


def encode_result(
    result: requests.Result, state: statements.SessionState
) -> bytes:
    """Return the messages that end a forwarded statement.

    Args:
        result: how it ended.
        state: state of the caller's session afterwards.
    """
    answer = result.answer
    if answer is not None and answer.code is None:
        done = answer.rows + lines.encode_done(answer.signature or b"-")
        return done + lines.encode_ready(state, answer.position)
    code = result.code or statements.Code.BUSY
    detail = answer.detail if answer else result.detail.encode()
    return encode_refusal(code, detail, state)


def encode_refusal(
    code: statements.Code, detail: bytes, state: statements.SessionState
) -> bytes:
    """Return the messages that tell an error."""
    return lines.encode_error(code, detail) + lines.encode_ready(state)


def log_result(
    services: services_module.Services,
    database: str | None,
    statement: statements.Statement,
    route: model.Route,
    result: requests.Result,
    took_s: float,
) -> None:
    """Write down how a forwarded statement ended, and count it.

    Args:
        services: the host's log, counters and configuration.
        database: name of the caller's database.
        statement: the statement.
        route: the route that it took.
        result: how it ended.
        took_s: time since it arrived.
    """
    outcome = result.code.name if result.code else "DONE"
    services.counters.observe(outcome, took_s)
    position = result.position
    services.log.write(
        "statement_ended",
        id=statement.id.decode("ascii", "replace"),
        kind=statement.kind.name,
        database=database,
        group=route.group,
        target=result.target,
        outcome=outcome,
        reason=result.detail,
        position=f"{position.term}.{position.number}" if position else "",
        way=result.way,
        configuration=_get_version(services),
        evidence_age_ms=round(result.evidence_age_s * 1000),
        waited_ms=round(result.waited_s * 1000, 1),
        total_ms=round(took_s * 1000, 1),
        attempts=result.attempts,
    )


def log_refusal(
    services: services_module.Services,
    database: str | None,
    statement: statements.Statement,
    code: statements.Code,
    detail: str,
) -> None:
    """Write down that the host refused a statement by itself."""
    services.log.write(
        "statement_refused",
        id=statement.id.decode("ascii", "replace"),
        configuration=_get_version(services),
        database=database,
        code=code.name,
        reason=detail,
    )


def _get_version(services: services_module.Services) -> int:
    """Return the version of the configuration in force; 0 for none."""
    configuration = services.catalog.configuration
    return configuration.version if configuration is not None else 0
