"""Requests of a host's own callers that wait for connections of a team."""

import abc
import asyncio

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import queue_refusals
from knapweedtally.core.groups import retry_budget
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import requests
from knapweedtally.entry.statements import group_pools

_Code = statements.Code
_Reason = placement.Reason


class PoolWaits(group_pools.GroupPools):
    """Let requests wait at a pool, and handle what its queue refuses."""

    def __init__(
        self,
        settings: model.GroupSettings,
        data_centre: str,
        log: logs.Log,
        counters: metrics.Metrics,
        budget: retry_budget.RetryBudget | None,
    ) -> None:
        """Create a group without targets and requests."""
        super().__init__(settings, data_centre, log, counters, budget)
        self._queue: list[requests.Request] = []

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
            request.find_needs(),
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
            or request.attempts >= requests.MAX_ATTEMPTS
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

    def may_retry(self, now_s: float) -> bool:
        """Return whether the host may make a second attempt, and count it."""
        if self.retry_budget is None or self.retry_budget.take(now_s):
            return True
        self._counters.increment("retries_withheld", self.settings.name)
        return False

    @abc.abstractmethod
    def _place_on_connection(
        self,
        request: requests.Request,
        pool: pools.Pool,
        connection: connections.Connection,
        choice: placement.Choice,
        now_s: float,
    ) -> None:
        """Start an attempt, unless the request has to wait for a token."""

    @abc.abstractmethod
    def retry(self, request: requests.Request, excluded: str | None) -> None:
        """Queue a request again that has not run or is only a read."""

    @abc.abstractmethod
    def finish(
        self, request: requests.Request, result: requests.Result
    ) -> None:
        """Deliver the result of a request, unless one was delivered before."""

    @abc.abstractmethod
    def fail(self, request: requests.Request) -> None:
        """Answer a request that an error stopped."""
