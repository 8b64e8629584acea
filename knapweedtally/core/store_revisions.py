"""Revisions of the store, and its generations.

The store may come back from a copy that is some seconds old. What was written
since is gone, and the revisions are given out again for other content. Each
time this happens, a new generation of the store begins. Revisions can be
compared within a generation only.
"""

import dataclasses
import enum
from typing import NamedTuple

# Generation of a store that names none.
UNKNOWN_GENERATION = 0


class Revision(NamedTuple):
    """A revision of the store, or of an object in it.

    Revisions are ordered by generation first. Of an object that the copy had,
    the generation is the one in which it was read; it may have been written
    earlier.

    Attributes:
        generation: the store's generation.
        number: number of the revision, which starts above 0.
    """

    generation: int
    number: int


# Before every revision of the store.
NO_REVISION = Revision(UNKNOWN_GENERATION, 0)


class Sight(enum.Enum):
    """What a generation in an answer of the store means.

    Attributes:
        FIRST: the first answer that this host has seen.
        SAME: the generation that is known.
        NEWER: the store came back from an older copy.
        OLDER: the answer was given before that.
    """

    FIRST = enum.auto()
    SAME = enum.auto()
    NEWER = enum.auto()
    OLDER = enum.auto()


@dataclasses.dataclass(slots=True)
class Generation:
    """The newest generation of the store that a host has seen.

    Attributes:
        number: the generation.
        seen_s: when an answer first named it, or None before the first answer.
    """

    number: int = UNKNOWN_GENERATION
    seen_s: float | None = None


def record_answer(
    generation: Generation, number: int | None, now_s: float
) -> Sight:
    """Record the generation that an answer names.

    Args:
        generation: what is known.
        number: the generation in the answer, or None if it names none.
        now_s: the current time.
    """
    if generation.seen_s is None:
        generation.number = number or UNKNOWN_GENERATION
        generation.seen_s = now_s
        return Sight.FIRST
    if number is None or number == generation.number:
        return Sight.SAME
    if number < generation.number:
        return Sight.OLDER
    generation.number = number
    generation.seen_s = now_s
    return Sight.NEWER
