"""Grants of tokens from the slices of which a host is the allocator.

Buckets of all teams are kept for as long as the host is the allocator of their
slice, at most one a team: a bucket that was dropped while idle and created
again empty would refuse the burst of a team that was idle.
"""

import dataclasses
import math
from collections.abc import Mapping

from knapweedtally.core.quotas import messages
from knapweedtally.core.quotas import rules
from knapweedtally.core.quotas import slices

# Teams of which only other hosts' questions tell, because their configuration
# is newer. More are refused, since each takes memory.
MAX_UNLISTED_TEAMS = 256

# Longest time after which an asking host tries a slice again, in seconds.
MAX_RETRY_S = 1.0

# Part of a slice's capacity above which tokens are granted in advance.
AHEAD_FILL = 0.5


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one slice.

    Attributes:
        part: rate and capacity.
        level: tokens left at ``updated_s``.
        updated_s: time of the last change.
        waiting: refused operations that expect a token; falls by the rate.
        answered: last question of each host and its answer.
    """

    part: slices.Slice
    level: float
    updated_s: float
    waiting: float = 0.0
    answered: dict[str, messages.Lend] = dataclasses.field(default_factory=dict)

    def update(self, now_s: float) -> None:
        gained = max(0.0, now_s - self.updated_s) * self.part.rate_per_s
        self.level = rules.limit_level(self.level + gained, self.part.capacity)
        self.waiting = max(0.0, self.waiting - gained)
        self.updated_s = now_s


class Allocator:
    """The slices of one host's data centre that the host grants from."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        tolerance: slices.Tolerance,
        now_s: float,
    ) -> None:
        """Start without a slice.

        Args:
            host: name of the host.
            data_centre: its data centre.
            tolerance: by how much limits may be exceeded.
            now_s: the time of its start.
        """
        self._host = host
        self._data_centre = data_centre
        self._tolerance = tolerance
        self._since_s = now_s
        self._checked_s = now_s
        self._has_been_suspended = False
        self._fleet: slices.Fleet | None = None
        self._data_centre_count = 1
        self._share = 0.0
        self._ranking = slices.Ranking()
        self._limits: dict[str, slices.Limit] = {}
        self._own_teams: frozenset[str] = frozenset()
        self._buckets: dict[str, _Bucket] = {}
        self._started_teams: set[str] = set()

    def check(self, now_s: float) -> None:
        """Start anew after a suspension; to be called at least each 0.5 s."""
        if rules.was_suspended(self._checked_s, now_s):
            self._since_s = now_s
            self._has_been_suspended = True
            self._buckets.clear()
        self._checked_s = max(self._checked_s, now_s)

    def update_limits(
        self, limits: Mapping[str, slices.Limit], now_s: float
    ) -> None:
        """Take over the limits of a configuration.

        A team that the configuration doesn't limit has no bucket.
        """
        self._own_teams = frozenset(limits)
        self._ranking.keep_teams(limits)
        self._limits = {
            team: self._choose_newest(team, limit)
            for team, limit in limits.items()
        }
        self._update_buckets(now_s)

    def update_fleet(self, fleet: slices.Fleet, now_s: float) -> None:
        """Take over which hosts are known and live."""
        self.check(now_s)
        self._fleet = fleet
        self._ranking.update(fleet.live)
        live = self._count(fleet, frozenset(fleet.live))
        recent = self._count(fleet, fleet.recent | frozenset(fleet.live))
        self._share = rules.compute_share(live, recent)
        self._data_centre_count = len(slices.list_data_centres(fleet.known))
        self._update_buckets(now_s)

    def _choose_newest(self, team: str, limit: slices.Limit) -> slices.Limit:
        known = self._limits.get(team)
        if known and not rules.is_newer(limit.version, known.version):
            return known
        return limit

    def _update_buckets(self, now_s: float) -> None:
        for team in tuple(self._buckets):
            if team not in self._limits:
                del self._buckets[team]
        for team in self._limits:
            self._update_bucket(team, now_s)

    def _update_bucket(self, team: str, now_s: float) -> _Bucket | None:
        """Return the bucket of a team, or None if it is not granted here."""
        part = self._find_slice(team, now_s)
        if part is None:
            self._buckets.pop(team, None)
            return None
        bucket = self._buckets.get(team)
        if bucket is None:
            level = self._get_initial_level(team, part.capacity, now_s)
            bucket = self._buckets[team] = _Bucket(part, level, now_s)
            return bucket
        bucket.update(now_s)
        bucket.part = part
        bucket.level = rules.limit_level(bucket.level, part.capacity)
        return bucket

    def _get_initial_level(
        self, team: str, capacity: float, now_s: float
    ) -> float:
        """Return the tokens of a new bucket, more once after a start."""
        is_starting = now_s - self._since_s < rules.SETTLING_TIME_S
        if self._has_been_suspended or not is_starting:
            return rules.get_initial_level(capacity)
        if team in self._started_teams:
            return rules.get_initial_level(capacity)
        self._started_teams.add(team)
        return slices.compute_start_level(
            self._limits[team], self._tolerance, self._data_centre_count
        )

    def _find_slice(self, team: str, now_s: float) -> slices.Slice | None:
        fleet = self._fleet
        if fleet is None or not rules.is_settled(
            self._since_s,
            now_s,
            fleet.is_listed,
            fleet.has_met and not self._has_been_suspended,
        ):
            return None
        if self._ranking.find(team, self._data_centre) != self._host:
            return None
        return slices.split_limit(
            self._limits[team], self._data_centre_count, self._share
        )

    def _count(self, fleet: slices.Fleet, names: frozenset[str]) -> int:
        return sum(
            1 for name in names if fleet.known.get(name) == self._data_centre
        )

    def answer(
        self, host: str, ask: messages.Ask, now_s: float
    ) -> messages.Lend:
        """Answer a question.

        Args:
            host: name of the asking host.
            ask: the question.
            now_s: the current time.
        """
        self.check(now_s)
        if not self._learn_limit(ask):
            return self._refuse(ask, ask.limit)
        bucket = self._update_bucket(ask.team, now_s)
        limit = self._limits[ask.team]
        if bucket is None:
            return self._refuse(ask, limit)
        last = bucket.answered.get(host)
        if last and rules.is_repeated(ask.id, last.id):
            return last
        lend = self._grant(bucket, ask, limit)
        bucket.answered[host] = lend
        return lend

    def _learn_limit(self, ask: messages.Ask) -> bool:
        """Keep the newest limit; return whether the team is known."""
        if ask.team not in self._limits:
            extra = len(self._limits) - len(self._own_teams)
            if extra >= MAX_UNLISTED_TEAMS:
                return False
        self._limits[ask.team] = self._choose_newest(ask.team, ask.limit)
        return True

    def _refuse(self, ask: messages.Ask, limit: slices.Limit) -> messages.Lend:
        reply = messages.Reply.NOT_ALLOCATOR
        return messages.Lend(ask.id, ask.team, reply, 0, 0.0, 0.0, limit)

    def _grant(
        self, bucket: _Bucket, ask: messages.Ask, limit: slices.Limit
    ) -> messages.Lend:
        capacity = bucket.part.capacity
        tokens = min(ask.needed, math.floor(bucket.level))
        spare = bucket.level - tokens - capacity * AHEAD_FILL
        tokens += max(0, min(ask.ahead, math.floor(spare)))
        bucket.level -= tokens
        missing = ask.needed - tokens
        retry_s = 0.0
        reply = messages.Reply.GRANTED
        if missing > 0:
            reply = messages.Reply.EMPTY
            retry_s = self._compute_retry_s(bucket)
            longest = MAX_RETRY_S * bucket.part.rate_per_s
            bucket.waiting = min(longest, bucket.waiting + missing)
        fill = max(0.0, bucket.level / capacity)
        return messages.Lend(
            ask.id, ask.team, reply, tokens, fill, retry_s, limit
        )

    def _compute_retry_s(self, bucket: _Bucket) -> float:
        """Return when a token is left after those who were refused before."""
        if bucket.part.rate_per_s <= 0:
            return MAX_RETRY_S
        missing = 1.0 - bucket.level + bucket.waiting
        return min(MAX_RETRY_S, max(0.0, missing) / bucket.part.rate_per_s)
