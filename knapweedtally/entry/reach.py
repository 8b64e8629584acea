"""The ways to one target: directly, or through other hosts.

A host that holds no connections of its own goes through hosts that do
(``ways``). One that does, but doesn't reach the target, goes through others
for a while (``detours``) and keeps trying the direct way.
"""

from typing import NamedTuple

# A target that can't be reached directly is reached through other hosts for
# this long, in seconds, and tried directly this often.
DETOUR_S = 6.0
DIRECT_PAUSE_S = 1.0


class Way(NamedTuple):
    """Name a host through which a target is reached.

    Attributes:
        host: name of the host.
        address: its address.
        port: its port for other hosts' statements.
    """

    host: str
    address: str
    port: int


class Reach:
    """Choose the way of each connection to a target.

    Attributes:
        ways: hosts through which the target is reached; empty where this
            host holds connections itself.
        detours: hosts to try while the target can't be reached directly.
    """

    def __init__(self) -> None:
        """Make a reach that goes directly."""
        self.ways: tuple[Way, ...] = ()
        self.detours: tuple[Way, ...] = ()
        self._detour_until_s = 0.0
        self._next_direct_s = 0.0
        self._turn = 0

    def set_ways(self, ways: tuple[Way, ...]) -> None:
        """Set the hosts through which the target is reached.

        Connections of the other kind are closed once they rest.
        """
        if ways != self.ways:
            self.ways = ways
            self._turn = 0

    def choose(self, now_s: float) -> Way | None:
        """Return the host that the next connection goes through, if any."""
        ways = self.ways
        if not ways and self.is_detouring(now_s):
            if now_s >= self._next_direct_s:
                self._next_direct_s = now_s + DIRECT_PAUSE_S
                return None
            ways = self.detours
        return ways[self._turn % len(ways)] if ways else None

    def note_failure(self) -> None:
        """Use another way next time."""
        self._turn += 1

    def is_detouring(self, now_s: float) -> bool:
        """Tell whether the target is reached through others for a while."""
        return now_s < self._detour_until_s

    def is_direct_due(self, now_s: float) -> bool:
        """Tell whether the direct way is to be tried during a detour."""
        return self.is_detouring(now_s) and now_s >= self._next_direct_s

    def start_detour(self, now_s: float) -> bool:
        """Go through other hosts to a target that doesn't answer.

        Returns:
            Whether a connection should be made at once. Further ways are tried
            at the usual pace: while the target is down, every way refuses at
            once.
        """
        if self.ways or not self.detours:
            return False
        is_new = not self.is_detouring(now_s)
        self._detour_until_s = now_s + DETOUR_S
        self._turn += 1
        if is_new:
            self._next_direct_s = now_s + DIRECT_PAUSE_S
        return is_new

    def end_detour(self) -> None:
        """Go back to direct connections."""
        self._detour_until_s = 0.0

    def is_current(self, host: str, now_s: float) -> bool:
        """Tell whether a connection goes a way that is still to be used.

        Args:
            host: name of the host that it goes through, or empty.
            now_s: the time.
        """
        if not self.ways:
            return not host or self.is_detouring(now_s)
        return host in [way.host for way in self.ways]
