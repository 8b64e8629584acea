"""Faults of teams: changes of their keys and limits, and load."""

import asyncio
import random
from typing import Protocol

from tests.soak import teams as teams_module

# Limit far below the load: operations a second, and operations at once.
LOW_RATE_RANGE_PER_S = (1, 4)
LOW_BURST = 2

# Shortest time for which a limit stays lowered, in seconds: the time until it
# is in force, one window, and some more to judge.
MIN_LOWERED_S = 13.0

# Longest time after which the old key of a rotation is revoked, in seconds.
MAX_ROTATION_S = 6.0

# How many times its usual number of callers a team has besides them.
SURGE_FACTOR = 6


class TeamSystem(Protocol):
    """Parts of the running system that these faults act on.

    Attributes:
        teams: the teams, or None if callers aren't told apart.
    """

    teams: teams_module.Teams | None

    async def run_surge(self, team: str, factor: int, for_s: float) -> None:
        """Run additional callers of a team for a time in seconds."""


async def revoke_key(
    system: TeamSystem, rng: random.Random, duration_s: float
) -> None:
    """Revoke one or all keys of a team, and add a new one later."""
    if system.teams is None:
        return
    team = rng.choice(teams_module.TEAM_NAMES)
    keys = system.teams.list_keys(team)
    if keys and rng.random() < 0.5:
        keys = [rng.choice(keys)]
    for key in keys:
        system.teams.revoke_key(key)
    system.teams.publish()
    await asyncio.sleep(duration_s)
    system.teams.add_key(team)
    system.teams.publish()


async def rotate_key(
    system: TeamSystem, rng: random.Random, duration_s: float
) -> None:
    """Add a key to a team, and later revoke those that it had before."""
    if system.teams is None:
        return
    team = rng.choice(teams_module.TEAM_NAMES)
    old = system.teams.list_keys(team)
    system.teams.add_key(team)
    system.teams.publish()
    await asyncio.sleep(rng.uniform(duration_s, MAX_ROTATION_S))
    for key in old:
        system.teams.revoke_key(key)
    system.teams.publish()


async def lower_limit(
    system: TeamSystem, rng: random.Random, duration_s: float
) -> None:
    """Lower a team's limit far below its load, and raise it again."""
    if system.teams is None or not system.teams.has_limits:
        return
    team = rng.choice(teams_module.TEAM_NAMES)
    rate_per_s = rng.randint(*LOW_RATE_RANGE_PER_S)
    system.teams.set_limit(team, rate_per_s, LOW_BURST)
    system.teams.publish()
    await asyncio.sleep(MIN_LOWERED_S + duration_s)
    system.teams.set_limit(team, *system.teams.usual_limits[team])
    system.teams.publish()


async def send_surge(
    system: TeamSystem, rng: random.Random, duration_s: float
) -> None:
    """Let a team send many times its usual load."""
    team = rng.choice(teams_module.TEAM_NAMES)
    await system.run_surge(team, SURGE_FACTOR, duration_s)
