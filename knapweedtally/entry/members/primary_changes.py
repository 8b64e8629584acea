"""Detection of causes to change a group's primary."""

import asyncio
from collections.abc import Callable

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import detection
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import lag_relief
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import steps
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import supervision
from knapweedtally.entry.members import group as group_module
from knapweedtally.entry.members import promoter as promoter_module
from knapweedtally.entry.pools import pools as pools_module

# Delay before another change of the same group's primary, in seconds, and the
# part that is added for each rank of this host in the group's order.
CHANGE_RETRY_DELAY_S = 0.4
CHANGE_RETRY_DELAY_PER_RANK_S = 0.1


# A replica has a recent log if it has what the primary had reached this long
# ago, in seconds: the status of each replica is requested within this time.
RECENT_LOG_S = 1.5

# A replica's report of its lag is used for this long, in seconds.
MAX_LAG_REPORT_AGE_S = 3.0

# Interval at which a host that isn't a poller requests these reports if the
# pollers don't act on theirs, in seconds. Replicas that lag have free slots.
LAG_REPORT_INTERVAL_S = 1.0


class PrimaryChanges:
    """Detect causes to change primaries, and run the changes."""

    def __init__(
        self,
        host: str,
        catalog: catalog_module.Catalog,
        promoter: promoter_module.Promoter,
        rank_hosts: Callable[[str], list[str]],
    ) -> None:
        """Start without a change in progress.

        Args:
            host: name of this host.
            catalog: the known targets.
            promoter: runs the changes.
            rank_hosts: returns the names of the live hosts in the order in
                which they claim the promotion lease for a group.
        """
        self._host = host
        self._catalog = catalog
        self._promoter = promoter
        self._rank_hosts = rank_hosts
        self._changing: set[str] = set()
        self._relief: dict[str, lag_relief.LagRelief] = {}
        self._retry_at_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def is_changing(self, group: str) -> bool:
        """Return whether this host is changing a group's primary."""
        return group in self._changing

    def start_if_needed(self, router: group_module.Group, now_s: float) -> None:
        """Start to change a group's primary if there is a cause."""
        name = router.settings.name
        supervision.contain("lag relief", self._update_relief, router, now_s)
        if name in self._changing:
            return
        if now_s < self._retry_at_s.get(name, 0.0):
            return
        if self._find_cause(router) is None:
            return
        self._changing.add(name)
        task = asyncio.get_running_loop().create_task(self._run_change(router))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _update_relief(self, router: group_module.Group, now_s: float) -> None:
        """Update what the lag of a group's replicas costs its callers."""
        observer = router.observer
        primary = observer.leadership.target
        recent = evidence.find_position(
            observer.leadership, now_s - RECENT_LOG_S
        )
        replicas = {
            target: pool
            for target, pool in router.pools.items()
            if target != primary and pool.is_answering
        }
        relief = self._get_relief(router)
        lag_relief.update(
            relief,
            [
                lag_relief.Replica(
                    pool.load.is_lagging,
                    _get_remaining_lag_s(pool, now_s),
                    recent is not None and pool.received >= recent,
                )
                for pool in replicas.values()
            ],
            load_shedding.get_refused_share(observer.load_shedding, now_s),
            now_s,
        )
        if lag_relief.needs_reports(relief):
            for target, pool in replicas.items():
                if now_s - pool.reported_s > LAG_REPORT_INTERVAL_S:
                    observer.request_status(target)

    def _get_relief(self, router: group_module.Group) -> lag_relief.LagRelief:
        name = router.settings.name
        return self._relief.setdefault(name, lag_relief.LagRelief())

    async def _run_change(self, router: group_module.Group) -> None:
        """Run a change; the next one begins anew if it fails by an error."""
        try:
            await self._change_primary(router)
        except Exception as error:
            supervision.report("change of primary", error)
        finally:
            self._changing.discard(router.settings.name)

    async def _change_primary(self, router: group_module.Group) -> None:
        name = router.settings.name
        leaving = frozenset(
            target
            for target in router.pools
            if self._is_leaving(target, clock.get_time_s())
        )
        ranked = self._rank_hosts(name)
        rank = ranked.index(self._host) if ranked else 0
        try:
            await self._promoter.change_primary(
                router,
                lambda: self._find_cause(router),
                self._catalog.is_settled,
                leaving,
                rank,
            )
        finally:
            delay_s = (
                CHANGE_RETRY_DELAY_S + CHANGE_RETRY_DELAY_PER_RANK_S * rank
            )
            self._retry_at_s[name] = clock.get_time_s() + delay_s

    def _is_leaving(self, target: str, now_s: float) -> bool:
        member = self._catalog.members.get(target)
        if member is None:
            return True
        return member.entry.is_draining or not catalog_module.is_usable(
            member, now_s
        )

    def _find_cause(self, router: group_module.Group) -> steps.Cause | None:
        now_s = clock.get_time_s()
        return detection.find_cause(self.make_view(router, now_s), now_s)

    def make_view(
        self, router: group_module.Group, now_s: float
    ) -> detection.PrimaryView:
        """Return this host's view of a group's primary."""
        primary = router.observer.leadership.target
        pool = router.pools.get(primary) if primary else None
        return detection.PrimaryView(
            has_primary=pool is not None,
            known_since_s=router.observer.known_since_s,
            no_primary_since_s=router.observer.no_primary_since_s,
            failing_since_s=pool.failing_since_s if pool else None,
            failures=pool.failures if pool else 0,
            is_refusing=pool.is_refusing if pool else False,
            is_leaving=bool(primary) and self._is_leaving(primary or "", now_s),
            oldest_commit_s=min(
                router.observer.commits_in_flight.values(), default=None
            ),
            last_commit_s=router.observer.last_commit_s,
            primary_seen_s=max(
                router.observer.leadership.primary_seen_s,
                router.observer.unlisted_primary_seen_s,
            ),
            member_seen_s=router.observer.leadership.member_seen_s,
            answering_members=sum(
                1
                for target, other in router.pools.items()
                if target != primary and other.is_answering
            ),
            other_members=len(router.members) - (1 if pool else 0),
            is_settled=self._catalog.is_settled(now_s),
            has_last_primary=router.observer.find_last_primary() is not None,
            recovered_s=max(
                (other.recovered_s for other in router.pools.values()),
                default=float("-inf"),
            ),
            is_relief_due=lag_relief.is_change_due(
                self._get_relief(router), router.observer.known_since_s, now_s
            ),
        )


def _get_remaining_lag_s(pool: pools_module.Pool, now_s: float) -> float:
    """Return how much longer a replica lags by its last status."""
    age_s = now_s - pool.reported_s
    if age_s > MAX_LAG_REPORT_AGE_S:
        return 0.0
    return max(0.0, pool.reported_lag_s - age_s)
