"""Teams of the callers: their keys and limits, and how these change."""

import asyncio
import math
import random
from typing import Any
from typing import NamedTuple

from standins.line_platform import monitor as monitor_module
from standins.line_platform import platform as platform_module

TEAM_NAMES = ("a", "b", "c", "d")

# Team of the recovery checks and the idle sessions. It has one key, which no
# fault revokes, and no limit.
PROBE_TEAM = "probe"
PROBE_KEY = "key-probe"
PROBE_OPERATION = "probe"

# Ranges of the usual limits: operations a second, and operations at once. Two
# callers send some tens of operations a second, so that some teams exceed
# theirs all the time and others only when they send more than usual.
RATE_RANGE_PER_S = (8, 60)
BURST_RANGE = (10, 40)

# Part of sessions that use a revoked key although the team may have another.
REVOKED_KEY_PART = 0.1


class Limit(NamedTuple):
    """A team's limit, and since when the configuration has it.

    Attributes:
        at_s: time of the store's acknowledgement, on the event loop's clock.
        rate_per_s: operations a second.
        burst: operations at once.
    """

    at_s: float
    rate_per_s: float
    burst: float


class Lifetime(NamedTuple):
    """When the configuration contains a key.

    Attributes:
        added_s: time of the acknowledgement of the first version with the key,
            or minus infinity for the configuration's first version.
        revoked_s: the same of the first version without it again, or None.
    """

    added_s: float
    revoked_s: float | None = None


class Teams:
    """The teams of a run. A key that was revoked never comes back.

    Attributes:
        monitor: checks the team of each statement that targets run.
        has_limits: whether the teams have limits.
        usual_limits: rate a second and burst by team; empty without limits.
        limits: all limits by team, oldest first.
        keys: lifetimes by key, oldest first.
    """

    def __init__(
        self, platform: platform_module.Platform, rng: random.Random
    ) -> None:
        """Create the teams of a platform that isn't started.

        Args:
            platform: the platform; its first configuration has the teams.
            rng: decides whether the teams have limits, and which.
        """
        self.monitor = monitor_module.Monitor()
        self.has_limits = rng.random() < 0.5
        self.usual_limits: dict[str, tuple[float, float]] = {}
        self.limits: dict[str, list[Limit]] = {}
        self.keys: dict[str, Lifetime] = {}
        self._platform = platform
        self._key_count = 0
        self.monitor.key_teams[PROBE_KEY] = PROBE_TEAM
        self.monitor.operation_keys[PROBE_OPERATION] = PROBE_KEY
        for name in TEAM_NAMES:
            self.add_key(name, -math.inf)
            self.add_key(name, -math.inf)
            if self.has_limits:
                rate_per_s = rng.randint(*RATE_RANGE_PER_S)
                usual = rate_per_s, rng.randint(*BURST_RANGE)
                self.usual_limits[name] = usual
                self.set_limit(name, *usual)
        platform.teams = self._make_entries()
        for group in platform.groups.values():
            group.monitor = self.monitor

    def publish(self) -> None:
        """Write a configuration with the current keys and limits."""
        self._platform.teams = self._make_entries()
        self._platform.write_configuration()

    def _make_entries(self) -> list[dict[str, Any]]:
        entries = [platform_module.make_team(PROBE_TEAM, PROBE_KEY)]
        for name in TEAM_NAMES:
            entry = platform_module.make_team(name, *self.list_keys(name))
            if self.has_limits:
                limit = self.limits[name][-1]
                entry["ratePerS"] = limit.rate_per_s
                entry["burst"] = limit.burst
            entries.append(entry)
        return entries

    def list_keys(self, team: str, is_valid: bool = True) -> list[str]:
        """Return a team's valid keys, or those that were revoked."""
        return [
            key
            for key, lifetime in self.keys.items()
            if self.monitor.key_teams[key] == team
            and (lifetime.revoked_s is None) == is_valid
        ]

    def choose_key(self, rng: random.Random, team: str) -> str:
        """Return a key for a session of a team, which may be revoked."""
        valid = self.list_keys(team)
        revoked = self.list_keys(team, is_valid=False)
        if revoked and (not valid or rng.random() < REVOKED_KEY_PART):
            return rng.choice(revoked)
        return rng.choice(valid)

    def add_key(self, team: str, at_s: float | None = None) -> None:
        """Add a key, which ``publish`` makes known in the same step.

        Args:
            team: the team.
            at_s: the time, or None for now.
        """
        self._key_count += 1
        key = f"key-{team}-{self._key_count}"
        self.monitor.key_teams[key] = team
        self.keys[key] = Lifetime(_get_time_s() if at_s is None else at_s)

    def revoke_key(self, key: str) -> None:
        """Revoke a key, which ``publish`` makes known in the same step."""
        lifetime = self.keys[key]
        if lifetime.revoked_s is None:
            self.keys[key] = lifetime._replace(revoked_s=_get_time_s())

    def set_limit(self, team: str, rate_per_s: float, burst: float) -> None:
        """Set a limit, which ``publish`` makes known in the same step."""
        limit = Limit(_get_time_s(), rate_per_s, burst)
        self.limits.setdefault(team, []).append(limit)


def _get_time_s() -> float:
    return asyncio.get_running_loop().time()
