"""Tests of the queue of statements that wait at a holder."""

import testtools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from knapweedtally.core.groups import holder_queue
from knapweedtally.core.groups import team_turns

RUN_S = 0.01


def make_queue(
    limit: int = 256, lower_share: float = holder_queue.LOWER_SHARE
) -> holder_queue.HolderQueue:
    """Return a queue that has seen run times; one statement runs at once."""
    queue = holder_queue.HolderQueue(limit, lower_share)
    for priority in range(3):
        for _ in range(10):
            queue.record_start("", priority)
            queue.record_end("", priority, RUN_S)
    return queue


def add(
    queue: holder_queue.HolderQueue,
    team: str,
    priority: int = 0,
    deadline_s: float = 100.0,
    now_s: float = 0.0,
) -> list[holder_queue.Refusal]:
    entry = team_turns.Entry(team, priority, deadline_s, now_s)
    return queue.add(entry, now_s)


def take_all(
    queue: holder_queue.HolderQueue,
    run_times_s: dict[str, float] | None = None,
) -> list[team_turns.Entry]:
    """Take entries until none is left, each after the end of the last."""
    entries = []
    while (entry := queue.take(0.0, lambda _: True)) is not None:
        entries.append(entry)
        run_s = (run_times_s or {}).get(entry.team, RUN_S)
        queue.record_end(entry.team, entry.priority, run_s)
    return entries


class OrderTest(testtools.TestCase):
    """Which entry is taken next."""

    def test_urgent_entries_overtake(self) -> None:
        queue = make_queue(lower_share=0.0)
        for priority in (2, 0, 1, 0):
            add(queue, "a", priority)
        priorities = [entry.priority for entry in take_all(queue)]
        self.assertEqual([0, 0, 1, 2], priorities)

    def test_backlog_of_one_team_does_not_delay_another(self) -> None:
        queue = make_queue()
        for _ in range(50):
            add(queue, "large")
        add(queue, "small")
        teams = [entry.team for entry in take_all(queue)]
        self.assertLess(teams.index("small"), 2)

    def test_long_statements_are_charged_to_their_team(self) -> None:
        queue = make_queue()
        for _ in range(60):
            add(queue, "long")
            add(queue, "short")
        teams = [
            entry.team
            for entry in take_all(queue, {"long": 4 * RUN_S, "short": RUN_S})
        ]
        first = teams[:40]
        self.assertGreater(first.count("short"), 2 * first.count("long"))

    def test_deadlines_order_the_entries_of_one_team(self) -> None:
        queue = make_queue()
        for deadline_s in (3.0, 1.0, 2.0):
            add(queue, "a", deadline_s=deadline_s)
        self.assertEqual(
            [1.0, 2.0, 3.0], [entry.deadline_s for entry in take_all(queue)]
        )

    def test_team_without_free_connection_is_passed_over(self) -> None:
        queue = make_queue()
        add(queue, "a")
        add(queue, "b", priority=1)
        entry = queue.take(0.0, lambda team: team == "b")
        assert entry is not None
        self.assertEqual("b", entry.team)
        self.assertIsNone(queue.take(0.0, lambda team: team == "b"))
        self.assertEqual(1, len(queue))

    def test_lower_priority_is_not_starved_by_endless_urgent_entries(
        self,
    ) -> None:
        queue = make_queue()
        for _ in range(5):
            add(queue, "b", priority=2)
        priorities = []
        for _ in range(200):
            add(queue, "a")
            entry = queue.take(0.0, lambda _: True)
            assert entry is not None
            queue.record_end(entry.team, entry.priority, RUN_S)
            priorities.append(entry.priority)
        self.assertEqual(5, priorities.count(2))
        # The share bounds what urgent entries lose.
        self.assertLessEqual(priorities[:20].count(2), 2)


class RefusalTest(testtools.TestCase):
    """Which entries are refused."""

    def test_entry_that_cannot_be_answered_in_time_is_refused_at_once(
        self,
    ) -> None:
        queue = make_queue()
        refusals = [add(queue, "a", deadline_s=5 * RUN_S) for _ in range(20)]
        self.assertEqual([[]] * 5, refusals[:5])
        self.assertLessEqual(len(queue), 5 * holder_queue.REFUSE_RATIO)
        self.assertEqual(holder_queue.Reason.TOO_LATE, refusals[-1][0].reason)

    def test_early_deadline_overtakes_instead_of_being_refused(self) -> None:
        queue = make_queue()
        for _ in range(20):
            add(queue, "a")
        self.assertEqual([], add(queue, "a", deadline_s=5 * RUN_S))

    def test_urgent_backlog_refuses_less_urgent_entries(self) -> None:
        queue = make_queue()
        for _ in range(20):
            add(queue, "a")
        (refusal,) = add(queue, "b", 1, deadline_s=10 * RUN_S)
        self.assertAlmostEqual(20 * RUN_S, refusal.wait_s)
        self.assertEqual([], add(queue, "b", 1, deadline_s=22 * RUN_S))

    def test_refusal_holds_until_the_expected_time_suffices(self) -> None:
        queue = make_queue()
        for _ in range(20):
            add(queue, "a")
        between_s = 21 * RUN_S / 1.1
        self.assertEqual([], add(queue, "b", 1, deadline_s=between_s))
        self.assertEqual(1, len(add(queue, "b", 1, deadline_s=10 * RUN_S)))
        self.assertEqual(1, len(add(queue, "b", 1, deadline_s=between_s)))

    def test_without_samples_nothing_is_refused_by_the_estimate(self) -> None:
        queue = holder_queue.HolderQueue()
        for _ in range(100):
            self.assertEqual([], add(queue, "a", deadline_s=0.001))

    def test_overdue_entries_are_dropped(self) -> None:
        queue = make_queue()
        add(queue, "a", deadline_s=1.0)
        add(queue, "b", deadline_s=2.0)
        refusals = queue.drop_overdue(1.5)
        self.assertEqual(["a"], [refusal.entry.team for refusal in refusals])
        self.assertEqual(1, len(queue))

    def test_full_queue_evicts_least_urgent_of_the_largest_team(self) -> None:
        queue = make_queue(limit=6)
        for team, priority in zip("abbccc", (0, 2, 2, 2, 1, 1), strict=True):
            add(queue, team, priority)
        (refusal,) = add(queue, "a")
        self.assertEqual(holder_queue.Reason.FULL, refusal.reason)
        self.assertEqual(("b", 2), refusal.entry[:2])

    def test_crowding_team_loses_its_own_entries_first(self) -> None:
        queue = make_queue(limit=6)
        add(queue, "small", 2)
        for _ in range(20):
            add(queue, "large", 0)
        teams = [entry.team for entry in queue.remove_all()]
        self.assertIn("small", teams)

    def test_retry_hint_grows_with_the_queue_and_the_jitter(self) -> None:
        queue = make_queue()
        for _ in range(20):
            add(queue, "a")
        self.assertAlmostEqual(20 * RUN_S, queue.retry_after(0, 0.0))
        self.assertGreater(queue.retry_after(0, 0.9), queue.retry_after(0, 0.1))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 2),
                strategies.floats(0.0, 0.5),
                strategies.booleans(),
                strategies.sets(strategies.sampled_from("abc")),
            ),
            max_size=60,
        )
    )
    def test_each_entry_is_taken_refused_or_waits_once(
        self,
        steps: list[tuple[str, int, float, bool, set[str]]],
    ) -> None:
        """Guards against lost or duplicated entries and an endless turn."""
        queue = make_queue(limit=8)
        seen: list[object] = []
        for number, (team, priority, left_s, is_take, free) in enumerate(steps):
            now_s = number * 0.01
            entry = team_turns.Entry(
                team, priority, now_s + left_s, now_s, number
            )
            refusals = queue.add(entry, now_s) + queue.drop_overdue(now_s)
            seen += [refusal.entry.payload for refusal in refusals]
            taken = queue.take(now_s, free.__contains__) if is_take else None
            if taken is not None:
                self.assertIn(taken.team, free)
                seen.append(taken.payload)
                queue.record_end(taken.team, taken.priority, left_s)
            self.assertLessEqual(len(queue), 8)
        seen += [entry.payload for entry in queue.remove_all()]
        self.assertEqual(list(range(len(steps))), sorted(seen))  # type: ignore[type-var]
