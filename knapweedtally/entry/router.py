"""Queueing, placement and attempts of the requests of one group."""

import asyncio
import random

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
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
        created_s: when this host began to serve the group.
    """

    def __init__(
        self,
        settings: model.GroupSettings,
        data_centre: str,
        log: logs.Log,
        counters: metrics.Metrics,
    ) -> None:
        """Create a router without targets.

        Args:
            settings: the group's settings.
            data_centre: data centre of this host.
            log: the host's log.
            counters: the host's counters.
        """
        self.settings = settings
        self.pools: dict[str, pools.Pool] = {}
        self.departed: tuple[str, ...] = ()
        self.observer = observer.Observer(
            settings.name, self.pools, log, self.dispatch
        )
        self.created_s = clock.get_time_s()
        self._data_centre = data_centre
        self._log = log
        self._counters = counters
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
        pool = pools.Pool(
            entry,
            self.settings.max_connections,
            USER,
            self._log,
            self.dispatch,
        )
        pool.position_before_restart = floor
        self.pools[entry.target] = pool
        pool.open_connection()
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
        load_shedding.record_priority(
            self.observer.load_shedding, request.priority
        )
        self._queue.append(request)
        self._queue.sort(key=_get_queue_key)
        self.dispatch()

    def cancel(self, request: requests.Request) -> None:
        """Drop a request whose caller has disconnected."""
        request.is_done = True
        if request in self._queue:
            self._queue.remove(request)

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
        connection = pool.find_idle_connection(request.session.values)
        if connection is None:
            pool.load.idle = 0
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
        return placement.choose_target(
            request.need,
            [pool.load for pool in self.pools.values()],
            self.observer.leadership,
            self._data_centre,
            now_s,
            excluded,
        )

    def _is_unavailable(self, choice: placement.Choice, now_s: float) -> bool:
        """Return whether the group is unavailable and waiting is futile."""
        if choice.reason is _Reason.NO_CONNECTION:
            return False
        since_s = max(self.observer.leadership.valid_until_s, self.created_s)
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
                pool.open_if_allowed()

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
            connection.is_held = True
            is_read = request.statement.kind is _Kind.BEGIN_READ
            text = line_protocol.BEGIN_READ if is_read else line_protocol.BEGIN
            if add_prefix is not None:
                text = add_prefix(text)
            id_ = request.statement.id
            connection.send(id_, text, attempt.handle_outcome, limit_s)
        else:
            connection.run(
                request.session,
                request.statement,
                add_prefix,
                attempt.handle_outcome,
                limit_s,
            )
        pool.count_idle()
        if not request.need.is_write:
            delay_s = pool.load.run_time_s * HEDGE_RUN_TIME_FACTOR
            request.hedge_at_s = now_s + max(HEDGE_DELAY_S, delay_s)
            self._hedge_candidates.add(request)
        elif not request.is_begin:
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

    def _send_due_hedge(self, request: requests.Request, now_s: float) -> None:
        if request.is_done or not request.running_attempts:
            self._hedge_candidates.discard(request)
        elif (
            request.hedge_at_s <= now_s
            and request.attempts < attempts.MAX_ATTEMPTS
        ):
            request.hedge_at_s = now_s + 10.0
            self._counters.increment("second_tries", self.settings.name)
            self.retry(request, None)


def _get_queue_key(request: requests.Request) -> tuple[int, float]:
    return (request.priority, request.deadline_s)
