"""Run the requests of callers' sessions as the reducer decides."""

import collections
import itertools
import time
from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

import anyio

from knapweedtally.core import effects
from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.writes import events as writes_events
from knapweedtally.metrics import requests
from knapweedtally.runtime import adapters
from knapweedtally.targets import adapter as targets_adapter
from knapweedtally.targets import attempt as attempt_module

DEFAULT_TIMEOUT_MS = 5_000

Refusal = effects.DeliverError
_RequestEffect = (
    effects.RunStatement | effects.DeliverAnswer | effects.DeliverError
)


class FilteringBatch(Protocol):
    """Build messages for a target and filter their answer for the caller."""

    def render(self, prepared: set[str]) -> bytes:
        """Return messages that are answered with exactly one ReadyForQuery."""

    def digest(self) -> str:
        """Return a digest of the statements and parameters."""

    def filter_answer(self, frames: list[bytes]) -> Iterable[bytes]:
        """Return the frames of the answer that are for the caller."""


class ExecutionRequest(NamedTuple):
    """A session's request to the executor.

    The attributes are those of ``RequestArrived``, followed by the batch to
    run.
    """

    session: int
    caller: str
    group: str
    kind: admission_state.RequestKind
    max_age_ms: int | None
    tables: frozenset[str]
    position: model.Position | None
    key: str
    batch: FilteringBatch


class ExecutionResult(NamedTuple):
    """The final answer to a request.

    Attributes:
        frames: frames of the target's answer.
        status: transaction status afterwards, I, T or E.
        position: new position of the session, or None if unchanged.
        decision: id of the decision record.
        is_replayed: whether the answer was recorded for the idempotency key
            when the write ran before.
        is_error: whether the target answered with an error.
        refusal: the error answer, or None.
    """

    frames: list[bytes]
    status: str
    position: model.Position | None
    decision: str
    is_replayed: bool = False
    is_error: bool = False
    refusal: Refusal | None = None


class _EffectQueue:
    """Queue of the effects of one request; its session consumes them."""

    def __init__(self) -> None:
        self._effects: collections.deque[_RequestEffect] = collections.deque()
        self._arrived: anyio.Event | None = None

    def put(self, effect: _RequestEffect) -> None:
        self._effects.append(effect)
        if self._arrived is not None:
            self._arrived.set()

    async def get(self) -> _RequestEffect:
        while not self._effects:
            self._arrived = anyio.Event()
            await self._arrived.wait()
            self._arrived = None
        return self._effects.popleft()


class Executor:
    """Submit requests to the reducer and run their attempts."""

    def __init__(
        self,
        submit: adapters.Submit,
        state: state_module.ProxyState,
        targets: targets_adapter.TargetsAdapter,
        recorder: requests.Recorder,
    ) -> None:
        self._submit = submit
        self._state = state
        self._targets = targets
        self._recorder = recorder
        self._request_ids = itertools.count(1)
        self._effect_queues: dict[int, _EffectQueue] = {}

    def deliver_effect(self, effect: _RequestEffect) -> None:
        """Queue an effect for the session that waits for it.

        Effects of requests that have ended are ignored.
        """
        effect_queue = self._effect_queues.get(effect.request)
        if effect_queue is not None:
            effect_queue.put(effect)

    async def execute(self, request: ExecutionRequest) -> ExecutionResult:
        """Run a request and return its final answer."""
        request_id = next(self._request_ids)
        effect_queue = _EffectQueue()
        arrived_at = time.monotonic()
        is_read_only = self._is_read_only(request.session)
        self._effect_queues[request_id] = effect_queue
        try:
            self._submit(
                admission_events.RequestArrived(request_id, *request[:-1])
            )
            execution_result = await self._process_effects(
                request, effect_queue
            )
        finally:
            del self._effect_queues[request_id]
        self._recorder.record_request(
            requests.CompletedRequest(
                request.group,
                request.kind,
                is_read_only,
                execution_result.refusal.kind
                if execution_result.refusal
                else None,
                arrived_at,
                time.monotonic(),
            )
        )
        return execution_result

    def _is_read_only(self, session: int) -> bool:
        """Return whether a session's open transaction is read-only."""
        admission = self._state.admission
        lease_id = admission.transactions.get(session)
        if lease_id is None:
            return False
        return admission.leases[lease_id].is_read_only

    async def _process_effects(
        self, request: ExecutionRequest, effect_queue: _EffectQueue
    ) -> ExecutionResult:
        results: dict[int, attempt_module.AttemptResult] = {}
        while True:
            effect = await effect_queue.get()
            if isinstance(effect, effects.RunStatement):
                result = await self._run_attempt(request, effect)
                if result is not None:
                    results[effect.attempt] = result
                    self._submit(_make_answered_event(effect, result))
            elif isinstance(effect, effects.DeliverAnswer):
                result = results[effect.attempt]
                return ExecutionResult(
                    result.section.frames,
                    result.status,
                    effect.position,
                    effect.decision,
                    result.is_replayed,
                    result.section.sqlstate != "",
                )
            else:
                return ExecutionResult(
                    [], "I", None, effect.decision, refusal=effect
                )

    async def _run_attempt(
        self, request: ExecutionRequest, effect: effects.RunStatement
    ) -> attempt_module.AttemptResult | None:
        """Run one attempt.

        A failure is reported to the reducer.

        Returns:
            The target's answer, or None if there is no complete one.
        """
        pool = self._targets.pool
        target = self._targets.find_target(effect.target)
        if target is None:
            error = exceptions.AttemptLostError("no such target", False)
            self._report_failure(effect, error)
            return None
        result = None
        failure: exceptions.AttemptLostError | None = None
        with anyio.CancelScope() as scope:
            pool.register_attempt(effect.lease, scope)
            try:
                connection = await pool.get_connection(
                    effect.lease, target, request.group
                )
                result = await attempt_module.run_attempt(
                    connection,
                    effect,
                    request.batch,
                    request.caller,
                    self._get_timeout_ms(request.group),
                )
                if result.section.sqlstate:
                    connection.prepared.clear()
            except exceptions.AttemptLostError as error:
                failure = error
            pool.unregister_attempt(effect.lease)
        if scope.cancelled_caught:
            await pool.discard_connection(effect.lease)
        if failure is not None:
            self._report_failure(effect, failure)
        return result

    def _get_timeout_ms(self, group_name: str) -> int:
        group = self._state.directory.get_group(group_name)
        return group.request_timeout_ms if group else DEFAULT_TIMEOUT_MS

    def _report_failure(
        self,
        effect: effects.RunStatement,
        error: exceptions.AttemptLostError,
    ) -> None:
        self._submit(
            writes_events.AttemptFailed(
                effect.request,
                effect.attempt,
                error.was_sent,
                error.is_too_large,
                error.sqlstate,
            )
        )


def _make_answered_event(
    effect: effects.RunStatement, result: attempt_module.AttemptResult
) -> writes_events.AttemptAnswered:
    return writes_events.AttemptAnswered(
        effect.request,
        effect.attempt,
        result.report,
        result.confirmed,
        result.section.sqlstate,
        result.status != "I",
        result.is_key_reused,
    )
