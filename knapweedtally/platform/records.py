"""Decode the operator's configuration and the targets' entries."""

import math
from typing import Any

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import model
from knapweedtally.platform import settings

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"

_CONSISTENCIES = {
    "primary": model.Consistency.PRIMARY,
    "bounded_stale": model.Consistency.BOUNDED,
    "read_your_writes": model.Consistency.SESSION,
}
# Field of a team with the digests of its keys, in a configuration that a host
# has passed on; the operator's has the keys in ``apiKeys``.
KEY_DIGESTS = "keyDigests"

# Fields of a team that are passed on unchanged.
_TEAM_FIELDS = ("name", "priority", "ratePerS", "burst")

_TARGET_STATES = frozenset({"ready", "draining"})
_TARGET_ROLES = frozenset({"primary", "replica"})

# Used for a route without ``timeoutMs``.
DEFAULT_STATEMENT_TIMEOUT_S = 1.0

# Largest integer that is taken: what the store's revisions and counters fit in.
# A larger version would make each later configuration an older one.
MAX_INTEGER = 2**63 - 1

# Largest time that is taken, in milliseconds: a year.
MAX_TIME_MS = 366 * 24 * 3600 * 1000

# Largest number of statements that a target runs at once, of its connections,
# and of replicas.
MAX_COUNT = 1_000_000


class InvalidRecord(ValueError):  # noqa: N818 - named after the cause
    """Raised for an object that doesn't have the expected schema."""


def parse_configuration(spec: Any) -> model.Configuration:
    """Return the configuration in an object's ``spec``.

    A malformed route, group or team is skipped; the others are kept.

    Raises:
        InvalidRecord: the version or a list is missing or malformed, or there
            are teams and none of them is valid. Without a team every caller
            would be served.
    """
    try:
        version = spec["version"]
        routes = [_parse_route(item) for item in spec["routes"]]
        groups = [_parse_group(item) for item in spec["backends"]]
        tenants = spec.get("tenants") or ()
        teams = [_parse_team(item) for item in tenants]
        known_teams = {team.name: team for team in teams if team}
        if type(version) is not int or not 0 <= version <= MAX_INTEGER:
            raise InvalidRecord(
                f"version must be an integer from 0 to {MAX_INTEGER}, not "
                f"{str(version)[:80]!r}"
            )
        if tenants and not known_teams:
            raise InvalidRecord("tenants must contain a valid team")
        return model.Configuration(
            version,
            {route.database: route for route in routes if route},
            {group.name: group for group in groups if group},
            _parse_idle_time(spec.get("limits")),
            known_teams,
            {
                key: team.name
                for team in known_teams.values()
                for key in team.keys
            },
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise InvalidRecord(f"configuration: {error!r}") from error


def _parse_time(value: Any) -> float:
    """Return a time in seconds that is given in milliseconds, 0 for none.

    Raises:
        ValueError: the value isn't a time.
    """
    time_ms = float(value or 0)
    if not 0 <= time_ms <= MAX_TIME_MS:
        raise ValueError(f"time must be from 0 to {MAX_TIME_MS} ms")
    return time_ms / 1000


def _parse_count(value: Any) -> int:
    """Return a number of things.

    Raises:
        ValueError: the value isn't one.
    """
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f"count must be from 0 to {MAX_COUNT}")
    return count


def _parse_idle_time(limits: Any) -> float:
    """Return how long a transaction may be idle, or 0 for no limit."""
    try:
        return _parse_time((limits or {}).get("txIdleMs"))
    except (AttributeError, OverflowError, TypeError, ValueError):
        return 0.0


def _parse_route(item: Any) -> model.Route | None:
    try:
        # "host" is the name of the database that callers connect to, and
        # "backend" is the service, which is a group of targets here.
        timeout_s = _parse_time(item.get("timeoutMs"))
        return model.Route(
            database=str(item["host"]),
            group=str(item["backend"]),
            consistency=_CONSISTENCIES[item["type"]],
            max_age_s=_parse_time(item.get("maxStalenessMs")),
            statement_timeout_s=timeout_s or DEFAULT_STATEMENT_TIMEOUT_S,
            priority=int(item.get("priority") or 0),
            is_public=item.get("public") is True,
        )
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def _parse_group(item: Any) -> model.GroupSettings | None:
    try:
        return model.GroupSettings(
            name=str(item["name"]),
            max_connections=_parse_count(item.get("maxConns") or 8),
            acknowledging_replicas=_parse_count(item.get("syncReplicas") or 0),
        )
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def _parse_team(item: Any) -> model.Team | None:
    """Return a team, or None if its name or its keys are malformed.

    A name with a space or a line break can't be sent to a target, and hosts
    tell each other ``-`` for no team. A text in place of the list of keys would
    make each of its characters a key.
    """
    try:
        name = str(item["name"])
        api_keys = item.get("apiKeys") or []
        digests = item.get(KEY_DIGESTS) or []
        if not name.isprintable() or name in ("", "-") or " " in name:
            return None
        if not isinstance(api_keys, list) or not isinstance(digests, list):
            return None
        rate_per_s = item.get("ratePerS")
        return model.Team(
            name=name,
            keys=frozenset(
                (
                    *(model.digest_key(str(key)) for key in api_keys if key),
                    *(str(digest) for digest in digests),
                )
            ),
            priority=int(item.get("priority") or 0),
            rate_per_s=math.inf if rate_per_s is None else float(rate_per_s),
            burst=float(item.get("burst") or 0),
        )
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def replace_keys(spec: Any) -> Any:
    """Return a configuration's ``spec`` with digests in place of its keys.

    Hosts pass a configuration on in this form, which they read as well.
    """
    if not isinstance(spec, dict):
        return spec
    teams = spec.get("tenants")
    if not isinstance(teams, list):
        return spec
    return {**spec, "tenants": [_replace_team_keys(team) for team in teams]}


def _replace_team_keys(item: Any) -> Any:
    team = _parse_team(item)
    if team is None:
        # Whatever else it has may be a key.
        return None
    kept = {name: item[name] for name in _TEAM_FIELDS if name in item}
    return {**kept, KEY_DIGESTS: sorted(team.keys)}


def _is_word(text: Any) -> bool:
    """Return whether a text can be sent as one word of a line."""
    return (
        isinstance(text, str)
        and bool(text)
        and text.isprintable()
        and " " not in text
    )


def parse_target(
    name: str, revision: store_revisions.Revision, spec: Any
) -> model.TargetEntry:
    """Return the target that an entry in the store describes.

    Raises:
        InvalidRecord: a field is missing or has the wrong type, or the
            state or the role is unknown; the entry must be ignored.
    """
    try:
        state = spec["state"]
        role = spec["dbRole"]
        started_ms = spec.get("born", 0)
        update = spec["seq"]
        address = settings.parse_address(spec["addr"])
        is_known = state in _TARGET_STATES and role in _TARGET_ROLES
        texts = (spec["backend"], spec["zone"], spec["version"])
        is_typed = all(_is_word(text) for text in (name, *texts))
        is_typed = is_typed and isinstance(spec["addr"], str)
        is_typed = is_typed and type(spec["coldLeftMs"]) in (int, float)
        is_in_range = all(
            type(number) is int and low <= number <= high
            for number, low, high in (
                (started_ms, 0, MAX_INTEGER),
                (update, 0, MAX_INTEGER),
                (spec["slots"], 1, MAX_COUNT),
            )
        )
        if not is_known or not is_typed or not is_in_range:
            raise InvalidRecord(
                f"entry {name!r}: a field is empty, out of range or has the "
                "wrong type, or state or dbRole is unknown"
            )
        return model.TargetEntry(
            target=name,
            revision=revision,
            group=spec["backend"],
            address=address.host,
            port=address.port,
            data_centre=spec["zone"],
            started_ms=started_ms,
            update_count=update,
            is_draining=state == "draining",
            is_primary=role == "primary",
            slots=spec["slots"],
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise InvalidRecord(f"entry {name!r}: {error!r}") from error
    except settings.SettingsError as error:
        raise InvalidRecord(f"entry {name!r}: {error}") from error
