"""Replica side of the replication: pulling from the primary, and applying."""

import time
from collections import deque
from typing import NamedTuple

import anyio
import anyio.abc
import pygwire
import structlog
from pygwire import messages

from standins.target import commands
from standins.target import errors
from standins.target import instance as instances
from standins.target import log as logs
from standins.target import session as sessions
from standins.target import target as targets

# Pause after a failed connection or a refused pull.
RETRY_S = 0.02
# A pull that is not answered in this time ends its connection.
PULL_TIMEOUT_S = 2.0
MS_PER_SECOND = 1000.0

_logger = structlog.get_logger()


class PullError(Exception):
    """The primary's answer is an error or not readable."""


class _Due(NamedTuple):
    at: float
    offset: int


class PullConnection:
    """Hold a connection to a primary that answers pulls."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        """Make a connection on a connected stream."""
        self._stream = stream
        self._wire = pygwire.FrontendConnection()

    async def start(self, target: targets.Target) -> None:
        """Go through the startup.

        Raises:
            PullError: the primary refused the connection.
        """
        startup = messages.StartupMessage(
            params={
                "user": target.settings.id,
                "database": target.settings.group,
                "application_name": sessions.REPLICA_APPLICATION,
            }
        )
        await self._run(startup)

    async def pull(self, request: logs.PullRequest) -> logs.PullAnswer:
        """Send a pull and return its answer.

        Raises:
            PullError: the answer is an error.
        """
        text = commands.encode_pull(request)
        row = await self._run(messages.Query(f"SELECT kt_pull('{text}')"))
        return commands.decode_pull_answer(row)

    async def _run(self, message: pygwire.messages.PGMessage) -> str:
        """Send a message and return the first column of the row answered."""
        await self._stream.send(self._wire.send(message))
        row = ""
        while True:
            data = await self._stream.receive(sessions.RECEIVE_BYTES)
            for answer in self._wire.receive(data):
                if isinstance(answer, messages.ErrorResponse):
                    raise PullError(answer.message)
                if isinstance(answer, messages.DataRow):
                    row = (answer.columns[0] or b"").decode()
                if isinstance(answer, messages.ReadyForQuery):
                    return row


class Replicator:
    """Pull entries while the instance is a replica, and apply them."""

    def __init__(self, target: targets.Target) -> None:
        """Make a replicator for one instance."""
        self._target = target
        self._due: deque[_Due] = deque()
        self._is_due = anyio.Event()
        self._pulling = anyio.CancelScope()

    async def run(self) -> None:
        """Replicate until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._apply_when_due)
            tasks.start_soon(self._end_pull_of_old_term)
            while True:
                with anyio.CancelScope() as self._pulling:
                    await self._replicate()

    async def _end_pull_of_old_term(self) -> None:
        """Leave a primary that may never answer once there is another."""
        while True:
            await self._target.term_changed.wait()
            self._pulling.cancel()

    async def _replicate(self) -> None:
        """Pull from the present primary until that fails or changes."""
        target = self._target
        address = target.primary_address
        if address is None or not self._is_replica():
            await target.term_changed.wait()
            return
        try:
            await target.faults.wait_until_reachable(address.host)
            with anyio.fail_after(PULL_TIMEOUT_S):
                stream = await anyio.connect_tcp(
                    address.host,
                    address.port,
                    local_host=target.settings.address.host,
                )
            async with stream:
                await self._pull_from(PullConnection(stream), address)
        except (OSError, TimeoutError, anyio.EndOfStream, PullError):
            await anyio.sleep(RETRY_S)
        except (
            anyio.BrokenResourceError,
            pygwire.PygwireError,
            errors.LogMismatchError,
        ) as error:
            _logger.warning("replication: pull failed", error=str(error))
            await anyio.sleep(RETRY_S)

    def _is_replica(self) -> bool:
        return self._target.instance.role is instances.Role.REPLICA

    async def _pull_from(
        self, connection: PullConnection, address: targets.Address
    ) -> None:
        target = self._target
        with anyio.fail_after(PULL_TIMEOUT_S):
            await connection.start(target)
        while self._is_replica() and target.primary_address == address:
            await target.faults.wait_until_reachable(address.host)
            sent_at = time.monotonic()
            with anyio.fail_after(PULL_TIMEOUT_S):
                answer = await connection.pull(target.instance.make_pull())
            await target.faults.wait_until_reachable(address.host)
            if not answer.is_accepted:
                await anyio.sleep(RETRY_S)
            elif answer.entries:
                await target.faults.sleep_ms(target.faults.receive_lag_ms)
            self._receive(answer, sent_at)

    def _receive(self, answer: logs.PullAnswer, sent_at: float) -> None:
        target = self._target
        if target.instance.receive(answer, sent_at):
            target.rebuild()
        lag_s = target.faults.apply_lag_ms / MS_PER_SECOND
        if target.instance.applied == target.instance.received:
            return
        if lag_s <= 0 and not self._due:
            target.apply(target.instance.received)
            return
        due_at = time.monotonic() + lag_s
        self._due.append(_Due(due_at, target.instance.received))
        self._is_due.set()

    async def _apply_when_due(self) -> None:
        while True:
            while self._due:
                due = self._due[0]
                await anyio.sleep(max(0.0, due.at - time.monotonic()))
                self._due.popleft()
                self._target.apply(due.offset)
            self._is_due = anyio.Event()
            await self._is_due.wait()
