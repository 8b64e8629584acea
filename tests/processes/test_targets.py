"""Failures of targets under callers."""

import signal

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario


class PrimaryFailureTests(scenarios.ScenarioTestCase):
    def test_killed_primary_is_replaced(self):
        async def disturb(scenario: Scenario) -> None:
            scenario.system.kill(scenario.targets[0])
            await scenario.wait_primary(unlike=scenario.targets[0])

        self.run_scenario(disturb)

    def test_frozen_primary_comes_back_as_a_replica(self):
        async def disturb(scenario: Scenario) -> None:
            frozen = scenario.targets[0]
            scenario.system.send_signal(frozen, signal.SIGSTOP)
            await scenario.wait_primary(unlike=frozen)
            await scenario.wait_progress()
            scenario.system.send_signal(frozen, signal.SIGCONT)
            await scenario.wait_replica(frozen)

        self.run_scenario(disturb)

    def test_isolated_primary_acknowledges_nothing(self):
        async def disturb(scenario: Scenario) -> None:
            isolated = scenario.targets[0]
            await scenario.set_target_faults(
                isolated, cut=["127.0.2.", "127.0.3."]
            )
            await scenario.wait_primary(unlike=isolated)
            await scenario.wait_progress()
            await scenario.set_target_faults(isolated, cut=[])
            await scenario.wait_replica(isolated)

        self.run_scenario(disturb)
