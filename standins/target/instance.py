"""Term, log and confirmations of one database instance.

``Instance`` performs no I/O and reads no clock: ``now`` is in seconds on the
instance's own monotonic clock. Clocks of two instances are never compared.
"""

import enum
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from standins.target import confirmation
from standins.target import errors
from standins.target import log as logs

# Reported while the age of the data is unknown.
UNKNOWN_AGE_MS = 2.0**31
MS_PER_SECOND = 1000.0


class Role(enum.Enum):
    """Role of an instance in its installed term."""

    FENCED = "fenced"
    PRIMARY = "primary"
    REPLICA = "replica"


class BarrierState(enum.Enum):
    """Progress of a barrier."""

    PENDING = "pending"
    CONFIRMED = "confirmed"
    REPLACED = "replaced"


class Barrier(NamedTuple):
    """Term, position and nonce that a majority has to confirm.

    Attributes:
        term: term of the primary that began the barrier.
        offset: last log entry when it began.
        nonce: nonce that is sent to replicas only after it began.
    """

    term: int
    offset: int
    nonce: int


class Report(NamedTuple):
    """Position and age of the data that a statement read.

    Attributes:
        term: term in which the log was last compared with the primary's
            log; no entry up to ``offset`` is dropped in this term.
        offset: last log entry applied.
        age_ms: upper bound on the age of the data.
        is_primary: whether the instance serves as the primary of ``term``.
    """

    term: int
    offset: int
    age_ms: float
    is_primary: bool


class ControlAnswer(NamedTuple):
    """Answer to a control command."""

    is_accepted: bool
    term: int
    last_term: int
    received: int


class Instance:
    """One member of a database group.

    Attributes:
        id: id of this instance.
        members: ids of all instances of the group.
        term: installed term.
        operation: id of the operation that installed the term, or empty.
        primary: id of the term's primary, or empty while unknown.
        role: role of this instance in the term.
        log: entries received; a replica may not have applied all of them.
        applied: offset up to which reads see the data.
        matched_term: term whose primary's log this log was last compared with.
        nonce: on a replica, the newest nonce of the term's primary.
        hold_until: time until which new writes are refused.
    """

    def __init__(
        self,
        id: str,
        members: Iterable[str],
    ) -> None:
        """Initialise an instance with an empty log and no term."""
        self.id = id
        self.members = frozenset(members) | {id}
        self.term = 0
        self.operation = ""
        self.primary = ""
        self.role = Role.FENCED
        self.log: list[logs.Entry] = []
        self.applied = 0
        self.matched_term = 0
        self.nonce = 0
        self.hold_until = 0.0
        self._confirmation_tracker = confirmation.ConfirmationTracker()
        self._freshness = confirmation.FreshnessTracker()

    @property
    def received(self) -> int:
        """Return the offset of the last entry in the log."""
        return len(self.log)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry in the log; 0 when empty."""
        return self.log[-1].term if self.log else 0

    @property
    def is_primary(self) -> bool:
        """Return whether this instance is its term's primary."""
        return self.role is Role.PRIMARY

    @property
    def confirmations(self) -> dict[str, confirmation.Confirmation]:
        """Return the replicas' confirmations to this primary in its term."""
        return self._confirmation_tracker.confirmations

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority."""
        return len(self.members) // 2 + 1

    def is_holding(self, now: float) -> bool:
        """Return whether new writes are refused for a planned change."""
        return now < self.hold_until

    # Control commands.

    def install_term(self, term: int, operation: str) -> ControlAnswer:
        """Install a term; messages of lower terms are rejected from then on."""
        if term > self.term:
            self._enter_term(term, operation)
            return self._make_control_answer(True)
        is_installed = term == self.term and operation == self.operation
        return self._make_control_answer(is_installed)

    def promote(self, term: int, operation: str) -> ControlAnswer:
        """Become the primary of an installed term.

        The caller applies all entries up to ``applied`` before the next
        statement runs.
        """
        if term != self.term:
            return self._make_control_answer(False)
        if self.is_primary:
            return self._make_control_answer(True)
        if operation != self.operation or self.primary not in ("", self.id):
            return self._make_control_answer(False)
        self.role = Role.PRIMARY
        self.primary = self.id
        self.matched_term = term
        # Confirming an entry of the new term confirms all earlier entries.
        self._append_entry(())
        return self._make_control_answer(True)

    def follow(self, term: int, primary: str) -> ControlAnswer:
        """Replicate from the primary of a term, installing the term."""
        is_own_term = term == self.term and self.is_primary
        if term < self.term or is_own_term or primary == self.id:
            return self._make_control_answer(False)
        if term > self.term:
            self._enter_term(term, "")
        if primary != self.primary:
            self.primary = primary
            self.nonce = 0
        self.role = Role.REPLICA
        return self._make_control_answer(True)

    def hold(self, term: int, milliseconds: float, now: float) -> ControlAnswer:
        """Refuse new writes for a duration in milliseconds."""
        if term != self.term or not self.is_primary:
            return self._make_control_answer(False)
        self.hold_until = now + milliseconds / MS_PER_SECOND
        return self._make_control_answer(True)

    # Primary side.

    def check_writable(self, now: float) -> None:
        """Check that a new write may begin.

        Raises:
            errors.NotPrimaryError: this instance is not a primary.
            errors.HoldError: writes are on hold.
        """
        if not self.is_primary:
            raise errors.NotPrimaryError(
                f"{self.id} is not the primary of term {self.term};"
                f" write to {self.primary or 'the next primary'}"
            )
        if self.is_holding(now):
            raise errors.HoldError(
                f"{self.id} holds writes for a planned change; retry shortly"
            )

    def append(self, statements: Sequence[logs.Statement]) -> int:
        """Append a committed transaction and return its offset.

        The caller has run the statements, so the entry counts as applied.

        Raises:
            errors.NotPrimaryError: this instance is not a primary.
        """
        if not self.is_primary:
            raise errors.NotPrimaryError(
                f"{self.id} lost term {self.term} before the commit;"
                " the transaction is rolled back"
            )
        return self._append_entry(tuple(statements))

    def pull(self, request: logs.PullRequest, now: float) -> logs.PullAnswer:
        """Record a replica's confirmation and return its missing entries."""
        is_member = request.replica in self.members - {self.id}
        if not (self.is_primary and is_member and request.term == self.term):
            return logs.PullAnswer(False, self.term, self.id)
        is_match = self._has_entry(request.last_term, request.received)
        start = request.received if is_match else 0
        self._confirmation_tracker.record_confirmation(
            request.replica, start, request.nonce
        )
        return logs.PullAnswer(
            is_accepted=True,
            term=self.term,
            primary=self.id,
            nonce=self._confirmation_tracker.issue_nonce(now),
            start=start,
            start_term=request.last_term if is_match else 0,
            entries=tuple(self.log[start:]),
            is_full_log=not is_match,
            age_ms=self.age_ms(now),
        )

    def start_barrier(self, now: float) -> Barrier:
        """Start a barrier at the current end of the log.

        Raises:
            errors.NotPrimaryError: this instance is not a primary.
        """
        if not self.is_primary:
            raise errors.NotPrimaryError(
                f"{self.id} is not the primary of term {self.term};"
                " a barrier runs at the primary"
            )
        return Barrier(
            self.term,
            self.received,
            self._confirmation_tracker.issue_nonce(now),
        )

    def check_barrier(self, barrier: Barrier) -> BarrierState:
        """Return the progress of a barrier."""
        if not self.is_primary or self.term != barrier.term:
            return BarrierState.REPLACED
        confirmed = self._confirmation_tracker.count_confirmations(
            barrier.offset, barrier.nonce
        )
        if confirmed + 1 >= self.majority:
            return BarrierState.CONFIRMED
        return BarrierState.PENDING

    # Replica side.

    def make_pull(self) -> logs.PullRequest:
        """Return the request for the entries that this replica is missing."""
        return logs.PullRequest(
            replica=self.id,
            term=self.term,
            last_term=self.last_term,
            received=self.received,
            applied=self.applied,
            nonce=self.nonce,
        )

    def receive(self, answer: logs.PullAnswer, sent_at: float) -> bool:
        """Process a primary's answer; late and repeated answers are harmless.

        Args:
            answer: answer to a pull of this instance.
            sent_at: time at which that pull was sent.

        Returns:
            Whether applied entries were dropped; the caller then has to
            rebuild the data from the log up to ``applied``.

        Raises:
            errors.LogMismatchError: the primary's log lacks entries that it
                had in this term; nothing is changed.
        """
        if not self._is_from_primary(answer):
            return False
        kept = self._count_common_entries(answer)
        if kept < self.received:
            if self.matched_term == self.term:
                raise errors.LogMismatchError(
                    f"{answer.primary} lost entries of term {self.term} after"
                    f" offset {kept}; begin a new term without it"
                )
            del self.log[kept:]
        self.log.extend(answer.entries[self.received - answer.start :])
        self.matched_term = self.term
        self.nonce = max(self.nonce, answer.nonce)
        has_dropped = self.applied > kept
        self.applied = min(self.applied, kept)
        self._record_freshness(answer, sent_at)
        return has_dropped

    def mark_applied(self, offset: int) -> None:
        """Record that reads see the data up to an offset of the log."""
        self.applied = max(self.applied, min(offset, self.received))
        self._freshness.resolve_pending(self.applied)

    # Reports.

    def age_ms(self, now: float) -> float:
        """Return an upper bound on the age of the applied data."""
        if self.is_primary:
            self._update_freshness(now)
        complete_until = self._freshness.complete_until
        if complete_until is None:
            return UNKNOWN_AGE_MS
        return max(0.0, (now - complete_until) * MS_PER_SECOND)

    def report(self, now: float) -> Report:
        """Return the position and age of data that a statement reads now."""
        return Report(
            self.matched_term, self.applied, self.age_ms(now), self.is_primary
        )

    # Helper methods.

    def _make_control_answer(self, is_accepted: bool) -> ControlAnswer:
        return ControlAnswer(
            is_accepted, self.term, self.last_term, self.received
        )

    def _enter_term(self, term: int, operation: str) -> None:
        self.term = term
        self.operation = operation
        self.primary = ""
        self.role = Role.FENCED
        self.nonce = 0
        self.hold_until = 0.0
        self._confirmation_tracker = confirmation.ConfirmationTracker()
        self._freshness.discard_pending()

    def _append_entry(self, statements: tuple[logs.Statement, ...]) -> int:
        offset = self.received + 1
        self.log.append(logs.Entry(self.term, offset, statements))
        self.applied = offset
        return offset

    def _has_entry(self, term: int, offset: int) -> bool:
        if offset == 0:
            return True
        return offset <= self.received and self.log[offset - 1].term == term

    def _update_freshness(self, now: float) -> None:
        """Advance freshness to the newest nonce that a majority confirmed."""
        needed = self.majority - 1
        confirmed_at = (
            self._confirmation_tracker.find_confirmed_time(needed)
            if needed
            else now
        )
        if confirmed_at is not None:
            self._freshness.advance(confirmed_at)

    def _is_from_primary(self, answer: logs.PullAnswer) -> bool:
        return (
            answer.is_accepted
            and self.role is Role.REPLICA
            and answer.term == self.term
            and answer.primary == self.primary
            and self._has_entry(answer.start_term, answer.start)
        )

    def _count_common_entries(self, answer: logs.PullAnswer) -> int:
        """Return how many of the own entries the primary's log contains."""
        common = answer.start
        for entry in answer.entries:
            if not self._has_entry(entry.term, entry.offset):
                return common
            common = entry.offset
        # Within its term a primary only appends, so a shorter answer is late.
        if self.matched_term == self.term:
            return self.received
        return common

    def _record_freshness(
        self, answer: logs.PullAnswer, sent_at: float
    ) -> None:
        if answer.age_ms >= UNKNOWN_AGE_MS:
            return
        offset = answer.start + len(answer.entries)
        self._freshness.add_pending(
            offset, sent_at - answer.age_ms / MS_PER_SECOND
        )
        self._freshness.resolve_pending(self.applied)
