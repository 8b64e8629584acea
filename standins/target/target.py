"""One database instance: log, data and state shared by its sessions."""

import time
from typing import NamedTuple
from typing import TypedDict

import anyio

from standins.target import description
from standins.target import faults as target_faults
from standins.target import instance as instances
from standins.target import signals
from standins.target import storage as storages
from standins.target import transactions


class Address(NamedTuple):
    """Address that an instance listens on."""

    host: str
    port: int


class _ReplicationState(NamedTuple):
    term: int
    role: instances.Role
    primary_address: Address | None


class Settings(NamedTuple):
    """Settings of one instance.

    Attributes:
        id: id of the instance.
        group: name of its database group.
        address: listening address; outgoing connections are bound to its host.
        data_centre: name of the data centre.
        peers: addresses of the group's other instances by id.
        primary: id of the first term's primary.
        term: number of the first term.
        connection_limit: maximum number of concurrent ordinary connections.
        slots: maximum number of concurrent statements.
        connect_delay_ms: delay before a new connection is ready.
    """

    id: str
    group: str
    address: Address
    data_centre: str
    peers: dict[str, Address]
    primary: str
    term: int = 1
    connection_limit: int = 15
    slots: int = 2
    connect_delay_ms: float = 10


class Status(TypedDict):
    """Answer of the status command."""

    target: str
    group: str
    term: int
    operation: str
    primary: str
    is_primary: bool
    last_term: int
    received: int
    applied: int
    age_ms: float
    is_holding: bool
    connections: int


class Target:
    """Keep an instance's data consistent with its log.

    Attributes:
        settings: settings of the instance.
        instance: log, term and confirmations.
        storage: the data.
        write_lock: lock of the one write transaction.
        describer: finds the types of parameters and result columns.
        faults: injected faults.
        slots: limits the number of concurrent statements.
        pull_changed: notified when the answer to a pull may have changed.
        barrier_changed: notified when the state of a barrier may have changed.
        term_changed: notified when the term, the role or the primary changed.
        primary_address: address of the primary that this instance replicates
            from.
        barrier_nonce: nonce of the newest barrier.
        connections: number of open ordinary connections.
        statements: number of reads, writes and BEGINs that were started.
    """

    def __init__(
        self, settings: Settings, faults: target_faults.Faults
    ) -> None:
        """Create an instance and enter its first term."""
        self.settings = settings
        self.faults = faults
        self.instance = instances.Instance(settings.id, settings.peers)
        self.storage = storages.Storage()
        self.write_lock = transactions.WriteLock(self.instance, self.storage)
        self.describer = description.Describer(self.storage)
        self.slots = anyio.Semaphore(settings.slots)
        self.pull_changed = signals.Signal()
        self.barrier_changed = signals.Signal()
        self.term_changed = signals.Signal()
        self.primary_address: Address | None = None
        self.barrier_nonce = 0
        self.connections = 0
        self.statements = 0
        self._enter_first_term()

    def install_term(
        self, term: int, operation: str
    ) -> instances.ControlAnswer:
        """Install a term; an open write transaction is rolled back."""
        before = self._get_replication_state()
        answer = self.instance.install_term(term, operation)
        self._notify_changes(before)
        return answer

    def promote(self, term: int, operation: str) -> instances.ControlAnswer:
        """Become a term's primary after applying all received entries."""
        before = self._get_replication_state()
        answer = self.instance.promote(term, operation)
        if self.instance.is_primary:
            self.apply(self.instance.received)
        self._notify_changes(before)
        return answer

    def follow(
        self, term: int, primary: str, address: Address
    ) -> instances.ControlAnswer:
        """Replicate from a term's primary."""
        before = self._get_replication_state()
        answer = self.instance.follow(term, primary)
        if answer.is_accepted:
            self.primary_address = address
        self._notify_changes(before)
        return answer

    def apply(self, offset: int) -> None:
        """Apply received entries up to an offset."""
        self.storage.apply(self.instance.log[self.storage.applied : offset])
        self.instance.mark_applied(offset)

    def rebuild(self) -> None:
        """Rebuild the data after applied entries were dropped."""
        self.storage.rebuild(self.instance.log[: self.instance.applied])

    def report(self) -> instances.Report:
        """Return the position and age of data that a statement reads now."""
        return self.instance.report(time.monotonic())

    def get_status(self) -> Status:
        """Return the answer of the status command."""
        now = time.monotonic()
        instance = self.instance
        return Status(
            target=instance.id,
            group=self.settings.group,
            term=instance.term,
            operation=instance.operation,
            primary=instance.primary,
            is_primary=instance.is_primary,
            last_term=instance.last_term,
            received=instance.received,
            applied=instance.applied,
            age_ms=instance.age_ms(now),
            is_holding=instance.is_holding(now),
            connections=self.connections,
        )

    def _enter_first_term(self) -> None:
        settings = self.settings
        if settings.primary == settings.id:
            self.install_term(settings.term, "")
            self.promote(settings.term, "")
        elif settings.primary in settings.peers:
            address = settings.peers[settings.primary]
            self.follow(settings.term, settings.primary, address)

    def _get_replication_state(self) -> _ReplicationState:
        instance = self.instance
        return _ReplicationState(
            instance.term, instance.role, self.primary_address
        )

    def _notify_changes(self, before: _ReplicationState) -> None:
        now = self._get_replication_state()
        if now.term != before.term:
            self.barrier_nonce = 0
            self.write_lock.abort()
        if now != before:
            self.pull_changed.notify()
            self.barrier_changed.notify()
            self.term_changed.notify()
