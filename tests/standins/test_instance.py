"""Tests of an instance's log, terms, confirmations and age."""

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies

from standins.target import errors
from standins.target import instance as instances
from standins.target import log as logs

MEMBERS = ("a", "b", "c")
ANY_MEMBER = strategies.sampled_from(MEMBERS)
ANY_ORDER = strategies.permutations(MEMBERS)
ANY_INDEX = strategies.integers(min_value=0, max_value=99)


def make_group() -> dict[str, instances.Instance]:
    return {name: instances.Instance(name, MEMBERS) for name in MEMBERS}


def write(primary: instances.Instance, text: str) -> int:
    return primary.append([logs.Statement(text)])


def replicate(
    replica: instances.Instance, primary: instances.Instance, now: float
) -> None:
    answer = primary.pull(replica.make_pull(), now)
    replica.receive(answer, now)
    replica.mark_applied(replica.received)


class Group(stateful.RuleBasedStateMachine):
    """Drive a group with lost, late and repeated messages.

    The naive argument: whatever a barrier confirmed is written down with its
    time, and every later primary and every claimed age is held against that.
    """

    def __init__(self) -> None:
        super().__init__()
        self.group = make_group()
        self.now = 0.0
        self.newest_term = 0
        self.steps_in_term = 9
        self.primaries: dict[int, str] = {}
        self.requests: list[tuple[str, logs.PullRequest, float]] = []
        self.answers: list[tuple[str, logs.PullAnswer, float]] = []
        self.barriers: list[tuple[str, instances.Barrier, float]] = []
        # Confirmed log prefixes by (term, time of the confirmation).
        self.confirmed: list[tuple[int, float, list[logs.Entry]]] = []
        self.reported: dict[tuple[str, int], list[logs.Entry]] = {}

    def tick(self) -> None:
        self.now += 0.001
        self.steps_in_term += 1

    @stateful.precondition(lambda self: self.steps_in_term > 3)
    @stateful.rule(order=ANY_ORDER, count=strategies.sampled_from((2, 2, 3, 1)))
    def elect(self, order: list[str], count: int) -> None:
        """Install a term on some members; below a majority that is all."""
        self.tick()
        self.steps_in_term = 0
        self.newest_term += 1
        term = self.newest_term
        reached = order[:count]
        answers = {
            name: self.group[name].install_term(term, f"op{term}")
            for name in reached
        }
        if count == 1:
            return
        chosen = max(
            reached,
            key=lambda name: (answers[name].last_term, answers[name].received),
        )
        assert self.group[chosen].promote(term, f"op{term}").is_accepted
        self.primaries[term] = chosen
        log = self.group[chosen].log
        for confirmed_term, _, entries in self.confirmed:
            assert confirmed_term < term
            assert log[: len(entries)] == entries

    @stateful.precondition(lambda self: self.primaries)
    @stateful.rule(name=ANY_MEMBER, index=ANY_INDEX)
    def follow(self, name: str, index: int) -> None:
        self.tick()
        term = sorted(self.primaries, reverse=True)[index % 2 - 1]
        self.group[name].follow(term, self.primaries[term])

    @stateful.rule(name=ANY_MEMBER)
    def append(self, name: str) -> None:
        self.tick()
        try:
            write(self.group[name], f"{name} at {self.now:.3f}")
        except errors.NotPrimaryError:
            pass

    @stateful.rule(name=ANY_MEMBER)
    def send_pull(self, name: str) -> None:
        self.tick()
        member = self.group[name]
        if member.role is instances.Role.REPLICA:
            request = member.make_pull()
            self.requests.append((member.primary, request, self.now))

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(index=ANY_INDEX, is_repeated=strategies.booleans())
    def answer_pull(self, index: int, is_repeated: bool) -> None:
        self.tick()
        index %= len(self.requests)
        primary, request, sent_at = self.requests[index]
        if not is_repeated:
            del self.requests[index]
        answer = self.group[primary].pull(request, self.now)
        self.answers.append((request.replica, answer, sent_at))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(index=ANY_INDEX, is_repeated=strategies.booleans())
    def receive(self, index: int, is_repeated: bool) -> None:
        self.tick()
        index %= len(self.answers)
        replica, answer, sent_at = self.answers[index]
        if not is_repeated:
            del self.answers[index]
        self.group[replica].receive(answer, sent_at)

    @stateful.rule(name=ANY_MEMBER)
    def exchange(self, name: str) -> None:
        self.tick()
        member = self.group[name]
        if member.role is instances.Role.REPLICA:
            answer = self.group[member.primary].pull(
                member.make_pull(), self.now
            )
            member.receive(answer, self.now)

    @stateful.rule(name=ANY_MEMBER, count=strategies.integers(1, 3))
    def apply(self, name: str, count: int) -> None:
        self.tick()
        member = self.group[name]
        member.mark_applied(member.applied + count)

    @stateful.rule(name=ANY_MEMBER)
    def start_barrier(self, name: str) -> None:
        self.tick()
        if self.group[name].is_primary:
            barrier = self.group[name].start_barrier(self.now)
            self.barriers.append((name, barrier, self.now))

    @stateful.precondition(lambda self: self.primaries)
    @stateful.rule(name=ANY_MEMBER, is_applied=strategies.booleans())
    def work(self, name: str, is_applied: bool) -> None:
        """Write at the newest primary and have one replica confirm it."""
        term = max(self.primaries)
        primary = self.primaries[term]
        self.append(primary)
        self.start_barrier(primary)
        if name != primary:
            self.group[name].follow(term, primary)
            self.exchange(name)
            self.exchange(name)
            self.check_barriers()
        if is_applied:
            self.apply(name, 100)

    @stateful.rule(name=ANY_MEMBER)
    def read_with_barrier(self, name: str) -> None:
        """Begin a barrier and repeat whatever message is under way."""
        self.start_barrier(name)
        for primary, request, _ in self.requests:
            self.group[primary].pull(request, self.now)
        self.check_barriers()

    @stateful.invariant()
    def check_barriers(self) -> None:
        for item in list(self.barriers):
            name, barrier, started_at = item
            state = self.group[name].check_barrier(barrier)
            if state is instances.BarrierState.PENDING:
                continue
            self.barriers.remove(item)
            if state is instances.BarrierState.CONFIRMED:
                self.note_confirmed(name, barrier, started_at)

    def note_confirmed(
        self, name: str, barrier: instances.Barrier, started_at: float
    ) -> None:
        for term, at, _ in self.confirmed:
            assert at >= started_at or term <= barrier.term
        entries = self.group[name].log[: barrier.offset]
        self.confirmed.append((barrier.term, self.now, entries))

    @stateful.invariant()
    def check_reports(self) -> None:
        for name, member in self.group.items():
            report = member.report(self.now)
            entries = member.log[: report.offset]
            before = self.reported.get((name, report.term), [])
            assert entries[: len(before)] == before
            self.reported[name, report.term] = entries
            complete_at = self.now - report.age_ms / 1000 - 1e-9
            for _, at, confirmed in self.confirmed:
                if at < complete_at:
                    assert entries[: len(confirmed)] == confirmed

    @stateful.invariant()
    def check_log_matching(self) -> None:
        first, *others = self.group.values()
        for other in others:
            pairs = list(zip(first.log, other.log, strict=False))
            same = [x.term == y.term for x, y in pairs]
            last = max(
                (i for i, is_same in enumerate(same) if is_same), default=-1
            )
            assert all(x == y for x, y in pairs[: last + 1])


class GroupTests(testtools.TestCase):
    def test_confirmed_entries_survive(self) -> None:
        stateful.run_state_machine_as_test(
            Group,
            settings=hypothesis.settings(
                derandomize=True,
                deadline=None,
                max_examples=400,
                stateful_step_count=60,
            ),
        )


class InstanceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.group = make_group()
        for member in self.group.values():
            member.install_term(1, "one")
        self.primary = self.group["a"]
        self.replica = self.group["b"]
        self.primary.promote(1, "one")
        self.replica.follow(1, "a")

    def test_promotion_appends_an_entry_of_its_term(self) -> None:
        self.assertEqual([logs.Entry(1, 1, ())], self.primary.log)

    def test_replica_receives_then_applies(self) -> None:
        write(self.primary, "x")
        answer = self.primary.pull(self.replica.make_pull(), 0.0)
        self.replica.receive(answer, 0.0)
        self.assertEqual((2, 0), (self.replica.received, self.replica.applied))
        self.replica.mark_applied(2)
        self.assertEqual(2, self.replica.report(0.0).offset)

    def test_barrier_ignores_pulls_made_before_its_start(self) -> None:
        replicate(self.replica, self.primary, 0.0)
        late = self.replica.make_pull()
        barrier = self.primary.start_barrier(0.1)
        self.primary.pull(late, 0.2)
        self.assertIs(
            instances.BarrierState.PENDING, self.primary.check_barrier(barrier)
        )
        replicate(self.replica, self.primary, 0.3)
        replicate(self.replica, self.primary, 0.4)
        self.assertIs(
            instances.BarrierState.CONFIRMED,
            self.primary.check_barrier(barrier),
        )

    def test_replaced_primary_confirms_no_barrier(self) -> None:
        barrier = self.primary.start_barrier(0.0)
        self.primary.install_term(2, "two")
        self.assertIs(
            instances.BarrierState.REPLACED, self.primary.check_barrier(barrier)
        )
        self.assertRaises(
            errors.NotPrimaryError, self.primary.check_writable, 0.0
        )
        self.assertRaises(errors.NotPrimaryError, write, self.primary, "x")

    def test_lower_term_is_refused(self) -> None:
        replicate(self.replica, self.primary, 0.0)
        late = self.primary.pull(self.replica.make_pull(), 0.0)
        self.replica.install_term(2, "two")
        self.assertFalse(self.replica.install_term(1, "one").is_accepted)
        self.assertFalse(self.replica.follow(1, "a").is_accepted)
        self.replica.receive(late, 0.0)
        self.assertEqual(0, self.replica.nonce)
        request = self.replica.make_pull()
        self.assertFalse(self.primary.pull(request, 0.0).is_accepted)

    def test_commands_are_idempotent_for_one_operation(self) -> None:
        self.assertTrue(self.primary.install_term(1, "one").is_accepted)
        self.assertFalse(self.primary.install_term(1, "other").is_accepted)
        self.assertTrue(self.primary.promote(1, "one").is_accepted)
        self.assertEqual(1, self.primary.received)
        self.assertFalse(self.replica.promote(1, "one").is_accepted)
        self.assertFalse(self.primary.follow(1, "b").is_accepted)

    def test_returning_primary_drops_entries_absent_on_new_one(self) -> None:
        replicate(self.replica, self.primary, 0.0)
        write(self.primary, "never confirmed")
        self.replica.install_term(2, "two")
        self.replica.promote(2, "two")
        self.primary.follow(2, "b")
        self.assertEqual(1, self.primary.report(1.0).term)
        answer = self.replica.pull(self.primary.make_pull(), 1.0)
        self.assertTrue(self.primary.receive(answer, 1.0))
        self.assertEqual(self.replica.log, self.primary.log)
        report = self.primary.report(1.0)
        self.assertEqual((2, 1), (report.term, report.offset))

    def test_confirmed_entry_of_new_term_confirms_earlier_ones(self) -> None:
        a, b, c = (self.group[name] for name in MEMBERS)
        write(a, "replicated by a later term only")
        for member in (b, c):
            member.install_term(2, "two")
        b.promote(2, "two")
        for member in (a, c):
            member.install_term(3, "three")
        a.promote(3, "three")
        c.follow(3, "a")
        replicate(c, a, 0.0)
        barrier = a.start_barrier(0.1)
        replicate(c, a, 0.2)
        replicate(c, a, 0.3)
        self.assertIs(
            instances.BarrierState.CONFIRMED, a.check_barrier(barrier)
        )
        last = {
            member.id: (answer.last_term, answer.received)
            for member in (b, c)
            for answer in [member.install_term(4, "four")]
        }
        self.assertLess(last["b"], last["c"])

    def test_late_answer_of_an_earlier_term_is_ignored(self) -> None:
        late = self.primary.pull(self.replica.make_pull(), 0.0)
        for member in (self.primary, self.replica):
            member.install_term(2, "two")
        self.primary.promote(2, "two")
        self.replica.follow(2, "a")
        self.replica.receive(late, 0.0)
        self.assertEqual((0, 0), (self.replica.nonce, self.replica.received))

    def test_late_answer_of_the_same_term_drops_no_entries(self) -> None:
        early = self.primary.pull(self.replica.make_pull(), 0.0)
        write(self.primary, "x")
        replicate(self.replica, self.primary, 0.1)
        self.assertFalse(self.replica.receive(early, 0.0))
        self.assertEqual(self.primary.log, self.replica.log)

    def test_age_counts_from_newest_nonce_a_majority_confirmed(self) -> None:
        self.assertEqual(
            instances.UNKNOWN_AGE_MS, self.primary.report(1.0).age_ms
        )
        replicate(self.replica, self.primary, 2.0)
        replicate(self.replica, self.primary, 5.0)
        self.assertEqual(4000.0, self.primary.report(6.0).age_ms)
        replicate(self.replica, self.primary, 6.0)
        self.assertEqual(1000.0, self.primary.report(6.0).age_ms)
        self.assertEqual(2000.0, self.replica.report(7.0).age_ms)

    def test_hold_refuses_new_writes_for_its_duration(self) -> None:
        self.assertTrue(self.primary.hold(1, 500, 1.0).is_accepted)
        self.assertRaises(errors.HoldError, self.primary.check_writable, 1.4)
        self.primary.check_writable(1.5)
        self.assertFalse(self.replica.hold(1, 500, 1.0).is_accepted)
