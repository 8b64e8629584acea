"""Tests of the retry budget and of what a host learns from refusals."""

import testtools

from knapweedtally.core.groups import queue_refusals
from knapweedtally.core.groups import retry_budget
from tests.groups import test_placement


class RetryBudgetTest(testtools.TestCase):
    """How many second attempts a host may make."""

    def test_share_of_the_requests_and_a_minimum_are_allowed(self) -> None:
        budget = retry_budget.RetryBudget()
        for number in range(100):
            budget.record_request(number * 0.05)
        taken = [budget.take(5.0) for _ in range(50)]
        self.assertEqual(13, sum(taken))

    def test_old_requests_and_attempts_leave_the_window(self) -> None:
        budget = retry_budget.RetryBudget()
        for _ in range(100):
            budget.record_request(0.0)
        self.assertEqual(3, sum(budget.take(11.0) for _ in range(50)))
        self.assertFalse(budget.take(20.9))
        self.assertEqual(3, sum(budget.take(21.0) for _ in range(50)))


class QueueRefusalTest(testtools.TestCase):
    """What a holder's refusal changes at the requesting host."""

    def test_refusal_is_read_back(self) -> None:
        refusal = queue_refusals.QueueRefusal(12, 0.085, 0.12)
        detail = queue_refusals.format_detail("too late", refusal)
        self.assertEqual(refusal, queue_refusals.parse_detail(detail))
        self.assertIn(b"retry after 120 ms", detail)

    def test_other_details_are_no_refusals(self) -> None:
        for detail in (b"", b"queue is full", b"holder queue: x; -1 waiting"):
            self.assertIsNone(queue_refusals.parse_detail(detail))

    def test_refusing_target_is_avoided_for_the_time_of_its_queue(self) -> None:
        refusal = queue_refusals.QueueRefusal(12, 0.5, 0.4)
        chosen = []
        for age_s in (0.0, 0.4, 0.6):
            noted_s = test_placement.NOW_S - age_s
            loads = test_placement.make_loads(
                p_idle=0,
                r_run_time_s=0.001,
                r_queue_cost=queue_refusals.get_cost(refusal, noted_s),
            )
            need = test_placement.make_need()
            chosen.append(test_placement.choose(need, loads).target)
        self.assertEqual(["s", "s", "r"], chosen)
