"""The contract between the loop and the edges."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import anyio.abc

from knapweedtally.core import effects

# Gives one event to the reducer and runs its effects before returning.
Submit = Callable[[Any], None]


class Edge(Protocol):
    """Connect the reducer with one outside system.

    An edge is made with the loop's ``Submit``, its part of the settings, and
    whatever it reads (never changes) of the proxy's state.

    Attributes:
        effect_types: the effects that this edge runs.
    """

    effect_types: tuple[type, ...]

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; report started once it is ready for use."""

    def run_effect(self, effect: effects.Effect) -> None:
        """Start an effect without waiting for it; never raises."""
