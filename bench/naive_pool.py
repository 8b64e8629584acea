"""Connection pool of the naive proxy."""

import anyio

from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.core.admission import shares
from knapweedtally.targets import connection as connection_module

ACQUIRE_TIMEOUT_S = 5.0
TARGET_USER = "naive"


class Pool:
    """Pool that limits the connections to each target to this host's share."""

    def __init__(
        self,
        targets: dict[str, model.Target],
        source_host: str,
        connection_limit: int,
        hosts: int,
    ) -> None:
        share = shares.compute_share(connection_limit, hosts)
        self._targets = targets
        self._source_host = source_host
        self._idle: dict[str, list[connection_module.TargetConnection]] = {}
        self._permits = {target: anyio.Semaphore(share) for target in targets}

    async def acquire_connection(
        self, target: str
    ) -> connection_module.TargetConnection:
        """Return a connection that no other session uses.

        Raises:
            AttemptLostError: no connection became available in time; no
                statement was sent.
        """
        try:
            with anyio.fail_after(ACQUIRE_TIMEOUT_S):
                await self._permits[target].acquire()
        except TimeoutError as error:
            raise exceptions.AttemptLostError(
                f"no connection to {target} became free in time", was_sent=False
            ) from error
        idle = self._idle.get(target, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
        try:
            return await connection_module.TargetConnection.connect(
                self._targets[target],
                self._source_host,
                {"user": TARGET_USER, "database": target.rpartition("-")[0]},
            )
        except BaseException:
            self._permits[target].release()
            raise

    def release_connection(
        self, connection: connection_module.TargetConnection
    ) -> None:
        """Return a connection to the pool, or discard it if it isn't usable."""
        target = connection.target.id
        self._permits[target].release()
        if connection.is_usable:
            self._idle.setdefault(target, []).append(connection)


def make_targets(text: str) -> dict[str, model.Target]:
    """Parse ``ID=HOST:PORT`` pairs, separated by commas."""
    targets = {}
    for item in text.split(","):
        name, _, address = item.partition("=")
        host, _, port = address.rpartition(":")
        targets[name] = model.Target(name, host, int(port), "")
    return targets


def group_targets(
    targets: dict[str, model.Target],
) -> dict[str, dict[str, model.Target]]:
    """Return the targets by group.

    The id of a target is the name of its group, a hyphen and a letter.
    """
    groups: dict[str, dict[str, model.Target]] = {}
    for target_id, target in targets.items():
        groups.setdefault(target_id.rpartition("-")[0], {})[target_id] = target
    return groups
