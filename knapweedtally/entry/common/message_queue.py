"""Received messages of one caller that wait to be served."""

import asyncio
import collections

from knapweedtally.platform import line_protocol

# Queued messages beyond which the caller's connection is not read.
MAX_QUEUED_MESSAGES = 64

# Timeout for the rest of a partly received message, and for the first message
# of a connection.
MESSAGE_TIMEOUT_S = 10.0


class MessageQueue:
    """Split a caller's bytes into messages, and queue them in order."""

    def __init__(self, now_s: float) -> None:
        """Create a queue that waits for the first message from now on."""
        self._buffer = line_protocol.MessageBuffer()
        self._messages: collections.deque[tuple[bytes, float]] = (
            collections.deque()
        )
        self._partial_since_s: float | None = now_s
        self._transport: asyncio.Transport | None = None

    def __len__(self) -> int:
        """Return the number of complete messages."""
        return len(self._messages)

    @property
    def has_partial(self) -> bool:
        """Return whether a message was received in part."""
        return bool(self._buffer.size)

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport whose reading is paused for a full queue."""
        self._transport = transport

    def receive(self, data: bytes, now_s: float, has_started: bool) -> None:
        """Queue the messages that received bytes complete.

        Args:
            data: the bytes.
            now_s: the time.
            has_started: whether the first message was served.

        Raises:
            line_protocol.OversizedMessage: a message is too long.
        """
        messages = self._buffer.feed(data)
        if has_started or messages:
            self._partial_since_s = now_s if self.has_partial else None
        self._messages.extend((message, now_s) for message in messages)
        if len(self._messages) > MAX_QUEUED_MESSAGES:
            assert self._transport is not None
            self._transport.pause_reading()

    def take(self) -> tuple[bytes, float]:
        """Remove and return the next message and its time of arrival."""
        taken = self._messages.popleft()
        if len(self._messages) == MAX_QUEUED_MESSAGES:
            assert self._transport is not None
            self._transport.resume_reading()
        return taken

    def clear(self) -> None:
        """Drop the complete messages."""
        self._messages.clear()

    def is_overdue(self, now_s: float) -> bool:
        """Return whether a message was not completed in time."""
        since_s = self._partial_since_s
        return since_s is not None and now_s - since_s > MESSAGE_TIMEOUT_S
