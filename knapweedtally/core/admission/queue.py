"""A queue that serves callers in round-robin order."""

import collections
import itertools


class FairQueue:
    """Queue requests per caller and serve the callers in round-robin order.

    Each turn serves one request of one caller. A caller with many requests
    therefore delays another caller's request by at most one request per turn
    (Nagle, RFC 970).
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
        """Return how many requests are served before a caller's next one.

        Every other caller is served at most once for each of the caller's
        own requests. In a burst, the other caller is assumed to send no more
        than its queued requests; in a standing queue, it is assumed to send
        another request for each one that is served.

        Args:
            caller: name of the caller.
            is_standing: whether the queue is a standing queue, not a burst.
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
        """Return the requests that aren't served within a number of turns.

        Args:
            turns: number of turns of each caller.
        """
        return [
            request
            for queue in self._queues.values()
            if len(queue) > turns
            for request in list(queue)[turns:]
        ]

    def push(self, caller: str, request: int) -> None:
        """Append a request to its caller's queue."""
        self._queues.setdefault(caller, collections.deque()).append(request)
        self._size += 1

    def push_front(self, caller: str, request: int) -> None:
        """Insert a request at the head of its caller's queue."""
        self._queues.setdefault(caller, collections.deque()).appendleft(request)
        self._size += 1

    def list_heads(self, limit: int | None = None) -> list[tuple[str, int]]:
        """Return the first request of each caller, in round-robin order.

        Args:
            limit: maximum number of callers; None for all.
        """
        queues = itertools.islice(self._queues.items(), limit)
        return [(name, queue[0]) for name, queue in queues]

    def pop_head(self, caller: str) -> int:
        """Remove and return a caller's first request.

        The caller moves to the end of the round-robin order.

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
        """Remove a request from its caller's queue, if it is queued."""
        queue = self._queues.get(caller)
        if queue is None or request not in queue:
            return
        queue.remove(request)
        self._size -= 1
        if not queue:
            del self._queues[caller]
