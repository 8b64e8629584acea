"""The right to send one operation of a team with a limit."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from knapweedtally.core.quotas import rules

RefusalListener = Callable[[str], None]
AdmissionListener = Callable[["Permit | None"], None]


class TokenSource(Protocol):
    """Where permits get tokens and return them."""

    def admit(
        self,
        team: str,
        id_: bytes,
        left_s: float,
        on_admitted: AdmissionListener,
        on_refused: RefusalListener,
    ) -> None:
        """Admit an operation, and call one of the listeners once."""

    def take_at_hand(self, team: str, now_s: float) -> float | None:
        """Return the expiry time of a token that is at hand, or None."""

    def give_back(self, team: str, expires_s: float) -> None:
        """Take back a token that wasn't used."""


class Permit:
    """The right to send one operation to a target."""

    __slots__ = (
        "_expires_s",
        "_id",
        "_is_released",
        "_is_sent",
        "_is_waiting",
        "_left_until_s",
        "_on_ready",
        "_on_refused",
        "_quotas",
        "_team",
    )

    def __init__(
        self,
        quotas: TokenSource,
        team: str,
        id_: bytes,
        expires_s: float,
        left_until_s: float,
    ) -> None:
        """Create a permit with a token.

        Args:
            quotas: where further tokens come from.
            team: name of the team.
            id_: id of the operation's statement, for the log.
            expires_s: when the token expires.
            left_until_s: deadline of the operation.
        """
        self._quotas = quotas
        self._team = team
        self._id = id_
        self._expires_s = expires_s
        self._left_until_s = left_until_s
        self._is_sent = False
        self._is_waiting = False
        self._is_released = False
        self._on_ready: Callable[[], None] = lambda: None
        self._on_refused: RefusalListener = lambda detail: None

    def attach(
        self, on_ready: Callable[[], None], on_refused: RefusalListener
    ) -> None:
        """Set what is called once a token that expired was replaced.

        Args:
            on_ready: called when the operation may be sent.
            on_refused: called with the detail of the refusal.
        """
        self._on_ready = on_ready
        self._on_refused = on_refused

    def confirm(self, now_s: float) -> bool:
        """Return whether the operation may be sent now.

        An operation that was queued until its token expired needs another, as
        else all that a failover holds up would reach the target in one window.
        One that was sent, and proved not to have run, needs no further token.
        """
        if self._is_sent:
            return True
        if self._is_waiting:
            return False
        if not rules.is_valid(self._expires_s, now_s):
            expires_s = self._quotas.take_at_hand(self._team, now_s)
            if expires_s is None:
                self._wait(now_s)
                return False
            self._expires_s = expires_s
        self._is_sent = True
        return True

    def _wait(self, now_s: float) -> None:
        self._is_waiting = True
        # The router calls this amid its queue, so the result must come later.
        asyncio.get_running_loop().call_soon(
            self._quotas.admit,
            self._team,
            self._id,
            self._left_until_s - now_s,
            self._handle_admitted,
            self._handle_refused,
        )

    def _handle_admitted(self, permit: "Permit | None") -> None:
        self._is_waiting = False
        if permit is None:
            # The team has no limit any more.
            self._expires_s = math.inf
        else:
            self._expires_s = permit._expires_s
        if self._is_released:
            self.release()
            return
        self._on_ready()

    def _handle_refused(self, detail: str) -> None:
        self._is_waiting = False
        self._on_refused(detail)

    def take_more(self, now_s: float) -> bool:
        """Take a token at hand for a hedged attempt, if there is one."""
        return self._quotas.take_at_hand(self._team, now_s) is not None

    def require_another(self) -> None:
        """Require another token, as the last attempt may have run."""
        self._is_sent = False
        self._expires_s = -math.inf

    def release(self) -> None:
        """Return the token if nothing was sent to a target."""
        self._is_released = True
        if not self._is_sent:
            self._quotas.give_back(self._team, self._expires_s)
            self._expires_s = -math.inf
