"""Queue of the statements that wait at a holder for one target's connections.

Statements are taken by priority, then by deficit round robin between teams,
then by deadline. A small share of the run time goes to lower priorities, so
that they aren't starved. Statements of open transactions already have their
connection and never wait here.
"""

import bisect
import collections
import enum
import operator
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import holder_load
from knapweedtally.core.groups import team_turns

# Number of statements that may wait for one target.
MAX_ENTRIES = 256

# Share of the entries that one team may have before its entries are the first
# to be evicted, whatever their priority.
MAX_TEAM_SHARE = 0.5

# Share of the running statements above which a team's statements come after
# those of all other teams, whatever their priority. With strict priority alone,
# the urgent statements of one team's burst starve the others' less urgent ones.
MAX_RUNNING_SHARE = 0.6

# Share of the run time of more urgent statements that is set aside for the
# lower priorities that wait.
LOWER_SHARE = 0.05

# A statement is refused once its expected answer time exceeds the time left by
# the first factor, and while it exceeds it by the second. Both are at least 1,
# so a statement that is expected in its time is never refused.
REFUSE_RATIO = 1.25
ACCEPT_RATIO = 1.0

# A waiting statement is refused once less than this share of its usual run time
# is left.
MIN_RUN_TIME_SHARE = 0.5

# Limit for the run time that a team owes or has in advance, as a multiple of
# the usual run time of the priority.
MAX_DEFICIT_FACTOR = 8.0

# Limit for the run time that is set aside for a lower priority, in seconds.
MAX_CREDIT_S = 1.0

# Range of the time after which a refused statement is to be retried, and the
# largest share by which jitter extends it.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 5.0
RETRY_JITTER_SHARE = 0.5


class Reason(enum.Enum):
    """Reasons to refuse a statement."""

    OVERDUE = "no connection in its time"
    TOO_LATE = "cannot be answered in its time"
    FULL = "more statements wait than the queue may hold"


class Refusal(NamedTuple):
    """An entry to refuse.

    Attributes:
        entry: the entry, which isn't in the queue any more.
        reason: why it is refused.
        length: number of waiting entries.
        wait_s: expected wait until its start, in seconds.
    """

    entry: team_turns.Entry
    reason: Reason
    length: int
    wait_s: float


class HolderQueue:
    """Bounded queue of the statements that wait for one target.

    Attributes:
        load: run times and concurrency at the target.
    """

    def __init__(
        self, limit: int = MAX_ENTRIES, lower_share: float = LOWER_SHARE
    ) -> None:
        """Create an empty queue.

        Args:
            limit: number of entries that may wait.
            lower_share: share of the run time of more urgent statements that is
                set aside for lower priorities; 0 for strict priority.
        """
        self.load = holder_load.HolderLoad()
        self._limit = limit
        self._lower_share = lower_share
        self._classes: dict[int, team_turns.TeamTurns] = {}
        self._refused_kinds: set[tuple[int, str]] = set()

    def __len__(self) -> int:
        return sum(map(len, self._classes.values()))

    def count_by_team(self) -> dict[str, int]:
        """Return how many entries each team has, in the order of their turns.

        Teams with many running statements come last, as in ``take``.
        """
        counts: dict[str, int] = {}
        for priority in self._list_turns():
            priority_class = self._classes[priority]
            for team in priority_class.turns:
                count = len(priority_class.entries[team])
                counts[team] = counts.get(team, 0) + count
        return dict(
            sorted(counts.items(), key=lambda item: self._is_crowding(item[0]))
        )

    def add(self, entry: team_turns.Entry, now_s: float) -> list[Refusal]:
        """Add an entry.

        Returns:
            The entries to refuse now: this one if it can't be answered in its
            time, or another one if too many wait.
        """
        self.load.sample_concurrency()
        wait_s = self._estimate_wait(
            entry.team, entry.priority, entry.deadline_s
        )
        reason = self._find_reason(entry, wait_s, now_s)
        if reason is not None:
            return [Refusal(entry, reason, len(self), wait_s)]
        self._classes.setdefault(entry.priority, team_turns.TeamTurns()).add(
            entry
        )
        return [self._evict()] if len(self) > self._limit else []

    def take(
        self, now_s: float, is_free: Callable[[str], bool]
    ) -> team_turns.Entry | None:
        """Remove and return the next entry that can run.

        The entry counts as started: ``record_end`` has to be called once it
        has ended. Call ``drop_overdue`` before.

        Args:
            now_s: the current time.
            is_free: returns whether a connection for a team is available.

        Returns:
            The entry, or None if there is none or no connection for it.
        """
        entry = self._take(lambda t: not self._is_crowding(t) and is_free(t))
        return entry or self._take(is_free)

    def _take(
        self, is_eligible: Callable[[str], bool]
    ) -> team_turns.Entry | None:
        for priority in self._list_turns():
            priority_class = self._classes[priority]
            cost_s = self.load.get_run_time_s(priority)
            team = priority_class.choose_team(cost_s, is_eligible)
            if team is None:
                continue
            self._set_aside(priority, cost_s)
            self.record_start(team, priority)
            return priority_class.pop(team, 0)
        return None

    def _is_crowding(self, team: str) -> bool:
        return self.load.get_team_share(team) > MAX_RUNNING_SHARE

    def record_start(self, team: str, priority: int) -> None:
        """Record that a statement has got a connection."""
        self.load.record_start(team)
        self._charge(team, priority, self.load.get_run_time_s(priority))

    def record_end(self, team: str, priority: int, run_s: float | None) -> None:
        """Record that a statement or transaction has freed its connection.

        Args:
            team: the team.
            priority: the priority.
            run_s: time for which it had the connection, in seconds, or None if
                it is not known or the statement failed.
        """
        self.load.record_end(team)
        if run_s is None:
            return
        expected_s = self.load.get_run_time_s(priority)
        self.load.record_run_time(priority, run_s)
        self._charge(team, priority, run_s - expected_s)

    def drop_overdue(self, now_s: float) -> list[Refusal]:
        """Remove and return the entries that can't be answered in time."""
        refusals = []
        for priority, priority_class in self._classes.items():
            min_run_s = MIN_RUN_TIME_SHARE * self.load.get_run_time_s(priority)
            for team in tuple(priority_class.entries):
                entries = priority_class.entries[team]
                while entries and entries[0].deadline_s < now_s + min_run_s:
                    entry = priority_class.pop(team, 0)
                    reason = (
                        Reason.OVERDUE
                        if entry.deadline_s < now_s
                        else Reason.TOO_LATE
                    )
                    wait_s = self.estimate_wait(team, priority)
                    refusals.append(Refusal(entry, reason, len(self), wait_s))
        return refusals

    def remove_all(self) -> list[team_turns.Entry]:
        """Remove and return all entries."""
        entries = [
            entry
            for priority_class in self._classes.values()
            for team_entries in priority_class.entries.values()
            for entry in team_entries
        ]
        self._classes.clear()
        self._refused_kinds.clear()
        return entries

    def estimate_wait(self, team: str, priority: int) -> float:
        """Return how long a new entry with a late deadline would wait.

        Args:
            team: the team.
            priority: the priority.

        Returns:
            The time until it gets a connection, in seconds.
        """
        return self._estimate_wait(team, priority, float("inf"))

    def retry_after(self, priority: int, jitter: float) -> float:
        """Return after which time to retry a refused statement, in seconds.

        Args:
            priority: priority of the statement.
            jitter: random number from 0 to 1, so that the callers of refused
                statements don't return together.
        """
        work_s = sum(
            len(priority_class) * self.load.get_run_time_s(other)
            for other, priority_class in self._classes.items()
            if other <= priority
        )
        retry_after_s = work_s / self.load.concurrency
        retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)
        retry_after_s *= 1 + RETRY_JITTER_SHARE * jitter
        return min(MAX_RETRY_AFTER_S, retry_after_s)

    def _estimate_wait(
        self, team: str, priority: int, deadline_s: float
    ) -> float:
        work_s = 0.0
        for other, priority_class in self._classes.items():
            if other < priority:
                run_time_s = self.load.get_run_time_s(other)
                work_s += len(priority_class) * run_time_s
        own_class = self._classes.get(priority)
        if own_class is not None:
            own_entries = own_class.entries.get(team, [])
            before = bisect.bisect_right(
                own_entries, deadline_s, key=operator.attrgetter("deadline_s")
            )
            # Each other team has as many turns until then as this one.
            count = before + sum(
                min(len(entries), before + 1)
                for other_team, entries in own_class.entries.items()
                if other_team != team
            )
            work_s += count * self.load.get_run_time_s(priority)
        return work_s / self.load.concurrency

    def _find_reason(
        self, entry: team_turns.Entry, wait_s: float, now_s: float
    ) -> Reason | None:
        """Return why a new entry is to be refused, or None."""
        left_s = entry.deadline_s - now_s
        if left_s <= 0:
            return Reason.OVERDUE
        kind = (entry.priority, entry.team)
        if not len(self):
            self._refused_kinds.clear()
            return None
        if not self.load.has_samples():
            return None
        answer_s = wait_s + self.load.get_run_time_s(entry.priority)
        is_refusing = kind in self._refused_kinds
        ratio = ACCEPT_RATIO if is_refusing else REFUSE_RATIO
        if answer_s > ratio * left_s:
            self._refused_kinds.add(kind)
            return Reason.TOO_LATE
        self._refused_kinds.discard(kind)
        return None

    def _evict(self) -> Refusal:
        """Remove the entry that the callers lose least by.

        It is the least urgent one, of the team with the most entries in that
        class, with the latest deadline. A team that fills the queue loses its
        own entries first, so that it doesn't displace those of others.
        """
        counts: collections.Counter[str] = collections.Counter()
        for priority_class in self._classes.values():
            for team, entries in priority_class.entries.items():
                counts[team] += len(entries)
        largest_team, count = counts.most_common(1)[0]
        is_crowding = count > MAX_TEAM_SHARE * self._limit
        priority = max(
            priority
            for priority, priority_class in self._classes.items()
            if (
                largest_team in priority_class.entries
                if is_crowding
                else priority_class.entries
            )
        )
        entries_by_team = self._classes[priority].entries
        team = largest_team
        if not is_crowding:
            team = max(entries_by_team, key=lambda t: len(entries_by_team[t]))
        entry = self._classes[priority].pop(team, -1)
        wait_s = self._estimate_wait(team, priority, entry.deadline_s)
        return Refusal(entry, Reason.FULL, len(self), wait_s)

    def _list_turns(self) -> list[int]:
        """Return the priorities with entries in the order to try them."""
        waiting = sorted(p for p, c in self._classes.items() if c.entries)
        due = [
            priority
            for priority in waiting[1:]
            if self._classes[priority].credit_s
            >= self.load.get_run_time_s(priority)
        ]
        return due + [priority for priority in waiting if priority not in due]

    def _set_aside(self, priority: int, cost_s: float) -> None:
        """Credit lower priorities for a statement that is taken now."""
        own_class = self._classes[priority]
        own_class.credit_s = max(0.0, own_class.credit_s - cost_s)
        lower = [c for p, c in self._classes.items() if p > priority and c]
        for priority_class in lower:
            credit_s = self._lower_share * cost_s / len(lower)
            # A class without a free connection doesn't save credit for ever.
            priority_class.credit_s = min(
                priority_class.credit_s + credit_s, MAX_CREDIT_S
            )

    def _charge(self, team: str, priority: int, cost_s: float) -> None:
        priority_class = self._classes.get(priority)
        if priority_class is not None:
            limit_s = MAX_DEFICIT_FACTOR * self.load.get_run_time_s(priority)
            priority_class.charge(team, cost_s, limit_s)
