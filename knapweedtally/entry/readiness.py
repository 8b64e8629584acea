"""Whether callers should come to this host, and which sessions leave it."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.statements import router as router_module
from knapweedtally.entry.statements import sessions as sessions_module

# Interval of the checks on callers' sessions, in seconds.
SESSION_CHECK_INTERVAL_S = 0.5

# A host is isolated when it has no evidence about half of the groups, and
# reaches less than half of the targets, for this long, in seconds. It then
# reports that it isn't ready. A primary that fails alone leaves the other
# targets reachable.
ISOLATION_S = 0.3

# Idle sessions are closed this long after the host stopped being ready, in
# seconds. New connections reach other hosts by then.
IDLE_SESSION_CLOSE_DELAY_S = 2.2


class Readiness:
    """Judge whether this host can serve, from its groups and targets."""

    def __init__(
        self,
        catalog: catalog_module.Catalog,
        routers: Mapping[str, router_module.Router],
        sessions: Collection[sessions_module.CallerSession],
        is_settled: Callable[[], bool],
        log: logs.Log,
    ) -> None:
        """Create it for a host that has never been ready.

        Args:
            catalog: configuration and targets.
            routers: routers by name of the group, kept up to date by the host.
            sessions: open sessions, kept up to date by the host.
            is_settled: returns whether the members of the groups are recorded.
            log: where changes are written.
        """
        self._catalog = catalog
        self._routers = routers
        self._sessions = sessions
        self._is_settled = is_settled
        self._log = log
        self._next_session_check_s = 0.0
        self._unserved_since_s: float | None = None
        self._was_ready = False

    def check_serving(self, now_s: float) -> None:
        """Record since when this host can't serve most groups."""
        routers = self._routers.values()
        served = sum(
            1
            for router in routers
            if router.observer.is_primary_confirmed(now_s)
        )
        all_pools = [p for router in routers for p in router.pools.values()]
        failing = sum(
            1 for pool in all_pools if pool.failing_since_s is not None
        )
        has_seen_primary = any(
            router.observer.known_since_s for router in routers
        )
        is_isolated = not has_seen_primary or failing * 2 > len(all_pools)
        if is_isolated and served * 2 <= len(self._routers):
            if self._unserved_since_s is None:
                self._unserved_since_s = now_s
                self._log.write("groups_unserved", served=served)
        elif self._unserved_since_s is not None:
            self._unserved_since_s = None
            self._log.write("groups_served", served=served)

    def check_sessions(self, now_s: float) -> None:
        """Enforce the sessions' timeouts, and close idle ones if isolated."""
        if now_s < self._next_session_check_s:
            return
        self._next_session_check_s = now_s + SESSION_CHECK_INTERVAL_S
        configuration = self._catalog.configuration
        limit_s = configuration.transaction_idle_s if configuration else 0.0
        unserved_s = 0.0
        if self._unserved_since_s is not None:
            unserved_s = now_s - self._unserved_since_s
        # A host that just started has never reported that it is ready, so no
        # sessions have to move to other hosts.
        has_seen_primary = any(
            r.observer.known_since_s for r in self._routers.values()
        )
        closes_idle_sessions = (
            has_seen_primary
            and unserved_s > ISOLATION_S + IDLE_SESSION_CLOSE_DELAY_S
        )
        for session in tuple(self._sessions):
            if not supervision.contain("session", session.tick, now_s, limit_s):
                session.abort()
            elif closes_idle_sessions and session.is_idle():
                session.close()

    def is_ready(self, now_s: float) -> bool:
        """Return whether the load balancer should send callers here."""
        if self._catalog.listed_s is None:
            return False
        if self._catalog.configuration is None:
            return False
        if not self._is_settled():
            return False
        since_s = self._unserved_since_s
        is_ready = since_s is None or (
            self._was_ready and now_s - since_s < ISOLATION_S
        )
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._log.write("ready_changed", is_ready=is_ready)
        return is_ready
