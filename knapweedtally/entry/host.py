"""What one entry host knows and does, apart from its sockets."""

import asyncio
from collections.abc import Callable

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import holders
from knapweedtally.core.groups import model
from knapweedtally.entry import clock
from knapweedtally.entry import logs
from knapweedtally.entry import measures
from knapweedtally.entry import path_selection
from knapweedtally.entry import peers
from knapweedtally.entry import pools
from knapweedtally.entry import primary_changes
from knapweedtally.entry import promoter
from knapweedtally.entry import relays
from knapweedtally.entry import router as router_module
from knapweedtally.entry import sessions
from knapweedtally.entry import store
from knapweedtally.entry import teller
from knapweedtally.platform import records
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls

# Interval of the checks that no event triggers, in seconds.
TICK_S = 0.05

# Interval of the checks on callers' sessions, in seconds.
SESSION_CHECK_S = 0.5

# A leaving primary gets no more work this long before the limit, in seconds.
LEAVE_MARGIN_S = 1.5

# A step of the clock between two ticks beyond this, in seconds, means that the
# machine stood still and that failures seen before it prove nothing.
STANDSTILL_S = 0.5

# A host that has no evidence about half of the groups, and reaches less than
# half of the targets, for this long, in seconds, is cut off and sends callers
# elsewhere. A primary that fails leaves the other targets within reach.
CUT_OFF_S = 0.3

# Resting sessions are closed this long after the host stopped being ready, in
# seconds: new connections reach other hosts by then.
MOVE_AWAY_S = 2.2


class Host:
    """Hold the state of one entry host.

    Attributes:
        name: name of the host.
        catalog: configuration and targets.
        log: where decisions are written.
        counters: counters and histograms.
        is_draining: whether the process is about to stop.
        routers: routers by name of the group.
        sessions: sessions of callers.
    """

    def __init__(
        self, configured: settings.HostSettings, log: logs.Log
    ) -> None:
        """Make a host that knows nothing yet."""
        self.name = configured.host
        self.catalog = catalog.Catalog()
        self.log = log
        self.counters = measures.Measures()
        self.is_draining = False
        self.routers: dict[str, router_module.Router] = {}
        self.sessions: set[sessions.CallerSession] = set()
        self.store = store.StoreClient(configured.store, log)
        self.peers = peers.Peers(
            configured,
            self.store,
            log,
            lambda shared, sent_s: self._teller.take(shared, sent_s),
        )
        self._teller = teller.Teller(configured.host, self.peers, self.routers)
        self._when_configured: list[Callable[[], None]] = []
        self.relays: set[relays.RelaySession] = set()
        self._way_keys: dict[str, tuple[int, int]] = {}
        self._settings = configured
        self._changes: primary_changes.PrimaryChanges | None = None
        if configured.duties is not None:
            made = promoter.Promoter(
                promoter.LeaseManager(self.store, configured.host, log),
                configured.duties,
                configured.host,
                log,
                self._teller.tell_fenced,
            )
            self._changes = primary_changes.PrimaryChanges(
                configured.host, self.catalog, made, self._teller.rank_hosts
            )
        self._draining_since_s: dict[str, float] = {}
        self._last_tick_s = clock.get_time_s()
        self._next_session_check_s = 0.0
        self._unserved_since_s: float | None = None
        self._was_ready = False

    def make_watchers(self) -> tuple[store.Watcher, store.Watcher]:
        """Return the watchers of the configuration and of the targets."""
        return (
            store.Watcher(
                self.store,
                records.CONFIGURATION_KIND,
                self._put_configurations,
                lambda change: self._put_configurations([change.stored]),
                self.log,
            ),
            store.Watcher(
                self.store,
                records.TARGETS_KIND,
                self._put_entries,
                self._put_entry_change,
                self.log,
            ),
        )

    # What sessions need.

    def find_router(self, group: str) -> router_module.Router | None:
        """Return the router of a group."""
        return self.routers.get(group)

    def add_session(self, session: sessions.CallerSession) -> None:
        """Take note of a session."""
        self.sessions.add(session)

    def drop_session(self, session: sessions.CallerSession) -> None:
        """Forget a session."""
        self.sessions.discard(session)

    def may_be_configured_soon(self) -> bool:
        """Tell whether waiting for the first configuration makes sense."""
        return not self.store.is_lost

    def call_when_configured(self, callback: Callable[[], None]) -> None:
        """Call back once a configuration is in force."""
        self._when_configured.append(callback)

    # What the store says.

    def _put_configurations(
        self, objects: list[store_calls.StoredObject]
    ) -> None:
        for stored in objects:
            if stored.name != records.CONFIGURATION_NAME:
                continue
            try:
                configuration = records.parse_configuration(stored.spec)
            except records.UnreadableRecord as error:
                self.log.write("configuration_unreadable", reason=str(error))
                continue
            if catalog.put_configuration(self.catalog, configuration):
                self.log.write(
                    "configuration_in_force",
                    version=configuration.version,
                    revision=stored.revision,
                    routes=len(configuration.routes),
                )
                self._sync_routers()
                self._resume_waiting()

    def _resume_waiting(self) -> None:
        """Let sessions that wait for the configuration look again."""
        waiting, self._when_configured = self._when_configured, []
        for callback in waiting:
            callback()

    def _put_entries(self, objects: list[store_calls.StoredObject]) -> None:
        entries = [entry for entry in map(self._parse_entry, objects) if entry]
        renewed = catalog.put_list(self.catalog, entries, clock.get_time_s())
        self._restart(renewed)
        self._sync_routers()

    def _put_entry_change(self, change: store_calls.Change) -> None:
        stored = change.stored
        if change.is_removed:
            self.log.write("target_missing", target=stored.name)
            catalog.note_missing(self.catalog, stored.name, clock.get_time_s())
        else:
            entry = self._parse_entry(stored)
            if entry is None:
                return
            if catalog.put_entry(self.catalog, entry):
                self._restart([entry.target])
        self._sync_routers()

    def _parse_entry(
        self, stored: store_calls.StoredObject
    ) -> model.TargetEntry | None:
        try:
            return records.parse_target(
                stored.name, stored.revision, stored.spec
            )
        except records.UnreadableRecord as error:
            self.log.write("entry_unreadable", reason=str(error))
            return None

    def _restart(self, targets: list[str]) -> None:
        for target in targets:
            entry = self.catalog.members[target].entry
            router = self.routers.get(entry.group)
            pool = router.pools.get(target) if router else None
            self.log.write(
                "target_listed",
                target=target,
                group=entry.group,
                started_ms=entry.started_ms,
                is_known=pool is not None,
            )
            if pool is not None:
                pool.restart(entry)
            elif router is not None:
                self._succeed(router, entry)

    def _succeed(
        self, router: router_module.Router, entry: model.TargetEntry
    ) -> None:
        """Let a new target take the place of the one at its address."""
        old = catalog.find_predecessor(self.catalog, entry)
        if old is None:
            return
        del self.catalog.members[old]
        pool = router.remove_pool(old)
        if pool is None:
            return
        router.add_pool(entry, pool.get_newest_position())
        self.log.write("target_succeeded", target=entry.target, old=old)

    def _sync_routers(self) -> None:
        """Give each group of the configuration the targets that exist."""
        configuration = self.catalog.configuration
        if configuration is None:
            return
        now_s = clock.get_time_s()
        for name, group in configuration.groups.items():
            router = self.routers.get(name)
            if router is None:
                router = router_module.Router(
                    group, self._settings.data_centre, self.log, self.counters
                )
                self.routers[name] = router
            router.settings = group
            self._sync_pools(router, now_s)

    def _sync_pools(self, router: router_module.Router, now_s: float) -> None:
        members = catalog.list_members(self.catalog, router.settings.name)
        known = {member.entry.target for member in members}
        for target in [t for t in router.pools if t not in known]:
            router.remove_pool(target)
        for member in members:
            target = member.entry.target
            pool = router.pools.get(target)
            if pool is None:
                pool = router.add_pool(member.entry, model.Position(0, 0))
            pool.entry = member.entry
            pool.max_connections = router.settings.max_connections
            self._sync_ways(target, pool)
            self._sync_offer(router, pool, member, now_s)

    def _sync_ways(self, target: str, pool: pools.Pool) -> None:
        """Let a pool hold connections itself, or go through other hosts."""
        live = self.peers.get_live_hosts()
        key = (self.peers.live_version, pool.max_connections)
        if self._way_keys.get(target) == key:
            return
        self._way_keys[target] = key
        free = pools.get_usable_connections(pool.max_connections)
        held_by = holders.list_holders(target, live, free)
        names = holders.list_ways(target, self._settings.host, live, held_by)
        pool.holder_count = max(1, len(held_by))
        pool.path_selector.set_relay_hosts(self._find_ways(names))
        others = holders.list_ways(
            target, self._settings.host, live, held_by - {self._settings.host}
        )
        pool.path_selector.fallback_hosts = self._find_ways(others)

    def _find_ways(
        self, names: list[str]
    ) -> tuple[path_selection.RelayHost, ...]:
        addresses = [
            (name, self.peers.find_host_address(name)) for name in names
        ]
        return tuple(
            path_selection.RelayHost(name, *address)
            for name, address in addresses
            if address
        )

    def find_held_pool(self, group: str, target: str) -> pools.Pool | None:
        """Return the pool of a target that this host holds connections to."""
        router = self.routers.get(group)
        pool = router.pools.get(target) if router else None
        if pool is None or pool.path_selector.relay_hosts or self.is_draining:
            return None
        is_detouring = pool.path_selector.is_in_fallback(clock.get_time_s())
        return None if is_detouring else pool

    def _sync_offer(
        self,
        router: router_module.Router,
        pool: pools.Pool,
        member: catalog.Member,
        now_s: float,
    ) -> None:
        target = member.entry.target
        if member.entry.is_draining:
            since_s = self._draining_since_s.setdefault(target, now_s)
            is_primary = router.observer.leadership.target == target
            limit_s = self._settings.drain_s - LEAVE_MARGIN_S
            pool.load.is_offered = is_primary and now_s - since_s < limit_s
        else:
            self._draining_since_s.pop(target, None)
            pool.load.is_offered = catalog.is_usable(member, now_s)

    # Regular checks.

    async def run_ticks(self) -> None:
        """Run the regular checks for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick(clock.get_time_s())

    def tick(self, now_s: float) -> None:
        """Run the checks that no event triggers."""
        if now_s - self._last_tick_s > STANDSTILL_S:
            self._note_standstill(now_s)
        self._last_tick_s = now_s
        if self._when_configured and not self.may_be_configured_soon():
            self._resume_waiting()
        gone = catalog.forget_gone(self.catalog, now_s)
        if gone:
            self.log.write("targets_gone", targets=gone)
        self._sync_routers()
        self.peers.tick(now_s)
        for router in self.routers.values():
            router.tick(now_s)
            if self._changes is not None and not self.is_draining:
                self._changes.start_if_needed(router, now_s)
        self._teller.tell(now_s, self._is_changing)
        self._check_service(now_s)
        if now_s >= self._next_session_check_s:
            self._next_session_check_s = now_s + SESSION_CHECK_S
            self._check_sessions(now_s)

    def _is_changing(self, group: str) -> bool:
        """Tell whether this host changes a group's primary now."""
        return self._changes is not None and self._changes.is_changing(group)

    def _note_standstill(self, now_s: float) -> None:
        """Start the waits for answers anew after a standstill."""
        self.log.write(
            "standstill", lasted_s=round(now_s - self._last_tick_s, 2)
        )
        for router in self.routers.values():
            for pool in router.pools.values():
                pool.failing_since_s = None
                pool.failures = 0
            if router.observer.unled_since_s is not None:
                router.observer.unled_since_s = now_s
            router.observer.commits.clear()

    def _check_service(self, now_s: float) -> None:
        """Note since when most groups can't be served from here."""
        routers = self.routers.values()
        served = sum(
            1 for router in routers if router.observer.is_served(now_s)
        )
        pools = [p for router in routers for p in router.pools.values()]
        failing = sum(1 for pool in pools if pool.failing_since_s is not None)
        is_known = any(router.observer.known_since_s for router in routers)
        is_cut_off = not is_known or failing * 2 > len(pools)
        if is_cut_off and served * 2 <= len(self.routers):
            if self._unserved_since_s is None:
                self._unserved_since_s = now_s
                self.log.write("groups_unserved", served=served)
        elif self._unserved_since_s is not None:
            self._unserved_since_s = None
            self.log.write("groups_served", served=served)

    def _check_sessions(self, now_s: float) -> None:
        configuration = self.catalog.configuration
        limit_s = configuration.transaction_idle_s if configuration else 0.0
        unserved_s = 0.0
        if self._unserved_since_s is not None:
            unserved_s = now_s - self._unserved_since_s
        # A host that just started has told nobody that it is ready.
        is_known = any(r.observer.known_since_s for r in self.routers.values())
        moves_away = is_known and unserved_s > CUT_OFF_S + MOVE_AWAY_S
        for session in tuple(self.sessions):
            session.tick(now_s, limit_s)
            if moves_away and session.is_resting():
                session.close()

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        if self.is_draining or not self.catalog.is_listed:
            return False
        if self.catalog.configuration is None:
            return False
        now_s = clock.get_time_s()
        since_s = self._unserved_since_s
        is_ready = since_s is None or (
            self._was_ready and now_s - since_s < CUT_OFF_S
        )
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self.log.write("ready_changed", is_ready=is_ready)
        return is_ready
