"""Changes of a group's primary while this host holds the promotion lease."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from knapweedtally.core.groups import attempt_notices
from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import fences
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import store
from knapweedtally.entry.members import group as group_module
from knapweedtally.entry.members import lease_manager
from knapweedtally.entry.pools import line_connections
from knapweedtally.platform import line_protocol
from knapweedtally.platform import promotion_call
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import http
from knapweedtally.utils import http_client

# Hosts that detect the same failure claim the lease in the order of their
# ranks, with this delay per rank and this longest delay, in seconds. Most
# hosts then find the lease already claimed.
CLAIM_DELAY_PER_RANK_S = 0.06
MAX_CLAIM_DELAY_S = 3.0

# Timeout of a promotion request, in seconds; shorter than the lease.
PROMOTE_TIMEOUT_S = 0.7


FenceListener = Callable[[group_module.Group, int, model.Position], None]
NoticeListener = Callable[[group_module.Group, change_notices.Notice], None]


class Promoter:
    """Change the primaries of several groups under one promotion lease."""

    def __init__(
        self,
        manager: lease_manager.LeaseManager,
        address: settings.Address,
        host: str,
        log: logs.Log,
        on_fenced: FenceListener,
        on_notice: NoticeListener,
        refresh_targets: Callable[[], Awaitable[None]],
    ) -> None:
        """Create a promoter without an attempt.

        Args:
            manager: manages the promotion lease.
            address: address of the platform's promotion call.
            host: name of this host.
            log: where the steps are written.
            on_fenced: called with a group's router, a term and the position
                that covers every commit of that term, while an attempt has
                fenced the term.
            on_notice: called with a group's router and how far its change has
                got, in time for the other hosts to act on it.
            refresh_targets: lists the targets in the store and adds those that
                this host doesn't know yet.
        """
        self._refresh_targets = refresh_targets
        self._on_fenced = on_fenced
        self._on_notice = on_notice
        self._lease_manager = manager
        self._address = address
        self._host = host
        self._log = log
        self._lock = asyncio.Lock()
        self._attempt_count = 0

    async def change_primary(
        self,
        router: group_module.Group,
        find_cause: Callable[[], steps.Cause | None],
        is_settled: Callable[[float], bool],
        leaving: frozenset[str],
        rank: int,
    ) -> bool:
        """Claim the promotion lease and change a group's primary.

        Args:
            router: the group's router.
            find_cause: returns why the change is needed, or None. Called
                again once the lease is held, since another host may have
                made the change meanwhile.
            is_settled: returns whether all members are known at a time.
            leaving: ids of the targets that are leaving.
            rank: rank of this host among the live hosts of the group.

        Returns:
            Whether a new primary leads.
        """
        await asyncio.sleep(
            min(MAX_CLAIM_DELAY_S, CLAIM_DELAY_PER_RANK_S * rank)
        )
        if find_cause() is None:
            return False
        try:
            await self._acquire_lease()
        except lease_manager.LeaseLost as error:
            self._log.write(
                "duty_not_claimed",
                group=router.settings.name,
                reason=str(error),
            )
            return False
        try:
            await self._refresh_statuses(router)
            cause = find_cause()
            if cause is None:
                return False
            return await self._run_attempt(router, cause, is_settled, leaving)
        finally:
            await self._release_lease()

    async def _acquire_lease(self) -> None:
        async with self._lock:
            if not self._attempt_count:
                await self._lease_manager.claim()
            self._attempt_count += 1

    async def _release_lease(self) -> None:
        async with self._lock:
            self._attempt_count -= 1
            if not self._attempt_count:
                await self._lease_manager.release()

    async def _refresh_statuses(self, router: group_module.Group) -> None:
        """Request the status of the members that answer.

        The cause of the change is then judged by current evidence.
        """
        targets = tuple(
            target
            for target, pool in router.pools.items()
            if pool.failing_since_s is None
        )
        await asyncio.gather(
            *(
                self._send_order(target, steps.Order.STATUS, 0, router)
                for target in targets
            )
        )

    async def _run_attempt(
        self,
        router: group_module.Group,
        cause: steps.Cause,
        is_settled: Callable[[float], bool],
        leaving: frozenset[str],
    ) -> bool:
        old_primary = router.observer.leadership.target
        log_floor = None
        if cause is steps.Cause.ABSENT:
            old_primary = None
            last = _find_log_proof(
                router,
                self._lease_manager.get_requested_term(router.settings.name),
            )
            if last is not None:
                old_primary, log_floor = last.target, last.position
        attempt = primary_change.begin_attempt(
            router.settings.name,
            cause,
            old_primary,
            tuple(target for target in router.members if target != old_primary),
            leaving,
            _get_known_term(router),
            clock.get_time_s(),
            log_floor,
        )
        attempt.is_settled = is_settled(attempt.started_s)
        recorded = router.observer.last_primary
        if recorded is not None:
            attempt.successor_floor = recorded.position
        self._log.write(
            "change_started",
            group=attempt.group,
            cause=cause.value,
            old_primary=old_primary,
            others=list(attempt.others),
            leaving=sorted(leaving),
            successors=sorted(router.successors),
            failing=[
                target
                for target, pool in router.pools.items()
                if pool.failing_since_s is not None
            ],
            term=attempt.term,
            fence=self._lease_manager.fence,
            has_log_proof=log_floor is not None,
        )
        finish = await self._run_steps(attempt, router)
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

    async def _run_steps(
        self, attempt: steps.Attempt, router: group_module.Group
    ) -> steps.Finish:
        phase = None
        while True:
            now_s = clock.get_time_s()
            primary_change.update_members(attempt, router.members, now_s)
            attempt.successors = router.successors
            primary_change.record_known_term(
                attempt, _get_known_term(router), now_s
            )
            primary_change.record_member_evidence(
                attempt, router.observer.leadership.member_seen_s, now_s
            )
            change = router.observer.leadership.change
            attempt_notices.record_requests(attempt, change, now_s)
            attempt_notices.record_objections(attempt, change, now_s)
            step = primary_change.next_step(attempt, now_s)
            notice = attempt_notices.make_notice(attempt)
            if notice is not None:
                self._on_notice(router, notice)
            if attempt.phase is not phase:
                phase = attempt.phase
                self._log.write(
                    "change_step", group=attempt.group, phase=phase.value
                )
            if isinstance(step, steps.Finish):
                await self._resume_members(attempt, router)
                return step
            try:
                await self._execute_step(step, attempt, router)
                if primary_change.needs_listing(attempt):
                    await self._list_targets(attempt)
                    primary_change.update_members(
                        attempt, router.members, clock.get_time_s()
                    )
                position = primary_change.find_safe_position(attempt)
                if position is not None:
                    self._on_fenced(router, attempt.term - 1, position)
                await self._lease_manager.renew()
            except lease_manager.LeaseLost as error:
                # Members stay fenced: the next lease holder may rely on it.
                return steps.Finish(False, str(error))

    async def _execute_step(
        self,
        step: steps.Step,
        attempt: steps.Attempt,
        router: group_module.Group,
    ) -> None:
        self._lease_manager.check_generation()
        if isinstance(step, steps.Wait):
            await asyncio.sleep(min(step.delay_s, lease_manager.RENEW_AFTER_S))
        elif isinstance(step, steps.ListTargets):
            await self._list_targets(attempt)
        elif isinstance(step, steps.Promote):
            await self._lease_manager.record_request(
                attempt.group, attempt.term
            )
            status = await self._promote(attempt, step.target)
            change_reports.record_promotion_response(
                attempt, status, clock.get_time_s()
            )
            if status != 200:
                await asyncio.sleep(primary_change.ORDER_INTERVAL_S)
        elif isinstance(step, steps.SendOrder):
            reports = await self._send_orders(step, attempt, router)
            change_reports.record_reports(
                attempt, step.order, reports, clock.get_time_s()
            )
            await asyncio.sleep(step.pause_s)

    async def _list_targets(self, attempt: steps.Attempt) -> None:
        try:
            await self._refresh_targets()
        except (store.StoreError, store_calls.MalformedResponse) as error:
            self._log.write(
                "store_call_failed", kind="targets", reason=str(error)
            )
            await asyncio.sleep(primary_change.ORDER_INTERVAL_S)
            return
        primary_change.record_listing(attempt, clock.get_time_s())

    async def _resume_members(
        self, attempt: steps.Attempt, router: group_module.Group
    ) -> None:
        """Let fenced members receive again if a primary leads."""
        targets = primary_change.list_members_to_resume(attempt)
        if not targets:
            return
        if self._lease_manager.may_act():
            step = steps.SendOrder(steps.Order.RESUME, targets)
            await self._send_orders(step, attempt, router)

    async def _send_orders(
        self,
        step: steps.SendOrder,
        attempt: steps.Attempt,
        router: group_module.Group,
    ) -> dict[str, steps.OrderReport]:
        reports = await asyncio.gather(
            *(
                self._send_order(target, step.order, attempt.term, router)
                for target in step.targets
            )
        )
        return {
            target: report
            for target, report in zip(step.targets, reports, strict=True)
            if report is not None
        }

    async def _send_order(
        self,
        target: str,
        order: steps.Order,
        term: int,
        router: group_module.Group,
    ) -> steps.OrderReport | None:
        pool = router.pools.get(target)
        if pool is None:
            return None
        outcome_future: asyncio.Future[line_connections.Outcome] = (
            asyncio.get_running_loop().create_future()
        )

        def set_outcome(outcome: line_connections.Outcome) -> None:
            if not outcome_future.done():
                outcome_future.set_result(outcome)

        pool.send_control_statement(
            _ORDER_ENCODERS[order](term),
            set_outcome,
            primary_change.ORDER_TIMEOUT_S,
        )
        outcome = await outcome_future
        if outcome.answer is None:
            return None
        status = line_protocol.parse_status(outcome.answer)
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
        router.observer.record_status(target, status, outcome.asked_s)
        if status.received < pool.position_before_restart:
            # The target restarted without part of the log that it had
            # received before, so its position proves nothing about commits
            # that it acknowledged.
            return None
        return steps.OrderReport(status, clock.get_time_s())

    async def _promote(self, attempt: steps.Attempt, target: str) -> int:
        """Request the promotion from the platform.

        Returns:
            The HTTP status, or 0 where no response arrived.
        """
        client = http_client.Client(
            self._address.host,
            self._address.port,
            unacknowledged_limit_s=PROMOTE_TIMEOUT_S,
        )
        request = promotion_call.make_request(
            attempt.group, target, self._host, self._lease_manager.fence
        )
        started_s = clock.get_time_s()
        status = 0
        reason = ""
        try:
            # Connecting before the check of the lease keeps the time between
            # the check and the request short.
            await client.connect()
            self._lease_manager.check_generation()
            if not self._lease_manager.may_act():
                raise lease_manager.LeaseLost(
                    "the lease expired before the promotion was requested"
                )
            response = await client.send(request, PROMOTE_TIMEOUT_S)
            status = response.status
        except http.HttpError as error:
            reason = str(error)
        finally:
            await client.close()
        self._log.write(
            "promotion_asked",
            group=attempt.group,
            target=target,
            fence=self._lease_manager.fence,
            fenced={
                member: report.status.received
                for member, report in attempt.fenced.items()
            },
            final_position=attempt.final_position,
            took_s=round(clock.get_time_s() - started_s, 3),
            status=status,
            reason=reason,
        )
        return status


def _find_log_proof(
    router: group_module.Group, requested_term: int
) -> last_primary.LastPrimary | None:
    """Return the last primary if its log has to be the proof.

    That is, if too few members answer for a proof by fences. A promotion to a
    later term may have taken effect where this host sees nothing of it.

    Args:
        router: the group's router.
        requested_term: highest term for which a promotion was requested.
    """
    answering = sum(
        pool.is_answering and target not in router.successors
        for target, pool in router.pools.items()
    )
    needed = fences.count_fences_without_primary(len(router.members))
    last = router.observer.find_last_primary()
    if answering >= needed or last is None or last.term < requested_term:
        return None
    return last


def _get_known_term(router: group_module.Group) -> int:
    return max(router.observer.known_term, router.observer.leadership.term)


def _encode_status(term: int) -> bytes:
    return line_protocol.STATUS


def _encode_resume(term: int) -> bytes:
    return line_protocol.RESUME


_ORDER_ENCODERS = {
    steps.Order.STATUS: _encode_status,
    steps.Order.RESUME: _encode_resume,
    steps.Order.PAUSE: line_protocol.encode_pause,
    steps.Order.STEP_DOWN: line_protocol.encode_step_down,
}
