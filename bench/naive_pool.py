"""Connections of the naive proxy to its targets."""

import anyio

from knapweedtally.core import exceptions
from knapweedtally.core import model
from knapweedtally.core.admission import shares
from knapweedtally.targets import connection as connection_module

WAIT_LIMIT_S = 5.0
USER = "naive"


class Pool:
    """Keep as many connections to each target as a host's share allows."""

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
        self._free = {target: anyio.Semaphore(share) for target in targets}

    async def take(self, target: str) -> connection_module.TargetConnection:
        """Return a connection of one's own.

        Raises:
            AttemptLostError: there is none in time; nothing was sent.
        """
        try:
            with anyio.fail_after(WAIT_LIMIT_S):
                await self._free[target].acquire()
        except TimeoutError as error:
            raise exceptions.AttemptLostError(
                f"no free connection to {target}", was_sent=False
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
                {"user": USER, "database": target.rpartition("-")[0]},
            )
        except BaseException:
            self._free[target].release()
            raise

    def give_back(self, connection: connection_module.TargetConnection) -> None:
        """Return a connection; one that can't be used is dropped."""
        target = connection.target.id
        self._free[target].release()
        if connection.is_usable:
            self._idle.setdefault(target, []).append(connection)


def make_targets(text: str) -> dict[str, model.Target]:
    """Read ``ID=HOST:PORT`` pairs, separated by commas."""
    targets = {}
    for item in text.split(","):
        name, _, address = item.partition("=")
        host, _, port = address.rpartition(":")
        targets[name] = model.Target(name, host, int(port), "")
    return targets


def group_targets(
    targets: dict[str, model.Target],
) -> dict[str, dict[str, model.Target]]:
    """Return the targets of each group; an id is the group's and a letter."""
    groups: dict[str, dict[str, model.Target]] = {}
    for target_id, target in targets.items():
        groups.setdefault(target_id.rpartition("-")[0], {})[target_id] = target
    return groups
