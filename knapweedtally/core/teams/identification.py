"""Identification of a caller's team by its key."""

import enum
import hashlib
from typing import NamedTuple

from knapweedtally.core.groups import model

# Length of a digest of a key, in bytes. It tells the keys of a deployment
# apart and is too short to confirm a guessed key.
DIGEST_BYTES = 4


class Refusal(enum.Enum):
    """Why a caller belongs to no team; the values are shown to it."""

    MISSING_KEY = "a key is required"
    UNKNOWN_KEY = "the key belongs to no team"
    REVOKED_KEY = "the key was revoked"


class Identification(NamedTuple):
    """The result of an identification.

    Attributes:
        team: name of the caller's team; empty if callers aren't told apart,
            if a public route is used without a known key, or if it is refused.
        refusal: why the caller is refused, or None.
    """

    team: str
    refusal: Refusal | None = None


def identify(
    configuration: model.Configuration, is_public: bool, key: str
) -> Identification:
    """Return the team that holds a key, or why there is none.

    An empty key is a missing one, even if a configuration lists it.

    Args:
        configuration: the configuration in force.
        is_public: whether the caller's route is public.
        key: the caller's key, or empty.
    """
    if not configuration.teams:
        return Identification("")
    team = configuration.key_teams.get(key) if key else None
    if team is not None:
        return Identification(team)
    if is_public:
        return Identification("")
    return Identification(
        "", Refusal.UNKNOWN_KEY if key else Refusal.MISSING_KEY
    )


def identify_again(
    configuration: model.Configuration,
    is_public: bool,
    key: str,
    former_team: str,
) -> Identification:
    """Identify a caller by a newer configuration than before.

    Args:
        configuration: the configuration in force.
        is_public: whether the caller's route is public.
        key: the caller's key, or empty.
        former_team: the team that held the key before, or empty.
    """
    result = identify(configuration, is_public, key)
    if result.refusal is Refusal.UNKNOWN_KEY and former_team:
        return Identification("", Refusal.REVOKED_KEY)
    return result


def describe_key(key: str) -> str:
    """Return a short digest that stands for a key in logs, or empty."""
    if not key:
        return ""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2s(data, digest_size=DIGEST_BYTES).hexdigest()
