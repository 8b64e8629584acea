"""What a promoter tells the other hosts about its attempt, and hears from them.

See ``change_notices`` for what they do about it.
"""

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import model
from knapweedtally.core.groups import steps

# What the other hosts are told in the phases in which commits of the old
# primary may be about to be dropped.
_STAGES = {
    steps.Phase.WAIT: change_notices.Stage.FENCED,
    steps.Phase.CONFIRM: change_notices.Stage.FENCED,
    steps.Phase.PROMOTE: change_notices.Stage.REQUESTED,
    steps.Phase.EFFECT: change_notices.Stage.REQUESTED,
    steps.Phase.GIVEN_UP: change_notices.Stage.GIVEN_UP,
}


def make_notice(attempt: steps.Attempt) -> change_notices.Notice | None:
    """Return the notice that the other hosts need in this phase, or None.

    Unlike ``primary_change.find_safe_position`` it doesn't wait until all
    targets are listed: it withholds commits and allows nothing.
    """
    stage = _STAGES.get(attempt.phase)
    if attempt.is_promotion_requested:
        stage = change_notices.Stage.REQUESTED
        if attempt.is_requested_again:
            stage = change_notices.Stage.REQUESTED_AGAIN
    if stage is None or attempt.phase is steps.Phase.DONE:
        return None
    # The position is that of the first request: a member that was fenced later
    # may have more, but its promotion wasn't requested.
    position = attempt.requested_position or find_covered_position(attempt)
    target = attempt.requested
    if attempt.phase is steps.Phase.PROMOTE:
        target = attempt.candidate
    return change_notices.Notice(stage, attempt.term, position, target or "")


def find_covered_position(attempt: steps.Attempt) -> model.Position:
    """Return the position up to which the attempt's proof covers commits."""
    if attempt.stepped_down_s and attempt.final_position is not None:
        return attempt.final_position
    received = [report.status.received for report in attempt.fenced.values()]
    return max(received, default=model.Position(0, 0))


def get_proof_s(attempt: steps.Attempt) -> float:
    """Return when the last member was fenced, or the primary stepped down."""
    if attempt.stepped_down_s:
        return attempt.stepped_down_s
    return max(
        (report.answered_s for report in attempt.fenced.values()),
        default=attempt.phase_since_s,
    )


def record_requests(
    attempt: steps.Attempt, state: change_notices.ChangeState, now_s: float
) -> None:
    """Record whether another host's request may still be accepted."""
    if not attempt.is_promotion_requested:
        requests = change_notices.list_requests(state, now_s)
        attempt.is_requested_again = bool(requests)


def record_objections(
    attempt: steps.Attempt, state: change_notices.ChangeState, now_s: float
) -> None:
    """Record whether a host objects to what the proof covers."""
    attempt.has_objection = change_notices.has_objection(
        state,
        attempt.term,
        find_covered_position(attempt),
        get_proof_s(attempt),
        now_s,
    )
