"""Tests of the shutdown error of a planned stop with a libpq client.

The client must see the error as the answer to its next request, which hasn't
run. libpq discards an error that arrives together with an earlier answer.
"""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio
import psycopg
import testtools

from knapweedtally.callers import session as session_module
from knapweedtally.callers import stream as stream_module

HOST = "127.0.0.1"
TIMEOUT_S = 30.0


class Server:
    """A server of sessions whose requests need no target."""

    def __init__(self, is_closing: bool) -> None:
        self._is_closing = is_closing
        self.sessions: list[session_module.Session] = []
        self.port = 0

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        caller = stream_module.CallerStream(stream)
        executor: Any = None
        async with stream:
            startup: Any = await caller.receive_startup_message()
            session = session_module.Session(
                1, b"abcd", caller, executor, (), "host-1"
            )
            self.sessions.append(session)
            if self._is_closing:
                session.close_when_idle()
            await session.serve(startup)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Server"]:
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            tasks.start_soon(listener.serve, self.serve_connection)
            with anyio.fail_after(TIMEOUT_S):
                yield self
            tasks.cancel_scope.cancel()

    async def connect(self) -> psycopg.AsyncConnection[Any]:
        return await psycopg.AsyncConnection.connect(
            host=HOST,
            port=self.port,
            user="clerk",
            dbname="fog-1",
            autocommit=True,
        )


async def request_in_new_session() -> str | None:
    """Send a request on a connection that was opened during the stop."""
    async with Server(is_closing=True).run() as server:
        connection = await server.connect()
        return await send_request(connection)


async def request_after_answer() -> str | None:
    """Send a request after a stop that began right after an answer."""
    async with Server(is_closing=False).run() as server:
        connection = await server.connect()
        await connection.execute("SET knapweedtally.max_age_ms = '1'")
        server.sessions[0].close_when_idle()
        # Give the server time to send what it sends without a delay.
        await anyio.sleep(0.01)
        return await send_request(connection)


async def send_request(connection: psycopg.AsyncConnection[Any]) -> str | None:
    """Send a request and return the SQLSTATE of its answer."""
    try:
        await connection.execute("SET knapweedtally.max_age_ms = '2'")
    except psycopg.Error as error:
        return error.sqlstate
    return "no error"


class ShutdownErrorTest(testtools.TestCase):
    def test_request_in_new_session_gets_shutdown_error(self):
        self.assertEqual("57P01", anyio.run(request_in_new_session))

    def test_request_after_answer_gets_shutdown_error(self):
        self.assertEqual("57P01", anyio.run(request_after_answer))
