"""Keys of the timers that the failover part sets.

Each key ends in the name of its timer, so that keys of two timers about the
same group and term differ.
"""

from typing import NamedTuple


class StartDue(NamedTuple):
    """Ask whether a failed primary still has to be replaced.

    Attributes:
        group: name of the group.
        term: term of the failed primary.
    """

    group: str
    term: int
    timer: str = "failover.start"


class CompletionDue(NamedTuple):
    """Ask whether a term still lacks its primary.

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
    """Ask whether a planned change still has to be made.

    Attributes:
        group: name of the group.
        term: term of the current primary.
    """

    group: str
    term: int
    timer: str = "failover.switch"


class CreationDue(NamedTuple):
    """Ask whether a group's object is still unknown.

    Attributes:
        group: name of the group.
    """

    group: str
    timer: str = "failover.creation"


class StepDue(NamedTuple):
    """Ask for the next attempt of a step.

    Attributes:
        group: name of the group.
        operation: id of the promotion's operation.
        step: name of the step.
        attempt: attempt that the timer was set in.
    """

    group: str
    operation: str
    step: str
    attempt: int
    timer: str = "failover.step"
