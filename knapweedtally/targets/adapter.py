"""Adapter between the core and targets.

It runs the connection pool, probes and control commands.
"""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.runtime import adapters
from knapweedtally.targets import connection as connection_module
from knapweedtally.targets import control
from knapweedtally.targets import pool

USER = "knapweedtally"


class TargetsAdapter:
    """Run effects on targets and submit their results as events.

    Attributes:
        effect_types: types of the effects that this adapter runs.
        pool: pool of the connections for callers' requests.
    """

    effect_types: tuple[type, ...] = (
        effects.ReleaseLease,
        effects.CancelStatement,
        effects.ProbeTarget,
        effects.ControlTarget,
    )

    def __init__(
        self,
        submit: adapters.Submit,
        state: state_module.ProxyState,
        source_host: str | None,
    ) -> None:
        self._submit = submit
        self._state = state
        self._control = control.ControlClient(source_host, USER)
        self._source_host = source_host
        self._task_group: anyio.abc.TaskGroup | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            effects.ReleaseLease: self._release_lease,
            effects.CancelStatement: self._cancel_statement,
            effects.ProbeTarget: self._start_probe,
            effects.ControlTarget: self._start_command,
        }
        self.pool = pool.Pool(source_host, USER)

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run effects until cancelled, then close every connection."""
        try:
            async with anyio.create_task_group() as task_group:
                self._task_group = task_group
                task_status.started()
                await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await self.pool.close_all()
                await self._control.close_all()

    def run_effect(self, effect: effects.Effect) -> None:
        """Start an effect without waiting for it."""
        self._handlers[type(effect)](effect)

    def find_target(self, target_id: str) -> model.Target | None:
        """Return a target of the active bundle, or None if it isn't in it."""
        group = self._state.directory.get_group_of_target(target_id)
        if group is None:
            return None
        return next((t for t in group.targets if t.id == target_id), None)

    def _start_task(self, function: Callable[..., Any], *args: Any) -> None:
        if self._task_group is not None:
            self._task_group.start_soon(function, *args)

    def _release_lease(self, effect: effects.ReleaseLease) -> None:
        self.pool.release(effect.lease, effect.is_reusable, self._start_close)

    def _start_close(
        self, connection: connection_module.TargetConnection
    ) -> None:
        self._start_task(connection.close)

    def _cancel_statement(self, effect: effects.CancelStatement) -> None:
        connection = self.pool.find_leased(effect.lease)
        if connection is not None:
            self._start_task(self._send_cancel, connection)

    async def _send_cancel(
        self, connection: connection_module.TargetConnection
    ) -> None:
        target = connection.target
        try:
            with anyio.fail_after(connection_module.CONNECT_TIMEOUT_S):
                async with await anyio.connect_tcp(
                    target.host, target.port, local_host=self._source_host
                ) as stream:
                    await stream.send(connection.make_cancel_request())
        except (OSError, TimeoutError, anyio.BrokenResourceError):
            return

    def _start_probe(self, effect: effects.ProbeTarget) -> None:
        self._start_task(self._probe, effect)

    async def _probe(self, effect: effects.ProbeTarget) -> None:
        target = self.find_target(effect.target)
        if target is None:
            self._submit(events.ProbeFailed(effect.target, False))
            return
        group = self._state.directory.group_names[target.id]
        self._submit(
            await self._control.probe_target(target, group, effect.timeout_s)
        )

    def _start_command(self, effect: effects.ControlTarget) -> None:
        self._start_task(self._run_command, effect)

    async def _run_command(self, effect: effects.ControlTarget) -> None:
        target = self.find_target(effect.target)
        if target is None:
            self._submit(
                events.ControlFailed(
                    effect.operation, effect.target, effect.command
                )
            )
            return
        sql = control.render_command(effect, self.find_target(effect.primary))
        self._submit(await self._control.run_command(effect, sql, target))
