"""What a change of primary consists of, and what an attempt at one knows."""

import dataclasses
import enum
from typing import NamedTuple

from knapweedtally.core.groups import model


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
