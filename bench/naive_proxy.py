"""Naive proxy, as a baseline: ``python -m bench.naive_proxy --help``.

For one second after the last write of a session, its reads go to the primary;
all other reads go to a replica. A write is acknowledged as soon as the primary
has answered, without waiting for a replica. A lease on the platform names the
primary; hosts check it every second and refuse writes if the last check is
more than three seconds old.

For a fair comparison, the time of the last write is returned to the caller as
a token, so that the rule also holds for sessions that move between hosts.
"""

import argparse
import time

import anyio
import anyio.abc
from pygwire import messages

from bench import naive_lease
from bench import naive_pool
from knapweedtally.callers import answers
from knapweedtally.callers import sql
from knapweedtally.callers import stream as stream_module
from knapweedtally.core import exceptions
from knapweedtally.store import client as platform_client
from knapweedtally.targets import connection as connection_module
from knapweedtally.targets import wire

PRIMARY_READ_WINDOW_S = 1.0
TOKEN_PARAMETER = "knapweedtally.token"
CANCEL_KEY = bytes(4)

Kind = sql.StatementKind
_BEGIN_KINDS = (Kind.BEGIN, Kind.BEGIN_READ_ONLY)
_END_KINDS = (Kind.COMMIT, Kind.ROLLBACK)


class RefusedError(Exception):
    """A statement was refused and not run."""


class Session:
    """Connection of one caller; supports simple queries only."""

    def __init__(
        self,
        stream: stream_module.CallerStream,
        leases: dict[str, naive_lease.Lease],
        pool: naive_pool.Pool,
        address_prefix: str,
    ) -> None:
        self._stream = stream
        self._leases = leases
        self._pool = pool
        self._address_prefix = address_prefix
        self._lease: naive_lease.Lease | None = None
        self._written_at = 0.0
        self._transaction_connection: (
            connection_module.TargetConnection | None
        ) = None
        self._replica_choice_count = 0

    async def serve(self, startup: messages.StartupMessage) -> None:
        """Answer statements until the caller disconnects."""
        self._lease = self._leases.get(startup.params.get("database", ""))
        await self._stream.send(
            answers.encode_startup_response(1, CANCEL_KEY, "naive")
        )
        try:
            while True:
                message = await self._stream.receive_message()
                if not isinstance(message, messages.Query):
                    return
                answer = await self._answer_statement(message.query_string)
                await self._stream.send(answer)
        finally:
            if self._transaction_connection is not None:
                await self._transaction_connection.close()
                self._pool.release_connection(self._transaction_connection)

    async def _answer_statement(self, text: str) -> bytes:
        statement = sql.classify_statement(text)
        if statement.kind is Kind.SET:
            if statement.name == TOKEN_PARAMETER:
                is_known = statement.value != "new"
                self._written_at = float(statement.value) if is_known else 0.0
            return answers.encode_complete("SET") + answers.encode_ready("I")
        try:
            return await self._run_statement(text, statement.kind)
        except RefusedError as error:
            error_answer = answers.encode_error(
                "57P03", str(error), hint="retry after 500 ms"
            )
        except exceptions.AttemptLostError as error:
            error_answer = answers.encode_error("08006", str(error))
        return error_answer + answers.encode_ready("I")

    async def _run_statement(self, text: str, kind: Kind) -> bytes:
        connection = self._transaction_connection
        if connection is None:
            connection = await self._acquire_connection(kind)
        is_in_transaction = False
        try:
            (section,) = await connection.exchange(wire.encode_query(text), 1)
            is_in_transaction = section.status != "I"
        finally:
            self._transaction_connection = (
                connection if is_in_transaction else None
            )
            if not is_in_transaction:
                self._pool.release_connection(connection)
        return self._encode_answer(section, kind)

    async def _acquire_connection(
        self, kind: Kind
    ) -> connection_module.TargetConnection:
        """Return a connection for a statement.

        A read falls back to the primary if there is no connection to the
        replica.
        """
        target = self._choose_target(kind)
        try:
            return await self._pool.acquire_connection(target)
        except exceptions.AttemptLostError:
            if kind is not Kind.READ or self._lease is None:
                raise
            return await self._pool.acquire_connection(self._lease.primary)

    def _encode_answer(self, section: wire.Section, kind: Kind) -> bytes:
        answer = b"".join(section.frames)
        if section.report:
            answer += answers.encode_parameter("kt.report", section.report)
        is_write = kind not in (Kind.READ, Kind.ROLLBACK, *_BEGIN_KINDS)
        if is_write and not section.sqlstate:
            self._written_at = time.time()
            token = f"{self._written_at:.6f}"
            answer += answers.encode_parameter(TOKEN_PARAMETER, token)
        return answer + answers.encode_ready(section.status)

    def _choose_target(self, kind: Kind) -> str:
        lease = self._lease
        if lease is None:
            raise RefusedError("no group has the name of this database")
        if (
            kind is Kind.READ
            and time.time() - self._written_at > PRIMARY_READ_WINDOW_S
        ):
            return self._choose_replica(lease)
        if kind is not Kind.READ and not lease.is_valid():
            raise RefusedError("the last check of the lease is too old")
        return lease.primary

    def _choose_replica(self, lease: naive_lease.Lease) -> str:
        replicas = [t for t in lease.targets if t != lease.primary]
        local_replicas = [
            t
            for t in replicas
            if lease.targets[t].host.startswith(self._address_prefix)
        ]
        self._replica_choice_count += 1
        candidates = local_replicas or replicas
        return candidates[self._replica_choice_count % len(candidates)]


class NaiveProxy:
    """Listener of one entry host, with its leases and its connection pool."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._address = arguments.listen
        host = self._address[0]
        self._address_prefix = host.rpartition(".")[0] + "."
        targets = naive_pool.make_targets(arguments.targets)
        self._pool = naive_pool.Pool(
            targets, host, arguments.connection_limit, arguments.hosts
        )
        platform = platform_client.PlatformClient(arguments.platform, host)
        self._leases = {
            group: naive_lease.Lease(
                group, arguments.name, members, platform, self._pool
            )
            for group, members in naive_pool.group_targets(targets).items()
        }

    async def serve(self) -> None:
        """Check the leases and serve callers until cancelled."""
        host, port = self._address
        async with anyio.create_task_group() as tasks:
            for lease in self._leases.values():
                tasks.start_soon(lease.serve)
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=port
            )
            async with listener:
                await listener.serve(self._serve_connection, tasks)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        caller = stream_module.CallerStream(stream)
        async with stream:
            try:
                startup = await caller.receive_startup_message()
                if isinstance(startup, messages.StartupMessage):
                    session = Session(
                        caller, self._leases, self._pool, self._address_prefix
                    )
                    await session.serve(startup)
            except (
                exceptions.ProtocolError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                OSError,
            ):
                return


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="bench.naive_proxy")
    parser.add_argument("--name", required=True)
    parser.add_argument("--listen", type=parse_address, required=True)
    parser.add_argument("--platform", type=parse_address, required=True)
    parser.add_argument("--targets", required=True, help="ID=HOST:PORT,...")
    parser.add_argument("--hosts", type=int, default=1)
    parser.add_argument("--connection-limit", type=int, default=15)
    return parser.parse_args()


if __name__ == "__main__":
    anyio.run(
        NaiveProxy(parse_arguments()).serve,
        backend_options={"use_uvloop": True},
    )
