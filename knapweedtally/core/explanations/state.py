"""The bounded ring of decision records."""

import collections
import dataclasses
from typing import NamedTuple

RING_SIZE = 4096


class Decision(NamedTuple):
    """Record one decision with its reason.

    Attributes:
        id: ``HOST-INCARNATION-COUNT``, unique in the system.
        at: monotonic time of the host, in seconds.
        part: part of the core that decided.
        subject: what it is about: a request, a target or a group.
        choice: what was decided.
        reason: one sentence that says why.
        evidence: the values that the reason rests on.
        remedy: what an operator can do, or empty.
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
    """Hold the newest decisions of this host.

    Attributes:
        count: decisions recorded since the start.
        ring: newest decisions by id, oldest first.
    """

    count: int = 0
    ring: collections.OrderedDict[str, Decision] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
