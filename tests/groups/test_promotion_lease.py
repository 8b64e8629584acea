"""Tests of the promotion lease."""

import testtools

from knapweedtally.core.groups import promotion_lease

HELD = promotion_lease.Lease("a", "1", 4, True, 0)


class LeaseTest(testtools.TestCase):
    """Leases don't overlap, and their fencing numbers increase."""

    def test_fencing_number_increases_with_each_claim(self) -> None:
        claimed = promotion_lease.make_next_lease(HELD, "b", "2")
        self.assertEqual(claimed.fence, 5)
        claimed_again = promotion_lease.make_next_lease(claimed, "b", "2")
        self.assertEqual(claimed_again.fence, 6)

    def test_held_lease_expires_after_its_duration(self) -> None:
        lease_revision = promotion_lease.LeaseRevision()
        promotion_lease.record_revision(lease_revision, 7, 100.0)
        promotion_lease.record_revision(lease_revision, 7, 101.0)
        claimable_at_s = promotion_lease.get_claimable_at_s(
            HELD, lease_revision, "b"
        )
        self.assertEqual(
            claimable_at_s, 100.0 + promotion_lease.LEASE_DURATION_S
        )

    def test_renewal_extends_the_lease(self) -> None:
        lease_revision = promotion_lease.LeaseRevision()
        promotion_lease.record_revision(lease_revision, 7, 100.0)
        promotion_lease.record_revision(lease_revision, 8, 101.0)
        claimable_at_s = promotion_lease.get_claimable_at_s(
            HELD, lease_revision, "b"
        )
        self.assertEqual(
            claimable_at_s, 101.0 + promotion_lease.LEASE_DURATION_S
        )

    def test_renewal_changes_the_stored_object(self) -> None:
        renewed = promotion_lease.renew_lease(HELD)
        self.assertNotEqual(renewed._asdict(), HELD._asdict())
        self.assertEqual(renewed.fence, HELD.fence)

    def test_released_lease_may_be_claimed_at_once(self) -> None:
        lease_revision = promotion_lease.LeaseRevision()
        promotion_lease.record_revision(lease_revision, 7, 100.0)
        released = HELD._replace(is_held=False)
        self.assertEqual(
            promotion_lease.get_claimable_at_s(released, lease_revision, "b"),
            100.0,
        )

    def test_holder_stops_acting_before_its_lease_expires(self) -> None:
        claimed_s = 100.0
        self.assertTrue(promotion_lease.may_act(claimed_s, 100.5))
        last_s = (
            claimed_s
            + promotion_lease.LEASE_DURATION_S
            - promotion_lease.LEASE_SAFETY_MARGIN_S
        )
        self.assertFalse(promotion_lease.may_act(claimed_s, last_s))

    def test_invalid_object_is_no_lease(self) -> None:
        for spec in (
            None,
            3,
            {},
            {"holder": 1},
            HELD._asdict() | {"fence": "4"},
        ):
            self.assertIsNone(promotion_lease.parse_lease(spec))
        self.assertEqual(promotion_lease.parse_lease(HELD._asdict()), HELD)
