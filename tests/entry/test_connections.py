"""Tests of a connection to a target."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.entry.pools import connections
from knapweedtally.platform import line_protocol


class FakeOwner:
    """Count the events of a connection."""

    def __init__(self) -> None:
        self.answer_count = 0
        self.opened_count = 0

    def handle_opened(self, connection: connections.Connection) -> None:
        self.opened_count += 1

    def handle_idle(self, connection: connections.Connection) -> None:
        """Ignore the event."""

    def handle_answer(self) -> None:
        self.answer_count += 1

    def handle_closed(self, connection: connections.Connection) -> None:
        """Ignore the event."""


class AnswerTest(testtools.TestCase):
    """Which messages prove that the target itself answers.

    Behind a relay host, only a message with a log position does.
    """

    def receive_messages(self, relay_host: str, *messages: bytes) -> FakeOwner:
        async def run() -> FakeOwner:
            owner = FakeOwner()
            connection = connections.Connection(owner, "g", "tests", "i-1")
            connection.relay_host = relay_host
            connection.connection_made(mock.Mock(spec=asyncio.Transport))
            for message in messages:
                connection.data_received(message)
                connection.send(
                    line_protocol.HOST_STATEMENT_ID,
                    line_protocol.STATUS,
                    None,
                    1.0,
                )
            return owner

        return asyncio.run(run())

    def test_greeting_of_the_target_counts(self) -> None:
        owner = self.receive_messages("", b"READY I 3.4\r\n")
        self.assertEqual((owner.opened_count, owner.answer_count), (1, 1))

    def test_greeting_of_a_relay_host_does_not_count(self) -> None:
        owner = self.receive_messages("h2", b"READY I -\r\n")
        self.assertEqual((owner.opened_count, owner.answer_count), (1, 0))

    def test_answer_of_a_relay_host_does_not_count(self) -> None:
        owner = self.receive_messages(
            "h2", b"READY I -\r\n", b"DONE -\r\nREADY I -\r\n"
        )
        self.assertEqual(owner.answer_count, 0)

    def test_answer_relayed_from_the_target_counts(self) -> None:
        status = b"ROW replica 3 3.9 0 12 2 17\r\nDONE -\r\nREADY I 3.4\r\n"
        owner = self.receive_messages("h2", b"READY I -\r\n", status)
        self.assertEqual(owner.answer_count, 1)
