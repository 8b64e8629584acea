"""Keys of the timers that the failover part sets.

Each key ends in the name of its timer, so that the keys of two different
timers for the same group and term are never equal.
"""

from typing import NamedTuple


class StartDue(NamedTuple):
    """Timer that starts the replacement of a failed primary.

    Attributes:
        group: name of the group.
        term: term of the failed primary.
    """

    group: str
    term: int
    timer: str = "failover.start"


class CompletionDue(NamedTuple):
    """Timer that completes a term without a serving primary.

    Attributes:
        group: name of the group.
        term: the term.
        is_open: whether the primary was chosen when the timer was set.
    """

    group: str
    term: int
    is_open: bool
    timer: str = "failover.completion"


class SwitchDue(NamedTuple):
    """Timer that begins a planned change.

    Attributes:
        group: name of the group.
        term: term of the current primary.
    """

    group: str
    term: int
    timer: str = "failover.switch"


class CreationDue(NamedTuple):
    """Timer that reads a group's object if it is still unknown.

    Attributes:
        group: name of the group.
    """

    group: str
    timer: str = "failover.creation"


class StepDue(NamedTuple):
    """Timer that starts the next attempt of a step.

    Attributes:
        group: name of the group.
        operation: id of the promotion's operation.
        step: name of the step.
        attempt: number of the attempt that set the timer.
    """

    group: str
    operation: str
    step: str
    attempt: int
    timer: str = "failover.step"
