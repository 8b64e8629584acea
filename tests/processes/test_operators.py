"""Operators who race each other, with an outage right after."""

import random
from typing import Any

import anyio

from bench import cluster
from knapweedtally.management import roll_outs
from knapweedtally.store import client as platform_client
from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
ACCEPTED = roll_outs.Outcome.ACCEPTED
REFUSED = roll_outs.Outcome.REFUSED
AGES_MS = {"first": 8_000, "second": 9_000}
TIMEOUT_S = 30.0


class OperatorTests(scenarios.ScenarioTestCase):
    def test_racing_roll_outs_and_a_switch_before_an_outage(self):
        results: dict[str, roll_outs.Result] = {}
        versions: dict[str, list[int]] = {}

        async def disturb(scenario: Scenario) -> None:
            async with anyio.create_task_group() as tasks:
                for name in AGES_MS:
                    tasks.start_soon(roll_out, scenario, name, results)
                tasks.start_soon(
                    scenario.switch, scenario.hosts[0], scenario.targets[1]
                )
            # Without any host that learned of it, none can pass it on.
            await wait_first(scenario, 2)
            await scenario.set_platform_faults(mode="down")
            async with anyio.create_task_group() as watchers:
                watchers.start_soon(note_versions, scenario, versions)
                await wait_version(scenario, 2)
                await start_empty_host(scenario)
                await wait_version(scenario, 2)
                await scenario.set_platform_faults(mode="up")
                await scenario.wait_progress()
                watchers.cancel_scope.cancel()

        self.run_scenario(disturb)
        outcomes = [result.outcome for result in results.values()]
        self.assertEqual({ACCEPTED, REFUSED}, set(outcomes), results)
        for found in versions.values():
            self.assertEqual(sorted(found), found)


async def roll_out(
    scenario: Scenario, name: str, results: dict[str, roll_outs.Result]
) -> None:
    """Roll out version 2 as one of the operators."""
    client = platform_client.PlatformClient(
        (cluster.PLATFORM_HOST, scenario.system.platform_port)
    )
    bundle = scenario.system.make_bundle(2, max_age_ms=AGES_MS[name])
    run = roll_outs.RollOut(client, bundle, name, random.Random(1))
    results[name] = await run.run(TIMEOUT_S)
    await client.close()


async def start_empty_host(scenario: Scenario) -> None:
    """Replace a host by one that knows nothing."""
    replaced = scenario.hosts[2]
    scenario.system.kill(replaced)
    scenario.system.start_proxy(replaced)


async def wait_first(scenario: Scenario, version: int) -> None:
    """Wait until some host has a version of the bundle in force."""

    async def is_in_force() -> bool:
        for name in scenario.hosts:
            status = await scenario.fetch_host(name, "/v1/status")
            if status and status["bundle_version"] == version:
                return True
        return False

    await scenarios.wait_until(is_in_force, f"bundle {version} on a host")


async def wait_version(scenario: Scenario, version: int) -> None:
    """Wait until every host has a version of the bundle in force."""

    def is_in_force(answer: dict[str, Any]) -> bool:
        return bool(answer["bundle_version"] == version)

    await scenario.wait_hosts("/v1/status", is_in_force, f"bundle {version}")


async def note_versions(
    scenario: Scenario, versions: dict[str, list[int]]
) -> None:
    """Note the versions in force by host and incarnation, in order."""
    while True:
        for name in scenario.hosts:
            status = await scenario.fetch_host(name, "/v1/status")
            if status:
                key = f"{name}-{status['incarnation']}"
                found = versions.setdefault(key, [])
                found.append(status["bundle_version"])
        await anyio.sleep(scenarios.POLL_S)
