"""Queueing, placement and attempts of the requests of one group."""

import asyncio

from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import retry_budget
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import requests
from knapweedtally.entry.statements import attempts
from knapweedtally.entry.statements import group_pools
from knapweedtally.entry.statements import pool_waits
from knapweedtally.platform import line_protocol

# A read without an answer is hedged with a second attempt after this delay, or
# after this many times the target's average run time if that is longer.
HEDGE_DELAY_S = 0.15
HEDGE_RUN_TIME_FACTOR = 5.0

# User name with which a host connects to targets.
USER = group_pools.USER

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


class Router(pool_waits.PoolWaits):
    """Serve the requests of one group."""

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
        super().__init__(settings, data_centre, log, counters, budget)
        self._hedge_candidates: set[requests.Request] = set()
        self._is_dispatching = False
        self._stop_reason = ""

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
                lambda detail: self._refuse_unsent(request, detail),
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
        if self._stop_reason:
            self._refuse_unsent(request, self._stop_reason)
            return
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
            request.find_needs(), team=request.session.team
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
                request.next_statement,
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

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the requests that wait, and from now on all that would.

        Args:
            reason: detail of the refusals.
        """
        self._stop_reason = reason
        self.dispatch()

    def fail(
        self, request: requests.Request, detail: str = ERROR_DETAIL
    ) -> None:
        """Answer a request that was stopped by an error or a planned stop.

        The answer says that nothing is kept only if no write was sent.
        """
        if request.attempts and request.need.is_write:
            result = requests.Result(None, _Code.UNKNOWN_OUTCOME, detail)
        else:
            detail = f"{detail}; retry after {FAILOVER_HINT_MS} ms"
            result = requests.Result(None, _Code.BUSY, detail)
        self.finish(request, result)

    def retry(self, request: requests.Request, excluded: str | None) -> None:
        """Queue a request again that has not run or is only a read.

        Args:
            request: the request.
            excluded: id of a target to skip from now on, or None. The primary
                isn't skipped if only it may serve the request.
        """
        if request.is_done:
            return
        if excluded is not None and not request.need.is_primary_only:
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

    def _refuse_unsent(self, request: requests.Request, detail: str) -> None:
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
            and request.attempts < requests.MAX_ATTEMPTS
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
