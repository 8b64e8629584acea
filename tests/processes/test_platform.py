"""Failures of the platform under callers."""

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
SLOW_MS = 400


class PlatformFailureTests(scenarios.ScenarioTestCase):
    def test_writes_go_on_without_the_platform(self):
        async def disturb(scenario: Scenario) -> None:
            await scenario.set_platform_faults(mode="down")
            await scenario.wait_progress()
            await scenario.set_platform_faults(mode="slow", delay_ms=SLOW_MS)
            await scenario.wait_progress()
            await scenario.set_platform_faults(mode="up", lose_answers=4)
            await scenario.wait_progress()

        self.run_scenario(disturb)

    def test_promotion_ends_once_the_platform_is_back(self):
        async def disturb(scenario: Scenario) -> None:
            await scenario.set_platform_faults(mode="down")
            scenario.system.kill(scenario.targets[0])
            await scenario.find_promoter()
            await scenario.set_platform_faults(mode="up")
            await scenario.wait_primary(unlike=scenario.targets[0])

        self.run_scenario(disturb)

    def test_promotion_on_a_slow_platform(self):
        async def disturb(scenario: Scenario) -> None:
            await scenario.set_platform_faults(mode="slow", delay_ms=SLOW_MS)
            scenario.system.kill(scenario.targets[0])
            await scenario.wait_primary(unlike=scenario.targets[0])
            await scenario.set_platform_faults(mode="up")

        self.run_scenario(disturb)

    def test_lost_answers_give_one_promotion(self):
        expected_term = 2

        async def disturb(scenario: Scenario) -> None:
            await scenario.set_platform_faults(lose_answers=2)
            scenario.system.kill(scenario.targets[0])
            await scenario.wait_primary(unlike=scenario.targets[0])
            await scenario.wait_progress()
            group = await scenario.call_platform(
                "GET", f"/objects/group/{scenarios.GROUP}"
            )
            assert group["value"]["term"] == expected_term, group

        self.run_scenario(disturb)

    def test_primary_killed_while_a_slow_platform_loses_answers(self):
        async def disturb(scenario: Scenario) -> None:
            await scenario.set_platform_faults(
                mode="slow", delay_ms=SLOW_MS, lose_answers=3
            )
            scenario.system.kill(scenario.targets[0])
            await scenario.wait_primary(unlike=scenario.targets[0])
            await scenario.set_platform_faults(mode="up", lose_answers=0)

        self.run_scenario(disturb)
