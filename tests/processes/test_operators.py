"""Concurrent changes by operators, followed by a platform outage."""

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
MAX_AGES_MS = {"first": 8_000, "second": 9_000}
ROLL_OUT_TIMEOUT_S = 30.0


class OperatorTests(scenarios.ScenarioTestCase):
    def test_concurrent_roll_outs_and_a_switch_before_an_outage(self):
        results: dict[str, roll_outs.Result] = {}
        versions: dict[str, list[int]] = {}

        async def inject_faults(scenario: Scenario) -> None:
            async with anyio.create_task_group() as tasks:
                for name in MAX_AGES_MS:
                    tasks.start_soon(roll_out, scenario, name, results)
                tasks.start_soon(
                    scenario.request_switch,
                    scenario.hosts[0],
                    scenario.targets[1],
                )
            # During the outage hosts learn of the version only from each other,
            # so at least one host has to have it before.
            await wait_for_any_host(scenario, 2)
            await scenario.set_platform_faults(mode="down")
            async with anyio.create_task_group() as watchers:
                watchers.start_soon(record_versions, scenario, versions)
                await wait_for_every_host(scenario, 2)
                await restart_host_without_state(scenario)
                await wait_for_every_host(scenario, 2)
                await scenario.set_platform_faults(mode="up")
                await scenario.wait_for_progress()
                watchers.cancel_scope.cancel()

        self.run_scenario(inject_faults)
        outcomes = [result.outcome for result in results.values()]
        self.assertEqual({ACCEPTED, REFUSED}, set(outcomes), results)
        for found in versions.values():
            self.assertEqual(sorted(found), found)


async def roll_out(
    scenario: Scenario, name: str, results: dict[str, roll_outs.Result]
) -> None:
    """Roll out version 2 of the bundle as one of the operators."""
    client = platform_client.PlatformClient(
        (cluster.PLATFORM_HOST, scenario.system.platform_port)
    )
    bundle = scenario.system.make_bundle(2, max_age_ms=MAX_AGES_MS[name])
    run = roll_outs.RollOut(client, bundle, name, random.Random(1))
    results[name] = await run.run(ROLL_OUT_TIMEOUT_S)
    await client.close()


async def restart_host_without_state(scenario: Scenario) -> None:
    """Restart a host, which then has no bundle and no state."""
    restarted = scenario.hosts[2]
    scenario.system.kill_process(restarted)
    scenario.system.start_proxy(restarted)


async def wait_for_any_host(scenario: Scenario, version: int) -> None:
    """Wait until any host has a version of the bundle in force."""

    async def is_in_force() -> bool:
        for name in scenario.hosts:
            status = await scenario.fetch_from_host(name, "/v1/status")
            if status and status["bundle_version"] == version:
                return True
        return False

    await scenarios.wait_until(is_in_force, f"bundle {version} on a host")


async def wait_for_every_host(scenario: Scenario, version: int) -> None:
    """Wait until every host has a version of the bundle in force."""

    def is_in_force(answer: dict[str, Any]) -> bool:
        return bool(answer["bundle_version"] == version)

    await scenario.wait_for_hosts(
        "/v1/status", is_in_force, f"bundle {version}"
    )


async def record_versions(
    scenario: Scenario, versions: dict[str, list[int]]
) -> None:
    """Record the versions in force by host and incarnation, in order."""
    while True:
        for name in scenario.hosts:
            status = await scenario.fetch_from_host(name, "/v1/status")
            if status:
                key = f"{name}-{status['incarnation']}"
                found = versions.setdefault(key, [])
                found.append(status["bundle_version"])
        await anyio.sleep(scenarios.POLL_INTERVAL_S)
