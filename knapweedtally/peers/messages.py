"""Messages between the edges of two proxies, not seen by the core."""

import enum
from typing import NamedTuple

from knapweedtally.core.explanations import state as explanations_state


class Purpose(enum.Enum):
    """Say what a connection is for."""

    LINK = "link"
    QUERY = "query"


class Hello(NamedTuple):
    """Open a connection; the side that connects sends it first.

    Attributes:
        token: secret that all hosts share.
        host: name of the sender.
        incarnation: incarnation of the sender.
        purpose: what the connection is for.
    """

    token: str
    host: str
    incarnation: int
    purpose: Purpose


class DecisionRequest(NamedTuple):
    """Ask for a decision record of the receiver."""

    decision: str


class DecisionAnswer(NamedTuple):
    """Answer with a decision record, or None when it isn't held any more."""

    decision: explanations_state.Decision | None
