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
    """Build the messages of a request for one connection."""

    def render(self, prepared: set[str]) -> bytes:
        """Return messages that bring about exactly one ReadyForQuery.

        Args:
            prepared: names prepared on the connection; updated in place.
        """

    def digest(self) -> str:
        """Return a digest of the request's statements and parameters."""


class Result(NamedTuple):
    """Hold the outcome of an attempt that was answered in whole.

    Attributes:
        section: the answer to the request itself.
        report: what the target says of itself, from when the request ran.
        confirmed: position that a majority confirmed, or None.
        is_key_reused: whether the key is on record for another request.
        is_replayed: whether the answer comes from the key's record.
        status: transaction status of the connection afterwards.
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
) -> Result:
    """Run an attempt and, where asked for, the barrier behind it.

    Args:
        connection: connection of the attempt's lease.
        effect: the attempt.
        batch: the request's messages.
        caller: name that idempotency keys are kept by.
        barrier_ms: longest wait for the confirmation.

    Raises:
        AttemptLostError: the connection ended before the whole answer.
    """
    if effect.key and effect.is_last:
        return await _run_keyed(connection, effect, batch, caller, barrier_ms)
    messages = batch.render(connection.prepared)
    if effect.key:
        messages += _encode_key(effect.key, caller, batch)
    return await _run_plain(connection, effect, messages, barrier_ms)


async def _run_plain(
    connection: connection_module.TargetConnection,
    effect: effects.RunStatement,
    messages: bytes,
    barrier_ms: int,
) -> Result:
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
    return Result(
        section,
        wire.parse_report(effect.target, sections[0].report),
        confirmed,
        False,
        False,
        sections[-1].status,
    )


async def _run_keyed(
    connection: connection_module.TargetConnection,
    effect: effects.RunStatement,
    batch: Batch,
    caller: str,
    barrier_ms: int,
) -> Result:
    """Run a write and record its idempotency key in one transaction.

    The key's unique index makes a second run fail before its statement
    runs: a failed transaction refuses everything until its end.
    """
    first = wire.encode_query("BEGIN")
    first += _encode_key(effect.key, caller, batch)
    first += batch.render(connection.prepared)
    begun, recorded, section = await connection.exchange(first, 3)
    failed = next(
        (s for s in (begun, recorded, section) if s.sqlstate), section
    )
    if failed.sqlstate:
        last = wire.encode_query("ROLLBACK") + _encode_lookup(
            effect.key, caller
        )
    else:
        last = _encode_tag(effect.key, caller, wire.read_tag(section))
        last += wire.encode_query("COMMIT")
    last += _encode_barrier(barrier_ms)
    ended, looked_up, barrier = await connection.exchange(last, 3)
    report = wire.parse_report(effect.target, failed.report)
    confirmed = _read_barrier(barrier)
    is_repeat = recorded.sqlstate == UNIQUE_VIOLATION
    if is_repeat:
        return _replay(batch, looked_up, report, confirmed, barrier.status)
    if not failed.sqlstate:
        # A failed UPDATE turns the COMMIT into a rollback without an error.
        failed = next((s for s in (ended, looked_up) if s.sqlstate), section)
    return Result(failed, report, confirmed, False, False, barrier.status)


def _replay(
    batch: Batch,
    looked_up: wire.Section,
    report: model.TargetReport | None,
    confirmed: model.Position | None,
    status: str,
) -> Result:
    rows = wire.read_rows(looked_up)
    if not rows:
        # The record vanished between the two statements: nothing is known.
        return Result(looked_up, report, None, False, False, status)
    digest, tag = rows[0]
    frame = b"C" + (len(tag or "") + 5).to_bytes(4, "big")
    frame += (tag or "").encode() + b"\0"
    section = wire.Section([frame], "", "", "I")
    is_reused = digest != batch.digest()
    return Result(section, report, confirmed, is_reused, True, status)


def _encode_key(key: str, caller: str, batch: Batch) -> bytes:
    values = ", ".join(
        wire.quote_literal(value) for value in (caller, key, batch.digest(), "")
    )
    return wire.encode_query(
        "INSERT INTO knapweedtally_requests (caller, key, digest, tag)"
        f" VALUES ({values})"
    )


def _encode_tag(key: str, caller: str, tag: str) -> bytes:
    return wire.encode_query(
        f"UPDATE knapweedtally_requests SET tag = {wire.quote_literal(tag)}"
        f" WHERE caller = {wire.quote_literal(caller)}"
        f" AND key = {wire.quote_literal(key)}"
    )


def _encode_lookup(key: str, caller: str) -> bytes:
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
        # The target answered at once: no majority confirmed anything.
        return None
    return model.Position(value["term"], value["offset"])
