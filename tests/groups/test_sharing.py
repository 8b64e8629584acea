"""Tests of the sharing of evidence between hosts."""

import random

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing


class ClockTest(testtools.TestCase):
    """The offset between two hosts' clocks."""

    def test_offset_never_makes_evidence_younger(self) -> None:
        rng = random.Random(1)
        for _ in range(500):
            true_offset_s = rng.uniform(-1e4, 1e4)
            peer = sharing.PeerClock()
            now_s = 100.0
            for _ in range(10):
                sent_s = now_s
                received_s = now_s + rng.uniform(0.0, 2.0)
                answered_s = received_s + rng.uniform(0.0, 2.0)
                now_s = answered_s + rng.uniform(0.0, 2.0)
                sharing.update_offset(
                    peer,
                    1,
                    answered_s - true_offset_s,
                    sent_s,
                    answered_s - received_s,
                    now_s,
                )
                offset_s = sharing.get_offset_s(peer, now_s)
                self.assertLessEqual(offset_s, true_offset_s + 1e-6)

    def test_highest_lower_bound_is_kept(self) -> None:
        peer = sharing.PeerClock()
        sharing.update_offset(peer, 1, 50.0, 99.0, 0.0, 100.0)
        sharing.update_offset(peer, 1, 50.0, 98.0, 0.0, 100.0)
        self.assertEqual(sharing.get_offset_s(peer, 100.0), 49.0)

    def test_restart_of_the_other_host_resets_the_offset(self) -> None:
        peer = sharing.PeerClock()
        sharing.update_offset(peer, 1, 50.0, 99.0, 0.0, 100.0)
        sharing.update_offset(peer, 2, 90.0, 99.0, 0.0, 100.0)
        self.assertEqual(sharing.get_offset_s(peer, 100.0), 9.0)


class MergeTest(testtools.TestCase):
    """Merging of evidence from another host."""

    def make_shared(self, term: int = 3) -> sharing.SharedEvidence:
        return sharing.SharedEvidence(
            "g", "a", term, 0.1, 0.3, 0.1, model.Position(term, 9)
        )

    def test_ages_are_relative_to_when_the_message_was_sent(self) -> None:
        leadership = evidence.Leadership()
        sharing.merge_shared_evidence(leadership, self.make_shared(), 50.0)
        self.assertEqual(
            leadership.valid_until_s, 49.7 + evidence.EVIDENCE_VALIDITY_S
        )
        found = evidence.find_position(leadership, 49.0)
        self.assertEqual(found, model.Position(3, 9))

    def test_lower_term_is_ignored(self) -> None:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "b", 4, 40.0)
        sharing.merge_shared_evidence(leadership, self.make_shared(), 50.0)
        self.assertEqual(leadership.target, "b")
        self.assertLess(leadership.valid_until_s, 0.0)

    def test_older_evidence_changes_nothing(self) -> None:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "a", 3, 60.0)
        evidence.record_member(leadership, "m", "m", 0, 60.0, 60.0)
        sharing.merge_shared_evidence(leadership, self.make_shared(), 50.0)
        self.assertEqual(
            leadership.valid_until_s, 60.0 + evidence.EVIDENCE_VALIDITY_S
        )

    def test_own_evidence_is_shared(self) -> None:
        leadership = evidence.Leadership()
        self.assertIsNone(
            sharing.make_shared_evidence("g", leadership, 0.0, 10.0)
        )
        evidence.record_primary(leadership, "a", 3, 9.9)
        evidence.record_member(leadership, "m", "m", 0, 9.8, 9.8)
        evidence.record_position(leadership, "a", model.Position(3, 9), 9.9)
        shared = sharing.make_shared_evidence("g", leadership, 0.0, 10.0)
        assert shared is not None
        self.assertAlmostEqual(shared.member_age_s, 0.2)


class RankTest(testtools.TestCase):
    """The ranking of hosts, from which the pollers are chosen."""

    def test_rank_does_not_depend_on_the_order_of_hosts(self) -> None:
        hosts = {f"h{number}": f"dc{number % 3}" for number in range(9)}
        ranked = sharing.rank_hosts("g", hosts)
        reverse = dict(reversed(hosts.items()))
        self.assertEqual(sharing.rank_hosts("g", reverse), ranked)
        self.assertNotEqual(sharing.rank_hosts("f", hosts), ranked)

    def test_next_host_takes_the_rank_of_a_removed_one(self) -> None:
        hosts = {f"h{number}": "dc" for number in range(9)}
        ranked = sharing.rank_hosts("g", hosts)
        del hosts[ranked[0]]
        self.assertEqual(sharing.rank_hosts("g", hosts)[0], ranked[1])

    # Guards against a group that nobody polls while a data centre is cut off:
    # its evidence ends, and its primary is replaced for nothing. 75 hosts in
    # three data centres, 890 groups, each data centre cut off in turn.
    def test_each_cut_leaves_a_poller_outside(self) -> None:
        hosts = {f"h{number}": f"dc{number % 3}" for number in range(75)}
        count = sharing.POLLERS_PER_GROUP
        lost = former_lost = 0
        for number in range(890):
            ranked = sharing.rank_hosts(f"g{number}", hosts)
            former = sharing.rank_hosts(f"g{number}", dict.fromkeys(hosts, ""))
            lost += len({hosts[h] for h in ranked[:count]}) == 1
            former_lost += len({hosts[h] for h in former[:count]}) == 1
        self.assertEqual(0, lost)
        self.assertGreater(former_lost, 50)
