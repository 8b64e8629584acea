"""Failures of targets while callers are served."""

import signal
from typing import Any

from tests.processes import scenario as scenarios

Scenario = scenarios.Scenario
APPLY_LAG_MS = 3000
RECEIVE_LAG_MS = 300


class PrimaryFailureTests(scenarios.ScenarioTestCase):
    def test_killed_primary_is_replaced(self):
        async def inject_faults(scenario: Scenario) -> None:
            scenario.system.kill_process(scenario.targets[0])
            await scenario.wait_for_primary(excluded=scenario.targets[0])

        self.run_scenario(inject_faults)

    def test_frozen_primary_returns_as_a_replica(self):
        async def inject_faults(scenario: Scenario) -> None:
            frozen = scenario.targets[0]
            scenario.system.send_signal(frozen, signal.SIGSTOP)
            await scenario.wait_for_primary(excluded=frozen)
            await scenario.wait_for_progress()
            scenario.system.send_signal(frozen, signal.SIGCONT)
            await scenario.wait_for_replica(frozen)

        self.run_scenario(inject_faults)

    def test_isolated_primary_acknowledges_nothing(self):
        async def inject_faults(scenario: Scenario) -> None:
            isolated = scenario.targets[0]
            await scenario.set_target_faults(
                isolated, cut=["127.0.2.", "127.0.3."]
            )
            await scenario.wait_for_primary(excluded=isolated)
            await scenario.wait_for_progress()
            await scenario.set_target_faults(isolated, cut=[])
            await scenario.wait_for_replica(isolated)

        self.run_scenario(inject_faults)

    def test_planned_switch_causes_no_error(self):
        async def inject_faults(scenario: Scenario) -> None:
            preferred = scenario.targets[1]
            response = await scenario.request_switch(
                scenario.hosts[0], preferred
            )
            assert response.status in (200, 202), response.body
            primary = await scenario.wait_for_primary(
                excluded=scenario.targets[0]
            )
            assert primary == preferred, primary

        scenario = self.run_scenario(inject_faults)
        self.assertEqual([], scenario.list_failures())


class LagTests(scenarios.ScenarioTestCase):
    def test_lagging_replicas_serve_no_stale_data(self):
        replica_shares: dict[str, float] = {}

        async def inject_faults(scenario: Scenario) -> None:
            counts = await count_reads(scenario)
            await scenario.wait_for_progress(10)
            replica_shares["fresh"] = compute_replica_share(
                counts, await count_reads(scenario)
            )
            for target in scenario.targets[1:]:
                await scenario.set_target_faults(
                    target, apply_lag_ms=APPLY_LAG_MS
                )
            counts = await count_reads(scenario)
            await scenario.wait_for_progress(10)
            replica_shares["lagging"] = compute_replica_share(
                counts, await count_reads(scenario)
            )
            for target in scenario.targets[1:]:
                await scenario.set_target_faults(
                    target, apply_lag_ms=0, receive_lag_ms=RECEIVE_LAG_MS
                )
            await scenario.wait_for_progress()
            for target in scenario.targets[1:]:
                await scenario.set_target_faults(target, receive_lag_ms=0)

        self.run_scenario(inject_faults)
        self.assertLess(
            replica_shares["lagging"], replica_shares["fresh"], replica_shares
        )


class LeavingTargetTests(scenarios.ScenarioTestCase):
    def test_target_leaving_by_the_bundle_gets_no_new_work(self):
        async def inject_faults(scenario: Scenario) -> None:
            leaving = scenario.targets[2]
            await scenario.system.roll_out_bundle(2, leaving=[leaving])
            await check_no_new_work(scenario, leaving)

        self.run_scenario(inject_faults)

    def test_target_leaving_by_the_platforms_list_gets_no_new_work(self):
        async def inject_faults(scenario: Scenario) -> None:
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
            await check_no_new_work(scenario, leaving)

        self.run_scenario(inject_faults)


async def check_no_new_work(scenario: Scenario, target: str) -> None:
    """Check that a target gets no statements once all hosts see it leaving."""

    def is_marked(answer: dict[str, Any]) -> bool:
        found = next(t for t in answer["targets"] if t["id"] == target)
        return bool(found["is_leaving"])

    await scenario.wait_for_hosts("/v1/targets", is_marked, f"{target} leaving")
    # By then, requests that were in flight when the last host learned of it
    # have been answered.
    await scenario.wait_for_progress()
    before = await scenario.run_command(target, "SELECT kt_counters()")
    await scenario.wait_for_progress(10)
    after = await scenario.run_command(target, "SELECT kt_counters()")
    assert before == after, f"{target} got new work: {before}, then {after}"
    assert before["statements"] > 0, f"{target} never had any work"


async def count_reads(scenario: Scenario) -> dict[str, int]:
    """Return the number of eligible reads on all hosts by serving role."""
    counts = {"primary": 0, "replica": 0}
    for name in scenario.hosts:
        status = await scenario.fetch_from_host(name, "/v1/status")
        for server in counts:
            key = f"eligible reads by {server}"
            counts[server] += status["counters"].get(key, 0)
    return counts


def compute_replica_share(
    before: dict[str, int], after: dict[str, int]
) -> float:
    """Return the share of reads between two counts that replicas served."""
    delta = {name: after[name] - before[name] for name in after}
    return delta["replica"] / max(1, sum(delta.values()))
