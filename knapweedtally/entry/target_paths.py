"""How each target is reached: directly or through other hosts."""

from knapweedtally.core.groups import connection_holders
from knapweedtally.core.groups import team_connections
from knapweedtally.entry.fleet import peers as peers_module
from knapweedtally.entry.pools import holder_selection
from knapweedtally.entry.pools import pacing
from knapweedtally.entry.pools import path_selection
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import team_pools


class TargetPaths:
    """Give the pools their holders and relay hosts as hosts come and go."""

    def __init__(
        self,
        host: str,
        peers: peers_module.Peers,
        pacers: pacing.Pacers | None,
    ) -> None:
        """Create it without targets.

        Args:
            host: name of this host.
            peers: the other hosts.
            pacers: paces of the targets, or None without load control.
        """
        self._host = host
        self._peers = peers
        self._pacers = pacers
        # The live hosts and the limit by which each target's paths were set.
        self._keys: dict[str, tuple[int, int]] = {}

    def list_versions(self) -> list[int]:
        """Return the versions of the live hosts that the paths are for."""
        return [version for version, _ in self._keys.values()]

    def forget(self, target: str) -> None:
        """Forget a target, or set its paths anew with the next ``sync``."""
        self._keys.pop(target, None)

    def sync(self, target: str, pool: pools.Pool) -> None:
        """Set whether a pool connects directly or through relay hosts."""
        live = self._peers.get_live_hosts()
        key = (self._peers.live_version, pool.max_connections)
        if self._keys.get(target) == key:
            return
        self._keys[target] = key
        if isinstance(pool, team_pools.TeamPool):
            paths = self._find_team_paths(pool, live)
            pool.set_paths(paths)
            if self._pacers is not None:
                self._pacers.set_holders(target, paths.holders.hosts)
            return
        usable = pools.get_usable_connections(pool.max_connections)
        held_by = connection_holders.list_holders(target, live, usable)
        relay_names = connection_holders.list_relays(
            target, self._host, live, held_by
        )
        pool.holder_count = max(1, len(held_by))
        if self._pacers is not None:
            self._pacers.set_holders(target, held_by)
        pool.path_selector.set_relay_hosts(self.find_relay_hosts(relay_names))
        fallback_names = connection_holders.list_relays(
            target, self._host, live, held_by - {self._host}
        )
        pool.path_selector.fallback_hosts = self.find_relay_hosts(
            fallback_names
        )

    def _find_team_paths(
        self, pool: team_pools.TeamPool, live: dict[str, str]
    ) -> holder_selection.TeamPaths:
        holders = team_connections.list_holders(
            pool.entry.target,
            pool.entry.data_centre,
            live,
            pool.max_connections,
        )
        others = [host for host in holders.hosts if host != self._host]
        relay_hosts = self.find_relay_hosts(others)
        return holder_selection.TeamPaths(
            self._host, holders, {relay.host: relay for relay in relay_hosts}
        )

    def find_relay_hosts(
        self, names: list[str]
    ) -> tuple[path_selection.RelayHost, ...]:
        """Return the hosts whose address is known."""
        addresses = [
            (name, self._peers.find_host_address(name)) for name in names
        ]
        return tuple(
            path_selection.RelayHost(name, *address)
            for name, address in addresses
            if address
        )
