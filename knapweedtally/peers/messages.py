"""Messages that the peers adapters of two proxies handle themselves.

The reducer never receives them.
"""

import enum
from typing import NamedTuple

from knapweedtally.core.explanations import state as explanations_state


class Purpose(enum.Enum):
    """Purpose of a connection between two proxies."""

    LINK = "link"
    QUERY = "query"


class Hello(NamedTuple):
    """First message on a connection; the connecting side sends it first.

    Attributes:
        token: secret shared by all hosts.
        host: name of the sender.
        incarnation: incarnation of the sender.
        purpose: what the connection is for.
    """

    token: str
    host: str
    incarnation: int
    purpose: Purpose


class DecisionRequest(NamedTuple):
    """Request for a decision record of the receiving host."""

    decision: str


class DecisionAnswer(NamedTuple):
    """Response with a decision record, or None if it is no longer stored."""

    decision: explanations_state.Decision | None
