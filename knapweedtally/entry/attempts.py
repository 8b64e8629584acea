"""One attempt at a request, and what its outcome allows."""

import typing

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import statements
from knapweedtally.entry import acknowledgements
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import pools
from knapweedtally.entry import requests

if typing.TYPE_CHECKING:
    from knapweedtally.entry import router as router_module

# Attempts of one request.
MAX_ATTEMPTS = 4

_Code = statements.Code


class Attempt:
    """Take the outcome of one attempt at a request."""

    __slots__ = (
        "_connection",
        "_pool",
        "_position",
        "_request",
        "_router",
        "_started_s",
    )

    def __init__(
        self,
        router: "router_module.Router",
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
        self._started_s = started_s

    def note_end(self, outcome: connections.Outcome) -> None:
        """Tell the result, or try again where that is safe."""
        request, pool, router = self._request, self._pool, self._router
        now_s = clock.get_time_s()
        request.running_attempts -= 1
        pool.load.running -= 1
        router.observer.commits.pop(request, None)
        answer = outcome.answer
        if answer is None:
            self._note_lost(outcome, now_s)
        elif answer.code is None:
            placement.note_run(pool.load, now_s - self._started_s)
            self._note_success(answer, outcome.asked_s)
        else:
            self._note_error(answer, now_s)

    def _note_success(self, answer: statements.Answer, asked_s: float) -> None:
        request, router = self._request, self._router
        router.observer.note_answer_position(self._pool, answer, asked_s)
        if not request.need.is_write or request.is_begin:
            self._finish(answer, None)
            return

        def note_settled(is_kept: bool) -> None:
            if is_kept:
                self._finish(answer, None)
            else:
                self._finish(
                    None, _Code.UNKNOWN_OUTCOME, acknowledgements.UNPROVEN
                )

        router.observer.note_commit(
            self._pool.entry.target,
            answer,
            asked_s,
            request.deadline_s,
            router.settings.acknowledging_replicas > 0,
            note_settled,
        )

    def _finish(
        self,
        answer: statements.Answer | None,
        code: statements.Code | None,
        detail: str = "",
    ) -> None:
        request = self._request
        held = self._connection if request.is_begin and answer else None
        self._router.finish(
            request,
            requests.Result(
                answer,
                code,
                detail,
                target=self._pool.entry.target,
                way=self._connection.way,
                connection=held,
                position=self._position,
                waited_s=self._started_s - request.arrived_s,
            ),
        )

    def _release(self) -> None:
        if self._request.is_begin:
            self._connection.is_held = False

    def _note_error(self, answer: statements.Answer, now_s: float) -> None:
        request, pool, router = self._request, self._pool, self._router
        target = pool.entry.target
        code = answer.code
        assert code is not None
        self._release()
        if code is _Code.BEHIND and self._position is not None:
            placement.note_behind(
                pool.load, self._position, router.observer.leadership, now_s
            )
            self._retry_or_finish(answer, None, now_s)
        elif code is _Code.READ_ONLY:
            router.observer.lose_primary(target, now_s, "it refused a write")
            self._retry_or_finish(answer, None, now_s)
        elif code in statements.NOT_RUN:
            placement.note_failure(pool.load, now_s)
            self._retry_or_finish(answer, None, now_s)
        elif code is _Code.FAILED and not request.need.is_write:
            placement.note_failure(pool.load, now_s)
            self._retry_or_finish(answer, target, now_s)
        else:
            self._finish_refused(answer)

    def _retry_or_finish(
        self, answer: statements.Answer, excluded: str | None, now_s: float
    ) -> None:
        request = self._request
        request.attempts -= 1 if answer.code is _Code.BEHIND else 0
        if request.attempts < MAX_ATTEMPTS and now_s < request.deadline_s:
            self._router.retry(request, excluded)
        elif not request.running_attempts:
            self._finish_refused(answer)

    def _finish_refused(self, answer: statements.Answer) -> None:
        result = requests.Result(
            answer,
            answer.code,
            target=self._pool.entry.target,
            way=self._connection.way,
            position=self._position,
            waited_s=self._started_s - self._request.arrived_s,
        )
        self._router.finish(self._request, result)

    def _note_lost(self, outcome: connections.Outcome, now_s: float) -> None:
        request = self._request
        placement.note_failure(self._pool.load, now_s)
        if request.need.is_write and not request.is_begin:
            code = _Code.TIMED_OUT if outcome.is_timeout else None
            self._finish(None, code or _Code.UNKNOWN_OUTCOME)
        elif request.attempts < MAX_ATTEMPTS and now_s < request.deadline_s:
            self._router.retry(request, self._pool.entry.target)
        elif not request.running_attempts:
            code = _Code.ABORTED if request.is_begin else _Code.TIMED_OUT
            self._finish(None, code)
