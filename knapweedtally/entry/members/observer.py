"""This host's evidence about the primary of one group."""

import functools
import sys
from collections.abc import Callable
from typing import Concatenate
from typing import ParamSpec

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import sharing
from knapweedtally.core.groups import statements
from knapweedtally.core.groups import status_polling
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.members import acknowledgements
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pools as pools_module
from knapweedtally.entry.pools import requests
from knapweedtally.platform import line_protocol

# Interval at which all members are polled while one has no entry in the store,
# in seconds; several times within the time after which it counts as gone.
MEMBER_CHECK_INTERVAL_S = 1.0

# Age that is logged for evidence that is older, or that never existed, in
# seconds.
MAX_LOGGED_AGE_S = 9999.0

_Parameters = ParamSpec("_Parameters")


def _discard_evidence_on_error(
    method: Callable[Concatenate["Observer", _Parameters], None],
) -> Callable[Concatenate["Observer", _Parameters], None]:
    """Contain the errors of a method that changes evidence."""

    @functools.wraps(method)
    def call(
        observer: "Observer",
        *args: _Parameters.args,
        **kwargs: _Parameters.kwargs,
    ) -> None:
        bound_method = functools.partial(method, observer)
        if not supervision.contain("evidence", bound_method, *args, **kwargs):
            observer.discard_evidence()

    return call


class Observer:
    """Update the evidence from targets' answers and from other hosts.

    Attributes:
        leadership: evidence about the primary.
        known_term: highest term that a member has reported.
        no_primary_since_s: since when no primary is known, or None.
        known_since_s: when the primary became known.
        unlisted_primary_seen_s: when another host last knew that a target
            that this host doesn't know was the primary.
        commits_in_flight: when each commit in flight was sent.
        last_commit_s: when the newest acknowledged commit was sent.
        confirmed_s: when the evidence about a primary was last found valid.
        has_replicas: whether the primary needs a replica to commit, whether
            or not this host knows one.
        last_primary: primary of the latest known term, or None.
        is_poller: whether this host polls the members for all hosts.
        load_shedding: queueing delay of the primary and the share of requests
            that is refused.
    """

    def __init__(
        self,
        group: str,
        pools: dict[str, pools_module.Pool],
        log: logs.Log,
        on_change: Callable[[], None],
    ) -> None:
        """Create an observer that knows no primary.

        Args:
            group: name of the group.
            pools: pools by id of the target, kept up to date by the router.
            log: where changes of the primary are written.
            on_change: called when new evidence may allow queued requests to
                be served.
        """
        self.leadership = evidence.Leadership()
        self.known_term = 0
        self.known_since_s = 0.0
        self.unlisted_primary_seen_s = float("-inf")
        self.no_primary_since_s: float | None = clock.get_time_s()
        self.commits_in_flight: dict[object, float] = {}
        self.last_commit_s = 0.0
        self.confirmed_s = clock.get_time_s()
        self.has_replicas = True
        self.last_primary: last_primary.LastPrimary | None = None
        self.is_poller = True
        self.load_shedding = load_shedding.LoadShedding()
        self._group = group
        self._pools = pools
        self._log = log
        self._on_change = on_change
        self._acknowledgements = acknowledgements.Acknowledgements(
            self.leadership
        )
        self._status_requests: set[str] = set()
        self._polling = status_polling.PollingState()
        self._next_check_s = 0.0
        self._generation = store_revisions.Generation()

    @_discard_evidence_on_error
    def tick(self, now_s: float) -> None:
        """Poll the members that are due, and settle pending commits."""
        self._poll_members(now_s)
        if self.is_primary_confirmed(now_s):
            self.confirmed_s = now_s
        self._acknowledgements.settle(now_s)

    def _poll_members(self, now_s: float) -> None:
        leadership = self.leadership
        if leadership.target not in self._pools and leadership.target:
            self.discard_primary(
                leadership.target,
                now_s,
                "the target is no longer a member of the group",
            )
        leadership.needs_member = self.has_replicas or len(self._pools) > 1
        due = status_polling.list_members_to_poll(
            self._polling, leadership, self._pools, self.is_poller, now_s
        )
        for target in due:
            self.request_status(target)

    def request_status(self, target: str) -> None:
        """Request a target's status unless a request is in flight."""
        if target in self._status_requests:
            return
        self._status_requests.add(target)
        pool = self._pools[target]
        generation = pool.generation

        def handle_status(outcome: line_connections.Outcome) -> None:
            self._status_requests.discard(target)
            if self._pools.get(target) is not pool:
                return
            if outcome.answer is None:
                return
            status = line_protocol.parse_status(outcome.answer)
            if self.is_poller and target == self.leadership.target:
                is_full = outcome.answer.code is statements.Code.BUSY
                busy = status.busy if status is not None else 0
                self._record_queueing_delay(
                    outcome.asked_s, is_full, busy, pool
                )
            if status is not None and pool.generation == generation:
                self.record_status(target, status, outcome.asked_s)

        pool.send_control_statement(
            line_protocol.STATUS, handle_status, pools_module.CONTROL_TIMEOUT_S
        )

    def _record_queueing_delay(
        self,
        asked_s: float,
        is_full: bool,
        busy: int,
        pool: pools_module.Pool,
    ) -> None:
        """Record how long a status request waited in the primary's queue.

        Args:
            asked_s: when the request was sent.
            is_full: whether the primary refused it because its queue is full.
            busy: number of statements that run or wait on the primary, the
                status request included.
            pool: the primary's pool.
        """
        now_s = clock.get_time_s()
        wait_s = now_s - asked_s
        if is_full:
            wait_s = max(wait_s, load_shedding.FULL_QUEUE_DELAY_S)
        elif busy <= pool.entry.slots:
            # The primary has a free slot, so this host or the network is
            # slow.
            wait_s = 0.0
        load_shedding.record_queueing_delay(self.load_shedding, wait_s, now_s)

    @_discard_evidence_on_error
    def record_status(
        self, target: str, status: model.TargetStatus, asked_s: float
    ) -> None:
        """Update the evidence with a target's status."""
        pool = self._pools.get(target)
        if pool is None:
            return
        pool.reported_connections = status.connections
        pool.reported_lag_s = status.lag_s
        pool.reported_s = asked_s
        pool.received = max(pool.received, status.received)
        self.known_term = max(self.known_term, status.term)
        leadership = self.leadership
        # A primary of an earlier term than a member's was replaced, even if
        # the primary that replaced it doesn't lead any longer.
        if status.is_primary and status.term == self.known_term:
            is_new = evidence.record_primary(
                leadership, target, status.term, asked_s
            )
            if is_new:
                self._handle_new_primary(target, status.term, status.received)
            evidence.record_position(
                leadership, target, status.received, asked_s
            )
        elif target == leadership.target or status.term > leadership.term:
            if evidence.record_primary_loss(leadership, target, status.term):
                self._record_primary_loss(
                    target, "a member reported another term or role"
                )
        elif not status.is_primary:
            evidence.record_member(
                leadership,
                target,
                self._pools,
                status.paused_for,
                asked_s,
                clock.get_time_s(),
            )
        evidence.record_term(leadership, target, status.term, asked_s)
        self._acknowledgements.settle(clock.get_time_s())
        self._on_change()

    @_discard_evidence_on_error
    def merge_evidence(
        self, shared: sharing.SharedEvidence, sent_here_s: float
    ) -> None:
        """Merge another host's evidence.

        Args:
            shared: the evidence.
            sent_here_s: the earliest time, on this host's clock, at which
                the evidence was sent.
        """
        if shared.change is not change_notices.Stage.NONE:
            return
        if not shared.is_fenced and shared.target not in self._pools:
            # The list of targets may lack the primary.
            self.unlisted_primary_seen_s = max(
                self.unlisted_primary_seen_s, sent_here_s - shared.primary_age_s
            )
            self._record_later_term(shared.term)
            return
        if shared.term < self.known_term:
            return
        self.known_term = shared.term
        if sharing.merge_shared_evidence(self.leadership, shared, sent_here_s):
            self._handle_new_primary(
                shared.target, shared.term, shared.position
            )
        if not self.is_poller and shared.target == self.leadership.target:
            load_shedding.set_refused_share(
                self.load_shedding, shared.refused_share, clock.get_time_s()
            )
        self._acknowledgements.settle(clock.get_time_s())
        self._on_change()

    def _record_later_term(self, term: int) -> None:
        """Drop the known primary if another target leads a later term."""
        self.known_term = max(self.known_term, term)
        leadership = self.leadership
        target = leadership.target
        if target is None or term <= leadership.term:
            return
        if evidence.record_primary_loss(leadership, target, term):
            self._record_primary_loss(target, "another host knows a later term")

    def _handle_new_primary(
        self, target: str, term: int, position: model.Position
    ) -> None:
        self.no_primary_since_s = None
        self.known_since_s = clock.get_time_s()
        self.commits_in_flight.clear()
        pool = self._pools.get(target)
        if pool is not None:
            found = last_primary.LastPrimary(
                target, term, max(position, pool.received)
            )
            self.last_primary = last_primary.confirm(
                found, self.leadership, self._generation
            )
        load_shedding.reset_refused_share(self.load_shedding)
        self._log.write(
            "primary_known",
            group=self._group,
            target=target,
            term=term,
        )
        for other in self._pools:
            if other != target:
                self.request_status(other)

    def discard_primary(self, target: str, now_s: float, reason: str) -> None:
        """Discard a primary that no longer leads."""
        if self.leadership.target != target:
            return
        self.leadership.target = None
        self.leadership.primary_seen_s = float("-inf")
        self._record_primary_loss(target, reason)
        self._polling.next_poll_s = now_s

    def discard_evidence(self) -> None:
        """Discard all evidence, which an error may have left half changed.

        Terms are kept, because they only rise.
        """
        leadership = self.leadership
        leadership.member_seen_s = float("-inf")
        leadership.receiving_seen_s.clear()
        leadership.seen_terms.clear()
        leadership.positions.clear()
        if leadership.target is not None:
            now_s = clock.get_time_s()
            self.discard_primary(leadership.target, now_s, "an error occurred")

    def _record_primary_loss(self, target: str, reason: str) -> None:
        self.no_primary_since_s = clock.get_time_s()
        self._log.write(
            "primary_lost",
            group=self._group,
            target=target,
            reason=reason,
        )

    def record_answer_position(
        self, pool: pools_module.Pool, answer: statements.Answer, asked_s: float
    ) -> model.Position | None:
        """Record the log position in an answer, and return it if any."""
        position = line_protocol.parse_position(answer.position)
        if position is None:
            return None
        pool.received = max(pool.received, position)
        evidence.record_position(
            self.leadership, pool.entry.target, position, asked_s
        )
        now_s = clock.get_time_s()
        placement.record_position(pool.load, position, self.leadership, now_s)
        return position

    def record_commit(
        self,
        target: str,
        answer: statements.Answer,
        asked_s: float,
        deadline_s: float,
        is_replicated: bool,
        on_settled: Callable[[bool], None],
    ) -> None:
        """Record a commit that a target acknowledged.

        Args:
            target: id of the target.
            answer: the target's answer.
            asked_s: when the commit was sent.
            deadline_s: until when the caller waits.
            is_replicated: whether a replica had to receive the commit before
                the target acknowledged it.
            on_settled: called with whether the commit is certain to be kept.
        """
        now_s = clock.get_time_s()
        self.last_commit_s = max(self.last_commit_s, asked_s)
        evidence.record_commit(self.leadership, target, asked_s, is_replicated)
        position = line_protocol.parse_position(answer.position)
        if position is None:
            # Later than any position, so that a notice holds it back.
            position = model.Position(self.leadership.term, sys.maxsize)
        pending = acknowledgements.PendingCommit(
            target, position, now_s, deadline_s, on_settled
        )
        self._acknowledgements.add(pending, now_s)

    def settle_commits(self, now_s: float) -> None:
        """Settle the commits whose callers wait no longer than until a time."""
        self._acknowledgements.settle(now_s)

    def start_commit(self, commit: object) -> None:
        """Record that a commit of another host is sent to the primary."""
        self.commits_in_flight[commit] = clock.get_time_s()

    def end_commit(self, commit: object, is_acknowledged: bool) -> None:
        """Record that a commit of another host ended or was given up."""
        sent_s = self.commits_in_flight.pop(commit, None)
        if is_acknowledged and sent_s is not None:
            self.last_commit_s = max(self.last_commit_s, sent_s)

    def record_evidence_ages(self, result: requests.Result) -> None:
        """Record the ages of the current evidence in a statement's result."""
        now_s = clock.get_time_s()
        leadership = self.leadership
        result.evidence_age_s = min(
            MAX_LOGGED_AGE_S, now_s - leadership.primary_seen_s
        )
        result.member_age_s = min(
            MAX_LOGGED_AGE_S, now_s - leadership.member_seen_s
        )

    def is_log_kept(self, since_s: float) -> bool:
        """Return whether a replica has all commits acknowledged before then."""
        primary = self.leadership.target
        if primary is None:
            # What the last primary had reached stays known after its loss.
            last = self.last_primary
            if last is None or last.term != self.leadership.term:
                return False
            primary = last.target
        received = [
            pool.received
            for target, pool in self._pools.items()
            if target != primary
        ]
        return evidence.is_log_kept(self.leadership, received, since_s)

    def take_last_primary(self, found: last_primary.LastPrimary | None) -> None:
        """Take over a recorded last primary, if its term is later."""
        self.last_primary = last_primary.choose_latest(
            self.last_primary, found, self._pools
        )

    def confirm_last_primary(
        self, generation: store_revisions.Generation
    ) -> None:
        """Record that the last primary leads in the store's generation."""
        self._generation = generation
        self.last_primary = last_primary.confirm(
            self.last_primary, self.leadership, generation
        )

    def replace_last_primary(self, old: str, new: str) -> None:
        """Record that a target goes on under another id."""
        if self.last_primary is not None and self.last_primary.target == old:
            self.last_primary = self.last_primary._replace(target=new)

    def find_last_primary(self) -> last_primary.LastPrimary | None:
        """Return the last primary if its log has every acknowledged commit.

        Returns:
            None while a primary is known, if a later term is known or if the
            target isn't a member that answers.
        """
        last = self.last_primary
        known_term = max(self.known_term, self.leadership.term)
        if self.leadership.target is not None or last is None:
            return None
        if not last_primary.can_prove_log(
            last, known_term, self._generation.number
        ):
            return None
        pool = self._pools.get(last.target)
        if pool is None or not pool.is_answering:
            return None
        # A log that ends before what this host has seen of it was lost, even if
        # it reaches the recorded position.
        reached = max(last.position, pool.get_newest_position())
        return last._replace(position=reached)

    def check_members(self, now_s: float) -> None:
        """Request the status of all members, if the last time is long ago.

        Shows which members without an entry still run, and which have the log
        of those that don't.
        """
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + MEMBER_CHECK_INTERVAL_S
        for target in self._pools:
            self.request_status(target)

    def is_primary_confirmed(self, now_s: float) -> bool:
        """Return whether the evidence about the primary is still valid."""
        return self.leadership.valid_until_s >= now_s
