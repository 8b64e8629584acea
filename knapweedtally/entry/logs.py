"""Structured logs on the standard output, bounded and never blocking.

Lines are built with the standard library: structlog adds 2.2 MB to a process
of 21.7 MB, and memory is what a host is billed for.
"""

import asyncio
import json
import os
import time
from typing import Any

# Lines of one kind per second; beyond it lines are counted and left out.
MAX_LINES_PER_S = 300

# Bytes that wait for a slow reader of the output before lines are left out.
MAX_WAITING_BYTES = 256 * 1024

# Lines are written together after this long, in seconds.
FLUSH_S = 0.1

_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode


class Log:
    """Write one JSON object a line.

    Attributes:
        host: name of the host, part of each line.
        left_out: lines that were left out since the last one written.
    """

    def __init__(self, host: str, descriptor: int = 1) -> None:
        """Write to a descriptor, which becomes non-blocking."""
        self.host = host
        self.left_out = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._second = 0
        self._counts: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A closed output must not stop the host from serving.
            self._descriptor = -1

    def write(self, event: str, **fields: Any) -> None:
        """Write a line about one decision, or count it as left out."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        is_over = count > MAX_LINES_PER_S
        if is_over or len(self._waiting) > MAX_WAITING_BYTES:
            self.left_out += 1
            return
        line = {"time": round(now, 3), "host": self.host, "event": event}
        line.update(fields)
        if self.left_out:
            line["left_out"] = self.left_out
            self.left_out = 0
        self._waiting += _encode(line).encode() + b"\n"
        if self._timer is None:
            self._timer = self._call_later()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._timer = None
        if not self._waiting or self._descriptor < 0:
            self._waiting.clear()
            return
        try:
            written = os.write(self._descriptor, self._waiting)
            del self._waiting[:written]
        except BlockingIOError:
            # The reader is slow; the lines wait within their bound.
            written = 0
        except OSError:
            # Nobody reads any more, so nobody could be told either.
            self._descriptor = -1
            self._waiting.clear()
        if self._waiting:
            self._timer = self._call_later()

    def _call_later(self) -> asyncio.TimerHandle | None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return None
        return loop.call_later(FLUSH_S, self.flush)
