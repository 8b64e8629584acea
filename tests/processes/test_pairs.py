"""Two failures at one time under callers."""

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
SLOW_MS = 300


class PairTests(scenarios.ScenarioTestCase):
    def test_primary_and_host_killed_while_answers_are_lost(self):
        async def disturb(scenario: Scenario) -> None:
            primary, host = scenario.targets[0], scenario.hosts[1]
            await scenario.set_platform_faults(lose_answers=2)
            scenario.system.kill(primary)
            scenario.system.kill(host)
            await scenario.wait_primary(unlike=primary)
            await scenario.wait_progress()
            scenario.system.start_proxy(host)

        self.run_scenario(disturb)

    def test_primary_isolated_while_the_platform_is_slow(self):
        async def disturb(scenario: Scenario) -> None:
            isolated = scenario.targets[0]
            await scenario.set_platform_faults(mode="slow", delay_ms=SLOW_MS)
            await scenario.set_target_faults(
                isolated, cut=["127.0.2.", "127.0.3."]
            )
            await scenario.wait_primary(unlike=isolated)
            await scenario.wait_progress()
            await scenario.set_target_faults(isolated, cut=[])
            await scenario.set_platform_faults(mode="up")
            await scenario.wait_replica(isolated)

        self.run_scenario(disturb)
