"""Failures and planned stops of entry hosts that serve callers."""

import signal

import anyio

from knapweedtally.core import errors
from tests.history import model
from tests.processes import clients
from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
FREEZE_DURATION_S = 5.0
PLATFORM_DELAY_MS = 500
EXIT_TIMEOUT_S = 60.0


class HostFailureTests(scenarios.ScenarioTestCase):
    def test_killed_host_leaves_no_transaction_behind(self):
        async def inject_faults(scenario: Scenario) -> None:
            killed = scenario.hosts[0]
            caller = scenario.make_caller("in-transaction")
            request, client = await caller.open_transaction(killed)
            scenario.system.kill_process(killed)
            try:
                await client.fetch("COMMIT")
            except (*clients.CLIENT_ERRORS, OSError):
                # The host was killed before COMMIT was sent.
                answer = model.Answered(0, 0, "", errors.Outcome.NOT_RUN)
                scenario.recorder.record_answer(request, answer)
            await scenario.wait_for_progress()
            scenario.system.start_proxy(killed)
            await wait_until_ready(scenario)

        self.run_scenario(inject_faults)

    def test_host_frozen_during_its_promotion_breaks_no_guarantee(self):
        async def inject_faults(scenario: Scenario) -> None:
            # A slow platform makes the promotion long enough to be detected.
            await scenario.set_platform_faults(
                mode="slow", delay_ms=PLATFORM_DELAY_MS
            )
            scenario.system.kill_process(scenario.targets[0])
            frozen = await scenario.wait_for_promoting_host()
            scenario.system.send_signal(frozen, signal.SIGSTOP)
            await scenario.set_platform_faults(mode="up")
            await scenario.wait_for_primary(excluded=scenario.targets[0])
            await anyio.sleep(FREEZE_DURATION_S)
            scenario.system.send_signal(frozen, signal.SIGCONT)
            await wait_for_agreement(scenario)

        self.run_scenario(inject_faults)

    def test_host_killed_while_the_primary_is_frozen(self):
        async def inject_faults(scenario: Scenario) -> None:
            frozen = scenario.targets[0]
            killed = scenario.hosts[1]
            scenario.system.send_signal(frozen, signal.SIGSTOP)
            scenario.system.kill_process(killed)
            await scenario.wait_for_primary(excluded=frozen)
            await scenario.wait_for_progress()
            scenario.system.send_signal(frozen, signal.SIGCONT)
            scenario.system.start_proxy(killed)
            await wait_until_ready(scenario)
            await scenario.wait_for_replica(frozen)

        self.run_scenario(inject_faults)


class PlannedStopTests(scenarios.ScenarioTestCase):
    def test_planned_stop_interrupts_no_request(self):
        async def inject_faults(scenario: Scenario) -> None:
            stopped = scenario.hosts[0]
            process = scenario.system.processes[stopped]
            scenario.system.send_signal(stopped, signal.SIGTERM)

            async def has_ended() -> bool:
                return process.poll() is not None

            await scenarios.wait_until(has_ended, f"the end of {stopped}")
            del scenario.system.processes[stopped]
            assert process.returncode == 0, process.returncode

        scenario = self.run_scenario(inject_faults)
        cut_off = [
            failure
            for failure in scenario.list_failures()
            if failure.outcome is not errors.Outcome.NOT_RUN
        ]
        self.assertEqual([], cut_off)


async def wait_until_ready(scenario: Scenario) -> None:
    """Wait until every running host is ready, with a bundle in force."""
    await scenario.wait_for_hosts(
        "/v1/status", lambda answer: answer["is_ready"], "a bundle in force"
    )


async def wait_for_agreement(scenario: Scenario) -> None:
    """Wait until every host knows the primary of the newest term."""
    primary = await scenario.wait_for_primary()
    await scenario.wait_for_hosts(
        "/v1/groups",
        lambda answer: scenarios.find_group(answer)["primary"] == primary,
        f"{primary} as primary",
    )
