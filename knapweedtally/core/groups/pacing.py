"""Limit of concurrent statements for one target, derived from its answers.

A target that has just started answers slowly until its caches are filled, and
has no answer for a queue of seconds. A limit that follows its answers neither
floods it nor leaves its slots idle: it doubles with each round of answers that
arrive in the usual time until it reaches the target's slots, grows by one per
round beyond that, and is halved by refusals, errors, timeouts and answers that
are much slower than usual.

A round is the time from sending a statement to its answer, as in TCP's
congestion control: answers to statements that were sent before the round
began say nothing about the limit in force.
"""

import dataclasses
import enum

# Mean answer times of a round, as multiples of the usual time, up to which the
# limit grows and beyond which it is halved. A target that has 1.5 statements
# per slot answers in 1.5 times the usual time.
GROWTH_FACTOR = 1.5
SLOW_FACTOR = 3.0

# The limit isn't above this many statements per slot: one that runs and one
# that is ready to run.
MAX_LIMIT_PER_SLOT = 2

# Answers without which a round doesn't count as slow. Statements of different
# kinds differ by a factor of five: judged by single answers, healthy targets
# were slowed down.
MIN_SLOW_ANSWERS = 4

# Weight of a round in the usual answer time while few statements run, so that
# they don't wait for each other, and its time constant in seconds while more
# run. Both apply to shorter and longer times, because a value that only falls
# ends at the time of the shortest kind of statement.
USUAL_WEIGHT = 0.1
USUAL_CHANGE_S = 10.0

# The limit doesn't grow while the moving share of errors exceeds this. A target
# of which 45% of the statements fail has rounds without an error.
MAX_ERROR_SHARE = 0.15
ERROR_WEIGHT = 0.1

# Without a decrease and without growth for this long, the limit is raised by
# one, so that a target that became faster is used.
QUIET_S = 1.0

# A host has seen a target healthy if it had answers, without a longer gap than
# the second value, for the first.
HEALTHY_S = 1.0
MAX_ANSWER_GAP_S = 1.0


class Result(enum.Enum):
    """What the end of a statement says about its target."""

    OK = "answered"
    REFUSED = "refused as busy"
    FAILED = "an error"
    TIMED_OUT = "a timeout"
    LOST = "no answer for long"
    NEUTRAL = "nothing"


class Phase(enum.Enum):
    """Phases of the limit."""

    SLOW_START = "slow start"
    REDUCED = "reduced"
    STEADY = "steady"


class Change(enum.Enum):
    """Reasons why the limit changed."""

    RECOVERED = "the target started or recovered"
    GREW = "answers arrive in the usual time"
    PROBED = "no reason against a higher limit for a while"
    SLOW = "answers are much slower than usual"
    REFUSED = "a statement was refused as busy"
    FAILED = "a statement failed"
    TIMED_OUT = "a statement had no answer in time"
    TAKEN_OVER = "another host's figure"
    NEEDED = "the target is the primary"


_DECREASES = {
    Result.REFUSED: Change.REFUSED,
    Result.FAILED: Change.FAILED,
    Result.TIMED_OUT: Change.TIMED_OUT,
    Result.LOST: Change.TIMED_OUT,
}


@dataclasses.dataclass(slots=True)
class Round:
    """The answers to statements that were sent since a moment.

    Attributes:
        started_s: the moment.
        total_s: sum of the answer times.
        count: number of the answers.
        is_full: whether as many statements ran as the limit allows.
        peak: highest number of this host's statements in flight.
    """

    started_s: float = float("-inf")
    total_s: float = 0.0
    count: int = 0
    is_full: bool = False
    peak: int = 0


@dataclasses.dataclass(slots=True)
class Pace:
    """The limit of concurrent statements for one target.

    Attributes:
        slots: number of statements that the target runs at once.
        floor: lowest limit; the number of slots for a primary.
        limit: limit of the statements of all hosts together.
        share: this host's part of the limit, at least 1.
        phase: phase of the limit.
        in_flight: number of this host's statements in flight.
        usual_s: usual answer time while few statements run.
        usual_count: number of rounds from which it was found.
        error_share: moving share of statements that were not answered well.
        decreased_s: when the limit was last decreased or reset.
        changed_s: when the limit last changed.
        measured_s: when the event occurred that the limit is based on.
        healthy_s: when the target last answered well.
        healthy_since_s: since when it has answered well without a gap.
        round: the current round.
        previous_mean_s: mean answer time of the previous round of the slow
            start, or 0.
    """

    slots: int
    floor: int = 1
    limit: int = 0
    share: int = 0
    phase: Phase = Phase.STEADY
    in_flight: int = 0
    usual_s: float = 0.0
    usual_count: int = 0
    error_share: float = 0.0
    decreased_s: float = float("-inf")
    changed_s: float = float("-inf")
    measured_s: float = float("-inf")
    healthy_s: float = float("-inf")
    healthy_since_s: float = float("inf")
    round: Round = dataclasses.field(default_factory=Round)
    previous_mean_s: float = 0.0

    def __post_init__(self) -> None:
        """Begin with the slots: nothing is known against the target."""
        self.slots = max(1, self.slots)
        self.limit = self.limit or self.slots
        self.share = self.share or self.limit


def recover(pace: Pace, now_s: float) -> Change | None:
    """Begin a slow start: the target restarted or answers again."""
    pace.phase = Phase.SLOW_START
    pace.limit = pace.floor
    pace.error_share = pace.previous_mean_s = 0.0
    pace.decreased_s = pace.changed_s = pace.measured_s = now_s
    pace.healthy_since_s = float("inf")
    pace.round = Round(now_s)
    _settle_phase(pace)
    return Change.RECOVERED


def adopt(pace: Pace, limit: int, phase: Phase, now_s: float) -> Change | None:
    """Take over the limit that another host has found."""
    limit = min(max(limit, pace.floor), pace.slots * MAX_LIMIT_PER_SLOT)
    has_changed = (limit, phase) != (pace.limit, pace.phase)
    pace.limit, pace.phase = limit, phase
    pace.decreased_s = pace.changed_s = now_s
    pace.round = Round(now_s)
    _settle_phase(pace)
    return Change.TAKEN_OVER if has_changed else None


def suspend(pace: Pace, now_s: float) -> None:
    """Ignore what was sent before: this host itself did not run."""
    pace.decreased_s = now_s
    pace.round = Round(now_s)


def set_bounds(
    pace: Pace, slots: int, is_primary: bool, now_s: float
) -> Change | None:
    """Set the bounds of the limit; a primary always gets its slots."""
    pace.slots = max(1, slots)
    pace.floor = pace.slots if is_primary else 1
    old = pace.limit
    pace.limit = min(max(old, pace.floor), pace.slots * MAX_LIMIT_PER_SLOT)
    if pace.limit == old:
        return None
    pace.changed_s = now_s
    _settle_phase(pace)
    return Change.NEEDED if pace.limit > old else None


def record_sent(pace: Pace) -> None:
    """Record that a statement was sent."""
    pace.in_flight += 1
    pace.round.peak = max(pace.round.peak, pace.in_flight)
    if pace.in_flight >= pace.share:
        pace.round.is_full = True


def record_result(
    pace: Pace, result: Result, sent_s: float, now_s: float
) -> Change | None:
    """Record the end of a statement.

    Args:
        pace: the target's limit.
        result: what the end says about the target. Its time is used only for
            ``OK``, because a target may fail faster than it answers.
        sent_s: when the statement was sent.
        now_s: the current time.

    Returns:
        Why the limit or its phase changed, or None.
    """
    pace.in_flight = max(0, pace.in_flight - 1)
    waited_s = max(0.0, now_s - sent_s)
    if result is Result.LOST and not _is_slow(pace, waited_s):
        # The caller gave up or the connection broke; the latter shows in the
        # detection of failures.
        return None
    if result is Result.NEUTRAL:
        return None
    pace.measured_s = now_s
    error = 0.0 if result is Result.OK else 1.0
    pace.error_share += ERROR_WEIGHT * (error - pace.error_share)
    if result is not Result.OK:
        return _decrease(pace, _DECREASES[result], sent_s, now_s)
    if now_s - pace.healthy_s > MAX_ANSWER_GAP_S or (
        pace.healthy_since_s > now_s
    ):
        pace.healthy_since_s = now_s
    pace.healthy_s = now_s
    if sent_s < pace.round.started_s:
        return None
    pace.round.total_s += waited_s
    pace.round.count += 1
    if pace.round.count < min(pace.share, MIN_SLOW_ANSWERS):
        return None
    return _judge_round(pace, now_s)


def tick(pace: Pace, now_s: float) -> Change | None:
    """Raise a reduced limit of a target to which nothing is being sent."""
    if pace.phase is Phase.STEADY or pace.in_flight:
        return None
    if now_s - max(pace.decreased_s, pace.changed_s) < QUIET_S:
        return None
    return _raise(pace, pace.limit + 1, Change.PROBED, now_s)


def has_seen_healthy(pace: Pace, now_s: float) -> bool:
    """Return whether this host has seen the target healthy for a while."""
    return (
        pace.phase is Phase.STEADY
        and now_s - pace.healthy_s <= MAX_ANSWER_GAP_S
        and now_s - pace.healthy_since_s >= HEALTHY_S
    )


def _is_slow(pace: Pace, waited_s: float) -> bool:
    return bool(pace.usual_s) and waited_s > SLOW_FACTOR * pace.usual_s


def _decrease(
    pace: Pace, why: Change, sent_s: float, now_s: float
) -> Change | None:
    """Halve the limit, once for all statements that were in flight."""
    if sent_s < pace.decreased_s:
        return None
    old = (pace.limit, pace.phase)
    pace.limit = max(pace.floor, pace.limit // 2)
    pace.decreased_s = pace.changed_s = now_s
    pace.round = Round(now_s)
    if pace.limit < pace.slots:
        pace.phase = Phase.REDUCED
    return why if (pace.limit, pace.phase) != old else None


def _judge_round(pace: Pace, now_s: float) -> Change | None:
    """Adjust the limit to a round, or go on with it if it isn't clear yet."""
    ended = pace.round
    mean_s = ended.total_s / ended.count
    is_starting = pace.phase is Phase.SLOW_START
    reference_s = pace.usual_s or mean_s
    if is_starting:
        # The first answers after a start are slow without a queue. Slower
        # answers than in the round before come from the higher limit.
        reference_s = max(reference_s, pace.previous_mean_s or mean_s)
    is_fast = mean_s <= GROWTH_FACTOR * reference_s
    if not is_fast and ended.count < MIN_SLOW_ANSWERS:
        return None
    pace.round = Round(now_s, peak=pace.in_flight)
    pace.previous_mean_s = mean_s if is_starting else 0.0
    if not is_starting:
        _update_usual(pace, ended, mean_s, now_s)
    if pace.error_share > MAX_ERROR_SHARE:
        return None
    if mean_s > SLOW_FACTOR * reference_s:
        return _decrease(pace, Change.SLOW, ended.started_s, now_s)
    if not ended.is_full and pace.limit >= pace.slots:
        return None
    if is_fast:
        step = pace.limit if is_starting else 1
        return _raise(pace, pace.limit + step, Change.GREW, now_s)
    if now_s - max(pace.decreased_s, pace.changed_s) >= QUIET_S:
        return _raise(pace, pace.limit + 1, Change.PROBED, now_s)
    return None


def _update_usual(
    pace: Pace, ended: Round, mean_s: float, now_s: float
) -> None:
    pace.usual_count += 1
    weight = (now_s - ended.started_s) / USUAL_CHANGE_S
    if pace.limit <= pace.floor or ended.peak <= max(1, pace.slots // 2):
        weight = max(weight, USUAL_WEIGHT)
    weight = min(1.0, max(weight, 1 / pace.usual_count))
    pace.usual_s += weight * (mean_s - pace.usual_s)


def _raise(pace: Pace, limit: int, why: Change, now_s: float) -> Change | None:
    # Doubling ends at the slots; beyond them, each step is probed by itself.
    top = pace.slots * MAX_LIMIT_PER_SLOT
    if pace.limit < pace.slots:
        top = pace.slots
    limit = min(limit, top)
    if limit <= pace.limit:
        return None
    pace.limit = limit
    pace.changed_s = now_s
    _settle_phase(pace)
    return why


def _settle_phase(pace: Pace) -> None:
    if pace.limit >= pace.slots:
        pace.phase = Phase.STEADY
