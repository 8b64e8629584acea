"""The requests of one group: queue, placement, attempts and evidence."""

import asyncio
import random
from collections.abc import Callable

from knapweedtally.core.groups import crowding
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import questions
from knapweedtally.core.groups import sharing
from knapweedtally.core.groups import statements
from knapweedtally.entry import acknowledgements
from knapweedtally.entry import attempts
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import logs
from knapweedtally.entry import measures
from knapweedtally.entry import pools
from knapweedtally.entry import requests
from knapweedtally.platform import lines

# A read without an answer is also tried elsewhere after this, in seconds, and
# after this many times the target's usual run time.
SECOND_TRY_S = 0.15
SECOND_TRY_FACTOR = 5.0

# What a host calls itself towards targets.
USER = "knapweedtally"

# A group without usable evidence for this long, in seconds, is out of order
# for longer than a change of its primary takes. What needs the primary is
# then refused at once rather than held until its deadline.
OUT_OF_ORDER_S = 2.5

# Hints to callers when to come back, in milliseconds: the usual rest of a
# change of primary, and of an outage that is longer.
RETRY_HINT_MS = 500
OUTAGE_HINT_MS = 1500
# The same for a crowded primary, in milliseconds: the time in which the share
# that is refused is found anew.
CROWDED_HINT_MS = 400

_Reason = placement.Reason
_Code = statements.Code
_Kind = statements.Kind


class Router:
    """Serve the requests of one group.

    Attributes:
        settings: the group's settings.
        leadership: evidence about the primary.
        pools: pools by id of the target.
        known_term: highest term that a member has shown.
        unled_since_s: since when no primary is known, or None.
        known_since_s: when the primary became known.
        commits: when each commit under way was sent.
        acknowledgements: commits that wait for evidence.
        last_commit_s: when the newest acknowledged commit was sent.
        is_asker: whether this host asks for the others.
        crowding: how crowded the primary is.
    """

    def __init__(
        self,
        settings: model.GroupSettings,
        data_centre: str,
        log: logs.Log,
        counters: measures.Measures,
    ) -> None:
        """Make a router without targets."""
        self.settings = settings
        self.leadership = evidence.Leadership()
        self.pools: dict[str, pools.Pool] = {}
        self.known_term = 0
        self.known_since_s = 0.0
        self.unled_since_s: float | None = clock.get_time_s()
        self.commits: dict[object, float] = {}
        self.acknowledgements = acknowledgements.Acknowledgements(
            self.leadership
        )
        self.last_commit_s = 0.0
        self.is_asker = True
        self.crowding = crowding.Crowding()
        self._made_s = clock.get_time_s()
        self._data_centre = data_centre
        self._log = log
        self._counters = counters
        self._queue: list[requests.Request] = []
        self._hedged: set[requests.Request] = set()
        self._asking: set[str] = set()
        self._questions = questions.Questions()
        self._is_dispatching = False

    def add_pool(
        self, entry: model.TargetEntry, floor: model.Position
    ) -> pools.Pool:
        """Add a target.

        Args:
            entry: its entry.
            floor: position that its log must reach before it counts as one
                that kept what its predecessor had received.
        """
        pool = pools.Pool(
            entry,
            self.settings.max_connections,
            USER,
            self._log,
            self.dispatch,
        )
        pool.floor = floor
        self.pools[entry.target] = pool
        pool.open()
        return pool

    def remove_pool(self, target: str) -> pools.Pool | None:
        """Close the pool of a target that is no member any more."""
        pool = self.pools.pop(target, None)
        if pool is not None:
            pool.close()
            evidence.forget_member(self.leadership, target)
        return pool

    @property
    def queue_length(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    def submit(self, request: requests.Request) -> None:
        """Queue a request and serve what can be served."""
        crowding.note_request(self.crowding, request.priority)
        self._queue.append(request)
        self._queue.sort(key=_order)
        self.dispatch()

    def cancel(self, request: requests.Request) -> None:
        """Forget a request whose caller has gone."""
        request.is_done = True
        if request in self._queue:
            self._queue.remove(request)

    def dispatch(self) -> None:
        """Give requests to targets as far as connections allow."""
        if self._is_dispatching or not self._queue:
            return
        self._is_dispatching = True
        try:
            now_s = clock.get_time_s()
            for request in tuple(self._queue):
                self._place(request, now_s)
        finally:
            self._is_dispatching = False

    def _place(self, request: requests.Request, now_s: float) -> None:
        choice = self._choose(request, now_s)
        request.reason = choice.reason
        if choice.reason is _Reason.CROWDED:
            self._give_up(request, now_s, CROWDED_HINT_MS)
            return
        if choice.target is None:
            if choice.reason is _Reason.NO_CONNECTION:
                self._want_connections(request, now_s)
            elif choice.reason is _Reason.NO_TARGET:
                request.excluded = frozenset()
            if not request.running and self._is_out_of_order(choice, now_s):
                self._give_up(request, now_s, OUTAGE_HINT_MS)
            return
        pool = self.pools[choice.target]
        connection = pool.take(request.session.values)
        if connection is None:
            pool.load.idle = 0
            return
        self._queue.remove(request)
        self._start(request, pool, connection, choice.position, now_s)

    def _choose(
        self, request: requests.Request, now_s: float
    ) -> placement.Choice:
        """Choose a target; a new request may find the primary crowded."""
        choice = self._choose_among(request, request.excluded, now_s)
        primary = self.leadership.target
        needs_primary = choice.target == primary or (
            choice.reason is _Reason.NO_CONNECTION
            and request.need.is_primary_only
        )
        if primary is None or not needs_primary or request.is_admitted:
            return choice
        is_refused = crowding.should_refuse(
            self.crowding, request.priority, random.random(), now_s
        )
        if not is_refused:
            request.is_admitted = True
            return choice
        elsewhere = self._choose_among(
            request, request.excluded | {primary}, now_s
        )
        if elsewhere.target is not None:
            return elsewhere
        return placement.Choice(None, None, _Reason.CROWDED)

    def _choose_among(
        self,
        request: requests.Request,
        excluded: frozenset[str],
        now_s: float,
    ) -> placement.Choice:
        return placement.choose_target(
            request.need,
            [pool.load for pool in self.pools.values()],
            self.leadership,
            self._data_centre,
            now_s,
            excluded,
        )

    def _is_out_of_order(self, choice: placement.Choice, now_s: float) -> bool:
        """Tell whether waiting for a target makes no sense."""
        if choice.reason is _Reason.NO_CONNECTION:
            return False
        since_s = max(self.leadership.valid_until_s, self._made_s)
        return now_s - since_s > OUT_OF_ORDER_S

    def _want_connections(
        self, request: requests.Request, now_s: float
    ) -> None:
        for target, pool in self.pools.items():
            is_primary = target == self.leadership.target
            if request.need.is_primary_only and not is_primary:
                continue
            if pool.load.is_offered and pool.load.rests_until_s <= now_s:
                pool.want_connection()

    def _start(
        self,
        request: requests.Request,
        pool: pools.Pool,
        connection: connections.Connection,
        position: model.Position | None,
        now_s: float,
    ) -> None:
        request.attempts += 1
        request.running += 1
        request.tried_s = now_s
        pool.load.running += 1
        limit_s = max(0.05, request.deadline_s - now_s)
        prefix = None
        if position is not None:
            needed = position

            def prefix(text: bytes) -> bytes:
                return lines.add_position(text, needed)

        attempt = attempts.Attempt(
            self, request, pool, connection, position, now_s
        )
        if request.begins:
            connection.is_held = True
            is_read = request.statement.kind is _Kind.BEGIN_READ
            text = lines.BEGIN_READ if is_read else lines.BEGIN
            if prefix is not None:
                text = prefix(text)
            id_ = request.statement.id
            connection.send(id_, text, attempt.note_end, limit_s)
        else:
            connection.run(
                request.session,
                request.statement,
                prefix,
                attempt.note_end,
                limit_s,
            )
        pool.count_idle()
        if not request.need.is_write:
            usual_s = pool.load.run_s * SECOND_TRY_FACTOR
            request.second_try_s = now_s + max(SECOND_TRY_S, usual_s)
            self._hedged.add(request)
        elif not request.begins:
            self.commits[request] = now_s

    def finish(
        self, request: requests.Request, result: requests.Result
    ) -> None:
        """Tell a request's result once."""
        if request.is_done:
            if result.connection is not None:
                result.connection.abort()
            return
        request.is_done = True
        self._hedged.discard(request)
        if request in self._queue:
            self._queue.remove(request)
        result.attempts = request.attempts
        now_s = clock.get_time_s()
        seen_s = self.leadership.primary_seen_s
        result.evidence_age_s = min(9999.0, now_s - seen_s)
        request.on_end(result)

    def retry(self, request: requests.Request, excluded: str | None) -> None:
        """Queue a request again that has not run, or only read."""
        if request.is_done:
            return
        if excluded is not None:
            request.excluded = request.excluded | {excluded}
        if request not in self._queue:
            self._queue.append(request)
            self._queue.sort(key=_order)
        asyncio.get_running_loop().call_soon(self.dispatch)

    def tick(self, now_s: float) -> None:
        """Give up what is overdue, try reads elsewhere, ask for evidence."""
        for pool in tuple(self.pools.values()):
            pool.tick(now_s)
        for request in [r for r in self._queue if r.deadline_s <= now_s]:
            if not request.running:
                self._give_up(request, now_s, RETRY_HINT_MS)
        for request in tuple(self._hedged):
            self._check_second_try(request, now_s)
        self._tell_lagging(now_s)
        self._ask(now_s)
        self.acknowledgements.settle(now_s)
        self.dispatch()

    def _tell_lagging(self, now_s: float) -> None:
        """Write down which replicas fell far behind or caught up."""
        for target, pool in self.pools.items():
            load = pool.load
            is_primary = target == self.leadership.target
            if placement.update_lagging(load, is_primary):
                self._log.write(
                    "replica_lagging" if load.is_lagging else "replica_fresh",
                    group=self.settings.name,
                    target=target,
                    lag_s=round(load.lag_s, 2),
                    lag_age_s=round(now_s - load.lag_seen_s, 2),
                    position=f"{load.position.term}.{load.position.number}",
                )

    def _give_up(
        self, request: requests.Request, now_s: float, hint_ms: int
    ) -> None:
        self._counters.count("refused", request.reason.name)
        detail = f"{request.reason.value}; retry after {hint_ms} ms"
        if request.reason is _Reason.CROWDED:
            share = crowding.get_share(self.crowding, now_s)
            detail = f"{detail}; {share:.0%} are refused for now"
        waited_s = now_s - request.arrived_s
        self.finish(
            request,
            requests.Result(None, _Code.BUSY, detail, waited_s=waited_s),
        )

    def _check_second_try(
        self, request: requests.Request, now_s: float
    ) -> None:
        if request.is_done or not request.running:
            self._hedged.discard(request)
        elif (
            request.second_try_s <= now_s
            and request.attempts < attempts.MAX_ATTEMPTS
        ):
            request.second_try_s = now_s + 10.0
            self._counters.count("second_tries", self.settings.name)
            self.retry(request, None)

    # Evidence.

    def _ask(self, now_s: float) -> None:
        leadership = self.leadership
        if leadership.target not in self.pools and leadership.target:
            self.lose_primary(leadership.target, now_s, "it is gone")
        leadership.needs_member = len(self.pools) > 1
        due = questions.list_due(
            self._questions, leadership, self.pools, self.is_asker, now_s
        )
        for target in due:
            self.ask_status(target)

    def ask_status(self, target: str) -> None:
        """Ask a target for its status unless an answer is awaited."""
        if target in self._asking:
            return
        self._asking.add(target)
        pool = self.pools[target]
        life = pool.life

        def note_end(outcome: connections.Outcome) -> None:
            self._asking.discard(target)
            if self.pools.get(target) is not pool:
                return
            if outcome.answer is None:
                return
            if self.is_asker and target == self.leadership.target:
                self._note_wait(outcome.answer.code, outcome.asked_s)
            status = lines.parse_status(outcome.answer)
            if status is not None and pool.life == life:
                self.note_status(target, status, outcome.asked_s)

        pool.ask(lines.STATUS, note_end, pools.ASK_TIMEOUT_S)

    def _note_wait(self, code: statements.Code | None, asked_s: float) -> None:
        """Measure how long a question waited in the primary's queue."""
        now_s = clock.get_time_s()
        wait_s = now_s - asked_s
        if code is _Code.BUSY:
            wait_s = max(wait_s, crowding.FULL_WAIT_S)
        crowding.note_wait(self.crowding, wait_s, now_s)

    def note_status(
        self, target: str, status: model.TargetStatus, asked_s: float
    ) -> None:
        """Draw the conclusions from a target's status."""
        pool = self.pools.get(target)
        if pool is None:
            return
        pool.known_connections = status.connections
        pool.counted_s = asked_s
        pool.received = max(pool.received, status.received)
        self.known_term = max(self.known_term, status.term)
        leadership = self.leadership
        if status.is_primary:
            is_new = evidence.note_primary(
                leadership, target, status.term, asked_s
            )
            if is_new:
                self._note_new_primary(target, status.term)
            evidence.note_position(leadership, target, status.received, asked_s)
        elif target == leadership.target or status.term > leadership.term:
            if evidence.note_no_primary(leadership, target, status.term):
                self._note_unled(target, "another term or role")
        else:
            evidence.note_member(
                leadership,
                target,
                self.pools,
                status.paused_for,
                asked_s,
                clock.get_time_s(),
            )
        evidence.note_term(leadership, target, status.term, asked_s)
        self.acknowledgements.settle(clock.get_time_s())
        self.dispatch()

    def note_shared(
        self, shared: sharing.SharedEvidence, sent_here_s: float
    ) -> None:
        """Take another host's evidence."""
        if not shared.is_fenced and shared.target not in self.pools:
            return
        self.known_term = max(self.known_term, shared.term)
        if sharing.merge_shared(self.leadership, shared, sent_here_s):
            self._note_new_primary(shared.target, shared.term)
        if not self.is_asker and shared.target == self.leadership.target:
            crowding.note_share(
                self.crowding, shared.refused_share, clock.get_time_s()
            )
        self.acknowledgements.settle(clock.get_time_s())
        self.dispatch()

    def _note_new_primary(self, target: str, term: int) -> None:
        self.unled_since_s = None
        self.known_since_s = clock.get_time_s()
        self.commits.clear()
        crowding.note_new_primary(self.crowding)
        self._log.write(
            "primary_known",
            group=self.settings.name,
            target=target,
            term=term,
        )
        for other in self.pools:
            if other != target:
                self.ask_status(other)

    def lose_primary(self, target: str, now_s: float, reason: str) -> None:
        """Give up a primary that said that it no longer leads."""
        if self.leadership.target != target:
            return
        self.leadership.target = None
        self.leadership.primary_seen_s = float("-inf")
        self._note_unled(target, reason)
        self._questions.next_s = now_s

    def _note_unled(self, target: str, reason: str) -> None:
        self.unled_since_s = clock.get_time_s()
        self._log.write(
            "primary_lost",
            group=self.settings.name,
            target=target,
            reason=reason,
        )

    def note_answer_position(
        self, pool: pools.Pool, answer: statements.Answer, asked_s: float
    ) -> model.Position | None:
        """Record the log position that came with an answer."""
        position = lines.parse_position(answer.position)
        if position is None:
            return None
        pool.received = max(pool.received, position)
        evidence.note_position(
            self.leadership, pool.entry.target, position, asked_s
        )
        now_s = clock.get_time_s()
        placement.note_position(pool.load, position, self.leadership, now_s)
        return position

    def note_commit(
        self,
        target: str,
        answer: statements.Answer,
        asked_s: float,
        deadline_s: float,
        on_settled: Callable[[bool], None],
    ) -> None:
        """Record a commit that a target acknowledged.

        Args:
            target: id of the target.
            answer: its answer.
            asked_s: when the commit was sent.
            deadline_s: until when the caller waits.
            on_settled: told whether the commit is certain to be kept.
        """
        now_s = clock.get_time_s()
        self.last_commit_s = max(self.last_commit_s, asked_s)
        is_replicated = self.settings.acknowledging_replicas > 0
        evidence.note_commit(
            self.leadership, target, asked_s, now_s, is_replicated
        )
        position = lines.parse_position(answer.position)
        term = position.term if position else self.leadership.term
        pending = acknowledgements.Pending(term, now_s, deadline_s, on_settled)
        self.acknowledgements.add(pending, now_s)

    def is_served(self, now_s: float) -> bool:
        """Tell whether the group's primary is known and confirmed."""
        return self.leadership.valid_until_s >= now_s


def _order(request: requests.Request) -> tuple[int, float]:
    return (request.priority, request.deadline_s)
