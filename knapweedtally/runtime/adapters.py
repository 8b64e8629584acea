"""Interface between the loop and the adapters.

An adapter connects the reducer to one external system.
"""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import anyio.abc

from knapweedtally.core import effects

# Passes one event to the reducer and runs its effects before returning. An
# event that is submitted by a running effect is queued instead.
Submit = Callable[[Any], None]


class Adapter(Protocol):
    """Adapter between the reducer and one external system.

    An adapter is created with the loop's ``Submit`` and its own settings. It
    may also read the proxy's state, but never changes it.

    Attributes:
        effect_types: types of the effects that this adapter runs.
    """

    effect_types: tuple[type, ...]

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; report as started once it is ready for use."""

    def run_effect(self, effect: effects.Effect) -> None:
        """Start running an effect without waiting for it; never raises."""
