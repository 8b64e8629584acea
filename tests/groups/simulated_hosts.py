"""Hosts of the multi-host simulation, which run the product's code.

Only connections, datagrams and the calls to the store and to the platform are
simulated.
"""

import json
import types
from collections.abc import Callable
from typing import Any

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import distribution
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import member_records as records_module
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import promotion_lease
from knapweedtally.core.groups import sharing
from knapweedtally.core.groups import statements
from knapweedtally.entry.members import evidence_sharing
from knapweedtally.entry.members import lease_manager
from knapweedtally.entry.members import member_records
from knapweedtally.entry.members import observer
from knapweedtally.entry.members import primary_changes
from knapweedtally.entry.members import promoter
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pools as pools_module
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from tests.groups import simulated_targets

TICK_INTERVAL_S = 0.05
PROBE_INTERVAL_S = 0.1
_TRACED_EVENTS = frozenset(
    {
        "primary_known",
        "primary_lost",
        "change_started",
        "change_step",
        "change_ended",
        "promotion_asked",
        "duty_claimed",
        "targets_gone",
    }
)


class Log:
    """Write the important events to the trace."""

    def __init__(self, world: simulated_targets.World, host: str) -> None:
        self._world = world
        self._host = host

    def write(self, event: str, **fields: Any) -> None:
        if event in _TRACED_EVENTS:
            fields.pop("group", None)
            values = " ".join(
                f"{k}={v}" for k, v in fields.items() if v not in (None, "")
            )
            self._world.note(f"{self._host}: {event} {values}")


class Pool:
    """A host's connections to one target."""

    def __init__(self, host: "Host", entry: model.TargetEntry) -> None:
        self.host = host
        self.entry = entry
        self.failing_since_s: float | None = None
        self.failures = 0
        self.is_refusing = False
        self.generation = 0
        self.received = model.Position(0, 0)
        self.position_before_restart = model.Position(0, 0)
        self.reported_connections = 0
        self.reported_lag_s = 0.0
        self.reported_s = 0.0
        self.load = placement.TargetLoad(entry.target)
        self.answered_s = 0.0
        self.recovered_s = float("-inf")
        self.restart_count = 0
        self._next_probe_s = 0.0

    @property
    def is_answering(self) -> bool:
        return self.failing_since_s is None and self.answered_s > 0.0

    def send_control_statement(
        self,
        text: bytes,
        on_end: Callable[[line_connections.Outcome], None],
        timeout_s: float,
    ) -> None:
        target = self.host.world.targets.get(self.entry.target)
        self.exchange(
            lambda answer: answer(target.run_control(text)) if target else None,
            on_end,
            timeout_s,
            True,
        )

    def exchange(
        self,
        run: Callable[[Callable[[statements.Answer], None]], None],
        on_end: Callable[[line_connections.Outcome], None],
        timeout_s: float,
        counts_timeout: bool,
    ) -> None:
        """Run a statement on the target and report its outcome once."""
        exchange = Exchange(self, on_end, counts_timeout)
        self.host.world.send(
            self.host.name, self.entry.target, lambda: exchange.arrive(run)
        )
        self.host.world.loop.call_later(timeout_s, exchange.expire)

    def record_answer(self) -> None:
        self.answered_s = self.host.world.now_s
        if self.failures >= 2:
            self.recovered_s = self.answered_s
        self.failing_since_s, self.failures = None, 0

    def record_failure(self, since_s: float, is_refused: bool) -> None:
        if self.failing_since_s is None:
            self.failing_since_s = since_s
        self.failures += 1
        self.is_refusing = is_refused

    def tick(self, now_s: float) -> None:
        if self.is_answering or now_s < self._next_probe_s:
            return
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        self.send_control_statement(
            b"STATUS", lambda outcome: None, pools_module.CONTROL_TIMEOUT_S
        )

    def get_newest_position(self) -> model.Position:
        return max(self.position_before_restart, self.received)

    def restart(self, entry: model.TargetEntry) -> None:
        self.entry = entry
        self.position_before_restart = self.get_newest_position()
        self.received = model.Position(0, 0)
        self.generation += 1


class Exchange:
    """One statement on its way to a target and back."""

    def __init__(
        self,
        pool: Pool,
        on_end: Callable[[line_connections.Outcome], None],
        counts_timeout: bool,
    ) -> None:
        self._pool = pool
        self._world = pool.host.world
        self._target = self._world.targets.get(pool.entry.target)
        self._on_end = on_end
        self._counts_timeout = counts_timeout
        self._asked_s = self._world.now_s
        self._is_over = False

    def arrive(
        self, run: Callable[[Callable[[statements.Answer], None]], None]
    ) -> None:
        """Run the statement, or refuse it if the target is down."""
        if self._target is None or not self._target.is_up:
            self._send_back(self._refuse)
        else:
            run(lambda answer: self._send_back(lambda: self._finish(answer)))

    def expire(self) -> None:
        """End without an answer."""
        if self._is_over:
            return
        if self._counts_timeout and self._pool.answered_s <= self._asked_s:
            self._pool.record_failure(self._asked_s, False)
        self._finish(None)

    def _send_back(self, deliver: Callable[[], None]) -> None:
        pool = self._pool
        self._world.send(pool.entry.target, pool.host.name, deliver)

    def _refuse(self) -> None:
        if not self._is_over:
            self._pool.generation += 1
            self._pool.record_failure(self._asked_s, True)
            self._finish(None)

    def _finish(self, answer: statements.Answer | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        if answer is not None:
            self._pool.record_answer()
        self._on_end(line_connections.Outcome(answer, self._asked_s))


class LeaseManager(lease_manager.LeaseManager):
    """Read and write the lease in the simulated store."""

    def __init__(
        self, client: "StoreClient", store: simulated_targets.Store, log: Any
    ) -> None:
        super().__init__(client, client.host, log)  # type: ignore[arg-type]
        self._store = store

    async def _read(self) -> promotion_lease.Lease | None:
        await self._store.call(self._host)
        generation = self._client.generation.number
        if self._store.lease is None:
            self._record_revision(store_revisions.Revision(generation, 0))
            return None
        spec, number = self._store.lease
        self._record_revision(store_revisions.Revision(generation, number))
        return promotion_lease.parse_lease(spec)

    async def _write(self, lease: promotion_lease.Lease) -> None:
        sent_s = self._store.world.now_s
        await self._store.call(self._host)
        stored = self._store.lease
        known = 0 if stored is None else stored[1]
        if known != self._revision.revision.number:
            raise lease_manager.LeaseLost("the lease was replaced")
        self._store.revision += 1
        self._store.lease = (
            promotion_lease.format_lease(lease),
            self._store.revision,
        )
        self._record_revision(
            store_revisions.Revision(
                self._client.generation.number, self._store.revision
            )
        )
        self.claimed_s = sent_s


class StoreClient:
    """What a host's client knows of the simulated store."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.generation = store_revisions.Generation()


class MemberRecords(member_records.MemberRecords):
    """Read and write the record in the simulated store."""

    def __init__(self, host: "Host") -> None:
        super().__init__(
            StoreClient(host.name),  # type: ignore[arg-type]
            host.catalog,
            host.sharer.get_rank,
            self._return_at_once,
            lambda group: host.observer.last_primary,
            host.log,
        )
        self._host = host
        self._store = host.store

    async def _return_at_once(self) -> None:
        return

    async def _list(self) -> list[store_calls.StoredObject]:
        await self._store.call_record(self._host.name)
        stored = self._get_stored()
        return [stored] if stored else []

    async def _read(self, group: str) -> store_calls.StoreAnswer:
        await self._store.call_record(self._host.name)
        return self._make_answer()

    def _make_answer(self) -> store_calls.StoreAnswer:
        generation = self._store.generation
        if self._store.members is None:
            return store_calls.StoreAnswer(404, b"", generation)
        spec, number = self._store.members
        meta = {"name": simulated_targets.GROUP, "rev": number}
        body = json.dumps({"meta": meta, "spec": spec}).encode()
        return store_calls.StoreAnswer(200, body, generation)

    def apply_stored(self) -> None:
        """Add the recorded members, as a host does before its first list."""
        stored = self._get_stored()
        generation = self._store.generation
        members = stored and records_module.parse_record(
            simulated_targets.GROUP, stored.spec, generation
        )
        self._take_primary(simulated_targets.GROUP, stored)
        self._apply_members(simulated_targets.GROUP, members or {}, generation)

    def record_generation(self, number: int) -> None:
        """Record that the store came back from a copy."""
        self._client.generation.number = number

    def _get_stored(self) -> store_calls.StoredObject | None:
        if self._store.members is None:
            return None
        spec, number = self._store.members
        revision = store_revisions.Revision(self._store.generation, number)
        return store_calls.StoredObject(simulated_targets.GROUP, revision, spec)

    async def _write(
        self,
        group: str,
        spec: dict[str, Any],
        revision: store_revisions.Revision,
    ) -> store_calls.StoreAnswer:
        await self._store.call_record(self._host.name)
        stored = self._get_stored()
        if stored is None or stored.revision == revision:
            self._store.write_members(spec)
        return self._make_answer()


class Peers:
    """Exchange evidence with the other hosts."""

    contacts = distribution.Contacts(True)

    def __init__(self, host: "Host") -> None:
        self._host = host

    @property
    def live_version(self) -> int:
        return self._host.world.live_version  # type: ignore[attr-defined]

    def get_live_hosts(self) -> dict[str, str]:
        return dict.fromkeys(
            self._host.world.live_hosts,  # type: ignore[attr-defined]
            "dc",
        )

    def list_known_data_centres(self) -> dict[str, str]:
        return self.get_live_hosts()

    def share_locally(
        self, shared: tuple[sharing.SharedEvidence, ...], now_s: float
    ) -> None:
        """Do nothing, since the hosts all send to each other."""

    def share(
        self, shared: tuple[sharing.SharedEvidence, ...], now_s: float
    ) -> None:
        world = self._host.world
        for other in self._host.store.hosts:
            if other is self._host:
                continue

            def deliver(other: "Host" = other) -> None:
                for item in shared:
                    other.sharer.receive(item, now_s - 0.002, self._host.name)

            world.send(self._host.name, other.name, deliver)


class Host:
    """One host with the product's decisions and simulated connections."""

    def __init__(
        self,
        world: simulated_targets.World,
        store: simulated_targets.Store,
        name: str,
        entries: list[model.TargetEntry],
    ) -> None:
        self.name = name
        self.world = world
        self.store = store
        self.log: Any = Log(world, name)
        self.catalog = catalog.Catalog()
        self.pools: dict[str, Any] = {}
        self.is_alive = True
        group_settings = model.GroupSettings(simulated_targets.GROUP, 50, 1)
        self.observer = observer.Observer(
            simulated_targets.GROUP, self.pools, self.log, lambda: None
        )
        self.router: Any = types.SimpleNamespace(
            settings=group_settings,
            pools=self.pools,
            observer=self.observer,
            members=(),
            departed=(),
            successors=frozenset(),
            dispatch=lambda: None,
        )
        peers: Any = Peers(self)
        self.sharer = evidence_sharing.EvidenceSharer(
            name, peers, {simulated_targets.GROUP: self.router}
        )
        self.records = MemberRecords(self)
        self.changes = primary_changes.PrimaryChanges(
            name,
            self.catalog,
            promoter.Promoter(
                LeaseManager(StoreClient(name), store, self.log),
                settings.Address("platform", 1),
                name,
                self.log,
                self.sharer.share_fenced_position,
                self.sharer.share_change_notice,
                self._refresh_targets,
            ),
            self.sharer.rank_hosts,
        )
        self._last_primary: str | None = None
        store.hosts.append(self)
        self.records.record_generation(store.generation)
        self.records.apply_stored()
        self.apply_list(entries)
        world.loop.call_later(world.random.uniform(0.0, 0.05), self._tick)
        world.loop.call_later(0.3, self._commit_regularly)

    # Entries, as in entry/host.py.

    def apply_list(self, entries: list[model.TargetEntry]) -> None:
        if self.is_alive:
            catalog.update_entries(self.catalog, entries, self.world.now_s)
            self._sync_pools()

    def apply_return(self, generation: int) -> None:
        """List all entries, of a store that may have come back from a copy."""
        self.records.record_generation(generation)
        self.apply_list(list(self.store.entries.values()))

    async def _refresh_targets(self) -> None:
        await self.store.call(self.name)
        for entry in list(self.store.entries.values()):
            if entry.target not in self.catalog.members:
                self.apply_entry(entry)
        await self.records.refresh()
        self._sync_pools()

    def apply_entry(self, entry: model.TargetEntry) -> None:
        if self.is_alive:
            catalog.update_entry(self.catalog, entry)
            self._sync_pools()

    def apply_removal(self, target: str) -> None:
        catalog.mark_missing(self.catalog, target, self.world.now_s)
        self._sync_pools()

    def _sync_pools(self) -> None:
        members = catalog.list_members(self.catalog, simulated_targets.GROUP)
        for member in members:
            target = member.entry.target
            pool = self.pools.get(target)
            if pool is None:
                pool = self._add_pool(member)
                self.world.note(f"{self.name} lists {target}")
            elif pool.restart_count != member.restart_count:
                pool.restart(member.entry)
                pool.restart_count = member.restart_count
            pool.entry = member.entry
        known = {member.entry.target for member in members}
        for target in [t for t in self.pools if t not in known]:
            del self.pools[target]
            evidence_module = observer.evidence
            evidence_module.remove_member(self.observer.leadership, target)
            self.world.note(f"{self.name} drops {target}")
        self.observer.take_last_primary(
            self.catalog.recorded_primaries.get(simulated_targets.GROUP)
        )
        self._sync_departed()

    def _add_pool(self, member: catalog.Member) -> Pool:
        pool = Pool(self, member.entry)
        pool.restart_count = member.restart_count
        old = next((t for t in member.former if t in self.pools), None)
        if old is not None:
            position = self.pools[old].get_newest_position()
            pool.position_before_restart = position
            self.observer.replace_last_primary(old, member.entry.target)
        self.pools[member.entry.target] = pool
        return pool

    def _sync_departed(self) -> None:
        departed = former_members.list_departed(
            self.catalog, simulated_targets.GROUP
        )
        for member in departed:
            if self.observer.is_log_kept(member.silent_since_s):
                former_members.release_departed(
                    self.catalog, member.target, self.world.now_s
                )
        self.router.departed = tuple(
            member.target
            for member in departed
            if member.target in self.catalog.departed
        )
        self._sync_replaced()
        duplicates = former_members.list_duplicates(
            self.catalog,
            simulated_targets.GROUP,
            [t for t, pool in self.pools.items() if pool.is_answering],
        )
        self.router.members = tuple(
            target
            for target in (*self.pools, *self.router.departed)
            if target not in duplicates
        )
        has_missing = not all(
            self._is_listed(name) for name in self.router.members
        )
        if has_missing or self.router.successors:
            self.observer.check_members(self.world.now_s)

    def _sync_replaced(self) -> None:
        group, now_s = simulated_targets.GROUP, self.world.now_s
        replaced = former_members.check_replaced(self.catalog, group, now_s)
        for target, member in replaced.items():
            since_s = member.replaced_s
            if since_s is not None and self.observer.is_log_kept(since_s):
                former_members.release_replaced(self.catalog, target, now_s)
        self.router.successors = frozenset(
            target
            for target in former_members.list_successors(self.catalog, group)
            if target in self.pools
            and self.pools[target].position_before_restart
            == model.Position(0, 0)
        )

    def _is_listed(self, target: str) -> bool:
        member = self.catalog.members.get(target)
        return member is not None and member.missing_since_s is None

    # Periodic checks, as in entry/host.py.

    def _tick(self) -> None:
        if not self.is_alive:
            return
        self.world.loop.call_later(TICK_INTERVAL_S, self._tick)
        now_s = self.world.now_s
        update = catalog.remove_expired(
            self.catalog,
            {name: pool.answered_s for name, pool in self.pools.items()},
            now_s,
        )
        if update.gone:
            self.log.write("targets_gone", targets=update.gone)
        self._sync_pools()
        self.records.check_groups([simulated_targets.GROUP], now_s)
        for pool in tuple(self.pools.values()):
            pool.tick(now_s)
        self.observer.tick(now_s)
        self.changes.start_if_needed(self.router, now_s)
        self.sharer.share_new_evidence(now_s, self.changes.is_changing)

    # Callers.

    def _commit_regularly(self) -> None:
        if not self.is_alive:
            return
        rng = self.world.random
        self.world.loop.call_later(
            rng.uniform(0.01, 0.05), self._commit_regularly
        )
        leadership = self.observer.leadership
        is_confirmed = self.observer.is_primary_confirmed(self.world.now_s)
        target = leadership.target
        if target is not None and is_confirmed:
            self._last_primary = target
        elif rng.random() < 0.2:
            # The commit of a transaction that began before.
            target = self._last_primary
        else:
            return
        if target is not None and target in self.pools:
            self._commit(target)

    def _commit(self, name: str) -> None:
        world = self.world
        pool: Pool = self.pools[name]
        id_ = len(world.commits) + world.random.getrandbits(40)
        asked_s = world.now_s
        key = object()
        self.observer.commits_in_flight[key] = asked_s

        def handle(outcome: line_connections.Outcome) -> None:
            self.observer.commits_in_flight.pop(key, None)
            answer = outcome.answer
            if answer is None or answer.code is not None or not self.is_alive:
                return
            self.observer.record_answer_position(
                pool,  # type: ignore[arg-type]
                answer,
                asked_s,
            )
            self.observer.record_commit(
                name, answer, asked_s, asked_s + 5.0, True, settle
            )

        def settle(is_confirmed: bool) -> None:
            if is_confirmed:
                world.record_told(id_)

        def run(answer: Callable[[statements.Answer], None]) -> None:
            world.targets[name].commit(id_, self.name, answer)

        pool.exchange(run, handle, 5.0, False)
