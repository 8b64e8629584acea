"""Data types that the modules of this package share."""

import enum
import hashlib
import math
import types
from collections.abc import Mapping
from typing import NamedTuple

from knapweedtally.core import store_revisions


class Position(NamedTuple):
    """A position in a group's log; positions compare in log order.

    Attributes:
        term: term of the log entry.
        number: number of the log entry.
    """

    term: int
    number: int


class Consistency(enum.Enum):
    """Which commits the reads of a route may miss."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(NamedTuple):
    """How requests for one database are served.

    Attributes:
        database: name of the database that callers connect to.
        group: name of the group that serves the database.
        consistency: which commits reads may miss.
        max_age_s: maximum staleness of reads; 0 for ``PRIMARY``.
        statement_timeout_s: time limit for one statement.
        priority: priority of the requests; 0 is the highest.
        is_public: whether callers need no key.
    """

    database: str
    group: str
    consistency: Consistency
    max_age_s: float
    statement_timeout_s: float
    priority: int
    is_public: bool = False


class GroupSettings(NamedTuple):
    """The settings of one group in the configuration.

    Attributes:
        name: name of the group.
        max_connections: number of connections that one target accepts from
            all hosts together.
        acknowledging_replicas: number of replicas that have to receive a
            commit before it is acknowledged.
    """

    name: str
    max_connections: int
    acknowledging_replicas: int


def digest_key(key: str) -> str:
    """Return the digest by which a key is known once it was read.

    Keys are long and random, so a digest without salt can't be inverted.
    """
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).hexdigest()


class Team(NamedTuple):
    """A team of callers.

    Attributes:
        name: name of the team, by which targets know it.
        keys: digests of the keys that identify its callers.
        priority: priority among teams; 0 is the highest.
        rate_per_s: operations a second that the team may send over all hosts;
            infinite if it has no limit.
        burst: operations that it may send beyond that rate.
    """

    name: str
    keys: frozenset[str]
    priority: int = 0
    rate_per_s: float = math.inf
    burst: float = 0.0


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        version: number of the version; never decreases.
        routes: routes by name of the database.
        groups: settings of the groups by name of the group.
        transaction_idle_s: how long a transaction may be idle before it may be
            ended; 0 for no limit.
        teams: teams by name; empty if callers aren't told apart.
        key_teams: names of the teams by digest of the key.
    """

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupSettings]
    transaction_idle_s: float
    teams: Mapping[str, Team] = types.MappingProxyType({})
    key_teams: Mapping[str, str] = types.MappingProxyType({})


class TargetEntry(NamedTuple):
    """The entry that a target writes about itself in the store.

    Attributes:
        target: id of the target.
        revision: the store's revision of the entry, by which entries of one
            generation of the store are ordered.
        group: name of the target's group.
        address: IP address of the target.
        port: port of the wire protocol.
        data_centre: data centre of the target.
        started_ms: Unix time of the target's start, in milliseconds, or 0 if
            it isn't given; differs between starts with the same id.
        update_count: number of updates since the target's start.
        is_draining: whether the target is about to leave.
        is_primary: whether the target considers itself the primary.
        slots: number of statements that the target runs concurrently.
    """

    target: str
    revision: store_revisions.Revision
    group: str
    address: str
    port: int
    data_centre: str
    started_ms: int
    update_count: int
    is_draining: bool
    is_primary: bool
    slots: int


class TargetStatus(NamedTuple):
    """A target's answer to a control statement.

    Attributes:
        is_primary: whether the target is the primary.
        term: current term of the target.
        received: last log position that the target has received.
        paused_for: term for which replication is paused; 0 if it isn't.
        lag_s: how far reads lag behind the received log, in seconds.
        busy: number of running and queued statements, including this one.
        connections: number of open connections from all hosts.
    """

    is_primary: bool
    term: int
    received: Position
    paused_for: int
    lag_s: float
    busy: int
    connections: int
