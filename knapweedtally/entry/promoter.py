"""Change the primary of a group when it fails or leaves."""

import asyncio
import random
from collections.abc import Callable

from knapweedtally.core.groups import duty
from knapweedtally.core.groups import model
from knapweedtally.core.groups import steps
from knapweedtally.core.groups import succession
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import logs
from knapweedtally.entry import router as router_module
from knapweedtally.entry import store
from knapweedtally.platform import lines
from knapweedtally.platform import promotion_call
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import http
from knapweedtally.utils import http_client

DUTY_KIND = "knapweedtally-duties"
DUTY_NAME = "promotion"

# Hosts that see the same failure claim the duty one after the other in the
# order of their ranks, this far apart, in seconds, up to the limit; most find
# it claimed then.
CLAIM_STEP_S = 0.06
CLAIM_LIMIT_S = 3.0

# A turn is renewed when this much of it has passed, in seconds.
RENEW_AFTER_S = 0.5

# Time for the answer to a promotion, in seconds; within a turn.
PROMOTE_TIMEOUT_S = 0.7


class DutyLost(Exception):  # noqa: N818 - named after the cause
    """Report that the duty is held by another host, or can't be reached."""


class Duty:
    """Hold the right to promote, as the store's object says.

    Attributes:
        claimed_s: when the claim or its last renewal was sent.
    """

    def __init__(
        self, client: store.StoreClient, host: str, log: logs.Log
    ) -> None:
        """Make a duty that isn't held."""
        self.claimed_s = 0.0
        self._turn = duty.Turn(host, "", 0, False, 0)
        self._client = client
        self._host = host
        self._incarnation = f"{random.getrandbits(48):x}"
        self._log = log
        self._sighting = duty.Sighting()
        self._revision = 0

    @property
    def fence(self) -> int:
        """Return the number of the held turn."""
        return self._turn.fence

    async def claim(self) -> None:
        """Take the duty.

        Raises:
            DutyLost: another host holds it or the store doesn't answer.
        """
        try:
            turn = await self._read()
            now_s = clock.get_time_s()
            if turn is not None:
                free_at_s = duty.get_free_at_s(turn, self._sighting, self._host)
                if free_at_s > now_s:
                    raise DutyLost(f"{turn.holder} holds turn {turn.fence}")
            claimed = duty.make_next_turn(turn, self._host, self._incarnation)
            await self._write(claimed, turn is None)
        except (store.StoreError, store_calls.BrokenAnswer) as error:
            raise DutyLost(str(error)) from error
        self._turn = claimed
        self._log.write("duty_claimed", fence=self.fence)

    async def renew(self) -> None:
        """Prolong the held turn if some of it has passed.

        Raises:
            DutyLost: the turn is over or the store doesn't answer.
        """
        if clock.get_time_s() - self.claimed_s < RENEW_AFTER_S:
            return
        turn = duty.renew_turn(self._turn)
        try:
            await self._write(turn, False)
            self._turn = turn
        except (store.StoreError, store_calls.BrokenAnswer) as error:
            if not duty.may_act(self.claimed_s, clock.get_time_s()):
                raise DutyLost(str(error)) from error

    async def give_back(self) -> None:
        """Tell the other hosts that the duty is free."""
        turn = self._turn._replace(is_held=False)
        try:
            await self._write(turn, False)
        except (store.StoreError, store_calls.BrokenAnswer, DutyLost) as error:
            # The turn ends by itself.
            self._log.write("duty_not_given_back", reason=str(error))

    async def _read(self) -> duty.Turn | None:
        request = store_calls.make_read_request(DUTY_KIND, DUTY_NAME)
        response = await self._client.send(request)
        if response.status == 404:
            return None
        if response.status != 200:
            raise store.StoreError(f"status {response.status}")
        answer = store_calls.parse_answer(response)
        stored = store_calls.parse_object(answer)
        self._note(stored)
        turn = duty.parse_turn(stored.spec)
        if turn is None:
            raise store_calls.BrokenAnswer("the duty's object is unreadable")
        return turn

    async def _write(self, turn: duty.Turn, creates: bool) -> None:
        spec = turn._asdict()
        request = (
            store_calls.make_create_request(DUTY_KIND, DUTY_NAME, spec)
            if creates
            else store_calls.make_replace_request(
                DUTY_KIND, DUTY_NAME, spec, self._revision
            )
        )
        sent_s = clock.get_time_s()
        response = await self._client.send(request)
        if response.status not in (200, 201):
            raise DutyLost(f"another host was first: {response.status}")
        answer = store_calls.parse_answer(response)
        self._note(store_calls.parse_object(answer))
        self.claimed_s = sent_s

    def _note(self, stored: store_calls.StoredObject) -> None:
        self._revision = stored.revision
        duty.note_seen(self._sighting, stored.revision, clock.get_time_s())


FenceListener = Callable[[router_module.Router, int, model.Position], None]


class Promoter:
    """Run attempts for several groups under one turn of the duty."""

    def __init__(
        self,
        held: Duty,
        address: settings.Address,
        host: str,
        log: logs.Log,
        on_fenced: FenceListener,
    ) -> None:
        """Make a promoter without an attempt.

        Args:
            held: the duty to promote.
            address: where promotions are asked for.
            host: name of this host.
            log: where the steps are written.
            on_fenced: told the position that covers every commit of a group
                and term while an attempt has stopped it.
        """
        self._on_fenced = on_fenced
        self._duty = held
        self._address = address
        self._host = host
        self._log = log
        self._lock = asyncio.Lock()
        self._attempts = 0

    async def run(
        self,
        router: router_module.Router,
        find_cause: Callable[[], steps.Cause | None],
        leaving: frozenset[str],
        rank: int,
    ) -> bool:
        """Hold the duty and change a group's primary.

        Args:
            router: the group's router.
            find_cause: tells why the change is needed; asked again once the
                duty is held, since another host may have made it meanwhile.
            leaving: ids of the targets that are leaving.
            rank: place of this host among those that may do it.

        Returns:
            Whether a new primary leads.
        """
        await asyncio.sleep(min(CLAIM_LIMIT_S, CLAIM_STEP_S * rank))
        if find_cause() is None:
            return False
        try:
            await self._enter()
        except DutyLost as error:
            self._log.write(
                "duty_not_claimed",
                group=router.settings.name,
                reason=str(error),
            )
            return False
        try:
            await self._ask_all(router)
            cause = find_cause()
            if cause is None:
                return False
            return await self._change(router, cause, leaving)
        finally:
            await self._leave()

    async def _enter(self) -> None:
        async with self._lock:
            if not self._attempts:
                await self._duty.claim()
            self._attempts += 1

    async def _leave(self) -> None:
        async with self._lock:
            self._attempts -= 1
            if not self._attempts:
                await self._duty.give_back()

    async def _ask_all(self, router: router_module.Router) -> None:
        """Hear from every member, so that the cause is judged by news."""
        targets = tuple(
            target
            for target, pool in router.pools.items()
            if pool.failing_since_s is None
        )
        await asyncio.gather(
            *(
                self._ask_one(target, steps.Order.STATUS, 0, router)
                for target in targets
            )
        )

    async def _change(
        self,
        router: router_module.Router,
        cause: steps.Cause,
        leaving: frozenset[str],
    ) -> bool:
        old = router.observer.leadership.target
        if cause is steps.Cause.ABSENT:
            old = None
        attempt = succession.begin_attempt(
            router.settings.name,
            cause,
            old,
            tuple(target for target in router.pools if target != old),
            leaving,
            max(router.observer.known_term, router.observer.leadership.term),
            clock.get_time_s(),
        )
        self._log.write(
            "change_started",
            group=attempt.group,
            cause=cause.value,
            old_primary=old,
            others=list(attempt.others),
            term=attempt.term,
            fence=self._duty.fence,
        )
        finish = await self._follow(attempt, router)
        self._log.write(
            "change_ended",
            group=attempt.group,
            is_done=finish.is_done,
            reason=finish.reason,
            candidate=attempt.candidate,
            final_position=attempt.final_position,
            took_s=round(clock.get_time_s() - attempt.started_s, 3),
        )
        return finish.is_done

    async def _follow(
        self, attempt: steps.Attempt, router: router_module.Router
    ) -> steps.Finish:
        phase = None
        while True:
            step = succession.next_step(attempt, clock.get_time_s())
            if attempt.phase is not phase:
                phase = attempt.phase
                self._log.write(
                    "change_step", group=attempt.group, phase=phase.value
                )
            if isinstance(step, steps.Finish):
                if not step.is_done:
                    await self._resume(attempt, router)
                return step
            succession.put_members(attempt, router.pools)
            try:
                await self._do(step, attempt, router)
                position = succession.find_safe_position(attempt)
                if position is not None:
                    self._on_fenced(router, attempt.term - 1, position)
                await self._duty.renew()
            except DutyLost as error:
                # Members stay stopped: the next holder may rely on it.
                return steps.Finish(False, str(error))

    async def _do(
        self,
        step: steps.Step,
        attempt: steps.Attempt,
        router: router_module.Router,
    ) -> None:
        if isinstance(step, steps.Wait):
            await asyncio.sleep(min(step.delay_s, RENEW_AFTER_S))
        elif isinstance(step, steps.Promote):
            status = await self._promote(attempt.group, step.target)
            succession.note_promoted(attempt, status, clock.get_time_s())
            if status != 200:
                await asyncio.sleep(succession.ROUND_S)
        elif isinstance(step, steps.Ask):
            reports = await self._ask(step, attempt, router)
            succession.note_reports(
                attempt, step.order, reports, clock.get_time_s()
            )
            await asyncio.sleep(step.pause_s)

    async def _resume(
        self, attempt: steps.Attempt, router: router_module.Router
    ) -> None:
        """Let stopped members receive again where the old primary leads on."""
        targets = succession.list_to_resume(attempt)
        if not targets:
            return
        if duty.may_act(self._duty.claimed_s, clock.get_time_s()):
            step = steps.Ask(steps.Order.RESUME, targets)
            await self._ask(step, attempt, router)

    async def _ask(
        self,
        step: steps.Ask,
        attempt: steps.Attempt,
        router: router_module.Router,
    ) -> dict[str, steps.Report]:
        reports = await asyncio.gather(
            *(
                self._ask_one(target, step.order, attempt.term, router)
                for target in step.targets
            )
        )
        return {
            target: report
            for target, report in zip(step.targets, reports, strict=True)
            if report is not None
        }

    async def _ask_one(
        self,
        target: str,
        order: steps.Order,
        term: int,
        router: router_module.Router,
    ) -> steps.Report | None:
        pool = router.pools.get(target)
        if pool is None:
            return None
        ended: asyncio.Future[connections.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

        def note_end(outcome: connections.Outcome) -> None:
            if not ended.done():
                ended.set_result(outcome)

        pool.ask(_TEXTS[order](term), note_end, succession.ORDER_TIMEOUT_S)
        outcome = await ended
        if outcome.answer is None:
            return None
        status = lines.parse_status(outcome.answer)
        self._log.write(
            "order_answered",
            target=target,
            order=order.value,
            term=term,
            status=status and status._asdict(),
            code=outcome.answer.code and outcome.answer.code.name,
        )
        if status is None:
            return None
        router.observer.note_status(target, status, outcome.asked_s)
        if status.received < pool.floor:
            # It restarted without what it had received before, so its log
            # proves nothing about commits that it acknowledged.
            return None
        return steps.Report(status, clock.get_time_s())

    async def _promote(self, group: str, target: str) -> int:
        """Ask the platform for the promotion and return the HTTP status."""
        client = http_client.Client(self._address.host, self._address.port)
        request = promotion_call.make_request(
            group, target, self._host, self._duty.fence
        )
        status = 0
        reason = ""
        try:
            # Connecting first keeps the time between the check and the
            # sending short.
            await client.connect()
            if not duty.may_act(self._duty.claimed_s, clock.get_time_s()):
                raise DutyLost("the turn ended before the promotion was sent")
            response = await client.send(request, PROMOTE_TIMEOUT_S)
            status = response.status
        except http.HttpError as error:
            reason = str(error)
        finally:
            await client.close()
        self._log.write(
            "promotion_asked",
            group=group,
            target=target,
            fence=self._duty.fence,
            status=status,
            reason=reason,
        )
        return status


def _encode_status(term: int) -> bytes:
    return lines.STATUS


def _encode_resume(term: int) -> bytes:
    return lines.RESUME


_TEXTS = {
    steps.Order.STATUS: _encode_status,
    steps.Order.RESUME: _encode_resume,
    steps.Order.PAUSE: lines.encode_pause,
    steps.Order.STEP_DOWN: lines.encode_step_down,
}
