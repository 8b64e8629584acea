"""Tests of how much a host receives from its callers in advance."""

import collections
from typing import Any
from unittest import mock

import testtools

from knapweedtally.entry.common import message_queue
from tests.entry import harness

CHUNK_BYTES = 256 * 1024
MESSAGE_BYTES = 1_000_000


class Peer:
    """A caller that sends messages without waiting for their answers."""

    def __init__(
        self, large: message_queue.LargeMessages, sizes: list[int]
    ) -> None:
        self.queue = message_queue.MessageQueue(0.0, large)
        self.transport: Any = mock.Mock()
        self.transport.is_closing.return_value = False
        self.transport.pause_reading.side_effect = lambda: self._set(False)
        self.transport.resume_reading.side_effect = lambda: self._set(True)
        self.is_read = True
        self.queue.attach(self.transport)
        self.unsent = b"".join(
            b"%d" % number + b"x" * size + b"\r\n"
            for number, size in enumerate(sizes)
        )
        self.served: list[int] = []
        self.is_served = False
        self.held_bytes = 0

    def _set(self, is_read: bool) -> None:
        self.is_read = is_read

    def send(self) -> None:
        if self.is_read and self.unsent:
            data, self.unsent = (
                self.unsent[:CHUNK_BYTES],
                self.unsent[CHUNK_BYTES:],
            )
            self.held_bytes += len(data)
            self.queue.receive(data, 0.0, True)

    def serve(self) -> None:
        """End the message that is served, and begin with the next."""
        self.queue.finish()
        if self.queue:
            data, _ = self.queue.take()
            self.served.append(int(data.strip(b"x")))
            self.held_bytes -= len(data) + 2


class QueueTest(testtools.TestCase):
    def play(self, sizes: list[int], peers: int = 40) -> int:
        """Let peers send all they may; return the most that was held."""
        large = message_queue.LargeMessages()
        flood = [Peer(large, sizes) for _ in range(peers)]
        most = 0
        turns = collections.deque(flood)
        while any(len(peer.served) < len(sizes) for peer in flood):
            for peer in flood:
                for _ in range(8):
                    peer.send()
            most = max(most, sum(peer.held_bytes for peer in flood))
            for _ in range(peers // 2):
                turns[0].serve()
                turns.rotate(-1)
            for peer in flood:
                self.assertEqual(sorted(peer.served), peer.served)
        return most

    def test_large_messages_of_all_callers_are_bounded(self) -> None:
        # Twelve callers that sent writes of a megabyte each without waiting
        # made a host exceed its memory within two seconds.
        most = self.play([MESSAGE_BYTES] * 3)
        bound = message_queue.MAX_LARGE_MESSAGES * 2 * MESSAGE_BYTES
        self.assertLess(most, bound + 40 * 2 * CHUNK_BYTES)

    def test_small_messages_beside_large_ones_are_served(self) -> None:
        self.play([10, MESSAGE_BYTES, 100, 100_000, 10], peers=20)

    def test_waiting_for_room_is_not_held_against_the_caller(self) -> None:
        large = message_queue.LargeMessages(limit=1)
        first, second = (Peer(large, [MESSAGE_BYTES]) for _ in range(2))
        first.send()
        second.send()
        self.assertFalse(second.is_read)
        late_s = 2 * message_queue.MESSAGE_TIMEOUT_S
        self.assertFalse(second.queue.is_overdue(late_s))
        self.assertTrue(first.queue.is_overdue(late_s))
        # The first caller leaves.
        first.queue.clear()
        self.assertTrue(second.is_read)
        self.assertFalse(second.queue.is_overdue(late_s + 1.0))


class SessionTest(testtools.TestCase):
    @harness.with_system()
    async def test_caller_that_reads_no_answers_is_served_no_further(
        self, system: harness.System
    ) -> None:
        # Each answer that isn't read takes memory.
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        data = "x" * 50_000
        await caller.run(f"WRITE item {data}")
        for number in range(400):
            await caller.send_raw(f"QUERY r{number} READ item\r\n".encode())
        (session,) = system.entry_hosts[0].host.sessions
        await harness.wait_for(lambda: session._is_write_paused)
        self.assertTrue(session._messages)
        for _ in range(400):
            self.assertEqual(f"ROW {data}", (await caller.receive())[0])
