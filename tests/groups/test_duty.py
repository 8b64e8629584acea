"""Tests of the promotion lease."""

import testtools

from knapweedtally.core.groups import duty

HELD = duty.Turn("a", "1", 4, True, 0)


class LeaseTest(testtools.TestCase):
    """Leases don't overlap, and their fencing numbers increase."""

    def test_fencing_number_increases_with_each_claim(self) -> None:
        claimed = duty.make_next_turn(HELD, "b", "2")
        self.assertEqual(claimed.fence, 5)
        claimed_again = duty.make_next_turn(claimed, "b", "2")
        self.assertEqual(claimed_again.fence, 6)

    def test_held_lease_expires_after_its_duration(self) -> None:
        sighting = duty.Sighting()
        duty.note_seen(sighting, 7, 100.0)
        duty.note_seen(sighting, 7, 101.0)
        claimable_at_s = duty.get_free_at_s(HELD, sighting, "b")
        self.assertEqual(claimable_at_s, 100.0 + duty.LEASE_DURATION_S)

    def test_renewal_extends_the_lease(self) -> None:
        sighting = duty.Sighting()
        duty.note_seen(sighting, 7, 100.0)
        duty.note_seen(sighting, 8, 101.0)
        claimable_at_s = duty.get_free_at_s(HELD, sighting, "b")
        self.assertEqual(claimable_at_s, 101.0 + duty.LEASE_DURATION_S)

    def test_renewal_changes_the_stored_object(self) -> None:
        renewed = duty.renew_turn(HELD)
        self.assertNotEqual(renewed._asdict(), HELD._asdict())
        self.assertEqual(renewed.fence, HELD.fence)

    def test_released_lease_may_be_claimed_at_once(self) -> None:
        sighting = duty.Sighting()
        duty.note_seen(sighting, 7, 100.0)
        released = HELD._replace(is_held=False)
        self.assertEqual(duty.get_free_at_s(released, sighting, "b"), 100.0)

    def test_holder_stops_acting_before_its_lease_expires(self) -> None:
        claimed_s = 100.0
        self.assertTrue(duty.may_act(claimed_s, 100.5))
        last_s = claimed_s + duty.LEASE_DURATION_S - duty.LEASE_SAFETY_MARGIN_S
        self.assertFalse(duty.may_act(claimed_s, last_s))

    def test_invalid_object_is_no_lease(self) -> None:
        for spec in (
            None,
            3,
            {},
            {"holder": 1},
            HELD._asdict() | {"fence": "4"},
        ):
            self.assertIsNone(duty.parse_turn(spec))
        self.assertEqual(duty.parse_turn(HELD._asdict()), HELD)
