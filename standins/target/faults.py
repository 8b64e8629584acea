"""Faults that tests switch on in a running target."""

from typing import TypedDict

import anyio

from standins.target import signals

# The control connection of tests comes from this address.
CONTROL_HOST = "127.0.0.1"
# A held connection looks again after this time, in seconds.
RECHECK_S = 1.0
# A server with TCP_USER_TIMEOUT drops a client that it can't reach; the time
# is that of the platform's targets.
UNREACHABLE_LIMIT_S = 3.0


class Settings(TypedDict, total=False):
    """List what a fault command may set; times in milliseconds."""

    cut: list[str]
    receive_lag_ms: float
    apply_lag_ms: float
    service_time_ms: float
    refuse_connections: bool
    lose_answers: int


class Faults:
    """Hold the faults in force.

    Attributes:
        cut: address prefixes with which no byte is exchanged.
        receive_lag_ms: delay before a replica takes entries in.
        apply_lag_ms: delay between receiving and applying.
        service_time_ms: time that a statement holds its slot.
        refuse_connections: whether new connections are closed at once.
        lose_answers: commits that take effect but are not answered.
    """

    def __init__(
        self,
        receive_lag_ms: float = 0,
        apply_lag_ms: float = 0,
        service_time_ms: float = 0,
    ) -> None:
        """Start with lags and service time only."""
        self.cut: list[str] = []
        self.receive_lag_ms = receive_lag_ms
        self.apply_lag_ms = apply_lag_ms
        self.service_time_ms = service_time_ms
        self.refuse_connections = False
        self.lose_answers = 0
        self._changed = signals.Signal()

    def update(self, settings: Settings) -> None:
        """Set the faults that are named; others stay."""
        for name in Settings.__annotations__:
            if name in settings:
                setattr(self, name, settings[name])  # type: ignore[literal-required]
        self._changed.notify()

    def is_cut(self, host: str) -> bool:
        """Return whether no byte is exchanged with an address."""
        if host == CONTROL_HOST:
            return False
        return any(host.startswith(prefix) for prefix in self.cut)

    def refuses(self, host: str) -> bool:
        """Return whether a new connection from an address is closed."""
        return self.refuse_connections and host != CONTROL_HOST

    def take_lost_answer(self) -> bool:
        """Return whether the next answer is lost, counting it."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def wait_reachable(self, host: str) -> None:
        """Wait until bytes may be exchanged with an address."""
        while self.is_cut(host):
            await self._changed.wait(RECHECK_S)

    async def wait_unreachable(self, host: str) -> None:
        """Wait until an address has been cut off for the limit."""
        while True:
            while not self.is_cut(host):
                await self._changed.wait()
            with anyio.move_on_after(UNREACHABLE_LIMIT_S) as limit:
                await self.wait_reachable(host)
            if limit.cancelled_caught:
                return

    async def sleep_lag(self, milliseconds: float) -> None:
        """Sleep for a lag in milliseconds."""
        if milliseconds > 0:
            await anyio.sleep(milliseconds / 1000)
