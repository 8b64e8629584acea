"""Tests of the end of a caller's connection in a planned stop."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio
import psycopg
import testtools

from knapweedtally.callers import session as session_module
from knapweedtally.callers import stream as stream_module

HOST = "127.0.0.1"
LIMIT_S = 30.0


class Server:
    """Serve sessions that need no target."""

    def __init__(self, is_ending: bool) -> None:
        self._is_ending = is_ending
        self.sessions: list[session_module.Session] = []
        self.port = 0

    async def serve_one(self, stream: anyio.abc.SocketStream) -> None:
        caller = stream_module.CallerStream(stream)
        executor: Any = None
        async with stream:
            startup: Any = await caller.receive_startup()
            session = session_module.Session(
                1, b"abcd", caller, executor, (), "host-1"
            )
            self.sessions.append(session)
            if self._is_ending:
                session.close_when_idle()
            await session.serve(startup)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["Server"]:
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            tasks.start_soon(listener.serve, self.serve_one)
            with anyio.fail_after(LIMIT_S):
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


async def ask_new_session() -> str | None:
    """Send a request on a connection that begins during the stop."""
    async with Server(is_ending=True).run() as server:
        connection = await server.connect()
        return await ask(connection)


async def ask_behind_an_answer() -> str | None:
    """Send a request when the stop begins right after an answer."""
    async with Server(is_ending=False).run() as server:
        connection = await server.connect()
        await connection.execute("SET knapweedtally.max_age_ms = '1'")
        server.sessions[0].close_when_idle()
        # Let the server say what it says at once.
        await anyio.sleep(0.01)
        return await ask(connection)


async def ask(connection: psycopg.AsyncConnection[Any]) -> str | None:
    """Return the SQLSTATE that a request is answered with."""
    try:
        await connection.execute("SET knapweedtally.max_age_ms = '2'")
    except psycopg.Error as error:
        return error.sqlstate
    return "no error"


class GoodbyeTest(testtools.TestCase):
    def test_request_of_a_new_session_is_refused_as_not_run(self):
        self.assertEqual("57P01", anyio.run(ask_new_session))

    def test_request_behind_an_answer_is_refused_as_not_run(self):
        self.assertEqual("57P01", anyio.run(ask_behind_an_answer))
