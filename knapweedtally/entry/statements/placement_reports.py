"""Answers of an entry host about where a request would go now."""

import copy
import dataclasses
from collections.abc import Mapping
from typing import Any
from typing import Protocol

from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import placement_report
from knapweedtally.entry.common import clock
from knapweedtally.entry.pools import pools
from knapweedtally.entry.statements import router as router_module
from knapweedtally.platform import line_protocol

# Python refuses to convert texts of thousands of digits.
MAX_POSITION_LENGTH = 40

_KINDS = {"read": False, "write": True}
_NAMES = frozenset({"database", "team", "kind", "position"})


class InvalidQuery(ValueError):  # noqa: N818 - named after the cause
    """A query with a missing, unknown or invalid parameter."""


class Host(Protocol):
    """What a host knows.

    Attributes:
        name: name of the host.
        catalog: configuration and targets.
        routers: routers by name of the group.
    """

    name: str
    catalog: catalog_module.Catalog
    routers: dict[str, router_module.Router]


def describe(
    host: Host, data_centre: str, query: Mapping[str, str]
) -> dict[str, Any]:
    """Return where a request would go now, without changing anything.

    Args:
        host: the host.
        data_centre: its data centre.
        query: ``database``, ``kind`` (read or write), and optionally ``team``
            and the ``position`` of the session's last commit (TERM.NUMBER).

    Raises:
        InvalidQuery: a parameter is missing, unknown or invalid.
    """
    now_s = clock.get_time_s()
    configuration = host.catalog.configuration
    if configuration is None:
        return {"host": host.name, "reason": "no configuration is known yet"}
    route, need = _parse_query(configuration, query, now_s)
    team = query.get("team", "")
    answer: dict[str, Any] = {
        "host": host.name,
        "database": route.database,
        "group": route.group,
        "team": team,
        "version": configuration.version,
    }
    router = host.routers.get(route.group)
    if router is None:
        return {**answer, "reason": "no target of the group is known"}
    found_pools = router.pools
    answer |= placement_report.describe_placement(
        need,
        [_copy_load(pool, team) for pool in found_pools.values()],
        {target: _describe(pool, team) for target, pool in found_pools.items()},
        copy.copy(router.observer.leadership),
        data_centre,
        now_s,
    )
    answer["queued"] = router.queue_length
    answer["refused_share"] = load_shedding.get_refused_share(
        router.observer.load_shedding, now_s
    )
    return answer


def _copy_load(pool: pools.Pool, team: str) -> placement.TargetLoad:
    """Return a copy of a target's load, for the connections of a team."""
    load = dataclasses.replace(pool.load)
    if pool.has_teams:
        # The pool's own figure is that of the team that was placed last.
        load.idle, load.wait_s = len(pool.list_idle_paths(team)), 0.0
    return load


def _describe(pool: pools.Pool, team: str) -> placement_report.Knowledge:
    pace = pool.pacer.describe() if pool.pacer is not None else None
    return placement_report.Knowledge(
        tuple(pool.list_idle_paths(team)), pool.answered_s, pace
    )


def _parse_query(
    configuration: model.Configuration, query: Mapping[str, str], now_s: float
) -> tuple[model.Route, placement.Requirements]:
    unknown = sorted(set(query) - _NAMES)
    if unknown:
        raise InvalidQuery(f"{unknown[0]}: unknown parameter")
    route = configuration.routes.get(query.get("database", ""))
    if route is None:
        raise InvalidQuery("database: expected a database of a known route")
    if query.get("kind") not in _KINDS:
        raise InvalidQuery("kind: expected read or write")
    team = query.get("team", "")
    if team and team not in configuration.teams:
        raise InvalidQuery("team: expected a team of the configuration")
    position = None
    if text := query.get("position", ""):
        if len(text) <= MAX_POSITION_LENGTH:
            position = line_protocol.parse_position(text.encode())
        if position is None:
            raise InvalidQuery("position: expected TERM.NUMBER")
    is_write = _KINDS[query["kind"]]
    is_primary = route.consistency is model.Consistency.PRIMARY
    need = placement.Requirements(
        is_write or is_primary,
        is_write,
        route.consistency,
        route.max_age_s,
        now_s,
        position,
    )
    return route, need
