"""Tests of how the reducer handles requests."""

from typing import Any

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.failover import detection
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.writes import events as writes_events
from tests import factories

Kind = admission_state.RequestKind
UNKNOWN = errors.ErrorKind.OUTCOME_UNKNOWN


class ReducerDriver:
    """Submits events to one reducer at a simulated time."""

    def __init__(self, **changes: object) -> None:
        self.state = factories.make_state(**changes)
        self.at = 0.0

    def decide(self, event: Any, after_s: float = 0.0) -> list[Any]:
        self.at += after_s
        moment = model.Moment(self.at, 0.5)
        return reducer.decide(self.state, moment, event)

    def answer(self, run: effects.RunStatement, **changes: Any) -> list[Any]:
        is_primary = run.target == factories.TARGETS[0]
        report = model.TargetReport(run.target, 1, 7, 1.0, is_primary)
        confirmed = model.Position(1, 7) if run.needs_barrier else None
        event = writes_events.AttemptAnswered(
            run.request, run.attempt, report, confirmed, "", False
        )
        return self.decide(event._replace(**changes))

    def fail_attempt(
        self, run: effects.RunStatement, was_sent: bool
    ) -> list[Any]:
        return self.decide(
            writes_events.AttemptFailed(run.request, run.attempt, was_sent)
        )


def get_only_effect(result: list[Any], kind: type) -> Any:
    """Return the only effect of a type; fail if there isn't exactly one."""
    (found,) = [effect for effect in result if isinstance(effect, kind)]
    return found


class WriteOutcomeTest(testtools.TestCase):
    def start(
        self, key: str = ""
    ) -> tuple[ReducerDriver, effects.RunStatement]:
        driver = ReducerDriver()
        result = driver.decide(factories.make_arrival(1, Kind.WRITE, key=key))
        run = get_only_effect(result, effects.RunStatement)
        self.assertEqual(factories.TARGETS[0], run.target)
        self.assertTrue(run.needs_barrier)
        return driver, run

    def test_a_confirmed_write_is_acknowledged(self) -> None:
        driver, run = self.start()
        answer = get_only_effect(driver.answer(run), effects.DeliverAnswer)
        self.assertEqual(model.Position(1, 7), answer.position)

    def test_an_unconfirmed_write_is_never_acknowledged(self) -> None:
        for confirmed in (None, model.Position(2, 7)):
            driver, run = self.start()
            result = driver.answer(run, confirmed=confirmed)
            self.assertEqual(
                UNKNOWN, get_only_effect(result, effects.DeliverError).kind
            )

    def test_a_lost_write_without_a_key_is_unknown(self) -> None:
        driver, run = self.start()
        result = driver.fail_attempt(run, was_sent=True)
        self.assertEqual(
            UNKNOWN, get_only_effect(result, effects.DeliverError).kind
        )

    def test_a_lost_write_with_a_key_runs_again(self) -> None:
        driver, run = self.start(key="k")
        timer = get_only_effect(
            driver.fail_attempt(run, was_sent=True), effects.SetTimer
        )
        result = driver.decide(events.TimerFired(timer.key), after_s=0.1)
        again = get_only_effect(result, effects.RunStatement)
        self.assertEqual(("k", 2), (again.key, again.attempt))

    def test_a_write_that_may_have_run_never_ends_as_not_run(self) -> None:
        driver, run = self.start(key="k")
        driver.fail_attempt(run, was_sent=True)
        result = driver.decide(events.Ticked(), after_s=60.0)
        self.assertEqual(
            UNKNOWN, get_only_effect(result, effects.DeliverError).kind
        )

    def test_a_write_that_was_not_sent_runs_again(self) -> None:
        driver, run = self.start()
        get_only_effect(
            driver.fail_attempt(run, was_sent=False), effects.SetTimer
        )

    def test_a_lost_connection_triggers_an_immediate_probe(self) -> None:
        driver, run = self.start()
        driver.decide(events.Ticked())
        driver.state.failover.probes_in_flight.clear()
        probe = get_only_effect(
            driver.fail_attempt(run, was_sent=True), effects.ProbeTarget
        )
        self.assertEqual(run.target, probe.target)

    def test_late_answers_are_ignored(self) -> None:
        driver, run = self.start(key="k")
        driver.fail_attempt(run, was_sent=True)
        self.assertEqual([], driver.answer(run))

    def test_a_read_refused_as_a_write_is_not_repeated_once_sent(self) -> None:
        driver = ReducerDriver()
        position = model.Position(0, 0)
        arrival = factories.make_arrival(1, Kind.READ, position=position)
        run = get_only_effect(driver.decide(arrival), effects.RunStatement)
        result = driver.answer(run, sqlstate="25006")
        timer = get_only_effect(result, effects.SetTimer)
        result = driver.decide(events.TimerFired(timer.key))
        second = get_only_effect(result, effects.RunStatement)
        self.assertEqual(factories.TARGETS[0], second.target)
        result = driver.fail_attempt(second, was_sent=True)
        self.assertEqual(
            UNKNOWN, get_only_effect(result, effects.DeliverError).kind
        )


class TransactionTest(testtools.TestCase):
    def begin(self) -> tuple[ReducerDriver, effects.RunStatement]:
        driver = ReducerDriver()
        run = get_only_effect(
            driver.decide(factories.make_arrival(1, Kind.BEGIN)),
            effects.RunStatement,
        )
        driver.answer(run, is_open=True)
        return driver, run

    def test_statements_stay_on_one_lease(self) -> None:
        driver, first = self.begin()
        for number, kind in ((2, Kind.STATEMENT), (3, Kind.COMMIT)):
            run = get_only_effect(
                driver.decide(factories.make_arrival(number, kind)),
                effects.RunStatement,
            )
            self.assertEqual(first.lease, run.lease)
            driver.answer(run, is_open=kind is Kind.STATEMENT)
        self.assertEqual({}, driver.state.admission.leases)

    def test_the_end_of_a_session_rolls_back_its_transaction(self) -> None:
        driver, first = self.begin()
        result = driver.decide(admission_events.SessionEnded(1))
        self.assertEqual([effects.ReleaseLease(first.lease, False)], result)

    def test_a_lost_commit_is_unknown_and_a_lost_statement_not_run(
        self,
    ) -> None:
        lost = errors.ErrorKind.TRANSACTION_LOST
        for kind, expected in ((Kind.STATEMENT, lost), (Kind.COMMIT, UNKNOWN)):
            driver, _ = self.begin()
            arrival = factories.make_arrival(2, kind)
            run = get_only_effect(driver.decide(arrival), effects.RunStatement)
            error = get_only_effect(
                driver.fail_attempt(run, True), effects.DeliverError
            )
            self.assertEqual(expected, error.kind)


class ReadTest(testtools.TestCase):
    def start(self, position: model.Position | None) -> Any:
        driver = ReducerDriver()
        arrival = factories.make_arrival(1, Kind.READ, position=position)
        return driver, get_only_effect(
            driver.decide(arrival), effects.RunStatement
        )

    def test_a_read_without_a_token_returns_a_position(self) -> None:
        driver, run = self.start(None)
        self.assertTrue(run.needs_barrier)
        answer = get_only_effect(driver.answer(run), effects.DeliverAnswer)
        self.assertEqual(model.Position(1, 7), answer.position)

    def test_stale_answers_do_not_use_the_retry_budget(self) -> None:
        driver, run = self.start(model.Position(0, 0))
        stale = model.TargetReport(run.target, 1, 0, 1e9, False)
        attempts = 0
        while run.target != factories.TARGETS[0]:
            attempts += 1
            timer = get_only_effect(
                driver.answer(run, report=stale), effects.SetTimer
            )
            result = driver.decide(events.TimerFired(timer.key), timer.delay_s)
            run = get_only_effect(result, effects.RunStatement)
        self.assertLessEqual(attempts, 3)
        self.assertEqual(
            admission_state.RETRY_BUDGET_LIMIT,
            driver.state.admission.retry_budget[factories.GROUP],
        )

    def repeat_after_silence(
        self, driver: ReducerDriver, run: effects.RunStatement
    ) -> effects.RunStatement:
        """Let an attempt time out; return the next attempt."""
        result = driver.decide(events.Ticked(), 2.0)
        (timer,) = [
            effect
            for effect in factories.find_effects(result, effects.SetTimer)
            if effect.key == admission_events.RetryDue(run.request)
        ]
        # The timer fires late, after the backoff of the target.
        result = driver.decide(events.TimerFired(timer.key), 0.06)
        return get_only_effect(result, effects.RunStatement)

    def test_a_read_goes_to_the_near_primary_after_silence_elsewhere(
        self,
    ) -> None:
        driver, run = self.start(model.Position(1, 0))
        self.assertNotEqual(factories.TARGETS[0], run.target)
        run = self.repeat_after_silence(driver, run)
        self.assertEqual(factories.TARGETS[0], run.target)
        self.assertFalse(run.needs_barrier)

    def test_a_read_waits_for_the_backoff_of_the_near_primary(self) -> None:
        driver, run = self.start(model.Position(1, 0))
        driver.decide(events.Ticked(), 2.0)
        driver.state.routing.backoff_until[factories.TARGETS[0]] = 2.5
        key = admission_events.RetryDue(run.request)
        result = driver.decide(events.TimerFired(key), 0.06)
        timer = get_only_effect(result, effects.SetTimer)
        self.assertAlmostEqual(2.5, driver.at + timer.delay_s)
        result = driver.decide(events.TimerFired(key), timer.delay_s)
        run = get_only_effect(result, effects.RunStatement)
        self.assertEqual(factories.TARGETS[0], run.target)

    def test_a_read_is_not_repeated_at_a_silent_replica(self) -> None:
        driver, first = self.start(model.Position(1, 0))
        watch = failover_state.Watch(
            factories.GROUP, driver.at, reason=detection.TIMED_OUT
        )
        driver.state.failover.watches[factories.TARGETS[0]] = watch
        second = self.repeat_after_silence(driver, first)
        self.assertEqual(
            set(factories.TARGETS[1:]), {first.target, second.target}
        )

    def test_reads_that_need_a_busy_primary_do_not_block_replica_reads(
        self,
    ) -> None:
        driver = ReducerDriver(connection_limit=3)
        driver.state.routing.lag_s = dict.fromkeys(factories.TARGETS, 60.0)
        fresh = model.Position(1, 9)
        runs = []
        for number, position in enumerate((fresh, fresh, fresh), 1):
            arrival = factories.make_arrival(
                number, Kind.READ, position=position
            )
            result = driver.decide(arrival)
            runs += factories.find_effects(result, effects.RunStatement)
        old = factories.make_arrival(
            4, Kind.READ, position=model.Position(0, 0)
        )
        run = get_only_effect(driver.decide(old), effects.RunStatement)
        self.assertEqual(1, len(runs))
        self.assertNotEqual(factories.TARGETS[0], run.target)


class TimerTest(testtools.TestCase):
    def test_a_timer_of_another_part_resumes_no_request(self) -> None:
        """A group's timer must not resume a request, whatever its name is."""
        driver = ReducerDriver()
        arrival = factories.make_arrival(1, Kind.WRITE)
        run = get_only_effect(driver.decide(arrival), effects.RunStatement)
        driver.fail_attempt(run, was_sent=False)
        key = failover_events.StartDue("retry", 1)
        result = driver.decide(events.TimerFired(key), 0.1)
        self.assertEqual(
            [], factories.find_effects(result, effects.RunStatement)
        )


class ConnectionCapTest(testtools.TestCase):
    def test_no_connection_is_opened_for_a_time_after_a_target_refused_one(
        self,
    ) -> None:
        driver = ReducerDriver()
        runs = []
        for number in (1, 2):
            arrival = factories.make_arrival(number, Kind.WRITE, session=number)
            runs.append(
                get_only_effect(driver.decide(arrival), effects.RunStatement)
            )
        failed = writes_events.AttemptFailed(2, 1, False, sqlstate="53300")
        timer = get_only_effect(driver.decide(failed), effects.SetTimer)
        result = driver.decide(events.TimerFired(timer.key), 0.1)
        self.assertEqual(
            [], factories.find_effects(result, effects.RunStatement)
        )
        again = get_only_effect(driver.answer(runs[0]), effects.RunStatement)
        self.assertEqual(2, again.request)


class OverloadTest(testtools.TestCase):
    def test_requests_with_too_long_a_wait_are_refused_at_once(self) -> None:
        driver = ReducerDriver(connection_limit=3)
        queue_key = admission_state.QueueKey(factories.GROUP, True)
        driver.state.admission.service_time_s[queue_key] = 1.0
        refused = []
        for number in range(1, 20):
            arrival = factories.make_arrival(number, Kind.WRITE, session=number)
            result = driver.decide(arrival)
            refused += factories.find_effects(result, effects.DeliverError)
        # One runs for 1 s; three may wait, for up to half of the 5 s timeout.
        self.assertEqual(15, len(refused))
        self.assertEqual(
            {errors.ErrorKind.OVERLOADED}, {e.kind for e in refused}
        )
        self.assertGreater(min(e.retry_after_ms for e in refused), 0)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(st.sampled_from(["heavy"] * 8 + ["a", "b"]), max_size=60),
        st.randoms(use_true_random=False),
    )
    def test_leases_stay_within_the_share_and_all_are_answered(
        self, callers: list[str], rng: Any
    ) -> None:
        driver = ReducerDriver(connection_limit=4)
        running: list[Any] = []
        answered = 0
        for number, caller in enumerate(callers, 1):
            arrival = factories.make_arrival(
                number, Kind.WRITE, caller=caller, session=number
            )
            running += factories.find_effects(
                driver.decide(arrival), effects.RunStatement
            )
            self.assertLessEqual(len(running), 2)
        while running:
            run = running.pop(rng.randrange(len(running)))
            result = driver.answer(run)
            answered += len(
                factories.find_effects(result, effects.DeliverAnswer)
            )
            running += factories.find_effects(result, effects.RunStatement)
            self.assertLessEqual(len(running), 2)
        self.assertEqual(len(callers), answered)
