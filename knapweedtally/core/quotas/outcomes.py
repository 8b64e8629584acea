"""What a host has to do about a team's operations."""

from typing import NamedTuple

from knapweedtally.core.quotas import messages


class Admitted(NamedTuple):
    """An operation got a token, which is valid until a time."""

    id: int
    expires_s: float


class Refused(NamedTuple):
    """An operation got none, and why; its caller may retry after a time."""

    id: int
    retry_s: float
    reason: str


class CheckLater(NamedTuple):
    """The team's operations are to be checked again after a time."""

    delay_s: float


class Sent(NamedTuple):
    """A question goes to a host, which may be the own one."""

    host: str
    ask: messages.Ask


Effect = Admitted | Refused | Sent | CheckLater
