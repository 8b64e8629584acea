"""Turns between the teams whose statements of one priority wait.

The turns are those of deficit round robin: each turn gives a team the usual run
time of one statement, and what its statements actually used is charged to it.
"""

import bisect
import collections
import operator
from collections.abc import Callable
from typing import Any
from typing import NamedTuple


class Entry(NamedTuple):
    """A statement that waits for a connection.

    Attributes:
        team: name of the team, or empty.
        priority: 0 is the most urgent.
        deadline_s: time at which its answer is due.
        arrived_s: time of arrival.
        payload: whatever the adapter needs to run or refuse it.
    """

    team: str
    priority: int
    deadline_s: float
    arrived_s: float
    payload: Any = None


class TeamTurns:
    """Entries of one priority.

    Attributes:
        entries: entries by team, ordered by deadline; no team is empty.
        turns: teams with entries in the order of their turns.
        deficits_s: run time that a team may still use in its turn. Negative
            for a team that used more than expected.
        credit_s: run time set aside by more urgent classes.
    """

    def __init__(self) -> None:
        """Create a class without entries."""
        self.entries: dict[str, list[Entry]] = {}
        self.turns: collections.deque[str] = collections.deque()
        self.deficits_s: dict[str, float] = {}
        self.credit_s = 0.0

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(map(len, self.entries.values()))

    def add(self, entry: Entry) -> None:
        """Add an entry; a team that had none gets the last turn."""
        if entry.team not in self.entries:
            self.entries[entry.team] = []
            self.turns.append(entry.team)
        bisect.insort(
            self.entries[entry.team],
            entry,
            key=operator.attrgetter("deadline_s"),
        )

    def pop(self, team: str, index: int) -> Entry:
        """Remove and return an entry of a team, by its place by deadline."""
        entry = self.entries[team].pop(index)
        if not self.entries[team]:
            del self.entries[team]
            self.turns.remove(team)
            if self.deficits_s.get(team, 0.0) >= 0:
                self.deficits_s.pop(team, None)
        if not self.entries:
            # Without contention no team owes the others anything.
            self.deficits_s.clear()
            self.credit_s = 0.0
        return entry

    def choose_team(
        self, cost_s: float, is_free: Callable[[str], bool]
    ) -> str | None:
        """Return the team whose turn it is, or None if none is free."""
        free_teams = {team for team in self.turns if is_free(team)}
        if not free_teams:
            return None
        while True:
            team = self.turns[0]
            if team in free_teams:
                deficit_s = self.deficits_s.setdefault(team, 0.0)
                if deficit_s >= cost_s:
                    return team
                self.deficits_s[team] = deficit_s + cost_s
            # A team without a free connection neither gains nor loses.
            self.turns.rotate(-1)
            if team in free_teams and self.deficits_s[team] >= cost_s:
                return team

    def charge(self, team: str, cost_s: float, limit_s: float) -> None:
        """Charge a team for run time.

        Args:
            team: the team.
            cost_s: run time in seconds; negative if it used less than expected.
            limit_s: limit for what a team owes or has in advance.
        """
        if not self.entries:
            return
        deficit_s = self.deficits_s.get(team, 0.0) - cost_s
        deficit_s = max(-limit_s, min(limit_s, deficit_s))
        if team in self.entries or deficit_s < 0:
            self.deficits_s[team] = deficit_s
        else:
            # A team without waiting statements saves nothing for later.
            self.deficits_s.pop(team, None)
