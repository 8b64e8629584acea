"""Failures of targets under callers."""

import signal
from typing import Any

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
LAG_MS = 3000
RECEIVE_LAG_MS = 300


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

    def test_planned_change_gives_no_error(self):
        async def disturb(scenario: Scenario) -> None:
            preferred = scenario.targets[1]
            response = await scenario.switch(scenario.hosts[0], preferred)
            assert response.status in (200, 202), response.body
            primary = await scenario.wait_primary(unlike=scenario.targets[0])
            assert primary == preferred, primary

        scenario = self.run_scenario(disturb)
        self.assertEqual([], scenario.list_failures())


class LagTests(scenarios.ScenarioTestCase):
    def test_replicas_far_behind_serve_nothing_stale(self):
        shares: dict[str, float] = {}

        async def disturb(scenario: Scenario) -> None:
            counts = await count_reads(scenario)
            await scenario.wait_progress(10)
            shares["fresh"] = compute_share(counts, await count_reads(scenario))
            for target in scenario.targets[1:]:
                await scenario.set_target_faults(target, apply_lag_ms=LAG_MS)
            counts = await count_reads(scenario)
            await scenario.wait_progress(10)
            shares["lagging"] = compute_share(
                counts, await count_reads(scenario)
            )
            for target in scenario.targets[1:]:
                await scenario.set_target_faults(
                    target, apply_lag_ms=0, receive_lag_ms=RECEIVE_LAG_MS
                )
            await scenario.wait_progress()
            for target in scenario.targets[1:]:
                await scenario.set_target_faults(target, receive_lag_ms=0)

        self.run_scenario(disturb)
        self.assertLess(shares["lagging"], shares["fresh"], shares)


class LeavingTests(scenarios.ScenarioTestCase):
    def test_target_leaving_by_the_bundle_gets_no_new_work(self):
        async def disturb(scenario: Scenario) -> None:
            leaving = scenario.targets[2]
            await scenario.system.roll_out(2, leaving=[leaving])
            await check_idle(scenario, leaving)

        self.run_scenario(disturb)

    def test_target_leaving_by_the_platforms_list_gets_no_new_work(self):
        async def disturb(scenario: Scenario) -> None:
            leaving = scenario.targets[2]
            member = scenario.system.targets[leaving]
            await scenario.call_platform(
                "PUT",
                f"/hosts/{leaving}",
                {
                    "address": member.host,
                    "port": member.port,
                    "data_centre": member.data_centre,
                    "state": "leaving",
                },
            )
            await check_idle(scenario, leaving)

        self.run_scenario(disturb)


async def check_idle(scenario: Scenario, target: str) -> None:
    """Check that no statement reaches a target once it leaves everywhere."""

    def is_known(answer: dict[str, Any]) -> bool:
        found = next(t for t in answer["targets"] if t["id"] == target)
        return bool(found["is_leaving"])

    await scenario.wait_hosts("/v1/targets", is_known, f"{target} leaving")
    # What was under way when the last host learned of it has an answer then.
    await scenario.wait_progress()
    before = await scenario.command(target, "SELECT kt_counters()")
    await scenario.wait_progress(10)
    after = await scenario.command(target, "SELECT kt_counters()")
    assert before == after, f"{target} got new work: {before}, then {after}"
    assert before["statements"] > 0, f"{target} never had any work"


async def count_reads(scenario: Scenario) -> dict[str, int]:
    """Return the eligible reads of all hosts by who served them."""
    counts = {"primary": 0, "replica": 0}
    for name in scenario.hosts:
        status = await scenario.fetch_host(name, "/v1/status")
        for server in counts:
            key = f"eligible reads by {server}"
            counts[server] += status["counters"].get(key, 0)
    return counts


def compute_share(before: dict[str, int], after: dict[str, int]) -> float:
    """Return the share of replicas in the reads between two counts."""
    delta = {name: after[name] - before[name] for name in after}
    return delta["replica"] / max(1, sum(delta.values()))
