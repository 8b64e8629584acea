"""Tests of how a caller's connection ends at a planned stop."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import testtools
from pygwire import messages

from knapweedtally.callers import execution
from knapweedtally.callers import session

STARTUP = messages.StartupMessage(params={"user": "ana", "database": "fog"})
GOODBYE = b"57P01"
ROW = b"D\0\0\0\x06\0\0"


class FakeStream:
    """Hand over queued messages and keep what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.inbox, self._messages = anyio.create_memory_object_stream[Any](8)

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
    """Answer a request once `released` is set."""

    def __init__(self) -> None:
        self.begun = anyio.Event()
        self.released = anyio.Event()

    async def execute(
        self, request: execution.ExecutionRequest
    ) -> execution.ExecutionResult:
        self.begun.set()
        await self.released.wait()
        return execution.ExecutionResult([ROW], "I", None, "d-1")


class PlannedStopTest(testtools.TestCase):
    def run_session(
        self,
        act: Callable[
            [session.Session, FakeStream, FakeExecutor], Awaitable[None]
        ],
    ) -> list[bytes]:
        stream = FakeStream()

        async def run() -> None:
            executor = FakeExecutor()
            made: Any = session.Session(
                1, b"0000", stream, executor, (), "norte-1"
            )
            with anyio.fail_after(30):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(made.serve, STARTUP)
                    await anyio.wait_all_tasks_blocked()
                    await act(made, stream, executor)

        anyio.run(run)
        return stream.sent

    def test_an_idle_connection_ends_with_a_goodbye(self) -> None:
        async def act(made: Any, stream: Any, executor: Any) -> None:
            made.close_when_idle()

        sent = self.run_session(act)
        self.assertIn(GOODBYE, sent[-1])

    def test_a_request_under_way_is_answered_first(self) -> None:
        async def act(made: Any, stream: Any, executor: Any) -> None:
            await stream.inbox.send(messages.Query(query_string="SELECT 1"))
            await executor.begun.wait()
            made.close_when_idle()
            await anyio.wait_all_tasks_blocked()
            executor.released.set()

        sent = self.run_session(act)
        self.assertIn(ROW, sent[-2])
        self.assertIn(GOODBYE, sent[-1])

    def test_a_connection_between_requests_ends(self) -> None:
        async def act(made: Any, stream: Any, executor: Any) -> None:
            executor.released.set()
            await stream.inbox.send(messages.Query(query_string="SELECT 1"))
            await anyio.wait_all_tasks_blocked()
            made.close_when_idle()

        sent = self.run_session(act)
        self.assertIn(ROW, sent[-2])
        self.assertIn(GOODBYE, sent[-1])
