"""The ring buffer of decision records."""

import collections
import dataclasses
from typing import NamedTuple

RING_SIZE = 4096


class Decision(NamedTuple):
    """A decision with its reason.

    Attributes:
        id: ``HOST-INCARNATION-COUNT``, unique in the system.
        at: monotonic time of the host, in seconds.
        part: part of the core that decided.
        subject: the request, target or group that the decision is about.
        choice: what was decided.
        reason: one sentence that explains the choice.
        evidence: values that support the reason.
        remedy: action that an operator can take, or empty.
    """

    id: str
    at: float
    part: str
    subject: str
    choice: str
    reason: str
    evidence: dict[str, object]
    remedy: str = ""


@dataclasses.dataclass(slots=True)
class ExplanationsState:
    """The most recent decisions of this host.

    Attributes:
        count: number of decisions recorded since the process started.
        ring: most recent decisions by id, oldest first.
    """

    count: int = 0
    ring: collections.OrderedDict[str, Decision] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
