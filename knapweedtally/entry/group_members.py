"""The members of a group as its router sees them: pools and departed ones."""

from collections.abc import Collection

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import model
from knapweedtally.entry import target_paths
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.pools import pacing
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import relays
from knapweedtally.entry.statements import router as router_module

# A target that is listed this long after its group started while this host was
# running, in seconds.
NEW_TARGET_AFTER_S = 5.0

# A draining primary gets no more work from this long before the drain time
# ends, in seconds.
DRAIN_MARGIN_S = 1.5

# How long a draining primary gets work from a host that can't tell when it
# reported that it leaves, in seconds. A change of primary takes less.
UNKNOWN_DRAIN_S = 3.0

_NO_POSITION = model.Position(0, 0)


class GroupMembers:
    """Keep the routers' members as the catalog has them."""

    def __init__(
        self,
        catalog: catalog_module.Catalog,
        paths: target_paths.TargetPaths,
        pacers: pacing.Pacers | None,
        relay_sessions: Collection[relays.RelaySession],
        drain_s: float,
        log: logs.Log,
    ) -> None:
        """Create it without members.

        Args:
            catalog: configuration and targets.
            paths: how each target is reached.
            pacers: paces of the targets, or None without load control.
            relay_sessions: open connections of other hosts, kept up to date by
                the host.
            drain_s: time after which a draining target must get no new work.
            log: where successions are written.
        """
        self._catalog = catalog
        self._paths = paths
        self._pacers = pacers
        self._relay_sessions = relay_sessions
        self._drain_s = drain_s
        self._log = log
        self._draining_since_s: dict[str, float] = {}
        self._departed_positions: dict[str, model.Position] = {}

    def record_departed(self, target: str, position: model.Position) -> None:
        """Remember the position that a member had reached when it left."""
        self._departed_positions[target] = position

    def record_leaving(
        self, target: str, listed_s: float | None, now_s: float
    ) -> None:
        """Record since when a target may have reported that it leaves.

        Args:
            target: id of the target.
            listed_s: when the store last had another entry of it, as far as
                this host knows, or None if it has just started.
            now_s: the current time.
        """
        if target in self._draining_since_s:
            return
        if listed_s is None:
            listed_s = now_s - self._drain_limit_s + UNKNOWN_DRAIN_S
        self._draining_since_s[target] = listed_s
        self._log.write(
            "target_leaving",
            target=target,
            reported_up_to_s=round(now_s - listed_s, 2),
        )

    @property
    def _drain_limit_s(self) -> float:
        return max(0.0, self._drain_s - DRAIN_MARGIN_S)

    def sync_pools(self, router: router_module.Router, now_s: float) -> None:
        """Give each member of a group one pool, and no other target one.

        Only the catalog's state counts, not its last change, so that whatever
        an error left undone is done the next time.
        """
        members = catalog_module.list_members(
            self._catalog, router.settings.name
        )
        for member in members:
            target = member.entry.target
            pool = router.pools.get(target)
            if pool is None:
                pool = self._add_pool(router, member)
            elif pool.has_teams is not router.has_teams:
                replaced = pool
                pool = router.replace_pool(target)
                self._close_relays(replaced)
                pool.restart_count = member.restart_count
                self._paths.forget(target)
            elif pool.restart_count != member.restart_count:
                pool.restart(member.entry)
                pool.restart_count = member.restart_count
            pool.entry = member.entry
            pool.max_connections = router.settings.max_connections
            self._paths.sync(target, pool)
            self._sync_accepts_new_work(router, pool, member, now_s)
        known = {member.entry.target for member in members}
        for target in [t for t in router.pools if t not in known]:
            router.remove_pool(target)
            if self._pacers is not None:
                self._pacers.remove(target)
            self._paths.forget(target)
            self._draining_since_s.pop(target, None)

    def _close_relays(self, pool: pools.Pool) -> None:
        """Close the connections of other hosts that use a closed pool.

        Nothing would serve or expire what they send.
        """
        for session in tuple(self._relay_sessions):
            if session.pool is pool:
                session.close()

    def _add_pool(
        self, router: router_module.Router, member: catalog_module.Member
    ) -> pools.Pool:
        """Add a member's pool with the floor of its newest former life."""
        target = member.entry.target
        floor = model.Position(0, 0)
        old = next((t for t in member.former if t in router.pools), None)
        if old is not None:
            floor = router.pools[old].get_newest_position()
        else:
            departed = self._departed_positions
            old = next((t for t in member.former if t in departed), None)
            floor = departed.pop(old, floor) if old else floor
        if old is not None:
            self._log.write("target_succeeded", target=target, old=old)
            router.observer.replace_last_primary(old, target)
        pool = router.add_pool(member.entry, floor)
        if self._pacers is not None:
            now_s = clock.get_time_s()
            pacer = self._pacers.add(
                target,
                member.entry.started_ms,
                member.entry.slots,
                now_s - router.created_s > NEW_TARGET_AFTER_S,
            )
            pool.set_pacer(pacer)
        pool.restart_count = member.restart_count
        return pool

    def sync_departed(self, router: router_module.Router, now_s: float) -> None:
        """Forget departed members once another member has their log."""
        departed = former_members.list_departed(
            self._catalog, router.settings.name
        )
        kept = [
            member.target
            for member in departed
            if router.observer.is_log_kept(member.silent_since_s)
        ]
        for target in kept:
            former_members.release_departed(self._catalog, target, now_s)
            self._departed_positions.pop(target, None)
            self._log_release(router, target)
        router.departed = tuple(
            member.target for member in departed if member.target not in kept
        )
        self._sync_replaced(router, now_s)
        has_missing = any(
            not self._is_listed(target) for target in router.members
        )
        if has_missing or router.successors:
            router.observer.check_members(now_s)

    def _sync_replaced(
        self, router: router_module.Router, now_s: float
    ) -> None:
        """Forget replaced members once another member has their log.

        Until then, a member that took the place of one whose position isn't
        known here may lack commits.
        """
        name = router.settings.name
        router.successors = router.duplicates = frozenset()
        if not self._catalog.replaced and not former_members.has_unconfirmed(
            self._catalog, name
        ):
            return
        replaced = former_members.check_replaced(self._catalog, name, now_s)
        for target, member in replaced.items():
            since_s = member.replaced_s
            if since_s is not None and router.observer.is_log_kept(since_s):
                former_members.release_replaced(self._catalog, target, now_s)
                self._log_release(router, target)
        router.successors = frozenset(
            target
            for target in former_members.list_successors(self._catalog, name)
            if target in router.pools
            and router.pools[target].position_before_restart == _NO_POSITION
        )
        router.duplicates = former_members.list_duplicates(
            self._catalog,
            name,
            [t for t, pool in router.pools.items() if pool.is_answering],
        )

    def _log_release(self, router: router_module.Router, target: str) -> None:
        self._log.write(
            "member_released", group=router.settings.name, target=target
        )

    def _is_listed(self, target: str) -> bool:
        member = self._catalog.members.get(target)
        return member is not None and member.missing_since_s is None

    def _sync_accepts_new_work(
        self,
        router: router_module.Router,
        pool: pools.Pool,
        member: catalog_module.Member,
        now_s: float,
    ) -> None:
        target = member.entry.target
        if member.entry.is_draining:
            since_s = self._draining_since_s.setdefault(target, now_s)
            is_primary = router.observer.leadership.target == target
            pool.load.accepts_new_work = (
                is_primary and now_s - since_s < self._drain_limit_s
            )
        else:
            self._draining_since_s.pop(target, None)
            pool.load.accepts_new_work = catalog_module.is_usable(member, now_s)
