"""Replica side of replication: pulls from the primary and applies entries."""

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

# Delay after a failed connection or a rejected pull.
RETRY_DELAY_S = 0.02
# A pull without an answer after this time closes its connection.
PULL_TIMEOUT_S = 2.0
MS_PER_SECOND = 1000.0

_logger = structlog.get_logger()


class PullError(Exception):
    """The primary answered with an error."""


class _PendingApply(NamedTuple):
    apply_at: float
    offset: int


class PullConnection:
    """Connection to a primary that answers pulls."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._wire = pygwire.FrontendConnection()

    async def start(self, target: targets.Target) -> None:
        """Send the startup message and wait until the primary is ready.

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
        await self._exchange(startup)

    async def pull(self, request: logs.PullRequest) -> logs.PullAnswer:
        """Send a pull and return its answer.

        Raises:
            PullError: the answer is an error.
        """
        text = commands.encode_pull(request)
        row = await self._exchange(messages.Query(f"SELECT kt_pull('{text}')"))
        return commands.decode_pull_answer(row)

    async def _exchange(self, message: pygwire.messages.PGMessage) -> str:
        """Send a message and return the first column of the last row."""
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
    """Pulls and applies entries while the instance is a replica."""

    def __init__(self, target: targets.Target) -> None:
        """Create a replicator for one instance."""
        self._target = target
        self._pending_applies: deque[_PendingApply] = deque()
        self._pending_added = anyio.Event()
        self._pull_scope = anyio.CancelScope()

    async def run(self) -> None:
        """Replicate until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._apply_pending)
            tasks.start_soon(self._cancel_pull_on_term_change)
            while True:
                with anyio.CancelScope() as self._pull_scope:
                    await self._replicate()

    async def _cancel_pull_on_term_change(self) -> None:
        """Cancel the pull on a term change; the old primary may not answer."""
        while True:
            await self._target.term_changed.wait()
            self._pull_scope.cancel()

    async def _replicate(self) -> None:
        """Pull from the current primary until a pull fails or it changes."""
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
                await self._pull_repeatedly(PullConnection(stream), address)
        except (OSError, TimeoutError, anyio.EndOfStream, PullError):
            await anyio.sleep(RETRY_DELAY_S)
        except (
            anyio.BrokenResourceError,
            pygwire.PygwireError,
            errors.LogMismatchError,
        ) as error:
            _logger.warning("replication: pull failed", error=str(error))
            await anyio.sleep(RETRY_DELAY_S)

    def _is_replica(self) -> bool:
        return self._target.instance.role is instances.Role.REPLICA

    async def _pull_repeatedly(
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
                await anyio.sleep(RETRY_DELAY_S)
            elif answer.entries:
                await target.faults.sleep_ms(target.faults.receive_lag_ms)
            self._receive(answer, sent_at)

    def _receive(self, answer: logs.PullAnswer, sent_at: float) -> None:
        target = self._target
        if target.instance.receive(answer, sent_at):
            target.rebuild()
        apply_lag_s = target.faults.apply_lag_ms / MS_PER_SECOND
        if target.instance.applied == target.instance.received:
            return
        if apply_lag_s <= 0 and not self._pending_applies:
            target.apply(target.instance.received)
            return
        apply_at = time.monotonic() + apply_lag_s
        self._pending_applies.append(
            _PendingApply(apply_at, target.instance.received)
        )
        self._pending_added.set()

    async def _apply_pending(self) -> None:
        while True:
            while self._pending_applies:
                pending = self._pending_applies[0]
                await anyio.sleep(max(0.0, pending.apply_at - time.monotonic()))
                self._pending_applies.popleft()
                self._target.apply(pending.offset)
            self._pending_added = anyio.Event()
            await self._pending_added.wait()
