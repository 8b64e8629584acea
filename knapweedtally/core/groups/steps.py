"""The steps of a change of primary, and the state of an attempt at one."""

import dataclasses
import enum
from typing import NamedTuple

from knapweedtally.core.groups import model


class Cause(enum.Enum):
    """Reasons for replacing a primary."""

    UNREACHABLE = "the primary does not answer"
    LEAVING = "the primary is leaving"
    STALLED = "the primary's commits reach no replica"
    ABSENT = "no target leads the group"
    LAGGING = "all replicas lag, and the primary refuses requests"


class Phase(enum.Enum):
    """Phases of an attempt."""

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
    """Control statements that are sent to targets."""

    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step down"


class OrderReport(NamedTuple):
    """A target's answer to an order.

    Attributes:
        status: status of the target after the order.
        answered_s: when the answer arrived.
    """

    status: model.TargetStatus
    answered_s: float


@dataclasses.dataclass(slots=True)
class Attempt:
    """The state of one attempt to change a group's primary.

    Attributes:
        group: name of the group.
        cause: reason for replacing the primary.
        old_primary: id of the primary to replace, or None if none is known.
        others: ids of the group's other members.
        leaving: ids of the members that are leaving.
        term: term that the new primary is to have at least.
        started_s: when the attempt began.
        phase: current phase of the attempt.
        phase_since_s: when this phase began.
        final_position: last log position of the old primary, once it has
            stepped down.
        stepped_down_s: when the old primary answered that it has stepped down,
            or 0.
        is_pause_sent: whether the members were asked to pause after that.
        listed_s: when all targets were last listed for the attempt.
        fenced: reports of the fenced members, which have paused replication.
        is_settled: whether all members are known, so that fenced members may
            be enough.
        candidate: id of the target to promote, or None before it is chosen.
        is_promotion_requested: whether the platform was asked to promote the
            candidate.
        is_requested_again: whether an earlier request, of this attempt or of
            another host, may have been accepted too.
        requested: id of the target whose promotion may have been accepted, or
            None.
        requested_position: position that its log covers, or None before the
            first request.
        is_fenced_again: whether members were paused after that.
        has_successor: whether another promotion to the attempt's term or a
            later one is known.
        has_objection: whether a host knows of a commit that the fenced members
            lack, and the promotion has to wait.
        reason: why the attempt was given up.
        log_floor: position that the last primary's log has to reach, if the
            attempt rests on that log, or None.
        successors: ids of the members that may lack the log of one that they
            replaced.
        successor_floor: position that the log of such a member has to reach at
            least.
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
    is_pause_sent: bool = False
    listed_s: float = 0.0
    fenced: dict[str, OrderReport] = dataclasses.field(default_factory=dict)
    is_settled: bool = True
    candidate: str | None = None
    is_promotion_requested: bool = False
    is_requested_again: bool = False
    requested: str | None = None
    requested_position: model.Position | None = None
    is_fenced_again: bool = False
    has_successor: bool = False
    has_objection: bool = False
    reason: str = ""
    log_floor: model.Position | None = None
    successors: frozenset[str] = frozenset()
    successor_floor: model.Position = model.Position(0, 0)


def enter_phase(attempt: Attempt, phase: Phase, now_s: float) -> None:
    """Enter a phase of an attempt."""
    attempt.phase = phase
    attempt.phase_since_s = now_s


class SendOrder(NamedTuple):
    """Step: send an order to targets and record their answers.

    Attributes:
        order: the order to send.
        targets: ids of the targets.
        pause_s: how long to wait before the next step.
    """

    order: Order
    targets: tuple[str, ...]
    pause_s: float = 0.0


class ListTargets(NamedTuple):
    """Step: list the targets, so that each member is known."""


class Wait(NamedTuple):
    """Step: wait before the next step."""

    delay_s: float


class Promote(NamedTuple):
    """Step: ask the platform to promote a target."""

    target: str


class Finish(NamedTuple):
    """Step: end the attempt."""

    is_done: bool
    reason: str


Step = SendOrder | ListTargets | Wait | Promote | Finish
