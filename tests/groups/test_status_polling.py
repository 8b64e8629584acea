"""Tests of status polling."""

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import status_polling

TICK_S = 0.05


def make_leadership(seen_s: float) -> evidence.Leadership:
    leadership = evidence.Leadership()
    evidence.record_primary(leadership, "a", 3, seen_s)
    for member in "bc":
        evidence.record_member(leadership, member, "abc", 0, seen_s, seen_s)
    return leadership


def count_requests(leadership: evidence.Leadership, is_poller: bool) -> int:
    """Return the number of status requests in 10 s if none is answered."""
    state = status_polling.PollingState()
    return sum(
        len(
            status_polling.list_members_to_poll(
                state, leadership, "abc", is_poller, 10.0 + at
            )
        )
        for at in (number * TICK_S for number in range(200))
    )


class PollingTest(testtools.TestCase):
    """Which members a host polls, and how often."""

    def test_fresh_evidence_needs_no_request(self) -> None:
        due = status_polling.list_members_to_poll(
            status_polling.PollingState(),
            make_leadership(10.0),
            "abc",
            True,
            10.3,
        )
        self.assertEqual(due, [])

    def test_replicas_are_polled_in_round_robin_order(self) -> None:
        state = status_polling.PollingState()
        leadership = make_leadership(10.0)
        leadership.primary_seen_s = 20.0
        due = [
            status_polling.list_members_to_poll(
                state, leadership, "abc", True, 10.4
            )
            for _ in range(4)
        ]
        self.assertEqual(due, [["c"], ["b"], ["c"], ["b"]])

    def test_non_poller_polls_if_it_gets_no_results(self) -> None:
        state = status_polling.PollingState()
        leadership = make_leadership(10.0)
        self.assertEqual(
            status_polling.list_members_to_poll(
                state, leadership, "abc", False, 10.5
            ),
            [],
        )
        due = status_polling.list_members_to_poll(
            state, leadership, "abc", False, 10.7
        )
        self.assertEqual(due, ["a", "c"])

    def test_non_poller_polls_all_members_after_expiry(self) -> None:
        due = status_polling.list_members_to_poll(
            status_polling.PollingState(),
            make_leadership(10.0),
            "abc",
            False,
            11.0,
        )
        self.assertEqual(due, ["a", "b", "c"])

    def test_non_poller_polls_rarely_while_none_answers(self) -> None:
        for leadership in (make_leadership(10.0), evidence.Leadership()):
            requests = count_requests(leadership, is_poller=False)
            self.assertLessEqual(
                requests, 3 * 10.0 / status_polling.NON_POLLER_INTERVAL_S + 3
            )
            self.assertGreater(
                count_requests(leadership, is_poller=True), 2 * requests
            )
