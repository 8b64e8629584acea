"""Data types shared by all parts of the core.

Units: times are seconds on this host's monotonic clock unless a name ends in
``_ms``; offsets count the log entries of a group; terms count its primaries.
"""

import enum
from typing import NamedTuple


class Moment(NamedTuple):
    """Time and random number that are passed to a decision as input.

    Attributes:
        at: monotonic time in seconds.
        random_value: uniform random number in [0, 1).
    """

    at: float
    random_value: float


class Position(NamedTuple):
    """Position in a group's log, ordered by term and then by offset."""

    term: int
    offset: int


class TargetReport(NamedTuple):
    """State that a target reports with every answer.

    Attributes:
        target: id of the target.
        term: term that is installed on the target.
        offset: offset of the last log entry that was applied when the
            statement ran.
        age_ms: upper bound on the age of the data; on a primary, the time
            since a majority of the group last confirmed its term.
        is_primary: whether the target serves as the primary of its term.
    """

    target: str
    term: int
    offset: int
    age_ms: float
    is_primary: bool


class Target(NamedTuple):
    """Database instance of a group."""

    id: str
    host: str
    port: int
    data_centre: str


class ReadRule(NamedTuple):
    """Maximum age of data that reads of some tables accept.

    Attributes:
        tables: names of tables; the rule applies to reads that refer only to
            these.
        max_age_ms: accepted age; 0 requires current data.
    """

    tables: frozenset[str]
    max_age_ms: int


class Group(NamedTuple):
    """Database group as configured in the bundle.

    Attributes:
        name: database name that callers connect to.
        targets: database instances of the group.
        connection_limit: total number of connections that one target accepts.
        slots: number of statements that one target runs concurrently.
        max_age_ms: accepted age of data if no rule applies.
        read_rules: rules by table; the first one that applies is used.
        leaving: ids of targets that receive no new requests.
        request_timeout_ms: time from the arrival of a request to its
            deadline.
        replica_wait_ms: longest wait for a replica that is about to catch
            up.
    """

    name: str
    targets: tuple[Target, ...]
    connection_limit: int = 15
    slots: int = 2
    max_age_ms: int = 10_000
    read_rules: tuple[ReadRule, ...] = ()
    leaving: frozenset[str] = frozenset()
    request_timeout_ms: int = 5_000
    replica_wait_ms: int = 100


class Bundle(NamedTuple):
    """Accepted configuration bundle.

    Attributes:
        version: version of the bundle; increases with each accepted one.
        digest: hexadecimal SHA-256 of the canonical form.
        groups: groups by name.
        signer: name of the operator who signed it.
    """

    version: int
    digest: str
    groups: dict[str, Group]
    signer: str = ""


class Phase(enum.Enum):
    """State of a term: whether its primary has been chosen."""

    OPEN = "open"
    ELECTING = "electing"


class GroupRecord(NamedTuple):
    """Copy of the platform's object for a group.

    Attributes:
        version: version of the platform's object; 0 when unknown.
        term: newest term.
        phase: whether the term's primary has been chosen.
        primary: id of the term's primary, empty while electing.
        operation: id of the operation that started the term.
        preferred: target that a planned change requests as the primary, or
            empty.
    """

    version: int
    term: int
    phase: Phase
    primary: str
    operation: str
    preferred: str = ""


class Register(NamedTuple):
    """Versioned value that is replicated between peers.

    Attributes:
        kind: one of ``host``, ``group``, ``bundle``, ``observation`` and
            ``target``.
        name: key that is unique within the kind.
        version: version, compared as a tuple; the highest one is kept.
        value: CBOR-serializable value.
    """

    kind: str
    name: str
    version: tuple[int, ...]
    value: dict[str, object]


class ListedHost(NamedTuple):
    """Copy of an entry in the platform's list of hosts.

    Attributes:
        name: name of the host.
        address: address of the host.
        port: port that the host registered.
        data_centre: data centre of the host.
        is_leaving: whether the platform lists the host as leaving.
    """

    name: str
    address: str
    port: int
    data_centre: str
    is_leaving: bool
