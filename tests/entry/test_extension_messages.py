"""Tests of the datagrams that carry the messages of one part each."""

import asyncio

import testtools

from knapweedtally.entry.fleet import extension_messages


class ExtensionMessageTests(testtools.TestCase):
    """Messages arrive as sent, and malformed ones reach no listener."""

    def setUp(self):
        super().setUp()
        self.received = []
        self.listeners = extension_messages.Listeners()
        self.listeners.add("kind", lambda *args: self.received.append(args))

    def test_message_reaches_the_listener_of_its_kind(self):
        data = extension_messages.encode_message("h1", "kind", {"a": [1]})
        self.assertTrue(extension_messages.is_extension(data))
        self.listeners.deliver(data, "h2", 3.0)
        self.assertEqual([("h1", {"a": [1]}, 3.0)], self.received)

    def test_unknown_kind_and_own_message_are_dropped(self):
        for kind, own in (("other", "h2"), ("kind", "h1")):
            data = extension_messages.encode_message("h1", kind, None)
            self.listeners.deliver(data, own, 3.0)
        self.assertEqual([], self.received)

    def test_truncated_message_is_reported_as_malformed(self):
        # A socket would be closed by any other error.
        data = extension_messages.encode_message("h1", "kind", "payload")
        for end in range(2, len(data)):
            self.assertRaises(
                extension_messages.MalformedMessage,
                extension_messages.decode_message,
                data[:end],
            )

    def test_error_of_a_listener_is_contained(self):
        # A payload of another shape must not end the process.
        async def deliver():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: None)
            data = extension_messages.encode_message("h1", "kind", 7)
            self.listeners.deliver(data, "h2", 3.0)

        self.listeners.add("kind", lambda host, payload, now_s: payload["x"])
        asyncio.run(deliver())
