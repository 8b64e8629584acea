"""Pool of connections to targets, each assigned to one lease."""

from collections.abc import Callable

import anyio

from knapweedtally.core import model
from knapweedtally.targets import connection as connection_module

TargetConnection = connection_module.TargetConnection


class Pool:
    """Pool of idle connections and connections assigned to leases.

    The core limits the number of leases; the pool has no limit of its own.
    """

    def __init__(self, source_host: str | None, user: str) -> None:
        self._source_host = source_host
        self._user = user
        self._idle: dict[str, list[TargetConnection]] = {}
        self._leased: dict[int, TargetConnection] = {}
        self._cancel_scopes: dict[int, anyio.CancelScope] = {}

    async def get_connection(
        self, lease: int, target: model.Target, database: str
    ) -> TargetConnection:
        """Return the connection of a lease.

        A lease without one is assigned an idle connection, or a new one.

        Raises:
            AttemptLostError: the target is unreachable or refused the
                connection.
        """
        leased = self._leased.get(lease)
        if leased is not None:
            return leased
        found = self._pop_idle(target)
        if found is None:
            found = await TargetConnection.connect(
                target, self._source_host, self._make_parameters(database)
            )
        self._leased[lease] = found
        return found

    def register_attempt(self, lease: int, scope: anyio.CancelScope) -> None:
        """Register the cancel scope of the attempt that runs on a lease."""
        self._cancel_scopes[lease] = scope

    def unregister_attempt(self, lease: int) -> None:
        """Remove the cancel scope of an attempt that ended."""
        self._cancel_scopes.pop(lease, None)

    def find_leased(self, lease: int) -> TargetConnection | None:
        """Return the connection assigned to a lease, or None."""
        return self._leased.get(lease)

    def release(
        self,
        lease: int,
        is_reusable: bool,
        close: Callable[[TargetConnection], None],
    ) -> None:
        """End a lease and cancel its attempt.

        Args:
            lease: the lease.
            is_reusable: whether the connection may be kept; False closes it,
                which rolls back whatever is open on it.
            close: closes a connection; called with the connection of the
                lease unless that becomes idle.
        """
        scope = self._cancel_scopes.pop(lease, None)
        if scope is not None:
            scope.cancel()
        connection = self._leased.pop(lease, None)
        if connection is None:
            return
        if is_reusable and connection.is_usable and scope is None:
            self._idle.setdefault(connection.target.id, []).append(connection)
            return
        close(connection)

    async def discard_connection(self, lease: int) -> None:
        """Close a connection that was opened after its lease had ended."""
        connection = self._leased.pop(lease, None)
        if connection is not None:
            await connection.close()

    async def close_all(self) -> None:
        """Close every connection."""
        idle = [c for group in self._idle.values() for c in group]
        for connection in [*idle, *self._leased.values()]:
            await connection.close()
        self._idle.clear()
        self._leased.clear()

    def _pop_idle(self, target: model.Target) -> TargetConnection | None:
        idle = self._idle.get(target.id, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.target == target:
                return connection
        return None

    def _make_parameters(self, database: str) -> dict[str, str]:
        return {
            "user": self._user,
            "database": database,
            "application_name": "knapweedtally",
        }
