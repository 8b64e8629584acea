"""Simultaneous failures of two parts while callers are served."""

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
PLATFORM_DELAY_MS = 300


class SimultaneousFailureTests(scenarios.ScenarioTestCase):
    def test_primary_and_host_killed_while_answers_are_lost(self):
        async def inject_faults(scenario: Scenario) -> None:
            primary, host = scenario.targets[0], scenario.hosts[1]
            await scenario.set_platform_faults(lose_answers=2)
            scenario.system.kill_process(primary)
            scenario.system.kill_process(host)
            await scenario.wait_for_primary(excluded=primary)
            await scenario.wait_for_progress()
            scenario.system.start_proxy(host)

        self.run_scenario(inject_faults)

    def test_primary_isolated_while_the_platform_is_slow(self):
        async def inject_faults(scenario: Scenario) -> None:
            isolated = scenario.targets[0]
            await scenario.set_platform_faults(
                mode="slow", delay_ms=PLATFORM_DELAY_MS
            )
            await scenario.set_target_faults(
                isolated, cut=["127.0.2.", "127.0.3."]
            )
            await scenario.wait_for_primary(excluded=isolated)
            await scenario.wait_for_progress()
            await scenario.set_target_faults(isolated, cut=[])
            await scenario.set_platform_faults(mode="up")
            await scenario.wait_for_replica(isolated)

        self.run_scenario(inject_faults)
