"""A bounded queue that serves callers in turn."""

import collections
import itertools


class FairQueue:
    """Queue requests by caller; each turn takes one of the next caller.

    One caller with many requests therefore delays another caller's request
    by at most one request per turn (round robin; Nagle, RFC 970).
    """

    def __init__(self) -> None:
        self._queues: collections.OrderedDict[str, collections.deque[int]] = (
            collections.OrderedDict()
        )
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def count_callers(self) -> int:
        """Return the number of callers with a queued request."""
        return len(self._queues)

    def count_ahead(self, caller: str, is_standing: bool) -> int:
        """Return how many requests are served before a new one of a caller.

        Every other caller is served at most once for each of the caller's
        own requests. In a burst it has no more than its queued requests; in
        a standing queue it sends another one for each that is served.

        Args:
            caller: name of the caller.
            is_standing: whether the queue stands for longer than a burst.
        """
        turns = len(self._queues.get(caller, ())) + 1
        count = len(self._queues) - (caller in self._queues)
        if is_standing or turns == 1:
            return turns - 1 + turns * count
        others = sum(
            min(len(queue), turns)
            for name, queue in self._queues.items()
            if name != caller
        )
        return turns - 1 + others

    def list_beyond_turns(self, turns: int) -> list[int]:
        """Return the requests that come after a caller's first turns."""
        return [
            request
            for queue in self._queues.values()
            if len(queue) > turns
            for request in list(queue)[turns:]
        ]

    def push(self, caller: str, request: int) -> None:
        """Add a request at the end of its caller's queue."""
        self._queues.setdefault(caller, collections.deque()).append(request)
        self._size += 1

    def push_front(self, caller: str, request: int) -> None:
        """Put a request back to the head of its caller's queue."""
        self._queues.setdefault(caller, collections.deque()).appendleft(request)
        self._size += 1

    def list_heads(self, limit: int | None = None) -> list[tuple[str, int]]:
        """Return callers' first requests, the next caller first.

        Args:
            limit: number of callers; all if None.
        """
        queues = itertools.islice(self._queues.items(), limit)
        return [(name, queue[0]) for name, queue in queues]

    def pop_head(self, caller: str) -> int:
        """Remove a caller's first request and move the caller to the end.

        Raises:
            KeyError: the caller has no queued request.
        """
        queue = self._queues.pop(caller)
        request = queue.popleft()
        self._size -= 1
        if queue:
            self._queues[caller] = queue
        return request

    def remove(self, caller: str, request: int) -> None:
        """Remove a request wherever it stands; nothing if it isn't there."""
        queue = self._queues.get(caller)
        if queue is None or request not in queue:
            return
        queue.remove(request)
        self._size -= 1
        if not queue:
            del self._queues[caller]
