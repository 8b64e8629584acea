"""Pools of the targets of one group, and the choice among them."""

import abc
import random
from collections.abc import Iterable

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import retry_budget
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.members import observer
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import requests
from knapweedtally.entry.pools import team_pools

# User name with which a host connects to targets.
USER = "knapweedtally"

_Reason = placement.Reason


class GroupPools(abc.ABC):
    """Keep one pool for each target of a group and choose among them.

    Attributes:
        settings: the group's settings.
        pools: connection pools by id of the target.
        departed: ids of former members whose log may hold commits that no
            other member has.
        successors: ids of members that may lack the log of one that they
            replaced.
        duplicates: ids of recorded targets for whose place another one stands.
        observer: the evidence about the primary.
        retry_budget: limit on the host's second attempts, or None without load
            control.
        has_teams: whether callers belong to teams.
        created_s: when this host began to serve the group.
    """

    def __init__(
        self,
        settings: model.GroupSettings,
        data_centre: str,
        log: logs.Log,
        counters: metrics.Metrics,
        budget: retry_budget.RetryBudget | None = None,
    ) -> None:
        """Create a router without targets.

        Args:
            settings: the group's settings.
            data_centre: data centre of this host.
            log: the host's log.
            counters: the host's counters.
            budget: limit on the host's second attempts with load control, or
                None without it.
        """
        self.settings = settings
        self.pools: dict[str, pools.Pool] = {}
        self.departed: tuple[str, ...] = ()
        self.successors: frozenset[str] = frozenset()
        self.duplicates: frozenset[str] = frozenset()
        self.has_teams = False
        self.observer = observer.Observer(
            settings.name, self.pools, log, self.dispatch
        )
        self.created_s = clock.get_time_s()
        self._data_centre = data_centre
        self._log = log
        self._counters = counters
        self.retry_budget = budget

    def add_pool(
        self, entry: model.TargetEntry, floor: model.Position
    ) -> pools.Pool:
        """Add a target.

        Args:
            entry: the target's entry in the store.
            floor: position that the target's predecessor had received. A log
                that ends before it proves nothing about acknowledged commits.
        """
        pool = self._make_pool(entry)
        pool.position_before_restart = floor
        if self.retry_budget is not None:
            pool.use_holder_queue(self._counters)
        self.pools[entry.target] = pool
        pool.open_connection()
        return pool

    def _make_pool(self, entry: model.TargetEntry) -> pools.Pool:
        limit = self.settings.max_connections
        if self.has_teams:
            return team_pools.TeamPool(
                entry,
                limit,
                USER,
                self._log,
                self.dispatch,
                self._counters,
                self.observer,
            )
        return pools.Pool(entry, limit, USER, self._log, self.dispatch)

    def replace_pool(self, target: str) -> pools.Pool:
        """Replace a pool after teams were added or all were removed.

        Connections without a team may not be used for teams and the reverse,
        so open transactions are rolled back.
        """
        old = self.pools[target]
        pool = self.add_pool(old.entry, old.get_newest_position())
        if old.pacer is not None:
            pool.set_pacer(old.pacer)
        old.close()
        return pool

    def remove_pool(self, target: str) -> pools.Pool | None:
        """Close the pool of a target that has left the group.

        Returns:
            The closed pool, or None if the target has none.
        """
        pool = self.pools.pop(target, None)
        if pool is not None:
            pool.close()
            evidence.remove_member(self.observer.leadership, target)
        return pool

    @property
    def members(self) -> tuple[str, ...]:
        """Return the ids of all targets that a promotion has to consider."""
        members = (*self.pools, *self.departed)
        return tuple(t for t in members if t not in self.duplicates)

    def _choose_target(
        self, request: requests.Request, now_s: float
    ) -> placement.Choice:
        """Choose a target, and apply admission control to new requests.

        While the primary is overloaded, a share of the new requests for it goes
        to another target or is refused.
        """
        choice = self._choose_target_except(request, request.excluded, now_s)
        primary = self.observer.leadership.target
        needs_primary = choice.target == primary or (
            choice.reason is _Reason.NO_CONNECTION
            and request.need.is_primary_only
        )
        is_new = not (request.is_admitted or request.attempts)
        if primary is None or not needs_primary or not is_new:
            return choice
        is_refused = load_shedding.should_refuse(
            self.observer.load_shedding,
            request.priority,
            random.random(),
            now_s,
        )
        if not is_refused:
            request.is_admitted = True
            return choice
        alternative = self._choose_target_except(
            request, request.excluded | {primary}, now_s
        )
        if alternative.target or alternative.reason is _Reason.NO_CONNECTION:
            return alternative
        return placement.Choice(None, None, _Reason.CROWDED)

    def _choose_target_except(
        self,
        request: requests.Request,
        excluded: frozenset[str],
        now_s: float,
    ) -> placement.Choice:
        return self._choose_among(request, self.pools.values(), now_s, excluded)

    def _choose_among(
        self,
        request: requests.Request,
        candidates: Iterable[pools.Pool],
        now_s: float,
        excluded: frozenset[str] = frozenset(),
    ) -> placement.Choice:
        candidates = list(candidates)
        if self.retry_budget is None or not self.has_teams:
            return self._choose_available(
                request, candidates, now_s, excluded, True
            )
        # With load control, the queues of this host hold any number of
        # requests, so a target that has a connection at once comes first.
        choice = self._choose_available(
            request, candidates, now_s, excluded, False
        )
        if choice.reason is not _Reason.NO_CONNECTION:
            return choice
        return self._choose_available(
            request, candidates, now_s, excluded, True
        )

    def _choose_available(
        self,
        request: requests.Request,
        candidates: list[pools.Pool],
        now_s: float,
        excluded: frozenset[str],
        may_wait: bool,
    ) -> placement.Choice:
        """Choose a target by the connections that a team may use."""
        if self.has_teams:
            for pool in candidates:
                pool.update_available(
                    request.session.team, request.priority, may_wait
                )
        return placement.choose_target(
            request.need,
            [pool.load for pool in candidates],
            self.observer.leadership,
            self._data_centre,
            now_s,
            excluded,
        )

    def has_alternative(
        self, request: requests.Request, excluded: str, now_s: float
    ) -> bool:
        """Return whether a target except one may serve a request."""
        choice = self._choose_target_except(
            request, request.excluded | {excluded}, now_s
        )
        return choice.target is not None

    @abc.abstractmethod
    def dispatch(self) -> None:
        """Start an attempt for each queued request that a target can take."""
