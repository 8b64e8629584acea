"""Record when hosts could not reach the store."""

import asyncio
from typing import NamedTuple

from standins.line_platform import store as store_module
from tests.soak import hosts as hosts_module
from tests.soak import links

# Interval between two looks at a host, in seconds. Faults last longer.
INTERVAL_S = 0.02

# Time within which a host that reaches the store applies a version, in seconds:
# the platform's ``configApplyMs`` and ``revokeMs``.
APPLY_S = 5.0


class Disturbance(NamedTuple):
    """A time in which a host didn't reach the store.

    Attributes:
        start_s: its start, on the event loop's clock.
        end_s: its end.
    """

    start_s: float
    end_s: float


class Reachability:
    """When a host didn't reach the store.

    Attributes:
        disturbances: finished and current disturbances, oldest first.
        starts_s: times at which the host's process was started.
    """

    def __init__(self) -> None:
        self.disturbances: list[Disturbance] = []
        self.starts_s: list[float] = []

    async def watch(
        self, host: hosts_module.Host, store: store_module.Store
    ) -> None:
        """Record disturbances and starts of a host, forever."""
        loop = asyncio.get_running_loop()
        was_disturbed = False
        start_count = 0
        while True:
            now_s = loop.time()
            if host.start_count != start_count:
                start_count = host.start_count
                self.starts_s.append(now_s)
            is_disturbed = (
                host.is_paused
                or store.is_down
                or store.is_silent
                or store.is_withholding_events
                or host.store_link.fault != links.LinkFault()
            )
            if is_disturbed and not was_disturbed:
                self.disturbances.append(Disturbance(now_s, now_s))
            if was_disturbed:
                start_s = self.disturbances[-1].start_s
                self.disturbances[-1] = Disturbance(start_s, now_s)
            was_disturbed = is_disturbed
            await asyncio.sleep(INTERVAL_S)

    def compute_deadline_s(self, at_s: float) -> float:
        """Return by when the host has to apply a version.

        That is once it has reached the store for ``APPLY_S`` on end. A process
        that starts while the store doesn't answer has forgotten what it had
        read, and may learn an older version from another host.

        Args:
            at_s: time of the store's acknowledgement.
        """
        deadline_s = at_s + APPLY_S
        for start_s, end_s in self.disturbances:
            forgets = any(
                start_s - APPLY_S <= s <= end_s for s in self.starts_s
            )
            if end_s >= at_s and (start_s <= deadline_s or forgets):
                deadline_s = max(deadline_s, end_s + APPLY_S)
        return deadline_s
