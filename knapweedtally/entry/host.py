"""State and periodic checks of one entry host, without its listeners."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import model
from knapweedtally.core.groups import retry_budget
from knapweedtally.core.groups import session_limit
from knapweedtally.core.groups import shutdown
from knapweedtally.entry import group_members
from knapweedtally.entry import readiness
from knapweedtally.entry import target_paths
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import message_queue
from knapweedtally.entry.common import metrics
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import host_configuration
from knapweedtally.entry.fleet import host_registration
from knapweedtally.entry.fleet import peers
from knapweedtally.entry.fleet import silent_hosts
from knapweedtally.entry.fleet import store
from knapweedtally.entry.fleet import store_returns
from knapweedtally.entry.fleet import store_watches
from knapweedtally.entry.fleet import watch_confirmations
from knapweedtally.entry.limits import quotas
from knapweedtally.entry.members import evidence_sharing
from knapweedtally.entry.members import lease_manager
from knapweedtally.entry.members import member_probes
from knapweedtally.entry.members import member_records
from knapweedtally.entry.members import primary_absence
from knapweedtally.entry.members import primary_changes
from knapweedtally.entry.members import promoter
from knapweedtally.entry.pools import pacing
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import relays
from knapweedtally.entry.statements import router as router_module
from knapweedtally.entry.statements import sessions
from knapweedtally.platform import records
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls

# Interval of the periodic checks, in seconds.
TICK_INTERVAL_S = 0.05

# A host that has refused a session for lack of room reports that it isn't ready
# for this long, in seconds. The load balancer takes two checks, one second
# apart, to send callers elsewhere.
FULL_NOTICE_S = 3.0

# Connections of refused callers that may stay until these have read why. More
# of them would use the descriptors that are set aside.
MAX_LINGERING = 64

# A longer time between two ticks, in seconds, means that the process or its
# machine was suspended, and that failures recorded before prove nothing.
SUSPENSION_S = 0.5


class Host:
    """The state of one entry host.

    Attributes:
        name: name of the host.
        catalog: configuration and targets.
        log: where decisions are written.
        counters: counters and histograms.
        quotas: admission within the limits of teams.
        phase: phase of the planned stop.
        retry_budget: limit on the second attempts of all routers, or None
            without load control.
        routers: routers by name of the group.
        sessions: open sessions of callers.
        closing_sessions: sessions that have ended and whose last answer may
            not have been sent.
        large_messages: room for the large messages of all callers.
        store: client of the platform's store.
        peers: exchanges evidence with the other hosts.
        relay_sessions: open connections of other hosts.
        configuration: reads, confirms and exchanges the configuration.
        paths: how each target is reached.
        watchers: watchers of the store, once they were made.
    """

    def __init__(
        self, host_settings: settings.HostSettings, log: logs.Log
    ) -> None:
        """Create a host without configuration, targets or evidence."""
        self.name = host_settings.host
        self.catalog = catalog.Catalog()
        self.log = log
        self.counters = metrics.Metrics()
        self.phase = shutdown.Phase.SERVING
        self.retry_budget = (
            retry_budget.RetryBudget()
            if host_settings.has_load_control
            else None
        )
        self.routers: dict[str, router_module.Router] = {}
        self.sessions: set[sessions.CallerSession] = set()
        self.closing_sessions: set[sessions.CallerSession] = set()
        self._max_sessions = session_limit.compute_max_sessions(
            host_settings.max_descriptors
        )
        self.large_messages = message_queue.LargeMessages()
        self.store = store.StoreClient(
            host_settings.store, log, host_settings.store_history_s
        )
        self.watchers: tuple[store_watches.Watcher, ...] = ()
        self._target_watcher: store_watches.Watcher | None = None
        self.peers = peers.Peers(
            host_settings,
            self.store,
            log,
            lambda *received: self._sharer.receive(*received),
        )
        self._confirmations = watch_confirmations.WatchConfirmations(
            host_settings.host, host_settings.data_centre, self.peers, log
        )
        self._returns = store_returns.StoreReturns(
            self.store, lambda: len(self.peers.get_live_hosts()), log
        )
        self._returns.add(host_registration.HOSTS_KIND, self.peers.restore)
        self.quotas = quotas.Quotas(
            host_settings, self.peers, self.catalog, log, self.counters
        )
        self._silent_hosts: silent_hosts.SilentHosts | None = None
        if host_settings.quota is not None:
            self._silent_hosts = silent_hosts.SilentHosts(
                host_settings.host,
                host_settings.data_centre,
                self.peers,
                self.store,
                log,
            )
            self._returns.add("marks", self._silent_hosts.restore)
        self._sharer = evidence_sharing.EvidenceSharer(
            host_settings.host, self.peers, self.routers
        )
        self._records = member_records.MemberRecords(
            self.store,
            self.catalog,
            self._sharer.get_rank,
            self.peers.wait_until_listed,
            self._find_last_primary,
            log,
        )
        self._readiness = readiness.Readiness(
            self.catalog,
            self.routers,
            self.sessions,
            self._records.is_settled,
            log,
        )
        self._probes = member_probes.MemberProbes(
            self.catalog, router_module.USER, log
        )
        self.configuration = host_configuration.HostConfiguration(
            host_settings,
            self.catalog,
            lambda: self.store,
            self.peers,
            log,
            self._handle_configuration,
        )
        self.relay_sessions: set[relays.RelaySession] = set()
        self._pacers: pacing.Pacers | None = None
        if host_settings.has_load_control:
            self._pacers = pacing.Pacers(host_settings.host, self.peers, log)
        self.paths = target_paths.TargetPaths(
            host_settings.host, self.peers, self._pacers
        )
        self._members = group_members.GroupMembers(
            self.catalog,
            self.paths,
            self._pacers,
            self.relay_sessions,
            host_settings.drain_s,
            log,
        )
        self._settings = host_settings
        self._changes: primary_changes.PrimaryChanges | None = None
        if host_settings.promotion_api is not None:
            manager = lease_manager.LeaseManager(
                self.store, host_settings.host, log
            )
            self._returns.add(lease_manager.LEASE_KIND, manager.observe)
            primary_promoter = promoter.Promoter(
                manager,
                host_settings.promotion_api,
                host_settings.host,
                log,
                self._sharer.share_fenced_position,
                self._sharer.share_change_notice,
                self.refresh_targets,
            )
            self._changes = primary_changes.PrimaryChanges(
                host_settings.host,
                self.catalog,
                primary_promoter,
                self._sharer.rank_hosts,
            )
        self._absence_reporter = primary_absence.AbsenceReporter(
            log, self.counters
        )
        self._last_tick_s = clock.get_time_s()
        self._full_until_s = float("-inf")
        # Each check is contained by itself; the order matters.
        self._checks: tuple[tuple[str, Callable[[float], None]], ...] = (
            ("suspension", self._check_suspension),
            ("configuration callback", self.configuration.check),
            ("members", self._check_members),
            ("member records", self._check_records),
            ("peers", self.peers.tick),
            ("watch confirmations", self._confirmations.tick),
            ("quotas", self.quotas.tick),
            ("silent hosts", self._check_silent_hosts),
            ("pacing", self._check_pacing),
            ("group", self._check_groups),
            ("configuration exchange", self.configuration.exchange.tick),
            ("sharing", self._share_evidence),
            ("serving", self._readiness.check_serving),
            ("session", self._readiness.check_sessions),
        )

    def make_watchers(self) -> tuple[store_watches.Watcher, ...]:
        """Return the watchers of the configuration and of the targets."""
        self._target_watcher = store_watches.Watcher(
            self.store,
            records.TARGETS_KIND,
            self._apply_entries,
            self._apply_entry_change,
            self.log,
            self._records.refresh,
        )
        self.watchers = (
            self.configuration.make_watcher(),
            self._target_watcher,
        )
        self._confirmations.add_watchers(self.watchers)
        return self.watchers

    async def refresh_targets(self) -> None:
        """List targets and members in the store and add the unknown ones.

        Known targets are left to the watch, which may be ahead of the list.

        Raises:
            store.StoreError: a call failed or was refused.
            store_calls.MalformedResponse: a response can't be parsed.
        """
        listing = await store.list_objects(self.store, records.TARGETS_KIND)
        for stored in listing.objects:
            if stored.name not in self.catalog.members:
                self._apply_entry_change(
                    store_calls.Change(stored, False), is_event=False
                )
        await self._records.refresh()
        self._sync_routers()

    # Services for sessions.

    def find_router(self, group: str) -> router_module.Router | None:
        """Return the router of a group."""
        return self.routers.get(group)

    def add_session(self, session: sessions.CallerSession) -> bool:
        """Register a session, and return whether there is room for it.

        Without room the caller is refused, so that those that are connected can
        be served on.
        """
        has_room = not self._is_full()
        self.sessions.add(session)
        if not has_room:
            self.counters.increment("refused", "FULL")
            now_s = clock.get_time_s()
            is_new = now_s >= self._full_until_s
            self._full_until_s = now_s + FULL_NOTICE_S
            if is_new:
                self.log.write(
                    "host_full",
                    sessions=len(self.sessions) - 1,
                    limit=self._max_sessions,
                )
        return has_room

    def _is_full(self) -> bool:
        """Return whether no further session has room."""
        if self._max_sessions is None:
            return False
        count = len(self.sessions) + len(self.closing_sessions)
        return count >= self._max_sessions

    def remove_session(self, session: sessions.CallerSession) -> None:
        """Unregister a session that has ended."""
        if session in self.sessions:
            self.sessions.discard(session)
            self.closing_sessions.add(session)

    def can_linger(self) -> bool:
        """Return whether a refused caller's connection may stay for a while."""
        return len(self.closing_sessions) < MAX_LINGERING

    def remove_connection(self, session: sessions.CallerSession) -> None:
        """Unregister a session whose connection is closed."""
        self.closing_sessions.discard(session)

    def is_stopping(self) -> bool:
        """Return whether a planned stop was requested."""
        return self.phase is not shutdown.Phase.SERVING

    def is_configuration_expected(self) -> bool:
        """Return whether a first configuration is to be expected soon."""
        return self.configuration.is_expected()

    def call_when_configured(self, callback: Callable[[], None]) -> None:
        """Call back once a configuration is applied, or none is expected."""
        self.configuration.call_when_applied(callback)

    def _find_last_primary(self, group: str) -> last_primary.LastPrimary | None:
        router = self.routers.get(group)
        return router.observer.last_primary if router is not None else None

    # Updates from the store.

    def _handle_configuration(self) -> None:
        """Act on a configuration that has come into force."""
        for session in tuple(self.sessions):
            if not supervision.contain("session", session.check_identity):
                session.abort()
        self._sync_routers()

    def _apply_entries(self, objects: list[store_calls.StoredObject]) -> None:
        parsed = [
            (stored.name, self._parse_entry(stored)) for stored in objects
        ]
        update = catalog.update_entries(
            self.catalog,
            [entry for _, entry in parsed if entry],
            clock.get_time_s(),
            [name for name, entry in parsed if not entry],
        )
        self._log_listed(update)
        self._record_leaving([entry for _, entry in parsed if entry])
        self._sync_routers()

    def _apply_entry_change(
        self, change: store_calls.Change, is_event: bool = True
    ) -> None:
        stored = change.stored
        if change.is_removed:
            self.log.write("target_missing", target=stored.name)
            catalog.mark_missing(
                self.catalog, stored.name, clock.get_time_s(), stored.revision
            )
        else:
            entry = self._parse_entry(stored)
            if entry is None:
                return
            self._log_listed(
                catalog.update_entry(self.catalog, entry, is_event)
            )
            self._record_leaving([entry])
        self._sync_routers()

    def _record_leaving(self, entries: Sequence[model.TargetEntry]) -> None:
        """Record since when targets may have reported that they leave."""
        # The answer that is being applied isn't recorded yet, so this is the
        # time of which an earlier one shows the entries.
        watcher = self._target_watcher
        listed_s = watcher.state.confirmed_s if watcher else None
        now_s = clock.get_time_s()
        for entry in entries:
            if entry.is_draining and entry.target in self.catalog.members:
                self._members.record_leaving(entry.target, listed_s, now_s)

    def _parse_entry(
        self, stored: store_calls.StoredObject
    ) -> model.TargetEntry | None:
        try:
            return records.parse_target(
                stored.name, stored.revision, stored.spec
            )
        except records.InvalidRecord as error:
            self.log.write("entry_unreadable", reason=str(error))
            return None
        except Exception as error:
            supervision.report("entry", error)
            return None

    def _log_listed(self, update: catalog.Update) -> None:
        """Log the members that are new, have restarted or have moved."""
        successors = tuple(succession.new for succession in update.succeeded)
        for target in (*update.added, *successors, *update.restarted):
            entry = update.members[target].entry
            router = self.routers.get(entry.group)
            self.log.write(
                "target_listed",
                target=target,
                group=entry.group,
                started_ms=entry.started_ms,
                is_known=router is not None and target in router.pools,
            )

    def _sync_routers(self) -> None:
        """Update the routers to the configuration and the known targets."""
        configuration = self.catalog.configuration
        if configuration is None:
            return
        now_s = clock.get_time_s()
        for name, group in configuration.groups.items():
            router = self.routers.get(name)
            if router is None:
                router = router_module.Router(
                    group,
                    self._settings.data_centre,
                    self.log,
                    self.counters,
                    self.retry_budget,
                )
                self.routers[name] = router
            router.settings = group
            router.has_teams = bool(configuration.teams)
            router.observer.has_replicas = group.acknowledging_replicas > 0
            supervision.contain(
                "members", self._members.sync_pools, router, now_s
            )
            router.observer.take_last_primary(
                self.catalog.recorded_primaries.get(name)
            )
            supervision.contain(
                "departed members", self._members.sync_departed, router, now_s
            )

    def find_direct_pool(self, group: str, target: str) -> pools.Pool | None:
        """Return the pool of a target that this host connects to directly.

        Returns:
            The pool, or None if the target is unknown, if this host reaches
            it only through other hosts, or if this host is draining.
        """
        router = self.routers.get(group)
        pool = router.pools.get(target) if router else None
        if pool is None or pool.path_selector.relay_hosts or self.is_stopping():
            return None
        if pool.has_teams:
            return None if pool.is_unreachable_for_others() else pool
        is_in_fallback = pool.path_selector.is_in_fallback(clock.get_time_s())
        return None if is_in_fallback else pool

    # Periodic checks.

    async def run_ticks(self) -> None:
        """Run the periodic checks forever."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick(clock.get_time_s())

    def tick(self, now_s: float) -> None:
        """Run the periodic checks once."""
        for name, check in self._checks:
            supervision.contain(name, check, now_s)

    def _check_suspension(self, now_s: float) -> None:
        last_tick_s, self._last_tick_s = self._last_tick_s, now_s
        self.configuration.record_tick(now_s)
        if now_s - last_tick_s > SUSPENSION_S:
            self._handle_suspension(now_s, last_tick_s)

    def _check_members(self, now_s: float) -> None:
        answered_s = {
            target: pool.answered_s
            for router in self.routers.values()
            for target, pool in router.pools.items()
        }
        positions = {
            target: pool.get_newest_position()
            for router in self.routers.values()
            for target, pool in router.pools.items()
        }
        update = catalog.remove_expired(self.catalog, answered_s, now_s)
        self._log_listed(update)
        if update.gone:
            self.log.write("targets_gone", targets=update.gone)
        for target in update.gone:
            if target in positions:
                self._members.record_departed(target, positions[target])
        self._sync_routers()

    def _check_records(self, now_s: float) -> None:
        """Keep the members' records, and ask released members for answers."""
        self._records.check_groups(self.routers, now_s)
        if self._probes.is_due(now_s):
            released = [
                entry
                for group in self.routers
                if self._records.is_recorder(group)
                for entry in former_members.list_released(
                    self.catalog, group, now_s
                ).values()
            ]
            self._probes.probe(released, now_s)

    def _check_pacing(self, now_s: float) -> None:
        if self._pacers is None:
            return
        self._pacers.check_suspension(now_s)
        for router in self.routers.values():
            primary = router.observer.leadership.target
            for target, pool in router.pools.items():
                if pool.pacer is not None:
                    is_primary = target == primary
                    pool.pacer.tick(now_s, pool.entry, is_primary)
        self._pacers.publish(now_s)

    def _check_silent_hosts(self, now_s: float) -> None:
        if self._silent_hosts is not None and not self.is_stopping():
            self._silent_hosts.check(now_s)

    def _check_groups(self, now_s: float) -> None:
        for router in self.routers.values():
            supervision.contain("group", self._check_group, router, now_s)

    def _check_group(self, router: router_module.Router, now_s: float) -> None:
        router.tick(now_s)
        router.observer.confirm_last_primary(self.store.generation)
        if self._changes is not None and not self.is_stopping():
            self._changes.start_if_needed(router, now_s)
            self._absence_reporter.report_if_due(
                router, self._changes.make_view(router, now_s), now_s
            )

    def _share_evidence(self, now_s: float) -> None:
        self._sharer.share_new_evidence(now_s, self._is_changing)

    def _is_changing(self, group: str) -> bool:
        """Return whether this host is changing a group's primary."""
        return self._changes is not None and self._changes.is_changing(group)

    def _handle_suspension(self, now_s: float, last_tick_s: float) -> None:
        """Reset failures and timers after a suspension.

        Answers may have arrived late only because nothing ran here.
        """
        self.log.write("standstill", lasted_s=round(now_s - last_tick_s, 2))
        catalog.restart_missing(self.catalog, now_s)
        for router in self.routers.values():
            for pool in router.pools.values():
                pool.clear_failures()
            if router.observer.no_primary_since_s is not None:
                router.observer.no_primary_since_s = now_s
            router.observer.commits_in_flight.clear()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        now_s = clock.get_time_s()
        if self.is_stopping() or now_s < self._full_until_s:
            return False
        return self._readiness.is_ready(now_s)
