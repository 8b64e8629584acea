"""Simulated changes of primary by several hosts.

They guard against the loss of a commit that a caller was told of.
"""

from collections.abc import Collection
from collections.abc import Iterable

import testtools

from tests.groups import multi_host_simulation

_Fault = multi_host_simulation.Fault

SEEDS = range(12)


class SimulationTest(testtools.TestCase):
    """No told commit is missing from the log of a promoted target."""

    def assert_keeps_commits(
        self, faults: Collection[_Fault], seeds: Iterable[int]
    ) -> None:
        losses = []
        for seed in seeds:
            world = multi_host_simulation.run(seed, frozenset(faults))
            losses += [f"seed {seed}: {text}" for text in world.losses[:1]]
        self.assertEqual(losses, [])

    def test_promotions_take_effect_and_commits_are_told(self) -> None:
        worlds = [
            multi_host_simulation.run(seed, frozenset()) for seed in SEEDS
        ]
        self.assertGreater(sum(len(w.effects) for w in worlds), len(SEEDS))
        self.assertGreater(sum(w.told_count for w in worlds), 500 * len(SEEDS))

    def test_no_commit_is_lost_without_further_faults(self) -> None:
        self.assert_keeps_commits((), SEEDS)

    def test_same_seed_gives_the_same_run(self) -> None:
        faults = multi_host_simulation.LATE_PROMOTIONS
        traces = [multi_host_simulation.run(5, faults).trace for _ in range(2)]
        self.assertEqual(traces[0], traces[1])
