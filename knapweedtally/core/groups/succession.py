"""The change of a group's primary, step by step.

``next_step`` looks at what an attempt has learned and says what to do next;
the runtime does it and records the answers. Nothing is done twice that can't
be repeated: any host can begin anew where another was killed.

Two proofs allow a promotion. Either every other target was stopped from
receiving: then no commit can be acknowledged, since a replica has to hold it
first, and the most advanced of them holds all that were. Or the old primary
stepped down: then it holds every acknowledged commit, and a target with its
last position does too. In both cases the promotion waits until the evidence
by which hosts read at the old primary has expired.
"""

from collections.abc import Collection

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import steps

# Limits of the orders to targets, in seconds: several round trips, and the
# queue of a busy target.
ORDER_TIMEOUT_S = 0.4

# How long a target may take to receive what the old primary still sent.
CATCH_UP_S = 0.3

# Pause between two rounds of the same order, in seconds.
ROUND_S = 0.05

# Time for a promotion to take effect before it is asked for again.
EFFECT_TIMEOUT_S = 3.0

# Time for the other members to be stopped, in seconds: several rounds. After
# it another host, which may reach more of them, has its turn.
FENCE_LIMIT_S = 1.5

# An attempt that got nowhere is given up after this, in seconds.
ATTEMPT_LIMIT_S = 8.0


def begin_attempt(
    group: str,
    cause: steps.Cause,
    old_primary: str | None,
    others: tuple[str, ...],
    leaving: frozenset[str],
    known_term: int,
    now_s: float,
) -> steps.Attempt:
    """Return a new attempt.

    Args:
        group: name of the group.
        cause: why its primary is replaced.
        old_primary: id of the primary, or None where none is known.
        others: ids of the other members.
        leaving: ids of the members that are leaving.
        known_term: highest term that any member has shown.
        now_s: the time.
    """
    attempt = steps.Attempt(
        group, cause, old_primary, others, leaving, known_term + 1, now_s
    )
    attempt.phase_since_s = now_s
    if cause in (steps.Cause.UNREACHABLE, steps.Cause.ABSENT):
        attempt.phase = steps.Phase.FENCE
    return attempt


def put_members(attempt: steps.Attempt, members: Collection[str]) -> None:
    """Take the group's members as they are known now.

    A target that started again under another id takes the place of the old
    one. The number of members can't fall: what is missing may hold commits.
    """
    others = tuple(t for t in members if t != attempt.old_primary)
    if attempt.phase is steps.Phase.FENCE and len(others) >= len(
        attempt.others
    ):
        attempt.others = others
        for target in [t for t in attempt.fenced if t not in members]:
            del attempt.fenced[target]


def count_fences_needed(attempt: steps.Attempt) -> int:
    """Return how many of the other members have to be fenced.

    Each acknowledged commit is on two members at least. All but one of the
    group's members therefore hold every one of them, and the last one alone
    can't acknowledge another.
    """
    is_known = attempt.old_primary is not None
    return len(attempt.others) - (0 if is_known else 1)


def has_fenced_enough(attempt: steps.Attempt) -> bool:
    """Tell whether the fenced members hold every acknowledged commit."""
    needed = max(1, count_fences_needed(attempt))
    return len(attempt.fenced) >= needed


def next_step(attempt: steps.Attempt, now_s: float) -> steps.Step:
    """Return what is to be done next, and move on to its phase."""
    if attempt.phase is steps.Phase.DONE:
        return steps.Finish(True, "")
    is_late = now_s - attempt.started_s > ATTEMPT_LIMIT_S
    if is_late and attempt.phase is not steps.Phase.EFFECT:
        _move(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = attempt.reason or "no proof in time"
    if attempt.phase is steps.Phase.GIVEN_UP:
        return steps.Finish(False, attempt.reason)
    return _STEPS[attempt.phase](attempt, now_s)


def _move(attempt: steps.Attempt, phase: steps.Phase, now_s: float) -> None:
    attempt.phase = phase
    attempt.phase_since_s = now_s


def _step_down(attempt: steps.Attempt, now_s: float) -> steps.Step:
    assert attempt.old_primary is not None
    return steps.Ask(steps.Order.STEP_DOWN, (attempt.old_primary,))


def _catch_up(attempt: steps.Attempt, now_s: float) -> steps.Step:
    return steps.Ask(steps.Order.STATUS, attempt.others, ROUND_S)


def _fence(attempt: steps.Attempt, now_s: float) -> steps.Step:
    if now_s - attempt.phase_since_s > FENCE_LIMIT_S:
        _move(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = "too few members could be stopped"
        return steps.Finish(False, attempt.reason)
    missing = tuple(t for t in attempt.others if t not in attempt.fenced)
    return steps.Ask(steps.Order.PAUSE, missing, ROUND_S)


def find_safe_position(attempt: steps.Attempt) -> model.Position | None:
    """Return a position that covers every acknowledged commit for now.

    Holds from the fence, or the step down, until the promotion is asked for.
    """
    is_stopped = attempt.phase in (
        steps.Phase.WAIT,
        steps.Phase.CONFIRM,
        steps.Phase.PROMOTE,
    )
    if not is_stopped or attempt.is_asked:
        return None
    if attempt.stepped_down_s:
        return attempt.final_position
    return max(
        (report.status.received for report in attempt.fenced.values()),
        default=None,
    )


def list_to_resume(attempt: steps.Attempt) -> tuple[str, ...]:
    """Return the members that may receive again after a given up attempt.

    Once the promotion was asked for, it may take effect at any time, also
    without an answer. A member that is let go then would follow the old
    primary on, which could acknowledge commits and serve reads beside the new
    one.
    """
    if attempt.is_asked or attempt.stepped_down_s:
        return ()
    return tuple(attempt.fenced)


def get_wait_end_s(attempt: steps.Attempt) -> float:
    """Return when all evidence about the old primary has expired."""
    since_s = attempt.stepped_down_s
    if not since_s:
        since_s = max(
            (report.answered_s for report in attempt.fenced.values()),
            default=attempt.phase_since_s,
        )
    return since_s + evidence.EVIDENCE_SPAN_S


def _wait(attempt: steps.Attempt, now_s: float) -> steps.Step:
    left_s = get_wait_end_s(attempt) - now_s
    if left_s > 0:
        return steps.Wait(left_s)
    _move(attempt, steps.Phase.CONFIRM, now_s)
    return _confirm(attempt, now_s)


def _confirm(attempt: steps.Attempt, now_s: float) -> steps.Step:
    if attempt.stepped_down_s:
        assert attempt.candidate is not None
        assert attempt.old_primary is not None
        targets = {attempt.candidate, attempt.old_primary}
        return steps.Ask(steps.Order.STATUS, tuple(targets), ROUND_S)
    # Not stopped again: only a restart lets a member receive, and it shows.
    return steps.Ask(steps.Order.STATUS, tuple(attempt.fenced), ROUND_S)


def _promote(attempt: steps.Attempt, now_s: float) -> steps.Step:
    assert attempt.candidate is not None
    attempt.is_asked = True
    return steps.Promote(attempt.candidate)


def _effect(attempt: steps.Attempt, now_s: float) -> steps.Step:
    assert attempt.candidate is not None
    if now_s - attempt.phase_since_s > EFFECT_TIMEOUT_S:
        _move(attempt, steps.Phase.PROMOTE, now_s)
        return steps.Promote(attempt.candidate)
    return steps.Ask(steps.Order.STATUS, (attempt.candidate,), ROUND_S)


_STEPS = {
    steps.Phase.STEP_DOWN: _step_down,
    steps.Phase.CATCH_UP: _catch_up,
    steps.Phase.FENCE: _fence,
    steps.Phase.WAIT: _wait,
    steps.Phase.CONFIRM: _confirm,
    steps.Phase.PROMOTE: _promote,
    steps.Phase.EFFECT: _effect,
}


def note_reports(
    attempt: steps.Attempt,
    order: steps.Order,
    reports: dict[str, steps.Report],
    now_s: float,
) -> None:
    """Record the answers to an order and move on where they allow it."""
    is_led = any(
        report.status.is_primary and report.status.term >= attempt.term
        for report in reports.values()
    )
    if is_led and attempt.phase not in (steps.Phase.EFFECT, steps.Phase.DONE):
        _move(attempt, steps.Phase.GIVEN_UP, now_s)
        attempt.reason = "a target leads a later term already"
        return
    _NOTES.get(attempt.phase, _note_nothing)(attempt, reports, now_s)


def _note_nothing(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    """Ignore answers that the phase doesn't need."""


def _note_step_down(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    report = reports.get(attempt.old_primary or "")
    if report is None or report.status.is_primary:
        _move(attempt, steps.Phase.FENCE, now_s)
        return
    attempt.final_position = report.status.received
    attempt.stepped_down_s = report.answered_s
    _move(attempt, steps.Phase.CATCH_UP, now_s)


def _note_catch_up(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    assert attempt.final_position is not None
    complete = [
        target
        for target, report in reports.items()
        if report.status.received >= attempt.final_position
    ]
    chosen = choose_candidate(attempt, {t: reports[t] for t in complete})
    if chosen is not None and chosen not in attempt.leaving:
        attempt.candidate = chosen
        _move(attempt, steps.Phase.WAIT, now_s)
    elif now_s - attempt.phase_since_s > CATCH_UP_S:
        _move(attempt, steps.Phase.FENCE, now_s)


def _note_fence(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    for target, report in reports.items():
        if report.status.paused_for >= attempt.term:
            attempt.fenced[target] = report
    if has_fenced_enough(attempt):
        attempt.candidate = choose_candidate(attempt, attempt.fenced)
        attempt.stepped_down_s = 0.0
        _move(attempt, steps.Phase.WAIT, now_s)
    elif attempt.stepped_down_s and now_s - attempt.phase_since_s > 1.0:
        _choose_with_old_primary(attempt, now_s)


def _choose_with_old_primary(attempt: steps.Attempt, now_s: float) -> None:
    """Choose by the old primary's last position while a member is missing."""
    assert attempt.final_position is not None
    complete = {
        target: report
        for target, report in attempt.fenced.items()
        if report.status.received >= attempt.final_position
    }
    attempt.candidate = (
        choose_candidate(attempt, complete) or attempt.old_primary
    )
    _move(attempt, steps.Phase.WAIT, now_s)


def _note_confirm(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    if attempt.stepped_down_s:
        _note_confirm_step_down(attempt, reports, now_s)
        return
    for target, known in list(attempt.fenced.items()):
        if not _is_still_fenced(attempt, known, reports.get(target)):
            del attempt.fenced[target]
    if has_fenced_enough(attempt):
        _move(attempt, steps.Phase.PROMOTE, now_s)
    else:
        attempt.fenced.clear()
        _move(attempt, steps.Phase.FENCE, now_s)


def _is_still_fenced(
    attempt: steps.Attempt, known: steps.Report, report: steps.Report | None
) -> bool:
    """Tell whether a member has received nothing since it was stopped."""
    if report is None or report.status.paused_for < attempt.term:
        return False
    return report.status.received == known.status.received


def _note_confirm_step_down(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    """Promote if the old primary is still no primary.

    One that restarted may lead again and commit; then the others are stopped.
    """
    old = reports.get(attempt.old_primary or "")
    is_down = old is not None and not old.status.is_primary
    if is_down and attempt.candidate in reports:
        _move(attempt, steps.Phase.PROMOTE, now_s)
    else:
        attempt.stepped_down_s = 0.0
        _move(attempt, steps.Phase.FENCE, now_s)


def _note_effect(
    attempt: steps.Attempt, reports: dict[str, steps.Report], now_s: float
) -> None:
    report = reports.get(attempt.candidate or "")
    if report is None or not report.status.is_primary:
        return
    if report.status.term >= attempt.term:
        # The promotion lets the others receive again, from the new primary.
        _move(attempt, steps.Phase.DONE, now_s)


_NOTES = {
    steps.Phase.STEP_DOWN: _note_step_down,
    steps.Phase.CATCH_UP: _note_catch_up,
    steps.Phase.FENCE: _note_fence,
    steps.Phase.CONFIRM: _note_confirm,
    steps.Phase.EFFECT: _note_effect,
}


def note_promoted(attempt: steps.Attempt, status: int, now_s: float) -> None:
    """Record the platform's answer to a promotion.

    Args:
        attempt: the attempt.
        status: HTTP status; 0 where no answer came.
        now_s: the time.
    """
    if status == 200:
        _move(attempt, steps.Phase.EFFECT, now_s)
    elif status == 409:
        attempt.fenced.clear()
        attempt.stepped_down_s = 0.0
        _move(attempt, steps.Phase.FENCE, now_s)


def choose_candidate(
    attempt: steps.Attempt, reports: dict[str, steps.Report]
) -> str | None:
    """Return the most advanced target, one that stays among equals."""
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
