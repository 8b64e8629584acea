"""Selection of the network path to one target: direct, or through other hosts.

A host that holds no connections to the target itself uses hosts that do
(``relay_hosts``). A host that holds connections itself, but can't reach the
target, falls back to other hosts for a while (``fallback_hosts``) and keeps
retrying the direct path.
"""

from typing import NamedTuple

# A target that can't be reached directly is reached through fallback hosts
# for this long, and the direct path is retried at this interval, in seconds.
FALLBACK_S = 6.0
DIRECT_RETRY_INTERVAL_S = 1.0


class RelayHost(NamedTuple):
    """A host that relays statements to a target.

    Attributes:
        host: name of the host.
        address: its address.
        port: its port for other hosts' statements.
    """

    host: str
    address: str
    port: int


class PathSelector:
    """Choose the network path of each connection to a target.

    Attributes:
        relay_hosts: hosts through which the target is reached; empty where
            this host holds connections itself.
        fallback_hosts: hosts to use while the target can't be reached
            directly.
    """

    def __init__(self) -> None:
        """Create a selector that uses the direct path."""
        self.relay_hosts: tuple[RelayHost, ...] = ()
        self.fallback_hosts: tuple[RelayHost, ...] = ()
        self._fallback_until_s = 0.0
        self._next_direct_retry_s = 0.0
        self._relay_index = 0

    def set_relay_hosts(self, relay_hosts: tuple[RelayHost, ...]) -> None:
        """Set the hosts through which the target is reached.

        Connections on other paths are closed once they are idle.
        """
        if relay_hosts != self.relay_hosts:
            self.relay_hosts = relay_hosts
            self._relay_index = 0

    def choose_relay_host(self, now_s: float) -> RelayHost | None:
        """Return the relay host of the next connection, None for direct."""
        relay_hosts = self.relay_hosts
        if not relay_hosts and self.is_in_fallback(now_s):
            if now_s >= self._next_direct_retry_s:
                self._next_direct_retry_s = now_s + DIRECT_RETRY_INTERVAL_S
                return None
            relay_hosts = self.fallback_hosts
        return (
            relay_hosts[self._relay_index % len(relay_hosts)]
            if relay_hosts
            else None
        )

    def use_next_relay_host(self) -> None:
        """Select the next relay host for further connections."""
        self._relay_index += 1

    def is_in_fallback(self, now_s: float) -> bool:
        """Return whether fallback hosts are in use."""
        return now_s < self._fallback_until_s

    def is_direct_retry_due(self, now_s: float) -> bool:
        """Return whether to retry the direct path during a fallback."""
        return self.is_in_fallback(now_s) and now_s >= self._next_direct_retry_s

    def start_fallback(self, now_s: float) -> bool:
        """Start or prolong the use of fallback hosts.

        Returns:
            Whether a connection should be opened at once. Further fallback
            hosts are tried at the usual interval, because each of them
            refuses at once while the target is down.
        """
        if self.relay_hosts or not self.fallback_hosts:
            return False
        is_started = not self.is_in_fallback(now_s)
        self._fallback_until_s = now_s + FALLBACK_S
        self._relay_index += 1
        if is_started:
            self._next_direct_retry_s = now_s + DIRECT_RETRY_INTERVAL_S
        return is_started

    def end_fallback(self) -> None:
        """Return to the direct path."""
        self._fallback_until_s = 0.0

    def is_current_path(self, host: str, now_s: float) -> bool:
        """Return whether connections through a host are still to be used.

        Args:
            host: name of the relay host, empty for a direct connection.
            now_s: the current time.
        """
        if not self.relay_hosts:
            return not host or self.is_in_fallback(now_s)
        return host in [relay_host.host for relay_host in self.relay_hosts]
