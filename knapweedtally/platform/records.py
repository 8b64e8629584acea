"""Decode the operator's configuration and the targets' entries."""

import math
from typing import Any

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
        idle_ms = (spec.get("limits") or {}).get("txIdleMs") or 0
        if not isinstance(version, int):
            raise InvalidRecord(f"version must be an integer, not {version!r}")
        if tenants and not known_teams:
            raise InvalidRecord("tenants must contain a valid team")
        return model.Configuration(
            version,
            {route.database: route for route in routes if route},
            {group.name: group for group in groups if group},
            float(idle_ms) / 1000,
            known_teams,
            {
                key: team.name
                for team in known_teams.values()
                for key in team.keys
            },
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise InvalidRecord(f"configuration: {error!r}") from error


def _parse_route(item: Any) -> model.Route | None:
    try:
        # "host" is the name of the database that callers connect to, and
        # "backend" is the service, which is a group of targets here.
        timeout_ms = item.get("timeoutMs")
        timeout_s = DEFAULT_STATEMENT_TIMEOUT_S
        if timeout_ms:
            timeout_s = float(timeout_ms) / 1000
        return model.Route(
            database=str(item["host"]),
            group=str(item["backend"]),
            consistency=_CONSISTENCIES[item["type"]],
            max_age_s=float(item.get("maxStalenessMs") or 0) / 1000,
            statement_timeout_s=timeout_s,
            priority=int(item.get("priority") or 0),
            is_public=item.get("public") is True,
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _parse_group(item: Any) -> model.GroupSettings | None:
    try:
        return model.GroupSettings(
            name=str(item["name"]),
            max_connections=int(item.get("maxConns") or 8),
            acknowledging_replicas=int(item.get("syncReplicas") or 0),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
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


def parse_target(name: str, revision: int, spec: Any) -> model.TargetEntry:
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
        texts = (spec["backend"], spec["zone"], spec["addr"], spec["version"])
        numbers = (started_ms, update, spec["slots"], spec["coldLeftMs"])
        is_typed = all(
            isinstance(text, str) and text for text in texts
        ) and all(type(number) is int for number in numbers[:3])
        is_typed = is_typed and type(numbers[3]) in (int, float)
        if not is_known or not is_typed:
            raise InvalidRecord(
                f"entry {name!r}: a field is empty or has the wrong type, "
                "or state or dbRole is unknown"
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
