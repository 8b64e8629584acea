"""Simulated changes of primary by several hosts.

They guard against the loss of a commit that a caller was told of.
"""

from collections.abc import Collection
from collections.abc import Iterable

import testtools

from tests.groups import multi_host_simulation

_Fault = multi_host_simulation.Fault

SEEDS = range(12)
MORE_SEEDS = range(40)


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

    def test_no_commit_is_lost_if_one_member_restarts(self) -> None:
        seeds = [15, 65, 77, 108, *SEEDS]
        self.assert_keeps_commits({_Fault.ONE_RESTART}, seeds)

    def test_no_commit_is_lost_if_members_restart(self) -> None:
        # From 64 on, members that were no longer fenced after a restart
        # acknowledged commits until the promotion took effect.
        seeds = [40, 44, 74, 75, 64, 76, 96, 108, 109, 148, 151, 175, 210]
        seeds += [242, 247, 267, 274, 345, 363, *MORE_SEEDS]
        self.assert_keeps_commits({_Fault.RESTARTS}, seeds)

    def test_no_commit_is_lost_if_members_drain_and_restart(self) -> None:
        # As above, with successors of drained members.
        seeds = [59, 96, 175, 218, 225, 308, 357, 376, *MORE_SEEDS]
        faults = {_Fault.MEMBER_DRAINS, _Fault.RESTARTS}
        self.assert_keeps_commits(faults, seeds)

    def test_no_commit_is_lost_under_mixed_faults(self) -> None:
        # 44: a host that started after the notice. 218: the promoter couldn't
        # reach the others when it requested the promotion. 1491, 1661: of two
        # hosts that repeated notices, one was killed and one had just started.
        # 5675, 7056: promotions of two targets took effect one after the other.
        # 20358: one that was requested twice took effect again.
        # The others as above.
        faults = {
            _Fault.RESTARTS,
            _Fault.JOINS,
            _Fault.KILLED_HOSTS,
            _Fault.LATE_EFFECTS,
            _Fault.LOST_ENTRIES,
        }
        seeds = [44, 59, 175, 198, 217, 218, 255, 262, 271, 353, 357, 387]
        seeds += [1491, 1661, 5675, 7056, 20358]
        self.assert_keeps_commits(faults, [*seeds, *MORE_SEEDS])

    def test_no_commit_is_lost_if_a_member_has_no_entry(self) -> None:
        seeds = [16, 27, 41, *SEEDS]
        self.assert_keeps_commits({_Fault.UNLISTED}, seeds)

    def test_no_commit_is_lost_if_the_entry_of_a_member_is_lost(self) -> None:
        seeds = [16, 29, 45, *SEEDS]
        self.assert_keeps_commits({_Fault.LOST_ENTRIES}, seeds)

    def test_no_commit_is_lost_if_a_member_joins(self) -> None:
        # Commits were acknowledged through a member that joined after the
        # others were fenced. 190: the promotion was requested again. 268: a
        # host told callers before the notice arrived.
        seeds = [52, 174, 176, 188, 190, 268, 304, 374, *MORE_SEEDS]
        self.assert_keeps_commits({_Fault.JOINS}, seeds)

    def test_no_commit_is_lost_if_hosts_list_different_members(self) -> None:
        seeds = [15, 16, 22, *SEEDS]
        self.assert_keeps_commits({_Fault.DIFFERENT_LISTS}, seeds)

    def test_no_commit_is_lost_if_promotions_are_late(self) -> None:
        faults = {
            _Fault.LATE_CALLS,
            _Fault.LATE_EFFECTS,
            _Fault.LOST_ANSWERS,
            _Fault.KILLED_HOSTS,
        }
        # 21559, 22092: a request took effect 7 s after it was sent.
        seeds = [18, 62, 213, 21559, 22092, *SEEDS]
        self.assert_keeps_commits(faults, seeds)

    def test_no_commit_is_lost_if_a_successor_starts_empty(self) -> None:
        # 100876: hosts that had restarted counted a fenced successor for the
        # member whose log it lacked.
        faults = {
            _Fault.MEMBER_DRAINS,
            _Fault.STORE_RETURNS,
            _Fault.KILLED_HOSTS,
            _Fault.EMPTY_SUCCESSORS,
        }
        self.assert_keeps_commits(faults, [100876, *MORE_SEEDS])

    def test_no_commit_is_lost_if_the_record_is_older(self) -> None:
        faults = {
            _Fault.MEMBER_DRAINS,
            _Fault.STORE_RETURNS,
            _Fault.KILLED_HOSTS,
            _Fault.NEW_HOSTS,
        }
        self.assert_keeps_commits(faults, SEEDS)

    def test_no_commit_is_lost_if_a_primary_leads_again(self) -> None:
        self.assert_keeps_commits({_Fault.LEADS_AGAIN}, SEEDS)
