"""Tests that overload one host in simulated time."""

import collections
import heapq
import itertools
from typing import Any

import testtools

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.writes import events as writes_events
from tests import factories

STEP_S = 0.01
TICK_STEPS = 10
LOAD_S = 12.0
SERVICE_S = 0.05
TIMEOUT_S = 5.0
# One host may hold 5 connections, which run 100 statements per second.
CONNECTION_LIMIT = 7
CAPACITY = 100
LIGHT_CALLERS = 20
LIGHT_RATE = 60
HEAVY_RATE = 240


class Simulation:
    """Run one reducer with requests that arrive at constant rates.

    Attributes:
        light_rate: statements per second of all light callers together.
        start_service_s: service time that the reducer assumes at the start,
            in seconds.
        arrived: number of requests of heavy and of light callers.
        answered: number of answers, by caller.
        refused: number of refusals, by kind of error.
        delayed_refusals: number of refusals that were not given on arrival.
        longest_refusal_delay_s: longest time from an arrival to such a
            refusal, in seconds.
    """

    def __init__(self) -> None:
        self.arrived: collections.Counter[str] = collections.Counter()
        self.answered: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[errors.ErrorKind] = (
            collections.Counter()
        )
        self.delayed_refusals = 0
        self.longest_refusal_delay_s = 0.0
        self.start_service_s = SERVICE_S
        self.light_rate = LIGHT_RATE
        self._state = factories.make_state(connection_limit=CONNECTION_LIMIT)
        self._ids = itertools.count(1)
        self._light_callers = itertools.cycle(range(LIGHT_CALLERS))
        self._callers: dict[int, str] = {}
        self._arrived_at: dict[int, float] = {}
        self._running: list[tuple[float, int, effects.RunStatement]] = []

    def run(self) -> None:
        """Apply the load, and continue until all requests are answered."""
        queue_key = admission_state.QueueKey(factories.GROUP, True)
        self._state.admission.service_time_s[queue_key] = self.start_service_s
        steps = int((LOAD_S + 6.0) / STEP_S)
        arrivals_due = {"heavy": 0.0, "light": 0.0}
        for step in range(steps):
            at = step * STEP_S
            self._answer_due_statements(at)
            if at < LOAD_S:
                arrivals_due["heavy"] += HEAVY_RATE * STEP_S
                arrivals_due["light"] += self.light_rate * STEP_S
                self._submit_arrivals(arrivals_due, at)
            if step % TICK_STEPS == 0:
                self._decide(events.Ticked(), at)

    def _submit_arrivals(
        self, arrivals_due: dict[str, float], at: float
    ) -> None:
        for name, count in arrivals_due.items():
            for _ in range(int(count)):
                request = next(self._ids)
                caller = name
                if name == "light":
                    caller = f"light-{next(self._light_callers)}"
                self._callers[request] = caller
                self._arrived_at[request] = at
                self.arrived[name] += 1
                kind = admission_state.RequestKind.WRITE
                arrival = factories.make_arrival(
                    request, kind, caller=caller, session=request
                )
                self._decide(arrival, at, request)
            arrivals_due[name] = count % 1

    def _answer_due_statements(self, at: float) -> None:
        while self._running and self._running[0][0] <= at:
            _, _, run = heapq.heappop(self._running)
            report = model.TargetReport(run.target, 1, 7, 1.0, True)
            answer = writes_events.AttemptAnswered(
                run.request,
                run.attempt,
                report,
                model.Position(1, 7),
                "",
                False,
            )
            self._decide(answer, at)

    def _decide(self, event: Any, at: float, arriving_request: int = 0) -> None:
        moment = model.Moment(at, 0.5)
        for effect in reducer.decide(self._state, moment, event):
            if isinstance(effect, effects.RunStatement):
                due = (at + SERVICE_S, next(self._ids), effect)
                heapq.heappush(self._running, due)
            elif isinstance(effect, effects.DeliverAnswer):
                self.answered[self._callers[effect.request]] += 1
            elif isinstance(effect, effects.DeliverError):
                self.refused[effect.kind] += 1
                if effect.request != arriving_request:
                    self._record_delayed_refusal(
                        at - self._arrived_at[effect.request]
                    )

    def _record_delayed_refusal(self, delay_s: float) -> None:
        self.delayed_refusals += 1
        self.longest_refusal_delay_s = max(
            self.longest_refusal_delay_s, delay_s
        )


class OverloadTest(testtools.TestCase):
    def test_excess_requests_are_refused_at_once_and_callers_share_fairly(
        self,
    ) -> None:
        simulation = Simulation()
        simulation.run()
        self.assertEqual({errors.ErrorKind.OVERLOADED}, set(simulation.refused))
        self.assertEqual(0, simulation.delayed_refusals)
        light = [
            count
            for caller, count in simulation.answered.items()
            if caller != "heavy"
        ]
        self.assertEqual(LIGHT_CALLERS, len(light))
        # The light callers together stay within the capacity.
        self.assertEqual(simulation.arrived["light"], sum(light))
        answered = sum(simulation.answered.values())
        self.assertGreaterEqual(answered, 0.9 * CAPACITY * LOAD_S)

    def test_requests_from_before_a_standing_queue_are_refused_early(
        self,
    ) -> None:
        simulation = Simulation()
        simulation.start_service_s = 0.001
        simulation.light_rate = 2 * CAPACITY
        simulation.run()
        self.assertEqual({errors.ErrorKind.OVERLOADED}, set(simulation.refused))
        self.assertGreater(simulation.delayed_refusals, 0)
        self.assertLess(simulation.longest_refusal_delay_s, TIMEOUT_S / 2)
