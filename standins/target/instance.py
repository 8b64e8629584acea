"""Term, log and confirmations of one database instance.

``Instance`` does no I/O and reads no clock: ``now`` is seconds on the
instance's own monotonic clock, and clocks of instances are never compared.
"""

import enum
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from standins.target import contact
from standins.target import errors
from standins.target import log as logs

# Reported while nothing is known of the data's age.
UNKNOWN_AGE_MS = 2.0**31
MS_PER_SECOND = 1000.0


class Role(enum.Enum):
    """Tell what an instance does in its installed term."""

    FENCED = "fenced"
    PRIMARY = "primary"
    REPLICA = "replica"


class BarrierState(enum.Enum):
    """Tell how far a barrier has come."""

    PENDING = "pending"
    CONFIRMED = "confirmed"
    REPLACED = "replaced"


class Barrier(NamedTuple):
    """Name what a majority has to confirm.

    Attributes:
        term: term of the primary that began the barrier.
        offset: last log entry when it began.
        nonce: sent to replicas only after it began.
    """

    term: int
    offset: int
    nonce: int


class Report(NamedTuple):
    """Describe the data that a statement saw.

    Attributes:
        term: term under which the log was last matched with its primary's;
            no entry up to ``offset`` is dropped under this term.
        offset: last log entry applied.
        age_ms: upper bound on the age of the data.
        is_primary: whether the instance serves as the primary of ``term``.
    """

    term: int
    offset: int
    age_ms: float
    is_primary: bool


class ControlAnswer(NamedTuple):
    """Answer a control command."""

    is_accepted: bool
    term: int
    last_term: int
    received: int


class Instance:
    """Hold one member of a database group.

    Attributes:
        id: id of this instance.
        members: ids of all instances of the group.
        term: installed term.
        operation: id of the operation that installed the term, or empty.
        primary: id of the term's primary, or empty while unknown.
        role: what this instance does in the term.
        log: entries received; on a replica not all may be applied.
        applied: offset up to which reads see the data.
        matched_term: term whose primary's log this log was last matched with.
        nonce: as replica, the newest nonce of the term's primary.
        hold_until: time until which new writes are refused.
    """

    def __init__(
        self,
        id: str,
        members: Iterable[str],
    ) -> None:
        """Make an instance with an empty log and no term."""
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
        self._contact = contact.Contact()
        self._freshness = contact.Freshness()

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
    def confirmations(self) -> dict[str, contact.Confirmation]:
        """Return what each replica confirmed to this primary in its term."""
        return self._contact.confirmations

    @property
    def majority(self) -> int:
        """Return how many members make a majority."""
        return len(self.members) // 2 + 1

    def is_holding(self, now: float) -> bool:
        """Return whether new writes are refused for a planned change."""
        return now < self.hold_until

    # Control commands.

    def install_term(self, term: int, operation: str) -> ControlAnswer:
        """Install a term: nothing of a lower term is accepted from then on."""
        if term > self.term:
            self._enter_term(term, operation)
            return self._answer(True)
        is_installed = term == self.term and operation == self.operation
        return self._answer(is_installed)

    def promote(self, term: int, operation: str) -> ControlAnswer:
        """Become the primary of an installed term.

        The caller applies all entries up to ``applied`` before the next
        statement runs.
        """
        if term != self.term:
            return self._answer(False)
        if self.is_primary:
            return self._answer(True)
        if operation != self.operation or self.primary not in ("", self.id):
            return self._answer(False)
        self.role = Role.PRIMARY
        self.primary = self.id
        self.matched_term = term
        # An entry of its own term: its confirmation covers all earlier ones.
        self._append(())
        return self._answer(True)

    def follow(self, term: int, primary: str) -> ControlAnswer:
        """Replicate from the primary of a term, installing the term."""
        is_own_term = term == self.term and self.is_primary
        if term < self.term or is_own_term or primary == self.id:
            return self._answer(False)
        if term > self.term:
            self._enter_term(term, "")
        if primary != self.primary:
            self.primary = primary
            self.nonce = 0
        self.role = Role.REPLICA
        return self._answer(True)

    def hold(self, term: int, milliseconds: float, now: float) -> ControlAnswer:
        """Refuse new writes for a time."""
        if term != self.term or not self.is_primary:
            return self._answer(False)
        self.hold_until = now + milliseconds / MS_PER_SECOND
        return self._answer(True)

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
        return self._append(tuple(statements))

    def pull(self, request: logs.PullRequest, now: float) -> logs.PullAnswer:
        """Note what a replica confirms and answer with what it lacks."""
        is_member = request.replica in self.members - {self.id}
        if not (self.is_primary and is_member and request.term == self.term):
            return logs.PullAnswer(False, self.term, self.id)
        is_match = self._has_entry(request.last_term, request.received)
        start = request.received if is_match else 0
        self._contact.confirm(request.replica, start, request.nonce)
        return logs.PullAnswer(
            is_accepted=True,
            term=self.term,
            primary=self.id,
            nonce=self._contact.issue_nonce(now),
            start=start,
            start_term=request.last_term if is_match else 0,
            entries=tuple(self.log[start:]),
            is_copy=not is_match,
            age_ms=self.age_ms(now),
        )

    def start_barrier(self, now: float) -> Barrier:
        """Begin a barrier at the current end of the log.

        Raises:
            errors.NotPrimaryError: this instance is not a primary.
        """
        if not self.is_primary:
            raise errors.NotPrimaryError(
                f"{self.id} is not the primary of term {self.term};"
                " a barrier runs at the primary"
            )
        return Barrier(self.term, self.received, self._contact.issue_nonce(now))

    def check_barrier(self, barrier: Barrier) -> BarrierState:
        """Return how far a barrier has come."""
        if not self.is_primary or self.term != barrier.term:
            return BarrierState.REPLACED
        confirmed = self._contact.count(barrier.offset, barrier.nonce)
        if confirmed + 1 >= self.majority:
            return BarrierState.CONFIRMED
        return BarrierState.PENDING

    # Replica side.

    def make_pull(self) -> logs.PullRequest:
        """Return the request for the entries that this replica lacks."""
        return logs.PullRequest(
            replica=self.id,
            term=self.term,
            last_term=self.last_term,
            received=self.received,
            applied=self.applied,
            nonce=self.nonce,
        )

    def receive(self, answer: logs.PullAnswer, sent_at: float) -> bool:
        """Take in a primary's answer; late and repeated ones are harmless.

        Args:
            answer: answer to a pull of this instance.
            sent_at: time at which that pull was sent.

        Returns:
            Whether applied entries were dropped, so that the data has to be
            rebuilt from the log up to ``applied``.

        Raises:
            errors.LogMismatchError: the primary's log lacks entries that it
                had in this term; nothing is changed.
        """
        if not self._is_from_primary(answer):
            return False
        kept = self._count_common(answer)
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
        self._note_freshness(answer, sent_at)
        return has_dropped

    def mark_applied(self, offset: int) -> None:
        """Note that reads see the data up to an offset of the log."""
        self.applied = max(self.applied, min(offset, self.received))
        self._freshness.settle(self.applied)

    # What it says of itself.

    def age_ms(self, now: float) -> float:
        """Return an upper bound on the age of the applied data."""
        if self.is_primary:
            self._settle_contact(now)
        complete_at = self._freshness.complete_at
        if complete_at is None:
            return UNKNOWN_AGE_MS
        return max(0.0, (now - complete_at) * MS_PER_SECOND)

    def report(self, now: float) -> Report:
        """Return what a statement that runs now may claim of its data."""
        return Report(
            self.matched_term, self.applied, self.age_ms(now), self.is_primary
        )

    # Parts of the above.

    def _answer(self, is_accepted: bool) -> ControlAnswer:
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
        self._contact = contact.Contact()
        self._freshness.drop_claims()

    def _append(self, statements: tuple[logs.Statement, ...]) -> int:
        offset = self.received + 1
        self.log.append(logs.Entry(self.term, offset, statements))
        self.applied = offset
        return offset

    def _has_entry(self, term: int, offset: int) -> bool:
        if offset == 0:
            return True
        return offset <= self.received and self.log[offset - 1].term == term

    def _settle_contact(self, now: float) -> None:
        """Move the age's base to the newest round that a majority confirmed."""
        needed = self.majority - 1
        started_at = self._contact.find_start(needed) if needed else now
        if started_at is not None:
            self._freshness.note(started_at)

    def _is_from_primary(self, answer: logs.PullAnswer) -> bool:
        return (
            answer.is_accepted
            and self.role is Role.REPLICA
            and answer.term == self.term
            and answer.primary == self.primary
            and self._has_entry(answer.start_term, answer.start)
        )

    def _count_common(self, answer: logs.PullAnswer) -> int:
        """Count own entries that the primary's log holds as well."""
        common = answer.start
        for entry in answer.entries:
            if not self._has_entry(entry.term, entry.offset):
                return common
            common = entry.offset
        # In its own term a primary only appends: a late answer may be shorter.
        if self.matched_term == self.term:
            return self.received
        return common

    def _note_freshness(self, answer: logs.PullAnswer, sent_at: float) -> None:
        if answer.age_ms >= UNKNOWN_AGE_MS:
            return
        offset = answer.start + len(answer.entries)
        self._freshness.claim(offset, sent_at - answer.age_ms / MS_PER_SECOND)
        self._freshness.settle(self.applied)
