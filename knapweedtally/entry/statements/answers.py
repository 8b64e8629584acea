"""Answers to callers, and the log lines about them."""

from knapweedtally.core.groups import model
from knapweedtally.core.groups import statements
from knapweedtally.entry.pools import requests
from knapweedtally.entry.statements import services as services_module
from knapweedtally.platform import line_protocol

# Histogram of the times for which statements waited for the setup of their
# caller's session.
SETUP_HISTOGRAM = "session_setup_seconds"


def encode_result(
    result: requests.Result, state: statements.SessionState
) -> bytes:
    """Return the messages that answer a forwarded statement.

    Args:
        result: the result of the statement.
        state: state of the caller's session afterwards.
    """
    answer = result.answer
    if answer is not None and answer.code is None:
        done = answer.rows + line_protocol.encode_done(answer.signature or b"-")
        return done + line_protocol.encode_ready(state, answer.position)
    code = result.code or statements.Code.BUSY
    detail = answer.detail if answer else result.detail.encode()
    return encode_error_answer(code, detail, state)


def encode_error_answer(
    code: statements.Code, detail: bytes, state: statements.SessionState
) -> bytes:
    """Return the messages that answer a statement with an error."""
    return line_protocol.encode_error(
        code, detail
    ) + line_protocol.encode_ready(state)


def log_result(
    services: services_module.Services,
    database: str | None,
    statement: statements.Statement,
    route: model.Route,
    result: requests.Result,
    elapsed_s: float,
    team: str = "",
) -> None:
    """Log and count the result of a forwarded statement.

    Args:
        services: the host's log, counters and configuration.
        database: name of the caller's database.
        statement: the statement.
        route: the route of the statement.
        result: the result of the statement.
        elapsed_s: time since the statement arrived.
        team: name of the caller's team, empty if callers aren't told apart.
    """
    outcome = result.code.name if result.code else "DONE"
    services.counters.observe(outcome, elapsed_s)
    if result.setup_s:
        services.counters.observe(outcome, result.setup_s, SETUP_HISTOGRAM)
    services.counters.increment_team("team_statements", team)
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
        way=result.relay_host,
        configuration=_get_configuration_version(services),
        evidence_age_ms=round(result.evidence_age_s * 1000),
        member_age_ms=round(result.member_age_s * 1000),
        log_position=_decode_log_position(result.answer),
        waited_ms=round(result.waited_s * 1000, 1),
        setup_ms=round(result.setup_s * 1000, 1),
        total_ms=round(elapsed_s * 1000, 1),
        attempts=result.attempts,
        **_describe_team(team),
    )


def _decode_log_position(answer: statements.Answer | None) -> str:
    """Return the position of the target's log after the statement."""
    return answer.position.decode("ascii", "replace") if answer else ""


def log_refusal(
    services: services_module.Services,
    database: str | None,
    statement: statements.Statement,
    code: statements.Code,
    detail: str,
    team: str = "",
) -> None:
    """Log that the host refused a statement without sending it to a target."""
    services.log.write(
        "statement_refused",
        id=statement.id.decode("ascii", "replace"),
        configuration=_get_configuration_version(services),
        database=database,
        code=code.name,
        reason=detail,
        **_describe_team(team),
    )


def _describe_team(team: str) -> dict[str, str]:
    """Return the log field of a team; none if callers aren't told apart."""
    return {"team": team} if team else {}


def _get_configuration_version(services: services_module.Services) -> int:
    """Return the version of the current configuration, or 0 without one."""
    configuration = services.catalog.configuration
    return configuration.version if configuration is not None else 0
