"""Confirmations that a primary receives, and the freshness of data.

Times are seconds on the instance's own monotonic clock.
"""

from typing import NamedTuple


class Confirmation(NamedTuple):
    """State that a replica has confirmed in the primary's term.

    Attributes:
        received: offset up to which its log equals the primary's.
        nonce: newest nonce that the replica sent back.
    """

    received: int = 0
    nonce: int = 0


class ConfirmationTracker:
    """Track the replicas' confirmations to one primary in one term.

    Each answer to a replica carries a new nonce. A replica that sends a nonce
    back had the term installed after the nonce was issued.

    Attributes:
        nonce: newest nonce issued; 0 before the first.
        confirmations: latest confirmation of each replica, by id.
    """

    def __init__(self) -> None:
        """Initialise the tracker without confirmations."""
        self.nonce = 0
        self.confirmations: dict[str, Confirmation] = {}
        # Issue time by nonce, for nonces that may still be confirmed.
        self._issued_at: dict[int, float] = {}

    def issue_nonce(self, now: float) -> int:
        """Return a new nonce."""
        self.nonce += 1
        self._issued_at[self.nonce] = now
        return self.nonce

    def record_confirmation(
        self, replica: str, received: int, nonce: int
    ) -> None:
        """Record a confirmation; a late one never lowers known values."""
        known = self.confirmations.get(replica, Confirmation())
        self.confirmations[replica] = Confirmation(
            max(known.received, received), max(known.nonce, nonce)
        )

    def count_confirmations(self, received: int, nonce: int) -> int:
        """Count the replicas that confirmed an offset and a nonce."""
        return sum(
            item.received >= received and item.nonce >= nonce
            for item in self.confirmations.values()
        )

    def find_confirmed_time(self, needed: int) -> float | None:
        """Return the issue time of the newest nonce with enough confirmations.

        Args:
            needed: number of replicas that form a majority together with
                the primary; above 0.
        """
        nonces = sorted(
            (item.nonce for item in self.confirmations.values()), reverse=True
        )
        if len(nonces) < needed:
            return None
        confirmed = nonces[needed - 1]
        for nonce in [item for item in self._issued_at if item < confirmed]:
            del self._issued_at[nonce]
        return self._issued_at.get(confirmed)


class _PendingFreshness(NamedTuple):
    """Time up to which data is complete once an offset is applied."""

    offset: int
    complete_until: float


class FreshnessTracker:
    """Track the time up to which the applied data is known to be complete.

    Attributes:
        complete_until: the time, or None while it is unknown.
    """

    def __init__(self) -> None:
        """Initialise with an unknown time."""
        self.complete_until: float | None = None
        self._pending: list[_PendingFreshness] = []

    def advance(self, at: float) -> None:
        """Record that the applied data was complete at a time."""
        if self.complete_until is None or at > self.complete_until:
            self.complete_until = at

    def add_pending(self, offset: int, at: float) -> None:
        """Record that data up to an offset was complete at a time."""
        self._pending.append(_PendingFreshness(offset, at))

    def resolve_pending(self, applied: int) -> None:
        """Advance the time by the pending records whose offset is applied."""
        pending = []
        for entry in self._pending:
            if entry.offset <= applied:
                self.advance(entry.complete_until)
            else:
                pending.append(entry)
        self._pending = pending

    def discard_pending(self) -> None:
        """Discard the pending records of offsets that were not applied."""
        self._pending = []
