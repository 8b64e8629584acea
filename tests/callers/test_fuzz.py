"""Fuzz tests of the adapter for callers.

Malformed bytes on one connection must not stop the adapter from serving others.
"""

import contextlib
from typing import Any
from unittest import mock

import anyio
import anyio.abc
import hypothesis
import testtools
from hypothesis import strategies as st
from pygwire import messages

from knapweedtally.callers import adapter as callers_adapter
from knapweedtally.core.sessions import token
from knapweedtally.targets import adapter as targets_adapter
from standins import ports
from tests import factories

HOST = "127.0.0.1"
KEYS = (token.SigningKey("k1", b"1" * 32),)
STARTUP = messages.StartupMessage(params={"user": "a", "database": "none"})
TIMEOUT_S = 20.0
# Time for the adapter to read the bytes. No reducer runs in this test, so a
# request among the bytes is never answered.
SETTLE_S = 0.02

# Frames of known message types with arbitrary lengths and contents.
FRAMES = st.builds(
    lambda kind, length, body: kind + length.to_bytes(4, "big") + body,
    st.sampled_from([bytes([letter]) for letter in b"QPBDESCHXdcfpF\0"]),
    st.integers(0, 2**32 - 1) | st.integers(0, 40),
    st.binary(max_size=40),
)
INPUTS = st.lists(st.binary(max_size=60) | FRAMES, max_size=4)


class FuzzTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(st.booleans(), INPUTS)
    def test_the_adapter_goes_on(self, is_started: bool, parts: Any) -> None:
        data = STARTUP.to_wire() if is_started else b""
        anyio.run(self.attack, data + b"".join(parts))

    async def attack(self, data: bytes) -> None:
        """Send bytes and check that another caller can still connect."""
        state = factories.make_state()
        events: list[Any] = []
        port = ports.find_free_port(HOST)
        targets = targets_adapter.TargetsAdapter(events.append, state, None)
        adapter = callers_adapter.CallersAdapter(
            events.append, state, targets, (HOST, port), KEYS, mock.Mock()
        )
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                await tasks.start(adapter.serve)
                async with await anyio.connect_tcp(
                    HOST, port
                ) as malformed_caller:
                    await malformed_caller.send(data + b"\0")
                    async with await anyio.connect_tcp(HOST, port) as caller:
                        await caller.send(STARTUP.to_wire())
                        answer = await caller.receive()
                        self.assertEqual(b"R", answer[:1])
                    with contextlib.suppress(
                        anyio.BrokenResourceError, OSError
                    ):
                        await malformed_caller.send_eof()
                    with (
                        anyio.move_on_after(SETTLE_S),
                        contextlib.suppress(
                            anyio.EndOfStream, anyio.BrokenResourceError
                        ),
                    ):
                        while True:
                            await malformed_caller.receive()
                tasks.cancel_scope.cancel()
