"""This host's share of the connections that one target accepts."""

from knapweedtally.core.groups import team_connections

# A target drops a connection that has gone silent after this time, in seconds.
# Until then the connection counts towards the share.
LINGER_S = 3.0

# Time for which the share stays reduced after the target was full, in seconds.
REDUCED_SHARE_S = 5.0

# A target's reported number of connections is used for this long, in seconds.
MAX_COUNT_AGE_S = 1.0


class ConnectionShare:
    """Derive the number of direct connections that this host may hold."""

    def __init__(self) -> None:
        """Create a share that isn't reduced."""
        self._lingering_until_s: list[float] = []
        self._reduced_share = 0
        self._reduced_until_s = 0.0

    def get_share(
        self,
        max_connections: int,
        is_local: bool,
        reported_connections: int,
        reported_s: float,
        now_s: float,
    ) -> int:
        """Return the number of direct connections that may be held.

        Holders outside of the target's data centre may hold the full share
        while the target was lately seen to have room.

        Args:
            max_connections: number of connections that the target accepts.
            is_local: whether the holders are in the target's data centre.
            reported_connections: number in the target's last status.
            reported_s: when that status was requested.
            now_s: the current time.
        """
        share = team_connections.get_share(max_connections, is_local)
        # Each holder of two data centres may open one more at the same time.
        margin = 2 * team_connections.HOLDER_COUNT
        has_room = (
            now_s - reported_s <= MAX_COUNT_AGE_S
            and reported_connections + margin < max_connections
        )
        if not is_local and has_room:
            share = team_connections.get_share(max_connections, True)
        if now_s < self._reduced_until_s:
            share = min(share, self._reduced_share)
        return share

    def add_lingering(self, now_s: float) -> None:
        """Count a closed connection that the target may still have."""
        self._lingering_until_s.append(now_s + LINGER_S)

    def count_lingering(self, now_s: float) -> int:
        """Return the number of closed connections that still count."""
        self._lingering_until_s = [
            until_s for until_s in self._lingering_until_s if until_s > now_s
        ]
        return len(self._lingering_until_s)

    def reduce(self, held: int, now_s: float) -> None:
        """Reduce the share for a while, since the target was full."""
        self._reduced_share = max(1, held)
        self._reduced_until_s = now_s + REDUCED_SHARE_S

    def reset(self) -> None:
        """Forget what was known of a target that has restarted."""
        self._lingering_until_s.clear()
        self._reduced_until_s = 0.0
