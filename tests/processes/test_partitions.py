"""A data centre that is cut off from the others and from the platform."""

import json
import pathlib
import tempfile
from typing import NamedTuple

from knapweedtally.core import errors
from tests.history import model
from tests.processes import recorder
from tests.processes import scenario as scenarios
from tests.processes import separable_host

Caller = recorder.Caller
Scenario = scenarios.Scenario
PREFIXES = ("127.0.1.", "127.0.2.", "127.0.3.")
MAX_AGE_MS = 60_000
REQUEST_TIMEOUT_MS = 1_000
SERVED = "served"


class Side(NamedTuple):
    """Hold the answers on one side of the cut.

    Attributes:
        write: to a write.
        own_read: to a read with a token, at the bundle's age.
        tight_read: to the same with an age that no replica keeps to.
        current_read: to a read without a token.
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
        self.cuts = pathlib.Path(file.name)
        self.addCleanup(self.cuts.unlink)
        self.layout = scenarios.LAYOUT._replace(
            group_options={
                "max_age_ms": MAX_AGE_MS,
                "request_timeout_ms": REQUEST_TIMEOUT_MS,
            },
            host_module="tests.processes.separable_host",
            host_environment={separable_host.VARIABLE: file.name},
        )
        self.sides: dict[str, Side] = {}

    def test_data_centre_of_the_primary_is_cut_off(self):
        async def disturb(scenario: Scenario) -> None:
            callers = await make_probes(scenario)
            await self.cut_off(scenario, 0)
            await scenario.wait_primary(unlike=scenario.targets[0])
            await self.probe(scenario, 0, callers)
            await self.heal(scenario)
            await scenario.wait_replica(scenario.targets[0])

        self.run_scenario(disturb, self.layout)
        self.assertEqual(SERVED, self.sides["other"].write)
        self.assertEqual(SERVED, self.sides["other"].own_read)
        self.assertEqual(SERVED, self.sides["other"].tight_read)
        self.assertEqual(SERVED, self.sides["other"].current_read)
        self.assertNotEqual(SERVED, self.sides["cut off"].write)
        self.assertNotEqual(SERVED, self.sides["cut off"].current_read)
        self.assertEqual(SERVED, self.sides["cut off"].own_read)

    def test_data_centre_of_a_replica_is_cut_off(self):
        async def disturb(scenario: Scenario) -> None:
            callers = await make_probes(scenario)
            await self.cut_off(scenario, 2)
            # A transaction that the cut-off side left open holds the write
            # lock until the primary drops its connection.
            await scenario.wait_served(callers[scenario.hosts[0]])
            await self.probe(scenario, 2, callers)
            status = await scenario.fetch_status(scenario.targets[0])
            assert status and status["is_primary"], status
            await self.heal(scenario)
            await scenario.wait_replica(scenario.targets[2])

        self.run_scenario(disturb, self.layout)
        self.assertEqual(SERVED, self.sides["other"].write)
        self.assertEqual(SERVED, self.sides["other"].tight_read)
        self.assertNotEqual(SERVED, self.sides["cut off"].write)
        self.assertNotEqual(SERVED, self.sides["cut off"].current_read)
        self.assertEqual(SERVED, self.sides["cut off"].own_read)

    def test_transaction_of_the_cut_off_side_frees_its_lock(self):
        async def disturb(scenario: Scenario) -> None:
            callers = await make_probes(scenario)
            cut_off, other = scenario.hosts[2], callers[scenario.hosts[0]]
            caller = scenario.make_caller("blocking", host=cut_off)
            request, client = await caller.open_transaction(cut_off)
            await self.cut_off(scenario, 2)
            await scenario.wait_served(other)
            status = await scenario.fetch_status(scenario.targets[0])
            assert status and status["is_primary"], status
            await self.heal(scenario)
            # Its COMMIT is never sent.
            await client.close()
            answer = model.Answered(0, 0, "", errors.Outcome.NOT_RUN)
            scenario.recorder.record_answer(request, answer)
            for probe in callers.values():
                await probe.close()

        self.run_scenario(disturb, self.layout)

    async def cut_off(self, scenario: Scenario, number: int) -> None:
        """Cut a data centre off from the others and from the platform."""
        prefix = PREFIXES[number]
        others = [other for other in PREFIXES if other != prefix]
        for place, target in enumerate(scenario.targets):
            cut = others if place == number else [prefix]
            await scenario.set_target_faults(target, cut=cut)
        await scenario.set_platform_faults(cut=[prefix])
        self.cuts.write_text(json.dumps([prefix]))

    async def heal(self, scenario: Scenario) -> None:
        """Take all cuts out again."""
        self.cuts.write_text("[]")
        for target in scenario.targets:
            await scenario.set_target_faults(target, cut=[])
        await scenario.set_platform_faults(cut=[])

    async def probe(
        self, scenario: Scenario, number: int, callers: dict[str, Caller]
    ) -> None:
        """Note what hosts on both sides answer."""
        hosts = scenario.hosts
        other = hosts[(number + 1) % len(hosts)]
        for side, host in (("other", other), ("cut off", hosts[number])):
            self.sides[side] = await probe_host(callers[host])
            print(f"{side}: {self.sides[side]._asdict()}")
        for caller in callers.values():
            await caller.close()


async def make_probes(scenario: Scenario) -> dict[str, Caller]:
    """Return a caller for each host, with a token that replicas satisfy."""
    callers = {}
    for host in scenario.hosts:
        callers[host] = scenario.make_caller(f"probe-{host}", host=host)
        outcome = await callers[host].write()
        assert outcome is errors.Outcome.DONE, outcome
    # Later writes carry these to every replica.
    await scenario.wait_progress()
    return callers


async def probe_host(caller: Caller) -> Side:
    """Send one request of each kind and note the answers."""
    own_read = describe(caller, await caller.read_own_rows())
    tight_read = describe(caller, await caller.read_own_rows(max_age_s=0.001))
    current_read = describe(caller, await caller.read_without_token())
    write = describe(caller, await caller.write())
    return Side(write, own_read, tight_read, current_read)


def describe(caller: Caller, outcome: errors.Outcome | None) -> str:
    """Return what a request was answered with."""
    if outcome is errors.Outcome.DONE:
        return SERVED
    assert outcome is not None and caller.last_failure, "no answer"
    return f"{caller.last_failure.sqlstate} {outcome.value}"
