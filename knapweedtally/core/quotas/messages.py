"""Questions for tokens and the answers to them."""

import enum
from typing import NamedTuple

from knapweedtally.core.quotas import slices


class Reply(enum.IntEnum):
    """What an allocator says about its slice."""

    GRANTED = 0
    EMPTY = 1
    NOT_ALLOCATOR = 2


class Ask(NamedTuple):
    """A question for tokens.

    Attributes:
        id: number of the question; a repeated one has the same.
        team: name of the team.
        limit: its limit as the asking host knows it.
        needed: number of operations that wait.
        ahead: number of tokens wanted in advance.
    """

    id: int
    team: str
    limit: slices.Limit
    needed: int
    ahead: int


class Lend(NamedTuple):
    """The answer to a question.

    Attributes:
        id: number of the question.
        team: name of the team.
        reply: what the allocator says about its slice.
        tokens: number of granted tokens.
        fill: part of the slice's capacity that is left, 0 to 1.
        retry_s: time after which a token is likely to be left for the asking
            host.
        limit: the newest limit that the allocator knows.
    """

    id: int
    team: str
    reply: Reply
    tokens: int
    fill: float
    retry_s: float
    limit: slices.Limit
