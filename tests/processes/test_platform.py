"""Failures of the platform while callers are served."""

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
PLATFORM_DELAY_MS = 400


class PlatformFailureTests(scenarios.ScenarioTestCase):
    def test_writes_continue_without_the_platform(self):
        async def inject_faults(scenario: Scenario) -> None:
            await scenario.set_platform_faults(mode="down")
            await scenario.wait_for_progress()
            await scenario.set_platform_faults(
                mode="slow", delay_ms=PLATFORM_DELAY_MS
            )
            await scenario.wait_for_progress()
            await scenario.set_platform_faults(mode="up", lose_answers=4)
            await scenario.wait_for_progress()

        self.run_scenario(inject_faults)

    def test_promotion_completes_once_the_platform_is_up(self):
        async def inject_faults(scenario: Scenario) -> None:
            await scenario.set_platform_faults(mode="down")
            scenario.system.kill_process(scenario.targets[0])
            await scenario.wait_for_promoting_host()
            await scenario.set_platform_faults(mode="up")
            await scenario.wait_for_primary(excluded=scenario.targets[0])

        self.run_scenario(inject_faults)

    def test_promotion_on_a_slow_platform(self):
        async def inject_faults(scenario: Scenario) -> None:
            await scenario.set_platform_faults(
                mode="slow", delay_ms=PLATFORM_DELAY_MS
            )
            scenario.system.kill_process(scenario.targets[0])
            await scenario.wait_for_primary(excluded=scenario.targets[0])
            await scenario.set_platform_faults(mode="up")

        self.run_scenario(inject_faults)

    def test_lost_answers_cause_only_one_promotion(self):
        expected_term = 2

        async def inject_faults(scenario: Scenario) -> None:
            await scenario.set_platform_faults(lose_answers=2)
            scenario.system.kill_process(scenario.targets[0])
            await scenario.wait_for_primary(excluded=scenario.targets[0])
            await scenario.wait_for_progress()
            group = await scenario.call_platform(
                "GET", f"/objects/group/{scenarios.GROUP}"
            )
            assert group["value"]["term"] == expected_term, group

        self.run_scenario(inject_faults)

    def test_primary_killed_while_a_slow_platform_loses_answers(self):
        async def inject_faults(scenario: Scenario) -> None:
            await scenario.set_platform_faults(
                mode="slow", delay_ms=PLATFORM_DELAY_MS, lose_answers=3
            )
            scenario.system.kill_process(scenario.targets[0])
            await scenario.wait_for_primary(excluded=scenario.targets[0])
            await scenario.set_platform_faults(mode="up", lose_answers=0)

        self.run_scenario(inject_faults)
