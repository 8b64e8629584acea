"""Fault injection in a running target."""

from typing import TypedDict

import anyio

from standins.target import signals

# Tests open their control connections from this address.
CONTROL_HOST = "127.0.0.1"
# Interval at which a cut-off connection checks again, in seconds.
RECHECK_INTERVAL_S = 1.0
# A server with TCP_USER_TIMEOUT drops an unreachable client; the platform's
# targets use this timeout.
UNREACHABLE_TIMEOUT_S = 3.0


class Settings(TypedDict, total=False):
    """Faults that a fault command may set; times in milliseconds."""

    cut: list[str]
    receive_lag_ms: float
    apply_lag_ms: float
    service_time_ms: float
    refuse_connections: bool
    lose_answers: int
    refuse_begins: int


class Faults:
    """Faults that are currently injected.

    Attributes:
        cut: prefixes of the addresses that are cut off; no data is exchanged
            with them.
        receive_lag_ms: delay before a replica processes received entries.
        apply_lag_ms: delay between receiving and applying entries.
        service_time_ms: time for which a statement occupies its slot.
        refuse_connections: whether new connections are closed immediately.
        lose_answers: number of commits that take effect but are not answered.
        refuse_begins: number of transactions whose begin is refused.
    """

    def __init__(
        self,
        receive_lag_ms: float = 0,
        apply_lag_ms: float = 0,
        service_time_ms: float = 0,
    ) -> None:
        """Initialise with the given delays and no other fault."""
        self.cut: list[str] = []
        self.receive_lag_ms = receive_lag_ms
        self.apply_lag_ms = apply_lag_ms
        self.service_time_ms = service_time_ms
        self.refuse_connections = False
        self.lose_answers = 0
        self.refuse_begins = 0
        self._changed = signals.Signal()

    def update(self, settings: Settings) -> None:
        """Set the given faults and keep all others."""
        for name in Settings.__annotations__:
            if name in settings:
                setattr(self, name, settings[name])  # type: ignore[literal-required]
        self._changed.notify()

    def is_cut_off(self, host: str) -> bool:
        """Return whether an address is cut off."""
        if host == CONTROL_HOST:
            return False
        return any(host.startswith(prefix) for prefix in self.cut)

    def is_refusing(self, host: str) -> bool:
        """Return whether new connections from an address are closed."""
        return self.refuse_connections and host != CONTROL_HOST

    def consume_lost_answer(self) -> bool:
        """Return whether to lose the next answer, and count it as lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    def consume_refused_begin(self) -> bool:
        """Return whether to refuse the next begin, and count it as refused."""
        if self.refuse_begins <= 0:
            return False
        self.refuse_begins -= 1
        return True

    async def wait_until_reachable(self, host: str) -> None:
        """Wait until an address is not cut off."""
        while self.is_cut_off(host):
            await self._changed.wait(RECHECK_INTERVAL_S)

    async def wait_until_unreachable(self, host: str) -> None:
        """Wait until an address has been cut off for the timeout."""
        while True:
            while not self.is_cut_off(host):
                await self._changed.wait()
            with anyio.move_on_after(UNREACHABLE_TIMEOUT_S) as timeout:
                await self.wait_until_reachable(host)
            if timeout.cancelled_caught:
                return

    async def sleep_ms(self, milliseconds: float) -> None:
        """Sleep for a duration in milliseconds."""
        if milliseconds > 0:
            await anyio.sleep(milliseconds / 1000)
