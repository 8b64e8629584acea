"""What a majority confirmed to a primary, and how fresh data is.

Times are seconds on the instance's own monotonic clock.
"""

from typing import NamedTuple


class Confirmation(NamedTuple):
    """Hold what a replica has confirmed in the primary's term.

    Attributes:
        received: offset up to which its log equals the primary's.
        nonce: newest nonce that it sent back.
    """

    received: int = 0
    nonce: int = 0


class Contact:
    """Count the contact rounds of one primary in one term.

    Each answer to a replica carries a new nonce. A replica that sends a nonce
    back had the term installed after the nonce was issued.

    Attributes:
        nonce: newest nonce issued; 0 before the first.
        confirmations: what each replica confirmed.
    """

    def __init__(self) -> None:
        """Begin a term without confirmations."""
        self.nonce = 0
        self.confirmations: dict[str, Confirmation] = {}
        # Issue time by nonce, for nonces that may still be confirmed.
        self._issued: dict[int, float] = {}

    def issue_nonce(self, now: float) -> int:
        """Return a new nonce."""
        self.nonce += 1
        self._issued[self.nonce] = now
        return self.nonce

    def confirm(self, replica: str, received: int, nonce: int) -> None:
        """Note a replica's confirmation; a late one takes nothing back."""
        known = self.confirmations.get(replica, Confirmation())
        self.confirmations[replica] = Confirmation(
            max(known.received, received), max(known.nonce, nonce)
        )

    def count(self, received: int, nonce: int) -> int:
        """Count the replicas that confirmed an offset and a nonce."""
        return sum(
            item.received >= received and item.nonce >= nonce
            for item in self.confirmations.values()
        )

    def find_start(self, needed: int) -> float | None:
        """Return when the newest round began that enough replicas confirmed.

        Args:
            needed: replicas that make a majority with the primary; above 0.
        """
        nonces = sorted(
            (item.nonce for item in self.confirmations.values()), reverse=True
        )
        if len(nonces) < needed:
            return None
        confirmed = nonces[needed - 1]
        for nonce in [item for item in self._issued if item < confirmed]:
            del self._issued[nonce]
        return self._issued.get(confirmed)


class _Claim(NamedTuple):
    """State until when data is complete once an offset is applied."""

    offset: int
    complete_at: float


class Freshness:
    """Keep the time up to which the applied data is known to be complete.

    Attributes:
        complete_at: the time, or None while nothing is known.
    """

    def __init__(self) -> None:
        """Begin without any knowledge."""
        self.complete_at: float | None = None
        self._claims: list[_Claim] = []

    def note(self, at: float) -> None:
        """Note that the applied data was complete at a time."""
        if self.complete_at is None or at > self.complete_at:
            self.complete_at = at

    def claim(self, offset: int, at: float) -> None:
        """Note that data up to an offset was complete at a time."""
        self._claims.append(_Claim(offset, at))

    def settle(self, applied: int) -> None:
        """Note the claims whose offset is applied by now."""
        pending = []
        for claim in self._claims:
            if claim.offset <= applied:
                self.note(claim.complete_at)
            else:
                pending.append(claim)
        self._claims = pending

    def drop_claims(self) -> None:
        """Forget the claims about offsets that were not applied."""
        self._claims = []
