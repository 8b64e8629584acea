"""Run one attempt of a request on a leased connection."""

import json
from typing import NamedTuple
from typing import Protocol

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.targets import connection as connection_module
from knapweedtally.targets import wire

UNIQUE_VIOLATION = "23505"


class Batch(Protocol):
    """Messages of a request, encoded for one connection."""

    def render(self, prepared: set[str]) -> bytes:
        """Return messages that are answered by exactly one ReadyForQuery.

        Args:
            prepared: names of the statements prepared on the connection;
                updated in place.
        """

    def digest(self) -> str:
        """Return a digest of the request's statements and parameters."""


class AttemptResult(NamedTuple):
    """Result of an attempt whose answer was received completely.

    Attributes:
        section: answer to the request itself.
        report: status that the target reported while the request ran, or
            None.
        confirmed: position that a majority confirmed, or None.
        is_key_reused: whether the idempotency key is recorded for another
            request.
        is_replayed: whether the answer was made from the key's record.
        status: transaction status of the connection after the attempt.
    """

    section: wire.Section
    report: model.TargetReport | None
    confirmed: model.Position | None
    is_key_reused: bool
    is_replayed: bool
    status: str


async def run_attempt(
    connection: connection_module.TargetConnection,
    effect: effects.RunStatement,
    batch: Batch,
    caller: str,
    barrier_ms: int,
) -> AttemptResult:
    """Run an attempt, followed by a barrier if the effect asks for one.

    Args:
        connection: connection of the attempt's lease.
        effect: the attempt.
        batch: messages of the request.
        caller: name of the caller, which scopes the idempotency key.
        barrier_ms: maximum wait for the confirmation of the barrier.

    Raises:
        AttemptLostError: the connection ended before the answer was
            complete.
    """
    if effect.key and effect.is_last:
        return await _run_in_own_transaction(
            connection, effect, batch, caller, barrier_ms
        )
    messages = batch.render(connection.prepared)
    if effect.key:
        messages += _encode_key_insert(effect.key, caller, batch)
    return await _run_directly(connection, effect, messages, barrier_ms)


async def _run_directly(
    connection: connection_module.TargetConnection,
    effect: effects.RunStatement,
    messages: bytes,
    barrier_ms: int,
) -> AttemptResult:
    count = 2 if effect.key else 1
    if effect.needs_barrier:
        messages += _encode_barrier(barrier_ms)
        count += 1
    sections = await connection.exchange(messages, count)
    section = sections[0]
    if effect.key and sections[1].sqlstate:
        section = sections[1]
    confirmed = None
    if effect.needs_barrier:
        confirmed = _read_barrier(sections[-1])
    return AttemptResult(
        section,
        wire.parse_report(effect.target, sections[0].report),
        confirmed,
        False,
        False,
        sections[-1].status,
    )


async def _run_in_own_transaction(
    connection: connection_module.TargetConnection,
    effect: effects.RunStatement,
    batch: Batch,
    caller: str,
    barrier_ms: int,
) -> AttemptResult:
    """Run a write and record its idempotency key in one transaction.

    The unique index on the key fails a second run at the insert of the key,
    before the statement runs: an aborted transaction refuses every statement
    until it ends. That holds inside of a transaction only, so the answer to its
    begin is awaited. Outside of one, the key and the write would each be
    committed on their own.
    """
    (begin_section,) = await connection.exchange(wire.encode_query("BEGIN"), 1)
    if begin_section.sqlstate:
        return AttemptResult(
            begin_section,
            wire.parse_report(effect.target, begin_section.report),
            None,
            False,
            False,
            begin_section.status,
        )
    opening_messages = _encode_key_insert(effect.key, caller, batch)
    opening_messages += batch.render(connection.prepared)
    insert_section, section = await connection.exchange(opening_messages, 2)
    outcome_section = next(
        (s for s in (insert_section, section) if s.sqlstate), section
    )
    if outcome_section.sqlstate:
        closing_messages = wire.encode_query("ROLLBACK") + _encode_key_lookup(
            effect.key, caller
        )
    else:
        closing_messages = _encode_tag_update(
            effect.key, caller, wire.read_tag(section)
        )
        closing_messages += wire.encode_query("COMMIT")
    closing_messages += _encode_barrier(barrier_ms)
    end_section, lookup_section, barrier_section = await connection.exchange(
        closing_messages, 3
    )
    report = wire.parse_report(effect.target, outcome_section.report)
    confirmed = _read_barrier(barrier_section)
    is_duplicate = insert_section.sqlstate == UNIQUE_VIOLATION
    if is_duplicate:
        return _make_replayed_result(
            batch, lookup_section, report, confirmed, barrier_section.status
        )
    if not outcome_section.sqlstate:
        # After a failed UPDATE, the COMMIT rolls back without an error.
        outcome_section = next(
            (s for s in (end_section, lookup_section) if s.sqlstate), section
        )
    return AttemptResult(
        outcome_section, report, confirmed, False, False, barrier_section.status
    )


def _make_replayed_result(
    batch: Batch,
    lookup_section: wire.Section,
    report: model.TargetReport | None,
    confirmed: model.Position | None,
    status: str,
) -> AttemptResult:
    rows = wire.read_rows(lookup_section)
    if not rows:
        # The record was deleted between the insert and the lookup, so the
        # outcome of the first run is unknown.
        return AttemptResult(lookup_section, report, None, False, False, status)
    digest, tag = rows[0]
    frame = b"C" + (len(tag or "") + 5).to_bytes(4, "big")
    frame += (tag or "").encode() + b"\0"
    section = wire.Section([frame], "", "", "I")
    is_reused = digest != batch.digest()
    return AttemptResult(section, report, confirmed, is_reused, True, status)


def _encode_key_insert(key: str, caller: str, batch: Batch) -> bytes:
    values = ", ".join(
        wire.quote_literal(value) for value in (caller, key, batch.digest(), "")
    )
    return wire.encode_query(
        "INSERT INTO knapweedtally_requests (caller, key, digest, tag)"
        f" VALUES ({values})"
    )


def _encode_tag_update(key: str, caller: str, tag: str) -> bytes:
    return wire.encode_query(
        f"UPDATE knapweedtally_requests SET tag = {wire.quote_literal(tag)}"
        f" WHERE caller = {wire.quote_literal(caller)}"
        f" AND key = {wire.quote_literal(key)}"
    )


def _encode_key_lookup(key: str, caller: str) -> bytes:
    return wire.encode_query(
        "SELECT digest, tag FROM knapweedtally_requests"
        f" WHERE caller = {wire.quote_literal(caller)}"
        f" AND key = {wire.quote_literal(key)}"
    )


def _encode_barrier(barrier_ms: int) -> bytes:
    return wire.encode_query(f"SELECT kt_barrier({barrier_ms})")


def _read_barrier(section: wire.Section) -> model.Position | None:
    if section.sqlstate:
        return None
    rows = wire.read_rows(section)
    value = json.loads(rows[0][0] or "{}")
    if not value["is_primary"]:
        # A replica answers at once, without the confirmation of a majority.
        return None
    return model.Position(value["term"], value["offset"])
