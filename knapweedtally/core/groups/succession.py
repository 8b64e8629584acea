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

import dataclasses
import enum
from collections.abc import Collection
from typing import NamedTuple

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model

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


class Cause(enum.Enum):
    """Say why a primary is replaced."""

    UNREACHABLE = "the primary does not answer"
    LEAVING = "the primary is leaving"
    STALLED = "the primary's commits reach no replica"
    ABSENT = "no target leads the group"


class Phase(enum.Enum):
    """Name the steps of an attempt."""

    STEP_DOWN = "step down"
    CATCH_UP = "catch up"
    FENCE = "fence"
    WAIT = "wait"
    CONFIRM = "confirm"
    PROMOTE = "promote"
    EFFECT = "effect"
    DONE = "done"
    GIVEN_UP = "given up"


class Order(enum.Enum):
    """Name the control statements."""

    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step down"


class Report(NamedTuple):
    """Hold a target's answer to an order.

    Attributes:
        status: its status afterwards.
        answered_s: when the answer came.
    """

    status: model.TargetStatus
    answered_s: float


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold one attempt to change a group's primary.

    Attributes:
        group: name of the group.
        cause: why.
        old_primary: id of the primary to be replaced, or None.
        others: ids of the group's other members.
        leaving: ids of the members that are leaving.
        term: term that the new primary is to lead.
        started_s: when the attempt began.
        phase: the step that it has reached.
        phase_since_s: when it reached this step.
        final_position: last position of the old primary, once it stepped down.
        stepped_down_s: when its answer came.
        fenced: reports of the members that stopped receiving.
        candidate: id of the chosen target.
        is_asked: whether the platform was asked for the promotion.
        reason: why it was given up.
    """

    group: str
    cause: Cause
    old_primary: str | None
    others: tuple[str, ...]
    leaving: frozenset[str]
    term: int
    started_s: float
    phase: Phase = Phase.STEP_DOWN
    phase_since_s: float = 0.0
    final_position: model.Position | None = None
    stepped_down_s: float = 0.0
    fenced: dict[str, Report] = dataclasses.field(default_factory=dict)
    candidate: str | None = None
    is_asked: bool = False
    reason: str = ""


class Ask(NamedTuple):
    """Send an order to targets and record the answers.

    Attributes:
        order: the order.
        targets: ids of the targets.
        pause_s: time to wait before the next step.
    """

    order: Order
    targets: tuple[str, ...]
    pause_s: float = 0.0


class Wait(NamedTuple):
    """Do nothing for a while."""

    delay_s: float


class Promote(NamedTuple):
    """Ask the platform to promote a target."""

    target: str


class Finish(NamedTuple):
    """End the attempt."""

    is_done: bool
    reason: str


Step = Ask | Wait | Promote | Finish


def begin_attempt(
    group: str,
    cause: Cause,
    old_primary: str | None,
    others: tuple[str, ...],
    leaving: frozenset[str],
    known_term: int,
    now_s: float,
) -> Attempt:
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
    attempt = Attempt(
        group, cause, old_primary, others, leaving, known_term + 1, now_s
    )
    attempt.phase_since_s = now_s
    if cause in (Cause.UNREACHABLE, Cause.ABSENT):
        attempt.phase = Phase.FENCE
    return attempt


def put_members(attempt: Attempt, members: Collection[str]) -> None:
    """Take the group's members as they are known now.

    A target that started again under another id takes the place of the old
    one. The number of members can't fall: what is missing may hold commits.
    """
    others = tuple(t for t in members if t != attempt.old_primary)
    if attempt.phase is Phase.FENCE and len(others) >= len(attempt.others):
        attempt.others = others
        for target in [t for t in attempt.fenced if t not in members]:
            del attempt.fenced[target]


def count_fences_needed(attempt: Attempt) -> int:
    """Return how many of the other members have to be fenced.

    Each acknowledged commit is on two members at least. All but one of the
    group's members therefore hold every one of them, and the last one alone
    can't acknowledge another.
    """
    is_known = attempt.old_primary is not None
    return len(attempt.others) - (0 if is_known else 1)


def has_fenced_enough(attempt: Attempt) -> bool:
    """Tell whether the fenced members hold every acknowledged commit."""
    needed = max(1, count_fences_needed(attempt))
    return len(attempt.fenced) >= needed


def next_step(attempt: Attempt, now_s: float) -> Step:
    """Return what is to be done next, and move on to its phase."""
    if attempt.phase is Phase.DONE:
        return Finish(True, "")
    is_late = now_s - attempt.started_s > ATTEMPT_LIMIT_S
    if is_late and attempt.phase is not Phase.EFFECT:
        _move(attempt, Phase.GIVEN_UP, now_s)
        attempt.reason = attempt.reason or "no proof in time"
    if attempt.phase is Phase.GIVEN_UP:
        return Finish(False, attempt.reason)
    return _STEPS[attempt.phase](attempt, now_s)


def _move(attempt: Attempt, phase: Phase, now_s: float) -> None:
    attempt.phase = phase
    attempt.phase_since_s = now_s


def _step_down(attempt: Attempt, now_s: float) -> Step:
    assert attempt.old_primary is not None
    return Ask(Order.STEP_DOWN, (attempt.old_primary,))


def _catch_up(attempt: Attempt, now_s: float) -> Step:
    return Ask(Order.STATUS, attempt.others, ROUND_S)


def _fence(attempt: Attempt, now_s: float) -> Step:
    if now_s - attempt.phase_since_s > FENCE_LIMIT_S:
        _move(attempt, Phase.GIVEN_UP, now_s)
        attempt.reason = "too few members could be stopped"
        return Finish(False, attempt.reason)
    missing = tuple(t for t in attempt.others if t not in attempt.fenced)
    return Ask(Order.PAUSE, missing, ROUND_S)


def find_safe_position(attempt: Attempt) -> model.Position | None:
    """Return a position that covers every acknowledged commit for now.

    Holds from the fence, or the step down, until the promotion is asked for.
    """
    is_stopped = attempt.phase in (Phase.WAIT, Phase.CONFIRM, Phase.PROMOTE)
    if not is_stopped or attempt.is_asked:
        return None
    if attempt.stepped_down_s:
        return attempt.final_position
    return max(
        (report.status.received for report in attempt.fenced.values()),
        default=None,
    )


def list_to_resume(attempt: Attempt) -> tuple[str, ...]:
    """Return the members that may receive again after a given up attempt.

    Once the promotion was asked for, it may take effect at any time, also
    without an answer. A member that is let go then would follow the old
    primary on, which could acknowledge commits and serve reads beside the new
    one.
    """
    if attempt.is_asked or attempt.stepped_down_s:
        return ()
    return tuple(attempt.fenced)


def get_wait_end_s(attempt: Attempt) -> float:
    """Return when all evidence about the old primary has expired."""
    since_s = attempt.stepped_down_s
    if not since_s:
        since_s = max(
            (report.answered_s for report in attempt.fenced.values()),
            default=attempt.phase_since_s,
        )
    return since_s + evidence.EVIDENCE_SPAN_S


def _wait(attempt: Attempt, now_s: float) -> Step:
    left_s = get_wait_end_s(attempt) - now_s
    if left_s > 0:
        return Wait(left_s)
    _move(attempt, Phase.CONFIRM, now_s)
    return _confirm(attempt, now_s)


def _confirm(attempt: Attempt, now_s: float) -> Step:
    if attempt.stepped_down_s:
        assert attempt.candidate is not None
        assert attempt.old_primary is not None
        targets = {attempt.candidate, attempt.old_primary}
        return Ask(Order.STATUS, tuple(targets), ROUND_S)
    # Not stopped again: only a restart lets a member receive, and it shows.
    return Ask(Order.STATUS, tuple(attempt.fenced), ROUND_S)


def _promote(attempt: Attempt, now_s: float) -> Step:
    assert attempt.candidate is not None
    attempt.is_asked = True
    return Promote(attempt.candidate)


def _effect(attempt: Attempt, now_s: float) -> Step:
    assert attempt.candidate is not None
    if now_s - attempt.phase_since_s > EFFECT_TIMEOUT_S:
        _move(attempt, Phase.PROMOTE, now_s)
        return Promote(attempt.candidate)
    return Ask(Order.STATUS, (attempt.candidate,), ROUND_S)


_STEPS = {
    Phase.STEP_DOWN: _step_down,
    Phase.CATCH_UP: _catch_up,
    Phase.FENCE: _fence,
    Phase.WAIT: _wait,
    Phase.CONFIRM: _confirm,
    Phase.PROMOTE: _promote,
    Phase.EFFECT: _effect,
}


def note_reports(
    attempt: Attempt,
    order: Order,
    reports: dict[str, Report],
    now_s: float,
) -> None:
    """Record the answers to an order and move on where they allow it."""
    is_led = any(
        report.status.is_primary and report.status.term >= attempt.term
        for report in reports.values()
    )
    if is_led and attempt.phase not in (Phase.EFFECT, Phase.DONE):
        _move(attempt, Phase.GIVEN_UP, now_s)
        attempt.reason = "a target leads a later term already"
        return
    _NOTES.get(attempt.phase, _note_nothing)(attempt, reports, now_s)


def _note_nothing(
    attempt: Attempt, reports: dict[str, Report], now_s: float
) -> None:
    """Ignore answers that the phase doesn't need."""


def _note_step_down(
    attempt: Attempt, reports: dict[str, Report], now_s: float
) -> None:
    report = reports.get(attempt.old_primary or "")
    if report is None or report.status.is_primary:
        _move(attempt, Phase.FENCE, now_s)
        return
    attempt.final_position = report.status.received
    attempt.stepped_down_s = report.answered_s
    _move(attempt, Phase.CATCH_UP, now_s)


def _note_catch_up(
    attempt: Attempt, reports: dict[str, Report], now_s: float
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
        _move(attempt, Phase.WAIT, now_s)
    elif now_s - attempt.phase_since_s > CATCH_UP_S:
        _move(attempt, Phase.FENCE, now_s)


def _note_fence(
    attempt: Attempt, reports: dict[str, Report], now_s: float
) -> None:
    for target, report in reports.items():
        if report.status.paused_for >= attempt.term:
            attempt.fenced[target] = report
    if has_fenced_enough(attempt):
        attempt.candidate = choose_candidate(attempt, attempt.fenced)
        attempt.stepped_down_s = 0.0
        _move(attempt, Phase.WAIT, now_s)
    elif attempt.stepped_down_s and now_s - attempt.phase_since_s > 1.0:
        _choose_with_old_primary(attempt, now_s)


def _choose_with_old_primary(attempt: Attempt, now_s: float) -> None:
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
    _move(attempt, Phase.WAIT, now_s)


def _note_confirm(
    attempt: Attempt, reports: dict[str, Report], now_s: float
) -> None:
    if attempt.stepped_down_s:
        _note_confirm_step_down(attempt, reports, now_s)
        return
    for target, known in list(attempt.fenced.items()):
        if not _is_still_fenced(attempt, known, reports.get(target)):
            del attempt.fenced[target]
    if has_fenced_enough(attempt):
        _move(attempt, Phase.PROMOTE, now_s)
    else:
        attempt.fenced.clear()
        _move(attempt, Phase.FENCE, now_s)


def _is_still_fenced(
    attempt: Attempt, known: Report, report: Report | None
) -> bool:
    """Tell whether a member has received nothing since it was stopped."""
    if report is None or report.status.paused_for < attempt.term:
        return False
    return report.status.received == known.status.received


def _note_confirm_step_down(
    attempt: Attempt, reports: dict[str, Report], now_s: float
) -> None:
    """Promote if the old primary is still no primary.

    One that restarted may lead again and commit; then the others are stopped.
    """
    old = reports.get(attempt.old_primary or "")
    is_down = old is not None and not old.status.is_primary
    if is_down and attempt.candidate in reports:
        _move(attempt, Phase.PROMOTE, now_s)
    else:
        attempt.stepped_down_s = 0.0
        _move(attempt, Phase.FENCE, now_s)


def _note_effect(
    attempt: Attempt, reports: dict[str, Report], now_s: float
) -> None:
    report = reports.get(attempt.candidate or "")
    if report is None or not report.status.is_primary:
        return
    if report.status.term >= attempt.term:
        # The promotion lets the others receive again, from the new primary.
        _move(attempt, Phase.DONE, now_s)


_NOTES = {
    Phase.STEP_DOWN: _note_step_down,
    Phase.CATCH_UP: _note_catch_up,
    Phase.FENCE: _note_fence,
    Phase.CONFIRM: _note_confirm,
    Phase.EFFECT: _note_effect,
}


def note_promoted(attempt: Attempt, status: int, now_s: float) -> None:
    """Record the platform's answer to a promotion.

    Args:
        attempt: the attempt.
        status: HTTP status; 0 where no answer came.
        now_s: the time.
    """
    if status == 200:
        _move(attempt, Phase.EFFECT, now_s)
    elif status == 409:
        attempt.fenced.clear()
        attempt.stepped_down_s = 0.0
        _move(attempt, Phase.FENCE, now_s)


def choose_candidate(
    attempt: Attempt, reports: dict[str, Report]
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
