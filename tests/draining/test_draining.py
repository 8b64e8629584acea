"""Tests of the planned stop of a proxy."""

from typing import Any

import testtools

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.draining import rules
from knapweedtally.core.draining import state as draining_state

Phase = draining_state.Phase
CONTROL = (
    effects.StopAccepting,
    effects.CloseIdleCallers,
    effects.StopProcess,
)


class DrainTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        identity = state_module.Identity("h1", "dc1", 1)
        self.state = state_module.ProxyState(identity)
        self.state.draining.settings = draining_state.Settings(1.0, 10.0)
        self.state.directory.bundle = model.Bundle(1, "", {})
        self.submit(0.0, events.Ticked())

    def submit(self, at: float, event: Any) -> list[type]:
        result = reducer.decide(self.state, model.Moment(at, 0.5), event)
        return [type(item) for item in result if isinstance(item, CONTROL)]

    def drain(self, at: float) -> list[type]:
        return self.submit(at, draining_events.DrainRequested("SIGTERM"))

    def get_own_status(self) -> str:
        entry = self.state.membership.store.entries["host", "h1"]
        return str(entry.register.value["status"])

    def test_a_serving_proxy_is_ready_once_it_has_a_bundle(self) -> None:
        self.assertTrue(rules.is_ready(self.state))
        self.state.directory.bundle = None
        self.assertFalse(rules.is_ready(self.state))

    def test_the_stop_is_announced_before_connections_are_refused(
        self,
    ) -> None:
        self.assertEqual("live", self.get_own_status())
        self.assertEqual([], self.drain(5.0))
        self.assertFalse(rules.is_ready(self.state))
        self.assertTrue(rules.is_accepting(self.state))
        self.assertEqual("leaving", self.get_own_status())
        self.assertEqual([], self.submit(5.9, events.Ticked()))
        self.assertEqual(
            [effects.StopAccepting, effects.CloseIdleCallers],
            self.submit(6.0, events.Ticked()),
        )
        self.assertFalse(rules.is_accepting(self.state))

    def test_the_process_stops_when_the_last_caller_disconnects(self) -> None:
        self.drain(5.0)
        gone = draining_events.CallersGone()
        self.assertEqual([], self.submit(5.5, gone))
        self.submit(6.0, events.Ticked())
        self.assertEqual([], self.submit(7.0, events.Ticked()))
        self.assertEqual([effects.StopProcess], self.submit(7.1, gone))
        self.assertEqual([], self.submit(7.2, gone))
        self.assertEqual([], self.submit(30.0, events.Ticked()))

    def test_requests_in_flight_may_finish_until_the_timeout(self) -> None:
        self.drain(5.0)
        self.submit(6.0, events.Ticked())
        self.assertEqual([], self.submit(14.9, events.Ticked()))
        self.assertEqual(
            [effects.StopProcess], self.submit(15.0, events.Ticked())
        )

    # Guards against requests of transactions that are cut off at the timeout.
    def test_transactions_are_aborted_while_a_request_can_still_end(
        self,
    ) -> None:
        group = model.Group("fog", (), request_timeout_ms=2_000)
        self.state.directory.bundle = model.Bundle(2, "", {"fog": group})
        self.drain(5.0)
        self.submit(6.0, events.Ticked())
        decided = reducer.decide(
            self.state, model.Moment(12.9, 0.5), events.Ticked()
        )
        self.assertNotIn(effects.AbortTransactions(), decided)
        decided = reducer.decide(
            self.state, model.Moment(13.0, 0.5), events.Ticked()
        )
        self.assertIn(effects.AbortTransactions(), decided)
        gone = draining_events.CallersGone()
        self.assertEqual([effects.StopProcess], self.submit(13.1, gone))

    def test_a_second_request_has_no_effect(self) -> None:
        self.drain(5.0)
        self.submit(6.0, events.Ticked())
        self.assertEqual([], self.drain(8.0))
        self.assertEqual(Phase.CLOSING, self.state.draining.phase)
        self.assertEqual(
            [effects.StopProcess], self.submit(15.0, events.Ticked())
        )

    def test_each_phase_adds_a_decision_record(self) -> None:
        self.drain(5.0)
        self.submit(6.0, events.Ticked())
        self.submit(7.0, draining_events.CallersGone())
        choices = [
            decision.choice
            for decision in self.state.explanations.ring.values()
            if decision.part == "draining"
        ]
        self.assertEqual(["announcing", "closing", "stopped"], choices)
