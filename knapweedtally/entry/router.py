"""Queueing, placement and attempts of the requests of one group."""

import asyncio
import random
from collections.abc import Iterable

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import queue_refusals
from knapweedtally.core.groups import retry_budget
from knapweedtally.core.groups import statements
from knapweedtally.entry import attempts
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import logs
from knapweedtally.entry import metrics
from knapweedtally.entry import observer
from knapweedtally.entry import pools
from knapweedtally.entry import requests
from knapweedtally.entry import supervision
from knapweedtally.entry import team_pools
from knapweedtally.platform import line_protocol

# A read without an answer is hedged with a second attempt after this delay, or
# after this many times the target's average run time if that is longer.
HEDGE_DELAY_S = 0.15
HEDGE_RUN_TIME_FACTOR = 5.0

# User name with which a host connects to targets.
USER = "knapweedtally"

# A group without valid evidence about its primary for this long counts as
# unavailable, since a change of primary takes less. A request that no target
# may serve is then refused at once instead of being queued until its deadline.
UNAVAILABLE_AFTER_S = 2.5

# Retry delays that are sent to callers: the usual remaining time of a change of
# primary, and that of a longer outage.
FAILOVER_HINT_MS = 500
OUTAGE_HINT_MS = 1500
# The same for an overloaded primary: the share of requests to refuse is updated
# within this time.
OVERLOAD_HINT_MS = 400

# Detail of the answer to a request that an error in this host stopped.
ERROR_DETAIL = "an error in the entry host stopped the request"

_Reason = placement.Reason
_Code = statements.Code
_Kind = statements.Kind


class Router:
    """Serve the requests of one group.

    Attributes:
        settings: the group's settings.
        pools: connection pools by id of the target.
        departed: ids of former members whose log may hold commits that no
            other member has.
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
        self.has_teams = False
        self.observer = observer.Observer(
            settings.name, self.pools, log, self.dispatch
        )
        self.created_s = clock.get_time_s()
        self._data_centre = data_centre
        self._log = log
        self._counters = counters
        self.retry_budget = budget
        self._queue: list[requests.Request] = []
        self._hedge_candidates: set[requests.Request] = set()
        self._is_dispatching = False

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
        return (*self.pools, *self.departed)

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def submit(self, request: requests.Request) -> None:
        """Queue a request and dispatch the queue."""
        if self.retry_budget is not None:
            self.retry_budget.record_request(clock.get_time_s())
        load_shedding.record_priority(
            self.observer.load_shedding, request.priority
        )
        if request.permit is not None:
            request.permit.attach(
                self.dispatch,
                lambda detail: self._refuse_over_limit(request, detail),
            )
        self._queue.append(request)
        self._queue.sort(key=_get_queue_key)
        self.dispatch()

    def cancel(self, request: requests.Request) -> None:
        """Drop a request whose caller has disconnected."""
        request.is_done = True
        if request.permit is not None:
            request.permit.release()
        if request in self._queue:
            self._queue.remove(request)

    def is_waiting(self, request: requests.Request) -> bool:
        """Return whether a request is queued and no attempt of it runs."""
        return request in self._queue and not request.running_attempts

    def dispatch(self) -> None:
        """Start an attempt for each queued request that a target can take."""
        if self._is_dispatching or not self._queue:
            return
        self._is_dispatching = True
        try:
            now_s = clock.get_time_s()
            for request in tuple(self._queue):
                if not supervision.contain(
                    "placement", self._place_request, request, now_s
                ):
                    self.fail(request)
        finally:
            self._is_dispatching = False

    def _place_request(self, request: requests.Request, now_s: float) -> None:
        if self._keeps_waiting(request, now_s):
            return
        choice = self._choose_target(request, now_s)
        request.reason = choice.reason
        if choice.reason is _Reason.CROWDED:
            self._refuse_request(request, now_s, OVERLOAD_HINT_MS)
            return
        if choice.target is None:
            if choice.reason is _Reason.NO_CONNECTION:
                self._request_connections(request, now_s)
            elif choice.reason is _Reason.NO_TARGET:
                request.excluded = frozenset()
            if not request.running_attempts and self._is_unavailable(
                choice, now_s
            ):
                self._refuse_request(request, now_s, OUTAGE_HINT_MS)
            return
        pool = self.pools[choice.target]
        connection = pool.find_idle_connection(
            request.session.values, team=request.session.team
        )
        if connection is None:
            pool.load.idle = 0
            self._wait_at_pool(request, pool, now_s)
            return
        self._place_on_connection(request, pool, connection, choice, now_s)
        if not connection.is_idle:
            pool.record_start(
                connection, request.session.team, request.priority
            )

    def _wait_at_pool(
        self, request: requests.Request, pool: pools.Pool, now_s: float
    ) -> None:
        """Let a request wait with those of other hosts for a connection."""
        target = pool.entry.target

        def handle_idle(connection: connections.Connection | None) -> None:
            if request.is_done or request.waiting_target != target:
                return
            request.waiting_target = ""
            idle_s = clock.get_time_s()
            if connection is not None and request in self._queue:
                choice = self._choose_among(
                    request, [pool], idle_s, request.excluded
                )
                if choice.target is not None:
                    if not supervision.contain(
                        "placement",
                        self._place_on_connection,
                        request,
                        pool,
                        connection,
                        choice,
                        idle_s,
                    ):
                        self.fail(request)
                    return
            asyncio.get_running_loop().call_soon(self.dispatch)

        def handle_refused(detail: bytes) -> None:
            if request.is_done or request.waiting_target != target:
                return
            request.waiting_target = ""
            self._handle_queue_refusal(request, pool, detail)

        # Set before the call, which may serve the request at once.
        request.waiting_target = target
        is_queued = pool.wait_for_connection(
            request.session.values,
            handle_idle,
            request.deadline_s,
            request.session.team,
            request.priority,
            handle_refused,
            request.statement.id,
        )
        if not is_queued:
            request.waiting_target = ""

    def _handle_queue_refusal(
        self, request: requests.Request, pool: pools.Pool, detail: bytes
    ) -> None:
        """Answer a request that this host's own queue has refused.

        Nothing of it was sent, unless another attempt of it still runs.
        """
        now_s = clock.get_time_s()
        refusal = queue_refusals.parse_detail(detail)
        if refusal is not None:
            pool.load.queue_cost = queue_refusals.get_cost(refusal, now_s)
        target = pool.entry.target
        if self.retry_elsewhere(request, target, now_s):
            return
        if request.running_attempts:
            self._queue.remove(request)
            return
        self.finish(
            request,
            requests.Result(
                None,
                _Code.BUSY,
                detail.decode("utf-8", "replace"),
                target=target,
                waited_s=now_s - request.arrived_s,
            ),
        )

    def retry_elsewhere(
        self, request: requests.Request, target: str, now_s: float
    ) -> bool:
        """Queue a request for another target after a queue's refusal, once.

        Args:
            request: the request.
            target: id of the target whose holder refused it.
            now_s: the current time.

        Returns:
            Whether another target may serve it and the retry budget allows it.
        """
        was_refused = request.is_refused_by_queue
        request.is_refused_by_queue = True
        if (
            was_refused
            or request.attempts >= attempts.MAX_ATTEMPTS
            or now_s >= request.deadline_s
            or not self.has_alternative(request, target, now_s)
            or not self.may_retry(now_s)
        ):
            return False
        self.retry(request, target)
        return True

    def _keeps_waiting(self, request: requests.Request, now_s: float) -> bool:
        """Return whether a request waits for a target that may serve it."""
        if not request.waiting_target:
            return False
        pool = self.pools.get(request.waiting_target)
        if pool is not None:
            choice = self._choose_among(
                request, [pool], now_s, request.excluded
            )
            if choice.target or choice.reason is _Reason.NO_CONNECTION:
                return True
        request.waiting_target = ""
        return False

    def _place_on_connection(
        self,
        request: requests.Request,
        pool: pools.Pool,
        connection: connections.Connection,
        choice: placement.Choice,
        now_s: float,
    ) -> None:
        if request.permit is not None and not request.permit.confirm(now_s):
            return
        self._queue.remove(request)
        try:
            self._start_attempt(
                request, pool, connection, choice.position, now_s
            )
        except Exception:
            if connection.get_oldest_sent_s() is None:
                # Nothing was sent, so no outcome will be counted.
                request.running_attempts -= 1
                pool.load.running -= 1
            connection.abort()
            raise

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

    def _is_unavailable(self, choice: placement.Choice, now_s: float) -> bool:
        """Return whether the group is unavailable and waiting is futile."""
        if choice.reason is _Reason.NO_CONNECTION:
            return False
        # A primary that was lost leaves no evidence, but the change of primary
        # has just begun.
        since_s = max(
            self.observer.leadership.valid_until_s, self.observer.confirmed_s
        )
        return now_s - since_s > UNAVAILABLE_AFTER_S

    def _request_connections(
        self, request: requests.Request, now_s: float
    ) -> None:
        for target, pool in self.pools.items():
            is_primary = target == self.observer.leadership.target
            if request.need.is_primary_only and not is_primary:
                continue
            if (
                pool.load.accepts_new_work
                and pool.load.backoff_until_s <= now_s
            ):
                pool.open_if_allowed(request.session.team)

    def _start_attempt(
        self,
        request: requests.Request,
        pool: pools.Pool,
        connection: connections.Connection,
        position: model.Position | None,
        now_s: float,
    ) -> None:
        request.attempts += 1
        request.running_attempts += 1
        request.last_attempt_s = now_s
        pool.load.running += 1
        limit_s = max(0.05, request.deadline_s - now_s)
        add_prefix = None
        if position is not None:
            needed = position

            def add_prefix(text: bytes) -> bytes:
                return line_protocol.add_required_position(text, needed)

        attempt = attempts.Attempt(
            self, request, pool, connection, position, now_s
        )
        if request.is_begin:
            is_read = request.statement.kind is _Kind.BEGIN_READ
            text = line_protocol.BEGIN_READ if is_read else line_protocol.BEGIN
            if add_prefix is not None:
                text = add_prefix(text)
            connection.begin(
                request.session,
                request.statement.id,
                text,
                attempt.handle_outcome,
                limit_s,
                request.priority,
            )
        else:
            connection.run(
                request.session,
                request.statement,
                add_prefix,
                attempt.handle_outcome,
                limit_s,
                request.priority,
            )
        pool.count_idle()
        if not request.need.is_write:
            delay_s = pool.load.run_time_s * HEDGE_RUN_TIME_FACTOR
            request.hedge_at_s = now_s + max(HEDGE_DELAY_S, delay_s)
            self._hedge_candidates.add(request)
        elif not request.is_begin and not connection.has_announcements:
            # Otherwise the holder records it once it is sent to the target: it
            # may wait there for longer than a commit takes.
            self.observer.commits_in_flight[request] = now_s

    def finish(
        self, request: requests.Request, result: requests.Result
    ) -> None:
        """Deliver the result of a request, unless one was delivered before."""
        if request.is_done:
            if result.connection is not None:
                result.connection.abort()
            return
        request.is_done = True
        self._hedge_candidates.discard(request)
        if request.permit is not None:
            request.permit.release()
        if request in self._queue:
            self._queue.remove(request)
        result.attempts = request.attempts
        self.observer.record_evidence_ages(result)
        request.on_end(result)

    def fail(self, request: requests.Request) -> None:
        """Answer a request that an error stopped.

        The answer says that it didn't run only if nothing was sent.
        """
        if request.attempts and request.need.is_write:
            result = requests.Result(None, _Code.UNKNOWN_OUTCOME, ERROR_DETAIL)
        else:
            detail = f"{ERROR_DETAIL}; retry after {FAILOVER_HINT_MS} ms"
            result = requests.Result(None, _Code.BUSY, detail)
        self.finish(request, result)

    def retry(self, request: requests.Request, excluded: str | None) -> None:
        """Queue a request again that has not run or is only a read.

        Args:
            request: the request.
            excluded: id of a target to skip from now on, or None.
        """
        if request.is_done:
            return
        if excluded is not None:
            request.excluded = request.excluded | {excluded}
        if request not in self._queue:
            self._queue.append(request)
            self._queue.sort(key=_get_queue_key)
        asyncio.get_running_loop().call_soon(self.dispatch)

    def may_retry(self, now_s: float) -> bool:
        """Return whether the host may make a second attempt, and count it."""
        if self.retry_budget is None or self.retry_budget.take(now_s):
            return True
        self._counters.increment("retries_withheld", self.settings.name)
        return False

    def has_alternative(
        self, request: requests.Request, excluded: str, now_s: float
    ) -> bool:
        """Return whether a target except one may serve a request."""
        choice = self._choose_target_except(
            request, request.excluded | {excluded}, now_s
        )
        return choice.target is not None

    def tick(self, now_s: float) -> None:
        """Refuse overdue requests, hedge slow reads and renew evidence."""
        for pool in tuple(self.pools.values()):
            if not supervision.contain("pool", pool.tick, now_s):
                pool.restart(pool.entry)
        for request in [r for r in self._queue if r.deadline_s <= now_s]:
            if not request.running_attempts:
                self._refuse_request(request, now_s, FAILOVER_HINT_MS)
        for request in tuple(self._hedge_candidates):
            self._send_due_hedge(request, now_s)
        self._log_lagging_replicas(now_s)
        self.observer.tick(now_s)
        self.dispatch()

    def _log_lagging_replicas(self, now_s: float) -> None:
        """Log which replicas have begun to lag or have caught up."""
        for target, pool in self.pools.items():
            load = pool.load
            is_primary = target == self.observer.leadership.target
            if placement.update_lagging(load, is_primary):
                self._log.write(
                    "replica_lagging" if load.is_lagging else "replica_fresh",
                    group=self.settings.name,
                    target=target,
                    lag_s=round(load.lag_s, 2),
                    lag_age_s=round(now_s - load.lag_sampled_s, 2),
                    position=f"{load.position.term}.{load.position.number}",
                )

    def _refuse_request(
        self, request: requests.Request, now_s: float, retry_after_ms: int
    ) -> None:
        self._counters.increment("refused", request.reason.name)
        detail = f"{request.reason.value}; retry after {retry_after_ms} ms"
        if request.reason is _Reason.CROWDED:
            share = load_shedding.get_refused_share(
                self.observer.load_shedding, now_s
            )
            detail = f"{detail}; {share:.0%} are refused for now"
        waited_s = now_s - request.arrived_s
        self.finish(
            request,
            requests.Result(None, _Code.BUSY, detail, waited_s=waited_s),
        )

    def _refuse_over_limit(
        self, request: requests.Request, detail: str
    ) -> None:
        """Refuse a queued request, unless an attempt of it still runs."""
        if request.is_done:
            return
        if request.running_attempts:
            self._queue.remove(request)
            return
        result = requests.Result(None, _Code.BUSY, detail)
        self.finish(request, result)

    def _send_due_hedge(self, request: requests.Request, now_s: float) -> None:
        if request.is_done or not request.running_attempts:
            self._hedge_candidates.discard(request)
        elif (
            request.hedge_at_s <= now_s
            and request.attempts < attempts.MAX_ATTEMPTS
        ):
            if not self.may_retry(now_s):
                request.hedge_at_s = now_s + 10.0
                return
            if request.permit and not request.permit.take_more(now_s):
                # Tried again at the next tick, which must not use up the
                # budget.
                if self.retry_budget is not None:
                    self.retry_budget.give_back()
                return
            request.hedge_at_s = now_s + 10.0
            self._counters.increment("second_tries", self.settings.name)
            self.retry(request, None)


def _get_queue_key(request: requests.Request) -> tuple[int, float]:
    return (request.priority, request.deadline_s)
