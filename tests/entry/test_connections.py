"""Tests of one connection to a target."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.entry import connections
from knapweedtally.platform import lines


class FakeOwner:
    """Count what a connection tells."""

    def __init__(self) -> None:
        self.answers = 0
        self.opened = 0

    def handle_opened(self, connection: connections.Connection) -> None:
        self.opened += 1

    def handle_idle(self, connection: connections.Connection) -> None:
        """Ignore it."""

    def handle_answer(self) -> None:
        self.answers += 1

    def handle_closed(self, connection: connections.Connection) -> None:
        """Ignore it."""


class AnswerTest(testtools.TestCase):
    """Which messages show that the target answers."""

    def play(self, relay_host: str, *messages: bytes) -> FakeOwner:
        async def run() -> FakeOwner:
            owner = FakeOwner()
            connection = connections.Connection(owner, "g", "tests", "i-1")
            connection.way = relay_host
            connection.connection_made(mock.Mock(spec=asyncio.Transport))
            for message in messages:
                connection.data_received(message)
                connection.send(lines.OWN_ID, lines.STATUS, None, 1.0)
            return owner

        return asyncio.run(run())

    def test_greeting_of_the_target(self) -> None:
        owner = self.play("", b"READY I 3.4\r\n")
        self.assertEqual((owner.opened, owner.answers), (1, 1))

    def test_greeting_of_another_host_is_not_the_targets(self) -> None:
        owner = self.play("h2", b"READY I -\r\n")
        self.assertEqual((owner.opened, owner.answers), (1, 0))

    def test_answer_of_another_host_is_not_the_targets(self) -> None:
        owner = self.play("h2", b"READY I -\r\n", b"DONE -\r\nREADY I -\r\n")
        self.assertEqual(owner.answers, 0)

    def test_answer_that_came_through_another_host_is(self) -> None:
        status = b"ROW replica 3 3.9 0 12 2 17\r\nDONE -\r\nREADY I 3.4\r\n"
        owner = self.play("h2", b"READY I -\r\n", status)
        self.assertEqual(owner.answers, 1)
