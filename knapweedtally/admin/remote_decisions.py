"""Fetch decision records from the hosts that made the decisions."""

import time
from typing import Any
from typing import Protocol

from knapweedtally.admin import views
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.peers import errors


class DecisionFetcher(Protocol):
    """Callable that fetches a decision record from another host."""

    async def __call__(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        """Return the record, or None if it is unavailable."""


class DecisionSource(Protocol):
    """Peer connection over which another host is asked for its records."""

    async def fetch_decision(
        self, host: str, decision: str
    ) -> explanations_state.Decision | None:
        """Return a record or None; its time is on this host's clock."""


class PeerDecisionFetcher:
    """Fetch records over peer connections and return them as plain values."""

    def __init__(self, source: DecisionSource) -> None:
        self._source = source

    async def __call__(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        """Return the record, or None if it is unavailable."""
        try:
            decision = await self._source.fetch_decision(host, decision_id)
        except errors.PeerError:
            return None
        if decision is None:
            return None
        return views.describe_decision(decision, time.monotonic())
