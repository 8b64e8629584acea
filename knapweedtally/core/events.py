"""Events that more than one part handles, or that the runtime produces.

Events of a single part live in that part's ``events.py``.
"""

from typing import NamedTuple

from knapweedtally.core import model


class Ticked(NamedTuple):
    """Report that the control interval (100 ms) has passed."""


class TimerFired(NamedTuple):
    """Report that a timer set by ``effects.SetTimer`` is due."""

    key: tuple[object, ...]


class ObjectSeen(NamedTuple):
    """Report the state of a platform object, from a watch or a read.

    Attributes:
        kind: kind of the object, ``group`` or ``bundle``.
        name: name of the object.
        version: its version; 0 when it doesn't exist.
        value: its value; empty when it doesn't exist.
    """

    kind: str
    name: str
    version: int
    value: dict[str, object]


class ObjectUpdated(NamedTuple):
    """Report that a conditional update took effect."""

    operation: str
    kind: str
    name: str
    version: int
    value: dict[str, object]


class ObjectConflicted(NamedTuple):
    """Report that a conditional update lost; the winner's state is given."""

    operation: str
    kind: str
    name: str
    version: int
    value: dict[str, object]


class PlatformFailed(NamedTuple):
    """Report a platform call without an answer.

    Attributes:
        operation: id given with the effect.
        kind: kind of the object.
        name: name of the object.
        may_have_run: whether the update may have taken effect.
    """

    operation: str
    kind: str
    name: str
    may_have_run: bool


class HostListSeen(NamedTuple):
    """Report the platform's list of hosts, which lags."""

    hosts: tuple[model.ListedHost, ...]


class TargetStopping(NamedTuple):
    """Report that a target refused work because it shuts down (57P01)."""

    target: str


class RegisterSeen(NamedTuple):
    """Report that a register newer than the known one arrived from peers."""

    register: model.Register


class ProbeAnswered(NamedTuple):
    """Report a target's own status, asked for by ``effects.ProbeTarget``.

    Attributes:
        report: the target's report.
        primary: primary that the target follows, or its own id.
        last_term: term of its last log entry.
        received: last log entry received, applied or not.
        rtt_ms: round trip of the probe.
    """

    report: model.TargetReport
    primary: str
    last_term: int
    received: int
    rtt_ms: float


class ProbeFailed(NamedTuple):
    """Report a probe without an answer.

    Attributes:
        target: id of the target.
        is_refused: True when the connection was refused or reset, False
            when it timed out.
    """

    target: str
    is_refused: bool


class ControlAnswered(NamedTuple):
    """Report a target's answer to a control command.

    Attributes:
        operation: id given with the effect.
        target: id of the target.
        command: ``install_term``, ``promote``, ``follow`` or ``hold``.
        is_accepted: whether the target did as asked.
        term: the target's term afterwards.
        last_term: term of its last received log entry.
        received: offset of its last received log entry.
    """

    operation: str
    target: str
    command: str
    is_accepted: bool
    term: int
    last_term: int
    received: int


class ControlFailed(NamedTuple):
    """Report a control command without an answer."""

    operation: str
    target: str
    command: str
