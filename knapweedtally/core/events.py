"""Events that several parts handle or that the runtime produces.

Events of a single part are defined in that part's ``events.py``.
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
        version: version of the object; 0 when it doesn't exist.
        value: value of the object; empty when it doesn't exist.
    """

    kind: str
    name: str
    version: int
    value: dict[str, object]


class ChangesFetched(NamedTuple):
    """Report that all objects of a kind were seen as of the time of the call.

    Attributes:
        operation: id from the effect that made the call.
        kind: kind of the objects.
    """

    operation: str
    kind: str


class ObjectUpdated(NamedTuple):
    """Report that a conditional update of a platform object succeeded."""

    operation: str
    kind: str
    name: str
    version: int
    value: dict[str, object]


class ObjectConflicted(NamedTuple):
    """Report that a conditional update failed with a version conflict.

    The version and the value are those that are currently stored.
    """

    operation: str
    kind: str
    name: str
    version: int
    value: dict[str, object]


class PlatformFailed(NamedTuple):
    """Report that a platform call got no answer.

    Attributes:
        operation: id from the effect that made the call.
        kind: kind of the object.
        name: name of the object.
        may_have_run: whether the update may have taken effect.
    """

    operation: str
    kind: str
    name: str
    may_have_run: bool


class HostListSeen(NamedTuple):
    """Report the platform's list of hosts, which may be out of date."""

    hosts: tuple[model.ListedHost, ...]


class TargetStopping(NamedTuple):
    """Report that a target refused work because it shuts down (57P01)."""

    target: str


class RegisterSeen(NamedTuple):
    """Report that a register newer than the known one arrived from peers."""

    register: model.Register


class ProbeAnswered(NamedTuple):
    """Report the status with which a target answered a probe.

    Attributes:
        report: the target's report.
        primary: primary that the target follows, or its own id.
        last_term: term of its last log entry.
        received: offset of the last received log entry, applied or not.
        rtt_ms: round-trip time of the probe.
    """

    report: model.TargetReport
    primary: str
    last_term: int
    received: int
    rtt_ms: float


class ProbeFailed(NamedTuple):
    """Report that a probe got no answer.

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
        operation: id from the effect that sent the command.
        target: id of the target.
        command: ``install_term``, ``promote``, ``follow`` or ``hold``.
        is_accepted: whether the target executed the command.
        term: the target's term after the command.
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
    """Report that a control command got no answer."""

    operation: str
    target: str
    command: str
