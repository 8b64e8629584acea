"""State machine for the change of a group's primary.

``next_step`` returns the next step of an attempt according to its state; the
caller runs the step and records the answers. All steps are idempotent, so any
host can start a new attempt after another host was killed.

A promotion needs one of three proofs that no acknowledged commit is lost:

- All other targets are fenced: replication is paused there. No commit can then
  be acknowledged, since a replica has to receive it first, and the most
  advanced of these targets has every commit that was acknowledged before.
- The old primary stepped down. It then has every acknowledged commit, and so
  has each target that reached its last position. The other targets that answer
  are paused too, since the old primary may lead again after a restart.

- No primary is known, and the last primary answers. Its log has every
  acknowledged commit of the latest term, and it is made to step down like a
  primary that is known (see ``last_primary``).

In all cases the promotion waits until the evidence that allows hosts to read
at the old primary has expired.
"""

from collections.abc import Collection

from knapweedtally.core.groups import attempt_notices
from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import steps

# Time limit for an order to a target: several round trips and the queueing
# delay of a busy target.
ORDER_TIMEOUT_S = 0.4


# Interval at which an order is repeated.
ORDER_INTERVAL_S = 0.05

# Time limit for a promotion to take effect. After it, the members are confirmed
# again before the promotion is requested again.
EFFECT_TIMEOUT_S = 3.0

# Time limit for fencing the other members, enough for several orders. After it,
# another host that may reach more members can start its own attempt.
FENCE_TIMEOUT_S = 1.5


# An attempt is given up after this time unless the platform has accepted its
# promotion.
ATTEMPT_TIMEOUT_S = 8.0


# Phases in which members have to stay fenced.
_FENCED_PHASES = frozenset(
    (steps.Phase.WAIT, steps.Phase.CONFIRM, steps.Phase.PROMOTE)
)

# Phases in which members are fenced, or have to stay fenced.
_FENCING_PHASES = _FENCED_PHASES | {steps.Phase.FENCE}


def begin_attempt(
    group: str,
    cause: steps.Cause,
    old_primary: str | None,
    others: tuple[str, ...],
    leaving: frozenset[str],
    known_term: int,
    now_s: float,
    log_floor: model.Position | None = None,
) -> steps.Attempt:
    """Return a new attempt to change a group's primary.

    Args:
        group: name of the group.
        cause: why its primary is replaced.
        old_primary: id of the primary, or None if none is known.
        others: ids of the other members.
        leaving: ids of the members that are leaving.
        known_term: highest known term of any member.
        now_s: the current time.
        log_floor: if the attempt rests on the log of the last primary, which
            is then given as the primary, the position that it has to reach.
    """
    attempt = steps.Attempt(
        group, cause, old_primary, others, leaving, known_term + 1, now_s
    )
    attempt.phase_since_s = now_s
    attempt.log_floor = log_floor
    is_fenced_first = cause in (steps.Cause.UNREACHABLE, steps.Cause.ABSENT)
    if is_fenced_first and log_floor is None:
        attempt.phase = steps.Phase.FENCE
    return attempt


def update_members(
    attempt: steps.Attempt, members: Collection[str], now_s: float
) -> None:
    """Update the group's other members until the promotion is requested.

    A target that restarted with another id replaces its former id. The number
    of members never decreases, since a missing member may have commits that
    the others lack. A member that joins has to be fenced too, since the old
    primary may commit through it.
    """
    if attempt.phase not in _FENCING_PHASES:
        return
    others = tuple(t for t in members if t != attempt.old_primary)
    if len(others) < len(attempt.others):
        return
    has_joined = not set(others) <= set(attempt.others)
    attempt.others = others
    for target in [t for t in attempt.fenced if t not in members]:
        del attempt.fenced[target]
    is_proof_by_fences = not attempt.stepped_down_s
    if has_joined and is_proof_by_fences:
        steps.enter_phase(attempt, steps.Phase.FENCE, now_s)


def next_step(attempt: steps.Attempt, now_s: float) -> steps.Step:
    """Return the next step, after entering its phase if that differs."""
    if attempt.phase is steps.Phase.DONE:
        return steps.Finish(True, "")
    is_late = now_s - attempt.started_s > ATTEMPT_TIMEOUT_S
    if is_late and attempt.phase is not steps.Phase.EFFECT:
        steps.enter_phase(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = attempt.reason or "safety was not proven in time"
    if attempt.phase is steps.Phase.GIVEN_UP:
        return steps.Finish(False, attempt.reason)
    return _PLANNERS[attempt.phase](attempt, now_s)


def record_known_term(
    attempt: steps.Attempt, known_term: int, now_s: float
) -> None:
    """Give up if a promotion to the attempt's term or a later one is known.

    Args:
        attempt: the attempt.
        known_term: highest known term of any member.
        now_s: the current time.
    """
    if (
        known_term >= attempt.term
        and attempt.phase not in change_reports.FINAL_PHASES
    ):
        change_reports.give_up_for_successor(attempt, now_s)


def record_member_evidence(
    attempt: steps.Attempt, member_seen_s: float, now_s: float
) -> None:
    """Give up if a member received after all known members were fenced.

    There is then a member that isn't known here, through which the old primary
    still commits.

    Args:
        attempt: the attempt.
        member_seen_s: when a member was last known to receive the log of an
            earlier term than the attempt's.
        now_s: the current time.
    """
    has_fences = attempt.phase in _FENCED_PHASES and attempt.fenced
    if attempt.is_promotion_requested or attempt.stepped_down_s:
        return
    if not has_fences:
        return
    fenced_s = max(report.answered_s for report in attempt.fenced.values())
    if member_seen_s > fenced_s:
        steps.enter_phase(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = "a member received the log after the fencing"


def _plan_step_down(attempt: steps.Attempt, now_s: float) -> steps.Step:
    assert attempt.old_primary is not None
    return steps.SendOrder(steps.Order.STEP_DOWN, (attempt.old_primary,))


def _plan_catch_up(attempt: steps.Attempt, now_s: float) -> steps.Step:
    return steps.SendOrder(steps.Order.STATUS, attempt.others, ORDER_INTERVAL_S)


def _plan_fence(attempt: steps.Attempt, now_s: float) -> steps.Step:
    if now_s - attempt.phase_since_s > FENCE_TIMEOUT_S:
        steps.enter_phase(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = "too few members could be fenced"
        return steps.Finish(False, attempt.reason)
    unfenced = tuple(t for t in attempt.others if t not in attempt.fenced)
    attempt.is_fenced_again |= attempt.is_promotion_requested
    return steps.SendOrder(steps.Order.PAUSE, unfenced, ORDER_INTERVAL_S)


def find_safe_position(attempt: steps.Attempt) -> model.Position | None:
    """Return a position that covers every acknowledged commit, or None.

    There is one from when the members are fenced and all targets were listed
    after that, or the old primary has stepped down, until the promotion is
    requested.
    """
    has_safety_proof = attempt.phase in _FENCED_PHASES
    if not has_safety_proof or attempt.is_promotion_requested:
        return None
    if attempt.stepped_down_s:
        return attempt.final_position
    if not _is_listed_since_fenced(attempt):
        return None
    return max(
        (report.status.received for report in attempt.fenced.values()),
        default=None,
    )


def _is_listed_since_fenced(attempt: steps.Attempt) -> bool:
    """Return whether all targets were listed after the members were fenced."""
    return attempt.listed_s >= max(
        (report.answered_s for report in attempt.fenced.values()),
        default=attempt.phase_since_s,
    )


def list_members_to_resume(attempt: steps.Attempt) -> tuple[str, ...]:
    """Return the members that may resume replication after an attempt.

    Once the promotion was requested, it may take effect at any time, even if
    no answer arrived. A member that resumed then would receive the log of the
    old primary, which could acknowledge commits and serve reads beside the new
    primary. A promotion that has taken effect resumes the members itself, but
    not those that were paused after it.
    """
    if attempt.phase is steps.Phase.DONE:
        return attempt.others if attempt.is_fenced_again else ()
    if attempt.has_successor:
        return (
            attempt.others if attempt.is_fenced_again else tuple(attempt.fenced)
        )
    if attempt.is_promotion_requested or attempt.stepped_down_s:
        return ()
    return tuple(attempt.fenced)


def get_wait_end_s(attempt: steps.Attempt) -> float:
    """Return when all evidence about the old primary will have expired."""
    return attempt_notices.get_proof_s(attempt) + evidence.EVIDENCE_VALIDITY_S


def _plan_wait(attempt: steps.Attempt, now_s: float) -> steps.Step:
    remaining_s = get_wait_end_s(attempt) - now_s
    unpaused = tuple(t for t in attempt.others if t not in attempt.fenced)
    if attempt.stepped_down_s and unpaused:
        # Each member is asked once, and again only as long as a member that
        # doesn't answer can't delay the change.
        has_time = remaining_s > ORDER_TIMEOUT_S + ORDER_INTERVAL_S
        if has_time or not attempt.is_pause_sent:
            attempt.is_pause_sent = True
            return steps.SendOrder(
                steps.Order.PAUSE, unpaused, ORDER_INTERVAL_S
            )
    if remaining_s > 0:
        return steps.Wait(remaining_s)
    if attempt.has_objection:
        return steps.Wait(ORDER_INTERVAL_S)
    steps.enter_phase(attempt, steps.Phase.CONFIRM, now_s)
    return _plan_confirmation(attempt, now_s)


def _plan_confirmation(attempt: steps.Attempt, now_s: float) -> steps.Step:
    if attempt.stepped_down_s:
        assert attempt.old_primary is not None
        # Any member may have become the primary.
        targets = (attempt.old_primary, *attempt.others)
        return steps.SendOrder(steps.Order.STATUS, targets, ORDER_INTERVAL_S)
    if attempt.listed_s < attempt.phase_since_s:
        return steps.ListTargets()
    # The members aren't paused again: if one has restarted, it receives the log
    # again, and its status has to show that.
    return steps.SendOrder(
        steps.Order.STATUS, tuple(attempt.fenced), ORDER_INTERVAL_S
    )


def _plan_promotion(attempt: steps.Attempt, now_s: float) -> steps.Step:
    assert attempt.candidate is not None
    if attempt.requested_position is None:
        attempt.requested_position = attempt_notices.find_covered_position(
            attempt
        )
    attempt.is_promotion_requested = True
    attempt.is_requested_again |= attempt.requested is not None
    return steps.Promote(attempt.candidate)


def _plan_effect_check(attempt: steps.Attempt, now_s: float) -> steps.Step:
    assert attempt.candidate is not None
    if now_s - attempt.phase_since_s > EFFECT_TIMEOUT_S:
        steps.enter_phase(attempt, steps.Phase.CONFIRM, now_s)
        return _plan_confirmation(attempt, now_s)
    return steps.SendOrder(
        steps.Order.STATUS, (attempt.candidate,), ORDER_INTERVAL_S
    )


_PLANNERS = {
    steps.Phase.STEP_DOWN: _plan_step_down,
    steps.Phase.CATCH_UP: _plan_catch_up,
    steps.Phase.FENCE: _plan_fence,
    steps.Phase.WAIT: _plan_wait,
    steps.Phase.CONFIRM: _plan_confirmation,
    steps.Phase.PROMOTE: _plan_promotion,
    steps.Phase.EFFECT: _plan_effect_check,
}


def needs_listing(attempt: steps.Attempt) -> bool:
    """Return whether members were fenced and targets weren't listed since."""
    is_waiting = attempt.phase is steps.Phase.WAIT
    is_proof_by_fences = not attempt.stepped_down_s
    return (
        is_waiting
        and is_proof_by_fences
        and not _is_listed_since_fenced(attempt)
    )


def record_listing(attempt: steps.Attempt, now_s: float) -> None:
    """Record that all targets were listed."""
    attempt.listed_s = now_s
