"""Values that the decisions about groups share."""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class Position(NamedTuple):
    """Name a place in a group's log; positions compare in log order.

    Attributes:
        term: term of the log entry.
        number: number of the log entry.
    """

    term: int
    number: int


class Consistency(enum.Enum):
    """Say what a route's reads may miss."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(NamedTuple):
    """Say how callers of one database are served.

    Attributes:
        database: name that callers ask for.
        group: name of the group that serves it.
        consistency: what reads may miss.
        max_age_s: accepted age of what reads show; 0 for ``PRIMARY``.
        statement_timeout_s: limit of one statement.
        priority: 0 is served first.
    """

    database: str
    group: str
    consistency: Consistency
    max_age_s: float
    statement_timeout_s: float
    priority: int


class GroupSettings(NamedTuple):
    """Describe one group of the configuration.

    Attributes:
        name: name of the group.
        max_connections: connections that one target takes from all hosts.
        acknowledging_replicas: replicas that hold a commit before its answer.
    """

    name: str
    max_connections: int
    acknowledging_replicas: int


class Configuration(NamedTuple):
    """Hold one version of what the operator wrote.

    Attributes:
        version: number of the version; only rises.
        routes: routes by name of the database.
        groups: groups by name.
        transaction_idle_s: rest inside a transaction after which it may be
            ended; 0 for no limit.
    """

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupSettings]
    transaction_idle_s: float


class TargetEntry(NamedTuple):
    """Hold what a target says of itself in the store.

    Attributes:
        target: id of the target.
        revision: the store's revision of the entry; orders the entries.
        group: name of its group.
        address: IP address.
        port: port of the wire protocol.
        data_centre: its data centre.
        started_ms: Unix time of its start, in milliseconds, or 0 where it
            doesn't say; tells apart lives under one id.
        update: counts its updates, anew in each life.
        is_draining: whether it is about to leave.
        is_primary: whether it takes itself for the primary.
        slots: statements that it runs at once.
    """

    target: str
    revision: int
    group: str
    address: str
    port: int
    data_centre: str
    started_ms: int
    update: int
    is_draining: bool
    is_primary: bool
    slots: int


class TargetStatus(NamedTuple):
    """Hold a target's answer to a control statement.

    Attributes:
        is_primary: whether it leads.
        term: term that it is in.
        received: last log position that it has received.
        paused_for: term for which it stopped receiving; 0 while it receives.
        lag_s: how far reads are behind what was received.
        busy: statements that run or wait there, this one included.
        connections: open connections from all hosts.
    """

    is_primary: bool
    term: int
    received: Position
    paused_for: int
    lag_s: float
    busy: int
    connections: int
