"""Probes and control commands, sent over separate connections."""

import json
import time
from typing import Any

import anyio

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.targets import connection as connection_module
from knapweedtally.targets import wire

APPLICATION_NAME = "knapweedtally-control"
TargetConnection = connection_module.TargetConnection


class ControlClient:
    """Client for status and control commands to targets.

    Idle connections are kept for each target. One command at a time uses a
    connection, and a command that fails closes it.
    """

    def __init__(self, source_host: str | None, user: str) -> None:
        self._source_host = source_host
        self._user = user
        self._idle_connections: dict[str, list[TargetConnection]] = {}

    async def probe_target(
        self, target: model.Target, group: str, timeout_s: float
    ) -> events.ProbeAnswered | events.ProbeFailed:
        """Query the status of a target."""
        started_at = time.monotonic()
        try:
            value = await self._run_query(
                target, group, "SELECT kt_status()", timeout_s
            )
        except exceptions.AttemptLostError as error:
            is_timeout = isinstance(error.__cause__, TimeoutError)
            # An answer with an error shows that the target is up.
            is_refused = not is_timeout and not error.sqlstate
            return events.ProbeFailed(target.id, is_refused)
        rtt_ms = (time.monotonic() - started_at) * 1000
        return events.ProbeAnswered(
            make_report(target.id, value),
            value["primary"],
            value["last_term"],
            value["received"],
            rtt_ms,
        )

    async def run_command(
        self, effect: effects.ControlTarget, sql: str, target: model.Target
    ) -> events.ControlAnswered | events.ControlFailed:
        """Run a control command on a target."""
        try:
            value = await self._run_query(target, "", sql, effect.timeout_s)
        except exceptions.AttemptLostError:
            return events.ControlFailed(
                effect.operation, effect.target, effect.command
            )
        return events.ControlAnswered(
            effect.operation,
            effect.target,
            effect.command,
            value["is_accepted"],
            value["term"],
            value["last_term"],
            value["received"],
        )

    async def close_all(self) -> None:
        """Close every connection."""
        for connections in self._idle_connections.values():
            for connection in connections:
                await connection.close()
        self._idle_connections.clear()

    async def _run_query(
        self, target: model.Target, group: str, sql: str, timeout_s: float
    ) -> dict[str, Any]:
        connection = None
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._get_connection(
                    target, group, timeout_s
                )
                batch = wire.encode_query(sql)
                (section,) = await connection.exchange(batch, 1)
                if section.sqlstate:
                    raise exceptions.AttemptLostError(
                        f"{target.id} refused {sql}",
                        was_sent=True,
                        sqlstate=section.sqlstate,
                    )
                rows = wire.read_rows(section)
                value: dict[str, Any] = json.loads(rows[0][0] or "{}")
        except TimeoutError as error:
            if connection is not None:
                await connection.close()
            raise exceptions.AttemptLostError(
                f"{target.id} did not answer within {timeout_s} s", True
            ) from error
        except exceptions.AttemptLostError:
            if connection is not None:
                await connection.close()
            raise
        self._idle_connections.setdefault(target.id, []).append(connection)
        return value

    async def _get_connection(
        self, target: model.Target, group: str, timeout_s: float
    ) -> TargetConnection:
        idle = self._idle_connections.get(target.id, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.target == target:
                return connection
        parameters = {
            "user": self._user,
            "database": group or target.id,
            "application_name": APPLICATION_NAME,
        }
        return await TargetConnection.connect(
            target, self._source_host, parameters, timeout_s
        )


def make_report(target: str, value: dict[str, Any]) -> model.TargetReport:
    """Return the report in a target's status."""
    return model.TargetReport(
        target,
        value["term"],
        value["applied"],
        value["age_ms"],
        value["is_primary"],
    )


def render_command(
    effect: effects.ControlTarget, primary: model.Target | None
) -> str:
    """Return the SQL of a control command.

    Args:
        effect: the command.
        primary: target to replicate from after a ``follow`` command, or
            None.
    """
    operation = wire.quote_literal(effect.operation)
    if effect.command == "follow" and primary is not None:
        return (
            f"SELECT kt_follow({effect.term},"
            f" {wire.quote_literal(primary.id)},"
            f" {wire.quote_literal(primary.host)}, {primary.port})"
        )
    if effect.command == "hold":
        milliseconds = round(effect.timeout_s * 1000)
        return f"SELECT kt_hold({effect.term}, {milliseconds})"
    return f"SELECT kt_{effect.command}({effect.term}, {operation})"
