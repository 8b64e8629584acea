"""Received messages of one caller that wait to be served.

A message may have a megabyte, and callers need not wait for answers. So what is
received in advance is bounded by its size, for each caller and for all of them.
"""

import asyncio
import collections
from typing import NamedTuple

from knapweedtally.platform import line_protocol

# Queued messages, and bytes of them, beyond which the caller's connection is
# not read.
MAX_QUEUED_MESSAGES = 64
MAX_QUEUED_BYTES = 128 * 1024

# Bytes of one caller from which on it needs room among the large messages.
LARGE_BYTES = 64 * 1024

# Callers whose large messages are received and served at the same time. Each
# may take several megabytes while its message is parsed and sent on.
MAX_LARGE_MESSAGES = 8

# Timeout for the rest of a partly received message, and for the first message
# of a connection.
MESSAGE_TIMEOUT_S = 10.0


class LargeMessages:
    """Room for the large messages of all callers of a host, in turn."""

    def __init__(self, limit: int = MAX_LARGE_MESSAGES) -> None:
        """Begin with all of the room free.

        Args:
            limit: number of callers that have room at the same time.
        """
        self._limit = limit
        self._holders: set[MessageQueue] = set()
        self._waiting: dict[MessageQueue, None] = {}

    def request(self, queue: "MessageQueue") -> bool:
        """Return whether a caller has room; if not, it waits for its turn."""
        if queue in self._holders:
            return True
        if len(self._holders) < self._limit and not self._waiting:
            self._holders.add(queue)
            return True
        self._waiting.setdefault(queue)
        return False

    def release(self, queue: "MessageQueue") -> None:
        """Take a caller's room back, or its place among those that wait."""
        self._waiting.pop(queue, None)
        if queue not in self._holders:
            return
        self._holders.discard(queue)
        if self._waiting:
            chosen = next(iter(self._waiting))
            del self._waiting[chosen]
            self._holders.add(chosen)
            chosen.handle_room()


class _Message(NamedTuple):
    data: bytes
    arrived_s: float


class MessageQueue:
    """Split a caller's bytes into messages, and queue them in order."""

    def __init__(self, now_s: float, large: LargeMessages) -> None:
        """Create a queue that waits for the first message from now on.

        Args:
            now_s: the time.
            large: room for large messages of all callers.
        """
        self._buffer = line_protocol.MessageBuffer()
        self._messages: collections.deque[_Message] = collections.deque()
        self._large = large
        self._queued_bytes = 0
        self._served_bytes = 0
        self._partial_since_s: float | None = now_s
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._is_waiting = False

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
        self._messages.extend(_Message(message, now_s) for message in messages)
        self._queued_bytes += sum(map(len, messages))
        self._update()

    def take(self) -> tuple[bytes, float]:
        """Remove and return the next message and its time of arrival.

        It counts as being served until the next one is taken, or ``finish``.
        """
        taken = self._messages.popleft()
        self._queued_bytes -= len(taken.data)
        self._served_bytes = len(taken.data)
        self._update()
        return taken

    def finish(self) -> None:
        """Record that the message that was taken last was served."""
        if self._served_bytes:
            self._served_bytes = 0
            # Others that wait come before the rest of this caller's.
            self._large.release(self)
            self._update()

    def handle_room(self) -> None:
        """Go on after a wait for room among the large messages."""
        self._update()

    def clear(self) -> None:
        """Drop the complete messages of a caller that has left."""
        self._messages.clear()
        self._queued_bytes = 0
        self._large.release(self)
        self._is_waiting = False

    def is_overdue(self, now_s: float) -> bool:
        """Return whether a message was not completed in time."""
        if self._is_waiting and self._partial_since_s is not None:
            # The rest isn't read for now.
            self._partial_since_s = now_s
        since_s = self._partial_since_s
        return since_s is not None and now_s - since_s > MESSAGE_TIMEOUT_S

    def _update(self) -> None:
        """Read the caller's connection if, and only if, there is room."""
        held_bytes = self._buffer.size + self._queued_bytes + self._served_bytes
        if held_bytes <= LARGE_BYTES:
            self._large.release(self)
            self._is_waiting = False
        else:
            self._is_waiting = not self._large.request(self)
        is_full = (
            len(self._messages) > MAX_QUEUED_MESSAGES
            or self._queued_bytes > MAX_QUEUED_BYTES
        )
        is_paused = is_full or self._is_waiting
        if is_paused is self._is_paused or self._transport is None:
            return
        self._is_paused = is_paused
        if self._transport.is_closing():
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
