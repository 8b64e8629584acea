"""Encode the messages that the proxy itself generates for callers."""

from pygwire import constants
from pygwire import messages

from knapweedtally.core import effects
from knapweedtally.core import errors

SERVER_VERSION = "16.0"

_READY_MESSAGES = {
    "I": messages.ReadyForQuery(constants.TransactionStatus.IDLE).to_wire(),
    "T": messages.ReadyForQuery(
        constants.TransactionStatus.IN_TRANSACTION
    ).to_wire(),
    "E": messages.ReadyForQuery(
        constants.TransactionStatus.ERROR_TRANSACTION
    ).to_wire(),
}


def encode_ready(status: str) -> bytes:
    """Return ReadyForQuery with a transaction status, I, T or E."""
    return _READY_MESSAGES[status]


def encode_parameter(name: str, value: str) -> bytes:
    """Return a ParameterStatus message."""
    return messages.ParameterStatus(name=name, value=value).to_wire()


def encode_complete(tag: str) -> bytes:
    """Return a CommandComplete message."""
    return messages.CommandComplete(tag=tag).to_wire()


def encode_text_row(name: str, value: str) -> bytes:
    """Return the result of SHOW: one row with one text column."""
    text_oid = 25
    field = messages.FieldDescription(
        name=name, type_oid=text_oid, type_size=-1, type_modifier=-1
    )
    return (
        messages.RowDescription(fields=[field]).to_wire()
        + messages.DataRow(columns=[value.encode()]).to_wire()
        + encode_complete("SHOW")
    )


def encode_error(
    sqlstate: str,
    message: str,
    detail: str = "",
    hint: str = "",
    severity: str = "ERROR",
) -> bytes:
    """Return an ErrorResponse message."""
    fields = {"S": severity, "V": severity, "C": sqlstate, "M": message}
    if detail:
        fields["D"] = detail
    if hint:
        fields["H"] = hint
    return messages.ErrorResponse(fields=fields).to_wire()


def encode_refusal(effect: effects.DeliverError) -> bytes:
    """Return the ErrorResponse for a refused or lost request.

    DETAIL contains the outcome and the id of the decision record; HINT
    contains the delay before a retry, if a retry is useful.
    """
    answer = errors.ERROR_ANSWERS[effect.kind]
    hint = ""
    if effect.retry_after_ms:
        hint = f"retry after {effect.retry_after_ms} ms"
    return encode_error(
        answer.sqlstate,
        answer.message,
        f"outcome: {answer.outcome.value}; decision {effect.decision}",
        hint,
    )


def encode_startup_response(
    session: int, secret_key: bytes, host: str
) -> bytes:
    """Return the startup response, AuthenticationOk to ReadyForQuery.

    Args:
        session: id of the session, used as the backend process id.
        secret_key: key that a cancel request has to carry.
        host: name of this entry host.
    """
    parameters = {
        "server_version": SERVER_VERSION,
        "server_encoding": "UTF8",
        "client_encoding": "UTF8",
        "DateStyle": "ISO, MDY",
        "TimeZone": "UTC",
        "integer_datetimes": "on",
        "standard_conforming_strings": "on",
        "knapweedtally.host": host,
    }
    result = messages.AuthenticationOk().to_wire()
    for name, value in parameters.items():
        result += encode_parameter(name, value)
    result += messages.BackendKeyData(
        process_id=session, secret_key=secret_key
    ).to_wire()
    return result + encode_ready("I")
