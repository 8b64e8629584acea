"""Carry requests between callers' sessions and the reducer."""

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
from knapweedtally.runtime import edges
from knapweedtally.targets import attempt as attempt_module
from knapweedtally.targets import edge as targets_edge

DEFAULT_TIMEOUT_MS = 5_000

Refusal = effects.DeliverError
_RequestEffect = (
    effects.RunStatement | effects.DeliverAnswer | effects.DeliverError
)


class FilteringBatch(Protocol):
    """Build messages for a target and filter their answer for the caller."""

    def render(self, prepared: set[str]) -> bytes:
        """Return messages that bring about exactly one ReadyForQuery."""

    def digest(self) -> str:
        """Return a digest of the statements and parameters."""

    def filter_answer(self, frames: list[bytes]) -> Iterable[bytes]:
        """Return the frames that the caller asked for."""


class Order(NamedTuple):
    """Hold a request as a session hands it over.

    Attributes are those of ``RequestArrived``, and the batch to run.
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


class Outcome(NamedTuple):
    """Hold the final answer to an order.

    Attributes:
        frames: frames of the target's answer.
        status: transaction status afterwards.
        position: new position of the session, or None if unchanged.
        decision: id of the decision record.
        is_replayed: whether the answer comes from a key's record.
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


class _Mailbox:
    """Hold the effects of one request until its session takes them."""

    def __init__(self) -> None:
        self._effects: collections.deque[_RequestEffect] = collections.deque()
        self._arrival: anyio.Event | None = None

    def put(self, effect: _RequestEffect) -> None:
        self._effects.append(effect)
        if self._arrival is not None:
            self._arrival.set()

    async def get(self) -> _RequestEffect:
        while not self._effects:
            self._arrival = anyio.Event()
            await self._arrival.wait()
            self._arrival = None
        return self._effects.popleft()


class Executor:
    """Give requests to the reducer and run their attempts."""

    def __init__(
        self,
        submit: edges.Submit,
        state: state_module.ProxyState,
        targets: targets_edge.TargetsEdge,
        recorder: requests.Recorder,
    ) -> None:
        self._submit = submit
        self._state = state
        self._targets = targets
        self._recorder = recorder
        self._ids = itertools.count(1)
        self._mailboxes: dict[int, _Mailbox] = {}

    def deliver(self, effect: _RequestEffect) -> None:
        """Hand an effect to the session that waits for it."""
        mailbox = self._mailboxes.get(effect.request)
        if mailbox is not None:
            mailbox.put(effect)

    async def execute(self, order: Order) -> Outcome:
        """Run an order to its final answer."""
        request_id = next(self._ids)
        mailbox = _Mailbox()
        arrived_at = time.monotonic()
        is_read_only = self._is_read_only(order.session)
        self._mailboxes[request_id] = mailbox
        try:
            self._submit(
                admission_events.RequestArrived(request_id, *order[:-1])
            )
            outcome = await self._follow(order, mailbox)
        finally:
            del self._mailboxes[request_id]
        self._recorder.note_request(
            requests.Ended(
                order.group,
                order.kind,
                is_read_only,
                outcome.refusal.kind if outcome.refusal else None,
                arrived_at,
                time.monotonic(),
            )
        )
        return outcome

    def _is_read_only(self, session: int) -> bool:
        """Tell whether a session's open transaction only reads."""
        admission = self._state.admission
        lease_id = admission.transactions.get(session)
        if lease_id is None:
            return False
        return admission.leases[lease_id].is_read_only

    async def _follow(self, order: Order, mailbox: _Mailbox) -> Outcome:
        results: dict[int, attempt_module.Result] = {}
        while True:
            effect = await mailbox.get()
            if isinstance(effect, effects.RunStatement):
                result = await self._run_attempt(order, effect)
                if result is not None:
                    results[effect.attempt] = result
                    self._submit(_describe_result(effect, result))
            elif isinstance(effect, effects.DeliverAnswer):
                result = results[effect.attempt]
                return Outcome(
                    result.section.frames,
                    result.status,
                    effect.position,
                    effect.decision,
                    result.is_replayed,
                    result.section.sqlstate != "",
                )
            else:
                return Outcome([], "I", None, effect.decision, refusal=effect)

    async def _run_attempt(
        self, order: Order, effect: effects.RunStatement
    ) -> attempt_module.Result | None:
        """Run one attempt; report its failure to the reducer."""
        pool = self._targets.pool
        target = self._targets.find_target(effect.target)
        if target is None:
            error = exceptions.AttemptLostError("no such target", False)
            self._fail(effect, error)
            return None
        result = None
        failure: exceptions.AttemptLostError | None = None
        with anyio.CancelScope() as scope:
            pool.enter_lease(effect.lease, scope)
            try:
                connection = await pool.get_connection(
                    effect.lease, target, order.group
                )
                result = await attempt_module.run_attempt(
                    connection,
                    effect,
                    order.batch,
                    order.caller,
                    self._get_timeout_ms(order.group),
                )
                if result.section.sqlstate:
                    connection.prepared.clear()
            except exceptions.AttemptLostError as error:
                failure = error
            pool.leave_lease(effect.lease)
        if scope.cancelled_caught:
            await pool.discard(effect.lease)
        if failure is not None:
            self._fail(effect, failure)
        return result

    def _get_timeout_ms(self, group_name: str) -> int:
        group = self._state.directory.get_group(group_name)
        return group.request_timeout_ms if group else DEFAULT_TIMEOUT_MS

    def _fail(
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


def _describe_result(
    effect: effects.RunStatement, result: attempt_module.Result
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
