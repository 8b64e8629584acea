"""Compare the fair queue with a naive one."""

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core.admission import queue

CALLERS = ("ana", "bo", "cy")


class NaiveQueue:
    """Keep a list of callers in turn and a list of all requests."""

    def __init__(self) -> None:
        self.turn: list[str] = []
        self.requests: list[tuple[str, int]] = []

    def push(self, caller: str, request: int) -> None:
        if caller not in self.turn:
            self.turn.append(caller)
        self.requests.append((caller, request))

    def take(self) -> int:
        caller = self.turn.pop(0)
        first = next(r for r in self.requests if r[0] == caller)
        self.requests.remove(first)
        if any(r[0] == caller for r in self.requests):
            self.turn.append(caller)
        return first[1]

    def remove(self, caller: str, request: int) -> None:
        if (caller, request) in self.requests:
            self.requests.remove((caller, request))
        if not any(r[0] == caller for r in self.requests):
            self.turn = [name for name in self.turn if name != caller]


class FairQueueTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("push", "take", "remove")),
                st.sampled_from(CALLERS),
                st.integers(0, 30),
            )
        )
    )
    def test_it_serves_in_the_order_of_the_naive_queue(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        fair = queue.FairQueue()
        naive = NaiveQueue()
        for number, (step, caller, choice) in enumerate(steps):
            if step == "push":
                fair.push(caller, number)
                naive.push(caller, number)
            elif step == "take" and naive.turn:
                head, _ = fair.list_heads()[0]
                self.assertEqual(naive.take(), fair.pop_head(head))
            elif step == "remove":
                fair.remove(caller, choice)
                naive.remove(caller, choice)
            self.assertEqual(len(naive.requests), len(fair))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(st.sampled_from(CALLERS)), st.sampled_from(CALLERS)
    )
    def test_count_ahead_is_what_is_served_before(
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
