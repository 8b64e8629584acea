"""Fetch a decision record from the host that took the decision."""

import time
from typing import Any
from typing import Protocol

from knapweedtally.admin import views
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.peers import errors


class DecisionFetcher(Protocol):
    """Fetch a decision record of another host."""

    async def __call__(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        """Return the record, or None when it can't be had."""


class DecisionSource(Protocol):
    """Ask another host over the peers edge."""

    async def fetch_decision(
        self, host: str, decision: str
    ) -> explanations_state.Decision | None:
        """Return a record, its time on this host's clock, or None."""


class PeerFetcher:
    """Show the records that the peers edge fetches."""

    def __init__(self, source: DecisionSource) -> None:
        self._source = source

    async def __call__(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        """Return the record, or None when it can't be had."""
        try:
            found = await self._source.fetch_decision(host, decision_id)
        except errors.PeerError:
            return None
        if found is None:
            return None
        return views.show_decision(found, time.monotonic())
