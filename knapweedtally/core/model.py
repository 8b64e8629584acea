"""Data shared by all parts of the core.

Units: times are seconds on this host's monotonic clock unless a name ends in
``_ms``; positions count log entries of a group; terms count primaries.
"""

import enum
from typing import NamedTuple


class Moment(NamedTuple):
    """Carry what a decision may not fetch itself.

    Attributes:
        at: monotonic time in seconds.
        draw: uniform random number in [0, 1).
    """

    at: float
    draw: float


class Position(NamedTuple):
    """Name a place in a group's log; compared by term, then by offset."""

    term: int
    offset: int


class TargetReport(NamedTuple):
    """Carry what a target says of itself with every answer.

    Attributes:
        target: id of the target.
        term: term that the target has installed.
        offset: last log entry applied when the statement ran.
        age_ms: upper bound on how old the data is; on a primary, the time
            since a majority of the group last confirmed its term.
        is_primary: whether the target serves as the primary of its term.
    """

    target: str
    term: int
    offset: int
    age_ms: float
    is_primary: bool


class Target(NamedTuple):
    """Describe one database instance of a group."""

    id: str
    host: str
    port: int
    data_centre: str


class ReadRule(NamedTuple):
    """Give the age of data that reads of some tables accept.

    Attributes:
        tables: names of tables; a read matches when it names only these.
        max_age_ms: accepted age; 0 demands current data.
    """

    tables: frozenset[str]
    max_age_ms: int


class Group(NamedTuple):
    """Describe a database group as the bundle states it.

    Attributes:
        name: database name that callers connect to.
        targets: instances of the group.
        connection_limit: connections that one target accepts in all.
        slots: statements that one target runs at once.
        max_age_ms: accepted age of data where no rule matches.
        read_rules: rules by table, first match wins.
        leaving: ids of targets that get no new work.
        request_timeout_ms: deadline of a request.
        replica_wait_ms: longest wait for a replica about to catch up.
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
    """Hold one accepted configuration bundle.

    Attributes:
        version: counts accepted bundles; only grows.
        digest: SHA-256 over the canonical form, hexadecimal.
        groups: groups by name.
        signer: name of the operator who signed it.
    """

    version: int
    digest: str
    groups: dict[str, Group]
    signer: str = ""


class Phase(enum.Enum):
    """Tell whether a term has a primary yet."""

    OPEN = "open"
    ELECTING = "electing"


class GroupRecord(NamedTuple):
    """Mirror the platform's object of a group.

    Attributes:
        version: version of the platform's object; 0 when unknown.
        term: newest term.
        phase: whether the term's primary is chosen.
        primary: id of the term's primary, empty while electing.
        operation: id of the operation that began the term.
        preferred: target that a planned change asks for, or empty.
    """

    version: int
    term: int
    phase: Phase
    primary: str
    operation: str
    preferred: str = ""


class Register(NamedTuple):
    """Hold one versioned value that peers spread.

    Attributes:
        kind: closed list: ``host``, ``group``, ``bundle``, ``observation``,
            ``target``.
        name: key within the kind.
        version: compared as a tuple; the higher one wins.
        value: CBOR-serializable value.
    """

    kind: str
    name: str
    version: tuple[int, ...]
    value: dict[str, object]


class ListedHost(NamedTuple):
    """Mirror one entry of the platform's list of hosts.

    Attributes:
        name: name of the host.
        address: its address.
        port: the port that it registered.
        data_centre: its data centre.
        is_leaving: whether the platform says that it is leaving.
    """

    name: str
    address: str
    port: int
    data_centre: str
    is_leaving: bool
