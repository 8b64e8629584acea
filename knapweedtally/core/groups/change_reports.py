"""What the answers of targets and of the platform mean for a change of primary.

See ``primary_change`` for the steps that the answers belong to.
"""

from knapweedtally.core.groups import fences
from knapweedtally.core.groups import steps

# Time limit for a target to reach the last position of the old primary.
CATCH_UP_TIMEOUT_S = 0.3

# Phases in which a later term may be the attempt's own.
FINAL_PHASES = frozenset(
    (steps.Phase.EFFECT, steps.Phase.DONE, steps.Phase.GIVEN_UP)
)


def record_reports(
    attempt: steps.Attempt,
    order: steps.Order,
    reports: dict[str, steps.OrderReport],
    now_s: float,
) -> None:
    """Record the answers to an order and enter the phase that follows."""
    new_primaries = [
        target
        for target, report in reports.items()
        if report.status.is_primary and report.status.term >= attempt.term
    ]
    if new_primaries and attempt.phase not in FINAL_PHASES:
        is_own = attempt.is_promotion_requested
        if is_own and new_primaries == [attempt.candidate]:
            steps.enter_phase(attempt, steps.Phase.DONE, now_s)
        else:
            give_up_for_successor(attempt, now_s)
        return
    if _is_log_lost(attempt, reports):
        steps.enter_phase(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = "the last primary lacks entries that another has"
        return
    _REPORT_HANDLERS.get(attempt.phase, _ignore_reports)(
        attempt, reports, now_s
    )


def _is_log_lost(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport]
) -> bool:
    """Return whether the last primary, which is the proof, lost its log.

    A target that starts again with nothing answers under the same id or takes
    the place of its former life. The other members' logs are never ahead of an
    intact one.
    """
    if attempt.log_floor is None or attempt.is_promotion_requested:
        return False
    floor = max(attempt.log_floor, attempt.final_position or attempt.log_floor)
    last = reports.get(attempt.old_primary or "")
    if last is not None and last.status.received < floor:
        return True
    return attempt.final_position is not None and any(
        report.status.received > attempt.final_position
        for report in reports.values()
    )


def _ignore_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    """Ignore the reports, which the current phase doesn't need."""


def _handle_step_down_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    report = reports.get(attempt.old_primary or "")
    if report is None or report.status.is_primary:
        steps.enter_phase(attempt, steps.Phase.FENCE, now_s)
        return
    attempt.final_position = report.status.received
    attempt.stepped_down_s = report.answered_s
    steps.enter_phase(attempt, steps.Phase.CATCH_UP, now_s)


def _handle_catch_up_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    assert attempt.final_position is not None
    caught_up = [
        target
        for target, report in reports.items()
        if report.status.received >= attempt.final_position
    ]
    most_advanced = choose_candidate(
        attempt, {t: reports[t] for t in caught_up}
    )
    if most_advanced is not None and most_advanced not in attempt.leaving:
        attempt.candidate = most_advanced
        steps.enter_phase(attempt, steps.Phase.WAIT, now_s)
    elif now_s - attempt.phase_since_s > CATCH_UP_TIMEOUT_S:
        steps.enter_phase(attempt, steps.Phase.FENCE, now_s)


def _record_fences(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport]
) -> None:
    for target, report in reports.items():
        if report.status.paused_for >= attempt.term:
            attempt.fenced[target] = report


def _handle_wait_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    _record_fences(attempt, reports)


def _handle_fence_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    _record_fences(attempt, reports)
    if fences.has_fenced_enough(attempt):
        attempt.candidate = choose_candidate(attempt, attempt.fenced)
        attempt.stepped_down_s = 0.0
        steps.enter_phase(attempt, steps.Phase.WAIT, now_s)
        _check_requested_candidate(attempt, now_s)
    elif attempt.stepped_down_s and now_s - attempt.phase_since_s > 1.0:
        _choose_by_final_position(attempt, now_s)


def _choose_by_final_position(attempt: steps.Attempt, now_s: float) -> None:
    """Choose a candidate by the old primary's final position.

    Used if a member can't be fenced after the old primary stepped down.
    """
    assert attempt.final_position is not None
    if attempt.log_floor is not None and not attempt.fenced:
        # Without another member's answer, a log that was lost can't be told
        # from a complete one.
        return
    caught_up = {
        target: report
        for target, report in attempt.fenced.items()
        if report.status.received >= attempt.final_position
    }
    attempt.candidate = (
        choose_candidate(attempt, caught_up) or attempt.old_primary
    )
    steps.enter_phase(attempt, steps.Phase.WAIT, now_s)
    _check_requested_candidate(attempt, now_s)


def _check_requested_candidate(attempt: steps.Attempt, now_s: float) -> None:
    """Keep to the target whose promotion may still take effect.

    If it took effect after that of another target, commits of that one would be
    lost.
    """
    requested = attempt.requested
    if requested is None or attempt.candidate == requested:
        return
    assert attempt.candidate is not None
    report = attempt.fenced.get(requested)
    best = attempt.fenced.get(attempt.candidate)
    if (
        report is not None
        and best is not None
        and report.status.received >= best.status.received
    ):
        attempt.candidate = requested
        return
    steps.enter_phase(attempt, steps.Phase.GIVEN_UP, now_s)
    attempt.reason = "the promotion of another target was requested before"


def _handle_confirmation_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    if attempt.stepped_down_s:
        _handle_step_down_confirmation(attempt, reports, now_s)
        return
    for target, known in list(attempt.fenced.items()):
        if not _is_still_fenced(attempt, known, reports.get(target)):
            del attempt.fenced[target]
    if fences.has_fenced_enough(attempt):
        # The candidate may not have answered.
        attempt.candidate = choose_candidate(attempt, attempt.fenced)
        steps.enter_phase(attempt, steps.Phase.PROMOTE, now_s)
        _check_requested_candidate(attempt, now_s)
    else:
        attempt.fenced.clear()
        steps.enter_phase(attempt, steps.Phase.FENCE, now_s)


def _is_still_fenced(
    attempt: steps.Attempt,
    known: steps.OrderReport,
    report: steps.OrderReport | None,
) -> bool:
    """Return whether a member has received nothing since it was fenced."""
    if report is None or report.status.paused_for < attempt.term:
        return False
    return report.status.received == known.status.received


def _handle_step_down_confirmation(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    """Enter the promotion if the old primary is still not the primary.

    If it restarted, it may have led and committed since. In this case, or
    without the candidate's answer, all other members are fenced instead.
    Members that restarted are paused again.
    """
    old = reports.get(attempt.old_primary or "")
    has_stepped_down = (
        old is not None
        and not old.status.is_primary
        and old.status.received == attempt.final_position
    )
    if not has_stepped_down or attempt.candidate not in reports:
        attempt.stepped_down_s = 0.0
        attempt.fenced.clear()
        steps.enter_phase(attempt, steps.Phase.FENCE, now_s)
        return
    restarted = [
        target
        for target in attempt.fenced
        if target in reports
        and reports[target].status.paused_for < attempt.term
    ]
    for target in restarted:
        del attempt.fenced[target]
    if restarted:
        attempt.is_pause_sent = False
        steps.enter_phase(attempt, steps.Phase.WAIT, now_s)
    else:
        steps.enter_phase(attempt, steps.Phase.PROMOTE, now_s)


def _handle_effect_reports(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport], now_s: float
) -> None:
    report = reports.get(attempt.candidate or "")
    if report is None or not report.status.is_primary:
        return
    if report.status.term >= attempt.term:
        # The promotion also resumes replication at the other members, from the
        # new primary.
        steps.enter_phase(attempt, steps.Phase.DONE, now_s)


_REPORT_HANDLERS = {
    steps.Phase.STEP_DOWN: _handle_step_down_reports,
    steps.Phase.CATCH_UP: _handle_catch_up_reports,
    steps.Phase.FENCE: _handle_fence_reports,
    steps.Phase.WAIT: _handle_wait_reports,
    steps.Phase.CONFIRM: _handle_confirmation_reports,
    steps.Phase.EFFECT: _handle_effect_reports,
}


def record_promotion_response(
    attempt: steps.Attempt, status: int, now_s: float
) -> None:
    """Record the platform's response to a promotion request.

    Args:
        attempt: the attempt.
        status: HTTP status, or 0 if no response arrived.
        now_s: the current time.
    """
    if status != 409:
        attempt.requested = attempt.candidate
    if status == 200:
        steps.enter_phase(attempt, steps.Phase.EFFECT, now_s)
    elif status == 409:
        attempt.fenced.clear()
        attempt.stepped_down_s = 0.0
        steps.enter_phase(attempt, steps.Phase.FENCE, now_s)
    else:
        # The call may have been executed, and the members may have restarted
        # since.
        steps.enter_phase(attempt, steps.Phase.CONFIRM, now_s)


def choose_candidate(
    attempt: steps.Attempt, reports: dict[str, steps.OrderReport]
) -> str | None:
    """Return the most advanced target; among equals, one that isn't leaving."""
    if not reports:
        return None
    return max(
        reports,
        key=lambda target: (
            reports[target].status.received,
            target not in attempt.leaving,
            target,
        ),
    )


def give_up_for_successor(attempt: steps.Attempt, now_s: float) -> None:
    """Give up, as a target leads the attempt's term or a later one."""
    steps.enter_phase(attempt, steps.Phase.GIVEN_UP, now_s)
    attempt.has_successor = True
    attempt.reason = "a target is already the primary of this or a later term"
