"""Tests that compare the fair queue with a naive implementation."""

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core.admission import queue

CALLERS = ("ana", "bo", "cy")


class NaiveQueue:
    """A round-robin list of callers and a list of all requests."""

    def __init__(self) -> None:
        self.callers: list[str] = []
        self.requests: list[tuple[str, int]] = []

    def push(self, caller: str, request: int) -> None:
        if caller not in self.callers:
            self.callers.append(caller)
        self.requests.append((caller, request))

    def pop(self) -> int:
        caller = self.callers.pop(0)
        first = next(r for r in self.requests if r[0] == caller)
        self.requests.remove(first)
        if any(r[0] == caller for r in self.requests):
            self.callers.append(caller)
        return first[1]

    def remove(self, caller: str, request: int) -> None:
        if (caller, request) in self.requests:
            self.requests.remove((caller, request))
        if not any(r[0] == caller for r in self.requests):
            self.callers = [name for name in self.callers if name != caller]


class FairQueueTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("push", "pop", "remove")),
                st.sampled_from(CALLERS),
                st.integers(0, 30),
            )
        )
    )
    def test_requests_are_served_in_the_order_of_the_naive_queue(
        self, operations: list[tuple[str, str, int]]
    ) -> None:
        fair = queue.FairQueue()
        naive = NaiveQueue()
        for number, (operation, caller, request) in enumerate(operations):
            if operation == "push":
                fair.push(caller, number)
                naive.push(caller, number)
            elif operation == "pop" and naive.callers:
                head, _ = fair.list_heads()[0]
                self.assertEqual(naive.pop(), fair.pop_head(head))
            elif operation == "remove":
                fair.remove(caller, request)
                naive.remove(caller, request)
            self.assertEqual(len(naive.requests), len(fair))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(st.sampled_from(CALLERS)), st.sampled_from(CALLERS)
    )
    def test_count_ahead_bounds_the_requests_served_before(
        self, callers: list[str], caller: str
    ) -> None:
        fair = queue.FairQueue()
        for number, name in enumerate(callers):
            fair.push(name, number)
        expected = fair.count_ahead(caller, is_standing=False)
        fair.push(caller, -1)
        served = 0
        while True:
            head, _ = fair.list_heads()[0]
            if fair.pop_head(head) == -1:
                break
            served += 1
        self.assertGreaterEqual(expected, served)
        self.assertLessEqual(expected - served, len(CALLERS))
