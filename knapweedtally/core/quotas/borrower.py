"""One host's tokens of all teams: whom to ask, and when to refuse.

The proof of the bound stands in the doc comment of the package.
"""

import collections
import math
from collections.abc import Mapping

from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import outcomes
from knapweedtally.core.quotas import rules
from knapweedtally.core.quotas import slices
from knapweedtally.core.quotas import team_leases

# Time after which a question is repeated, and after which its allocator counts
# as silent, in seconds.
REPEAT_AFTER_S = 0.03
SILENT_AFTER_S = 0.06

# For how long a silent allocator isn't asked, in seconds, and how many silent
# ones an operation waits for.
AVOID_SILENT_S = 0.5
MAX_SILENT = 3

# Shortest time for which an empty slice isn't asked again, in seconds. It
# bounds the messages of a team far above its limit.
MIN_RETRY_S = 0.05

# Part of what a host used lately within a lease that it asks for in advance.
# More would be lost when the tokens expire.
AHEAD_PART = 0.6


def is_wait_worthwhile(expected_s: float, until_s: float) -> bool:
    """Return whether an operation waits for a token that isn't there yet.

    Args:
        expected_s: when a token is expected.
        until_s: until when the operation may wait.
    """
    return expected_s < until_s


class Borrower:
    """The tokens that one host borrows."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        tolerance: slices.Tolerance,
        first_id: int,
    ) -> None:
        """Start without tokens.

        Args:
            host: name of the host.
            data_centre: its data centre.
            tolerance: by how much limits may be exceeded.
            first_id: a number that differs between starts of the host, from
                which its questions are counted.
        """
        self._host = host
        self._data_centre = data_centre
        self._tolerance = tolerance
        self._next_id = first_id
        self._since_s: float | None = None
        self._silent_until_s: dict[str, float] = {}
        self._fleet = slices.Fleet({host: data_centre}, {}, frozenset(), False)
        self._data_centres: list[str] = [data_centre]
        self._teams: dict[str, team_leases.TeamLeases] = {}
        self._ranking = slices.Ranking()

    def update_limits(
        self, limits: Mapping[str, slices.Limit], now_s: float
    ) -> list[outcomes.Effect]:
        """Take over the limits of a configuration.

        Operations that wait although their team has no limit any more are
        admitted.
        """
        removed = [team for team in self._teams if team not in limits]
        effects: list[outcomes.Effect] = [
            outcomes.Admitted(waiter.id, math.inf)
            for team in removed
            for waiter in self._teams.pop(team).waiters
        ]
        self._ranking.keep_teams(limits)
        for team, limit in limits.items():
            state = self._teams.get(team)
            if state is None:
                state = self._teams[team] = team_leases.TeamLeases(limit, now_s)
            elif rules.is_newer(limit.version, state.limit.version):
                state.limit = limit
            state.is_allowance_due = True
        return effects

    def update_fleet(self, fleet: slices.Fleet, now_s: float) -> None:
        """Take over which hosts are known and live."""
        if self._since_s is None:
            self._since_s = now_s
        self._silent_until_s = {
            host: until_s
            for host, until_s in self._silent_until_s.items()
            if host in fleet.known
        }
        self._ranking.update(
            slices.list_reachable(fleet)
            if self.is_starting(now_s)
            else fleet.live
        )
        is_known = (fleet.known, fleet.is_listed) == (
            self._fleet.known,
            self._fleet.is_listed,
        )
        self._fleet = fleet
        self._data_centres = slices.list_data_centres(fleet.known)
        for team, state in self._teams.items():
            state.views = {
                name: view
                for name, view in state.views.items()
                if self._ranking.find(team, name) == view.allocator
            }
            if not is_known:
                state.is_allowance_due = True

    def is_starting(self, now_s: float) -> bool:
        """Return whether the host has just started."""
        since_s = now_s if self._since_s is None else self._since_s
        return now_s - since_s < rules.SETTLING_TIME_S

    def _update_allowance(
        self, team: str, state: team_leases.TeamLeases
    ) -> None:
        """Compute a team's allowance, which ranks all hosts, if it is due."""
        if not state.is_allowance_due:
            return
        state.is_allowance_due = False
        # A host without the list of hosts may take its part for a larger one.
        spare = 0.0
        if self._fleet.is_listed:
            count = len(self._data_centres)
            spare = slices.compute_spare(state.limit, self._tolerance, count)
        state.allowance = slices.compute_allowance(
            state.limit,
            team,
            self._host,
            self._fleet.known,
            spare,
            self._tolerance.window_s,
        )
        state.allowed = min(state.allowed, state.allowance.capacity)

    def is_limited(self, team: str) -> bool:
        """Return whether a team's operations need tokens."""
        return team in self._teams

    def get_state(self, team: str) -> team_leases.TeamLeases | None:
        """Return what is known of a team's tokens, for the log."""
        return self._teams.get(team)

    def take_at_hand(self, team: str, now_s: float) -> float | None:
        """Take a token that is at hand.

        Returns:
            When it expires, or None if there is none or operations wait.
        """
        state = self._teams.get(team)
        if state is None or state.waiters:
            return None
        expires_s = state.take(now_s)
        if expires_s is not None:
            state.record_use(now_s)
        return expires_s

    def give_back(
        self, team: str, expires_s: float, now_s: float
    ) -> list[outcomes.Effect]:
        """Take back a token whose operation was never sent to a target."""
        state = self._teams.get(team)
        if state is None or not rules.is_valid(expires_s, now_s):
            return []
        state.put(expires_s, 1, now_s)
        return self._proceed(team, state, now_s)

    def admit(
        self, team: str, id_: int, left_s: float, now_s: float
    ) -> list[outcomes.Effect]:
        """Admit or refuse an operation, or let it wait.

        Args:
            team: name of a team with a limit.
            id_: number of the operation.
            left_s: time that the operation has left.
            now_s: the current time.
        """
        state = self._teams[team]
        wait_s = rules.compute_wait_s(left_s, self.is_starting(now_s))
        until_s = now_s + wait_s
        state.waiters.append(team_leases.Waiter(id_, until_s))
        return self._proceed(team, state, now_s)

    def cancel(self, team: str, id_: int) -> None:
        """Forget an operation that no longer waits."""
        state = self._teams.get(team)
        if state is not None:
            state.waiters = collections.deque(
                waiter for waiter in state.waiters if waiter.id != id_
            )

    def handle_lend(
        self, host: str, lend: messages.Lend, now_s: float
    ) -> list[outcomes.Effect]:
        """Handle an answer; one that wasn't asked for changes nothing."""
        state = self._teams.get(lend.team)
        if state is None:
            return []
        pending = state.pending
        if pending is None or pending.ask.id != lend.id:
            pending = state.late.get(lend.id)
        if pending is None or pending.host != host:
            return []
        if lend.tokens > pending.ask.needed + pending.ask.ahead:
            return []
        self._silent_until_s.pop(host, None)
        if pending is state.pending:
            state.pending = None
        state.late.pop(lend.id, None)
        if rules.is_newer(lend.limit.version, state.limit.version):
            state.limit = lend.limit
            state.is_allowance_due = True
        expires_s = rules.compute_expiry_s(pending.sent_s, now_s)
        if rules.is_valid(expires_s, now_s):
            state.put(expires_s, lend.tokens, now_s)
            state.asked_s = pending.sent_s
        view = team_leases.SliceView(host, lend.fill, 0.0, lend.reply.name)
        if lend.reply is not messages.Reply.GRANTED:
            view.retry_at_s = now_s + max(MIN_RETRY_S, lend.retry_s)
        else:
            state.tried.discard(pending.data_centre)
        state.views[pending.data_centre] = view
        return self._proceed(lend.team, state, now_s)

    def check(self, team: str, now_s: float) -> list[outcomes.Effect]:
        """Repeat questions, give up silent allocators and end long waits."""
        state = self._teams.get(team)
        if state is None:
            return []
        state.drop_late(now_s)
        effects: list[outcomes.Effect] = []
        if state.pending is not None:
            effects += self._check_pending(state, state.pending, now_s)
        return effects + self._proceed(team, state, now_s)

    def _check_pending(
        self,
        state: team_leases.TeamLeases,
        pending: team_leases.PendingAsk,
        now_s: float,
    ) -> list[outcomes.Effect]:
        waited_s = now_s - pending.sent_s
        if waited_s >= SILENT_AFTER_S:
            state.views[pending.data_centre] = team_leases.SliceView(
                pending.host, 0.0, now_s + AVOID_SILENT_S, "SILENT"
            )
            self._silent_until_s[pending.host] = now_s + AVOID_SILENT_S
            state.late[pending.ask.id] = pending
            state.pending = None
            state.silent += 1
        elif waited_s >= REPEAT_AFTER_S and not pending.is_repeated:
            pending.is_repeated = True
            return [outcomes.Sent(pending.host, pending.ask)]
        return []

    def _proceed(
        self, team: str, state: team_leases.TeamLeases, now_s: float
    ) -> list[outcomes.Effect]:
        """Serve the waiting operations as far as possible, and ask for more."""
        effects: list[outcomes.Effect] = []
        while state.waiters:
            expires_s = state.take(now_s)
            if expires_s is None:
                break
            state.record_use(now_s)
            effects.append(
                outcomes.Admitted(state.waiters.popleft().id, expires_s)
            )
        while state.waiters and state.waiters[0].until_s <= now_s:
            effects.append(self._end_wait(team, state, now_s))
        if state.waiters and state.pending is None:
            data_centre = self._choose_slice(team, state, now_s)
            if data_centre is not None:
                effects.append(self._ask(team, state, data_centre, now_s))
            else:
                effects += self._wait_or_end(team, state, now_s)
        if not state.waiters and state.pending is None:
            state.tried.clear()
            state.silent = 0
        return effects

    def _wait_or_end(
        self, team: str, state: team_leases.TeamLeases, now_s: float
    ) -> list[outcomes.Effect]:
        """Let operations wait for which a token is expected in their time.

        The others are refused at once. A refused caller that returns gets its
        token later than one that waits, and has one retry less.
        """
        effects: list[outcomes.Effect] = []
        expected_s = state.get_expected_s()
        kept: list[team_leases.Waiter] = []
        while state.waiters:
            if is_wait_worthwhile(expected_s, state.waiters[0].until_s):
                kept.append(state.waiters.popleft())
            else:
                effects.append(self._end_wait(team, state, now_s))
        if kept:
            state.waiters.extend(kept)
            state.tried.clear()
            state.silent = 0
            effects.append(outcomes.CheckLater(max(0.0, expected_s - now_s)))
        return effects

    def _choose_slice(
        self, team: str, state: team_leases.TeamLeases, now_s: float
    ) -> str | None:
        """Return the data centre to ask next: the own one, then the fullest.

        Hosts that were silent, to any team, come last: the first operations of
        each small team would else wait for the same one.
        """
        if state.silent >= MAX_SILENT:
            return None
        best: tuple[tuple[bool, bool, float], str] | None = None
        for name in self._data_centres:
            host = self._ranking.find(team, name)
            if name in state.tried or host is None:
                continue
            view = state.views.get(name)
            if view is not None and now_s < view.retry_at_s:
                continue
            fill = view.fill if view is not None else 0.5
            is_silent = now_s < self._silent_until_s.get(host, 0.0)
            key = (is_silent, name != self._data_centre, -fill)
            if best is None or (key, name) < best:
                best = (key, name)
        return best[1] if best else None

    def _ask(
        self,
        team: str,
        state: team_leases.TeamLeases,
        data_centre: str,
        now_s: float,
    ) -> outcomes.Effect:
        host = self._ranking.find(team, data_centre)
        assert host is not None
        use = state.get_use_per_s(now_s) * rules.LEASE_S * AHEAD_PART
        self._next_id += 1
        ask = messages.Ask(
            self._next_id,
            team,
            state.limit,
            len(state.waiters),
            math.floor(use),
        )
        state.tried.add(data_centre)
        state.pending = team_leases.PendingAsk(ask, host, data_centre, now_s)
        return outcomes.Sent(host, ask)

    def _end_wait(
        self, team: str, state: team_leases.TeamLeases, now_s: float
    ) -> outcomes.Admitted | outcomes.Refused:
        """Refuse the first waiting operation, or use the allowance for it.

        The allowance is for hosts to which no allocator grants, so a slice
        that is known to be empty rules it out.
        """
        waiter = state.waiters.popleft()
        is_answered = state.is_known_empty(now_s)
        if not is_answered:
            self._update_allowance(team, state)
            if state.take_allowed(now_s):
                state.record_use(now_s)
                return outcomes.Admitted(waiter.id, now_s + rules.LEASE_S)
        reason = "empty" if is_answered else "no allocator"
        hint_s = state.compute_hint_s(len(self._data_centres), now_s)
        return outcomes.Refused(waiter.id, hint_s, reason)
