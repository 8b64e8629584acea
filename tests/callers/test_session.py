"""Tests of the end of a caller's connection at a planned stop."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import testtools
from pygwire import messages

from knapweedtally.callers import execution
from knapweedtally.callers import session

STARTUP = messages.StartupMessage(params={"user": "ana", "database": "fog"})
SHUTDOWN_ERROR = b"57P01"
ROW = b"D\0\0\0\x06\0\0"


class FakeStream:
    """A stream that returns queued messages and records what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.incoming, self._messages = anyio.create_memory_object_stream[Any](
            8
        )

    async def receive_message(self) -> Any:
        try:
            return await self._messages.receive()
        except anyio.EndOfStream:
            return None

    async def send(self, data: bytes) -> None:
        self.sent.append(data)

    async def half_close(self) -> None:
        """Return at once, as if the caller had closed its side."""


class FakeExecutor:
    """An executor that answers a request once ``released`` is set."""

    def __init__(self) -> None:
        self.started = anyio.Event()
        self.released = anyio.Event()
        self.status = "I"

    async def execute(
        self, request: execution.ExecutionRequest
    ) -> execution.ExecutionResult:
        self.started.set()
        await self.released.wait()
        return execution.ExecutionResult([ROW], self.status, None, "d-1")


class PlannedStopTest(testtools.TestCase):
    def run_session(
        self,
        interact: Callable[
            [session.Session, FakeStream, FakeExecutor], Awaitable[None]
        ],
    ) -> list[bytes]:
        stream = FakeStream()

        async def run() -> None:
            executor = FakeExecutor()
            session_under_test: Any = session.Session(
                1, b"0000", stream, executor, (), "norte-1"
            )
            with anyio.fail_after(30):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(session_under_test.serve, STARTUP)
                    await anyio.wait_all_tasks_blocked()
                    await interact(session_under_test, stream, executor)

        anyio.run(run)
        return stream.sent

    def test_idle_connection_ends_with_shutdown_error(self) -> None:
        async def interact(
            session_under_test: Any, stream: Any, executor: Any
        ) -> None:
            session_under_test.close_when_idle()

        sent = self.run_session(interact)
        self.assertIn(SHUTDOWN_ERROR, sent[-1])

    def test_request_in_flight_is_answered_first(self) -> None:
        async def interact(
            session_under_test: Any, stream: Any, executor: Any
        ) -> None:
            await stream.incoming.send(messages.Query(query_string="SELECT 1"))
            await executor.started.wait()
            session_under_test.close_when_idle()
            await anyio.wait_all_tasks_blocked()
            executor.released.set()

        sent = self.run_session(interact)
        self.assertIn(ROW, sent[-2])
        self.assertIn(SHUTDOWN_ERROR, sent[-1])

    def test_connection_between_requests_ends_with_shutdown_error(self) -> None:
        async def interact(
            session_under_test: Any, stream: Any, executor: Any
        ) -> None:
            executor.released.set()
            await stream.incoming.send(messages.Query(query_string="SELECT 1"))
            await anyio.wait_all_tasks_blocked()
            session_under_test.close_when_idle()

        sent = self.run_session(interact)
        self.assertIn(ROW, sent[-2])
        self.assertIn(SHUTDOWN_ERROR, sent[-1])

    # Guards against a transaction that the process's end cuts off without an
    # answer.
    def test_open_transaction_ends_with_shutdown_error_in_time(self) -> None:
        async def interact(
            session_under_test: Any, stream: Any, executor: Any
        ) -> None:
            executor.status = "T"
            await stream.incoming.send(messages.Query(query_string="BEGIN"))
            await executor.started.wait()
            session_under_test.close_between_requests()
            await anyio.wait_all_tasks_blocked()
            executor.released.set()

        sent = self.run_session(interact)
        self.assertIn(ROW, sent[-2])
        self.assertIn(SHUTDOWN_ERROR, sent[-1])

    def test_paused_transaction_ends_with_shutdown_error(self) -> None:
        async def interact(
            session_under_test: Any, stream: Any, executor: Any
        ) -> None:
            executor.status = "T"
            executor.released.set()
            await stream.incoming.send(messages.Query(query_string="BEGIN"))
            await anyio.wait_all_tasks_blocked()
            session_under_test.close_when_idle()
            await anyio.wait_all_tasks_blocked()
            self.assertNotIn(SHUTDOWN_ERROR, b"".join(stream.sent))
            session_under_test.close_between_requests()

        sent = self.run_session(interact)
        self.assertIn(SHUTDOWN_ERROR, sent[-1])
