"""Attempts to run a request on a target, and their retries."""

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import queue_refusals
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import supervision
from knapweedtally.entry.members import acknowledgements
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import requests
from knapweedtally.entry.statements import pool_waits
from knapweedtally.platform import line_protocol

_Code = statements.Code

# Detail of the refusal of a request that was not sent.
NOT_SET_UP_DETAIL = "the target didn't set up the session; retry after 300 ms"

# Errors that show where a request belongs. The target has done no work for
# it, so that a second attempt doesn't add to an overload.
_REDIRECTING_CODES = frozenset(
    {_Code.BEHIND, _Code.READ_ONLY, _Code.WRONG_TARGET}
)


class Attempt:
    """One attempt to run a request on a target.

    A read or the begin of a transaction is retried after any failure of the
    target or the connection. A write is retried only if the target answers
    that it did not run it.
    """

    __slots__ = (
        "_connection",
        "_pool",
        "_position",
        "_request",
        "_router",
        "_setup_s",
        "_started_s",
    )

    def __init__(
        self,
        router: pool_waits.PoolWaits,
        request: requests.Request,
        pool: pools.Pool,
        connection: connections.Connection,
        position: model.Position | None,
        started_s: float,
    ) -> None:
        self._router = router
        self._request = request
        self._pool = pool
        self._connection = connection
        self._position = position
        self._setup_s = 0.0
        self._started_s = started_s

    def handle_outcome(self, outcome: line_connections.Outcome) -> None:
        """Finish the request, or retry it if that is safe."""
        if not supervision.contain("attempt", self._handle_outcome, outcome):
            self._router.fail(self._request)

    def _handle_outcome(self, outcome: line_connections.Outcome) -> None:
        request, pool, router = self._request, self._pool, self._router
        now_s = clock.get_time_s()
        request.running_attempts -= 1
        pool.load.running -= 1
        router.observer.commits_in_flight.pop(request, None)
        self._setup_s = outcome.setup_s
        answer = outcome.answer
        if not outcome.is_sent:
            self._handle_not_sent(outcome, now_s)
        elif answer is None:
            self._handle_connection_lost(outcome, now_s)
        elif answer.code is None:
            placement.record_run_time(pool.load, now_s - outcome.asked_s)
            self._handle_success(answer, outcome.asked_s)
        else:
            self._handle_error(answer, now_s)

    def _handle_success(
        self, answer: statements.Answer, asked_s: float
    ) -> None:
        request, router = self._request, self._router
        router.observer.record_answer_position(self._pool, answer, asked_s)
        if not request.need.is_write or request.is_begin:
            self._finish_request(answer, None)
            return

        def finish_commit(is_confirmed: bool) -> None:
            if is_confirmed:
                self._finish_request(answer, None)
            else:
                self._finish_request(
                    None,
                    _Code.UNKNOWN_OUTCOME,
                    acknowledgements.UNCONFIRMED_DETAIL,
                )

        router.observer.record_commit(
            self._pool.entry.target,
            answer,
            asked_s,
            request.deadline_s,
            router.settings.acknowledging_replicas > 0,
            finish_commit,
        )

    def _finish_request(
        self,
        answer: statements.Answer | None,
        code: statements.Code | None,
        detail: str = "",
    ) -> None:
        request = self._request
        owned = self._connection if request.is_begin and answer else None
        self._router.finish(
            request,
            requests.Result(
                answer,
                code,
                detail,
                target=self._pool.entry.target,
                relay_host=self._connection.relay_host,
                connection=owned,
                position=self._position,
                waited_s=self._started_s - request.arrived_s,
                setup_s=self._setup_s,
            ),
        )

    def _release_connection(self) -> None:
        if self._request.is_begin:
            self._connection.is_held = False

    def _handle_error(self, answer: statements.Answer, now_s: float) -> None:
        request, pool, router = self._request, self._pool, self._router
        target = pool.entry.target
        code = answer.code
        assert code is not None
        self._release_connection()
        refusal = self._find_queue_refusal(answer)
        if refusal is not None:
            pool.load.queue_cost = queue_refusals.get_cost(refusal, now_s)
            self._try_alternative(answer, now_s)
        elif code is _Code.BEHIND and self._position is not None:
            placement.record_missing_position(
                pool.load, self._position, router.observer.leadership, now_s
            )
            self._retry_or_finish(answer, None, now_s)
        elif code is _Code.READ_ONLY:
            router.observer.discard_primary(target, now_s, "it refused a write")
            self._retry_or_finish(answer, None, now_s)
        elif code in statements.NOT_RUN_CODES:
            if answer.detail == line_protocol.NOT_REACHED_DETAIL:
                pool.handle_unreachable_holder(self._connection.relay_host)
            elif not self._is_holder_refusal(answer):
                placement.record_failure(pool.load, now_s)
            self._retry_or_finish(answer, None, now_s)
        elif code is _Code.FAILED and not request.need.is_write:
            placement.record_failure(pool.load, now_s)
            self._retry_or_finish(answer, target, now_s, has_run=True)
        else:
            self._finish_with_error(answer)

    def _find_queue_refusal(
        self, answer: statements.Answer
    ) -> queue_refusals.QueueRefusal | None:
        """Return the refusal if a holder's queue refused, or None.

        A holder that has no queue, or doesn't reach the target, refuses
        without these details. The next holder of the same target may then
        serve the request, see ``_is_holder_refusal``.
        """
        if (
            self._router.retry_budget is None
            or not self._connection.relay_host
            or answer.code is not _Code.BUSY
        ):
            return None
        return queue_refusals.parse_detail(answer.detail)

    def _try_alternative(self, answer: statements.Answer, now_s: float) -> None:
        """Retry once at another target, or pass on a holder's refusal."""
        request, target = self._request, self._pool.entry.target
        if self._router.retry_elsewhere(request, target, now_s):
            return
        if not request.running_attempts:
            # The detail goes to the log, too: it says why, and which wait was
            # expected.
            self._finish_with_error(
                answer, answer.detail.decode("utf-8", "replace")
            )

    def _is_holder_refusal(self, answer: statements.Answer) -> bool:
        """Return whether a team found no connection at its holder.

        This says nothing about the target and the other teams.
        """
        return (
            self._connection.has_announcements
            and answer.position == line_protocol.NO_POSITION
        )

    def _retry_or_finish(
        self,
        answer: statements.Answer,
        excluded: str | None,
        now_s: float,
        has_run: bool = False,
    ) -> None:
        request = self._request
        request.attempts -= 1 if answer.code is _Code.BEHIND else 0
        if (
            request.attempts < requests.MAX_ATTEMPTS
            and now_s < request.deadline_s
            and (
                answer.code in _REDIRECTING_CODES
                or self._router.may_retry(now_s)
            )
        ):
            if has_run:
                self._require_another_token()
            self._router.retry(request, excluded)
        elif not request.running_attempts:
            self._finish_with_error(answer)

    def _finish_with_error(
        self, answer: statements.Answer, detail: str = ""
    ) -> None:
        result = requests.Result(
            answer,
            answer.code,
            detail,
            target=self._pool.entry.target,
            relay_host=self._connection.relay_host,
            position=self._position,
            waited_s=self._started_s - self._request.arrived_s,
            setup_s=self._setup_s,
        )
        self._router.finish(self._request, result)

    def _require_another_token(self) -> None:
        """Count the next attempt, since this one may have run."""
        if self._request.permit is not None:
            self._request.permit.require_another()

    def _handle_not_sent(
        self, outcome: line_connections.Outcome, now_s: float
    ) -> None:
        """Retry a request whose session couldn't be set up, or refuse it.

        Nothing of it was sent, so that it didn't run, whatever it is.
        """
        request = self._request
        placement.record_failure(self._pool.load, now_s)
        if (
            request.attempts < requests.MAX_ATTEMPTS
            and now_s < request.deadline_s
            and self._router.may_retry(now_s)
        ):
            is_lost = outcome.answer is None
            excluded = self._pool.entry.target if is_lost else None
            self._router.retry(request, excluded)
        elif not request.running_attempts:
            self._finish_request(None, _Code.BUSY, NOT_SET_UP_DETAIL)

    def _handle_connection_lost(
        self, outcome: line_connections.Outcome, now_s: float
    ) -> None:
        request = self._request
        placement.record_failure(self._pool.load, now_s)
        if request.need.is_write and not request.is_begin:
            code = _Code.TIMED_OUT if outcome.is_timeout else None
            self._finish_request(None, code or _Code.UNKNOWN_OUTCOME)
        elif (
            request.attempts < requests.MAX_ATTEMPTS
            and now_s < request.deadline_s
            and self._router.may_retry(now_s)
        ):
            self._require_another_token()
            self._router.retry(request, self._pool.entry.target)
        elif not request.running_attempts:
            code = _Code.ABORTED if request.is_begin else _Code.TIMED_OUT
            self._finish_request(None, code)
