"""Loop that passes events to the reducer and its effects to the adapters."""

import asyncio
import collections
import random
import time
from typing import Any

import anyio
import anyio.abc
import structlog

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import events as membership_events
from knapweedtally.runtime import adapters

TICK_INTERVAL_S = 0.1


class Loop:
    """Process events one at a time and run the effects of each.

    Attributes:
        state: state of the proxy; modified only by the reducer.
    """

    def __init__(self, state: state_module.ProxyState) -> None:
        self.state = state
        self._random = random.Random()
        self._events: collections.deque[Any] = collections.deque()
        self._is_processing = False
        self._runners: dict[type, Any] = {
            effects.PublishRegister: self._publish_register,
            effects.SetTimer: self._set_timer,
            effects.WriteLog: write_log,
        }

    def add_adapter(self, adapter: adapters.Adapter) -> None:
        """Register an adapter to run the effects of its ``effect_types``."""
        for effect_type in adapter.effect_types:
            self._runners[effect_type] = adapter.run_effect

    def submit(self, event: Any) -> None:
        """Pass an event to the reducer and run its effects.

        An event that is submitted while another one is processed is queued.
        """
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                self._apply_event(self._events.popleft())
        finally:
            self._is_processing = False

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Submit a tick every ``TICK_INTERVAL_S`` until cancelled."""
        task_status.started()
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self.submit(events.Ticked())

    def _apply_event(self, event: Any) -> None:
        moment = model.Moment(time.monotonic(), self._random.random())
        for effect in reducer.decide(self.state, moment, event):
            runner = self._runners.get(type(effect))
            if runner is not None:
                runner(effect)

    def _publish_register(self, effect: effects.PublishRegister) -> None:
        self.submit(membership_events.RegisterPublished(effect.register))

    def _set_timer(self, effect: effects.SetTimer) -> None:
        event = events.TimerFired(effect.key)
        loop = asyncio.get_running_loop()
        loop.call_later(effect.delay_s, self.submit, event)


def write_log(effect: effects.WriteLog) -> None:
    """Write a log line, prefixed with the part that logs it."""
    logger = structlog.get_logger(effect.part)
    write = getattr(logger, effect.level)
    write(f"{effect.part}: {effect.message}", **effect.values)
