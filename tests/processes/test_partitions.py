"""Network partitions between a data centre and the rest of the system."""

import json
import pathlib
import tempfile
from typing import NamedTuple

from knapweedtally.core import errors
from tests.history import model
from tests.processes import partitionable_host
from tests.processes import recorder
from tests.processes import scenario as scenarios

Caller = recorder.Caller
Scenario = scenarios.Scenario
PREFIXES = ("127.0.1.", "127.0.2.", "127.0.3.")
MAX_AGE_MS = 60_000
REQUEST_TIMEOUT_MS = 1_000
SERVED = "served"


class Side(NamedTuple):
    """Answers on one side of the partition.

    Attributes:
        write: answer to a write.
        own_read: answer to a read with a token and the bundle's maximum age.
        tight_read: answer to such a read with a maximum age that no replica
            meets.
        current_read: answer to a read without a token.
    """

    write: str
    own_read: str
    tight_read: str
    current_read: str


class PartitionTests(scenarios.ScenarioTestCase):
    def setUp(self):
        super().setUp()
        with tempfile.NamedTemporaryFile(delete=False) as file:
            file.write(b"[]")
        self.cuts_file = pathlib.Path(file.name)
        self.addCleanup(self.cuts_file.unlink)
        self.layout = scenarios.LAYOUT._replace(
            group_options={
                "max_age_ms": MAX_AGE_MS,
                "request_timeout_ms": REQUEST_TIMEOUT_MS,
            },
            host_module="tests.processes.partitionable_host",
            host_environment={partitionable_host.CUTS_VARIABLE: file.name},
        )
        self.sides: dict[str, Side] = {}

    def test_data_centre_of_the_primary_is_cut_off(self):
        async def inject_faults(scenario: Scenario) -> None:
            callers = await make_probe_callers(scenario)
            await self.isolate_data_centre(scenario, 0)
            await scenario.wait_for_primary(excluded=scenario.targets[0])
            await self.probe_both_sides(scenario, 0, callers)
            await self.heal_partition(scenario)
            await scenario.wait_for_replica(scenario.targets[0])

        self.run_scenario(inject_faults, self.layout)
        self.assertEqual(SERVED, self.sides["other"].write)
        self.assertEqual(SERVED, self.sides["other"].own_read)
        self.assertEqual(SERVED, self.sides["other"].tight_read)
        self.assertEqual(SERVED, self.sides["other"].current_read)
        self.assertNotEqual(SERVED, self.sides["cut off"].write)
        self.assertNotEqual(SERVED, self.sides["cut off"].current_read)
        self.assertEqual(SERVED, self.sides["cut off"].own_read)

    def test_data_centre_of_a_replica_is_cut_off(self):
        async def inject_faults(scenario: Scenario) -> None:
            callers = await make_probe_callers(scenario)
            await self.isolate_data_centre(scenario, 2)
            # A transaction that the isolated side left open holds the write
            # lock until the primary closes its connection.
            await scenario.wait_for_write(callers[scenario.hosts[0]])
            await self.probe_both_sides(scenario, 2, callers)
            status = await scenario.fetch_status(scenario.targets[0])
            assert status and status["is_primary"], status
            await self.heal_partition(scenario)
            await scenario.wait_for_replica(scenario.targets[2])

        self.run_scenario(inject_faults, self.layout)
        self.assertEqual(SERVED, self.sides["other"].write)
        self.assertEqual(SERVED, self.sides["other"].tight_read)
        self.assertNotEqual(SERVED, self.sides["cut off"].write)
        self.assertNotEqual(SERVED, self.sides["cut off"].current_read)
        self.assertEqual(SERVED, self.sides["cut off"].own_read)

    def test_transaction_of_the_cut_off_side_releases_its_lock(self):
        async def inject_faults(scenario: Scenario) -> None:
            callers = await make_probe_callers(scenario)
            isolated_host, other = scenario.hosts[2], callers[scenario.hosts[0]]
            caller = scenario.make_caller("blocking", host=isolated_host)
            request, client = await caller.open_transaction(isolated_host)
            await self.isolate_data_centre(scenario, 2)
            await scenario.wait_for_write(other)
            status = await scenario.fetch_status(scenario.targets[0])
            assert status and status["is_primary"], status
            await self.heal_partition(scenario)
            # The COMMIT of the transaction is never sent.
            await client.close()
            answer = model.Answered(0, 0, "", errors.Outcome.NOT_RUN)
            scenario.recorder.record_answer(request, answer)
            for probe in callers.values():
                await probe.close()

        self.run_scenario(inject_faults, self.layout)

    async def isolate_data_centre(
        self, scenario: Scenario, number: int
    ) -> None:
        """Isolate a data centre from the others and from the platform."""
        prefix = PREFIXES[number]
        others = [other for other in PREFIXES if other != prefix]
        for index, target in enumerate(scenario.targets):
            cut = others if index == number else [prefix]
            await scenario.set_target_faults(target, cut=cut)
        await scenario.set_platform_faults(cut=[prefix])
        self.cuts_file.write_text(json.dumps([prefix]))

    async def heal_partition(self, scenario: Scenario) -> None:
        """End the partition."""
        self.cuts_file.write_text("[]")
        for target in scenario.targets:
            await scenario.set_target_faults(target, cut=[])
        await scenario.set_platform_faults(cut=[])

    async def probe_both_sides(
        self, scenario: Scenario, number: int, callers: dict[str, Caller]
    ) -> None:
        """Record the answers of a host on each side of the partition."""
        hosts = scenario.hosts
        other = hosts[(number + 1) % len(hosts)]
        for side, host in (("other", other), ("cut off", hosts[number])):
            self.sides[side] = await probe_host(callers[host])
            print(f"{side}: {self.sides[side]._asdict()}")
        for caller in callers.values():
            await caller.close()


async def make_probe_callers(scenario: Scenario) -> dict[str, Caller]:
    """Return a caller for each host, with a token that replicas satisfy."""
    callers = {}
    for host in scenario.hosts:
        callers[host] = scenario.make_caller(f"probe-{host}", host=host)
        outcome = await callers[host].write()
        assert outcome is errors.Outcome.DONE, outcome
    # Replicating later writes makes every replica receive these, too.
    await scenario.wait_for_progress()
    return callers


async def probe_host(caller: Caller) -> Side:
    """Send one request of each kind and return the answers."""
    own_read = describe_outcome(caller, await caller.read_own_rows())
    tight_read = describe_outcome(
        caller, await caller.read_own_rows(max_age_s=0.001)
    )
    current_read = describe_outcome(caller, await caller.read_without_token())
    write = describe_outcome(caller, await caller.write())
    return Side(write, own_read, tight_read, current_read)


def describe_outcome(caller: Caller, outcome: errors.Outcome | None) -> str:
    """Return the outcome of a request as text."""
    if outcome is errors.Outcome.DONE:
        return SERVED
    assert outcome is not None and caller.last_failure, "no answer"
    return f"{caller.last_failure.sqlstate} {outcome.value}"
