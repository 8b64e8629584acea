"""Tests of the duty to promote."""

import testtools

from knapweedtally.core.groups import duty

HELD = duty.Turn("a", "1", 4, True, 0)


class TurnTest(testtools.TestCase):
    """Turns of the duty don't overlap, and their numbers rise."""

    def test_number_rises_with_each_turn(self) -> None:
        turn = duty.make_next_turn(HELD, "b", "2")
        self.assertEqual(turn.fence, 5)
        again = duty.make_next_turn(turn, "b", "2")
        self.assertEqual(again.fence, 6)

    def test_held_duty_is_free_a_turn_after_it_was_seen(self) -> None:
        sighting = duty.Sighting()
        duty.note_seen(sighting, 7, 100.0)
        duty.note_seen(sighting, 7, 101.0)
        free_at_s = duty.get_free_at_s(HELD, sighting, "b")
        self.assertEqual(free_at_s, 100.0 + duty.TURN_S)

    def test_renewal_starts_the_wait_anew(self) -> None:
        sighting = duty.Sighting()
        duty.note_seen(sighting, 7, 100.0)
        duty.note_seen(sighting, 8, 101.0)
        free_at_s = duty.get_free_at_s(HELD, sighting, "b")
        self.assertEqual(free_at_s, 101.0 + duty.TURN_S)

    def test_renewal_is_another_object(self) -> None:
        renewed = duty.renew_turn(HELD)
        self.assertNotEqual(renewed._asdict(), HELD._asdict())
        self.assertEqual(renewed.fence, HELD.fence)

    def test_duty_given_back_is_free_at_once(self) -> None:
        sighting = duty.Sighting()
        duty.note_seen(sighting, 7, 100.0)
        free = HELD._replace(is_held=False)
        self.assertEqual(duty.get_free_at_s(free, sighting, "b"), 100.0)

    def test_holder_stops_before_others_may_begin(self) -> None:
        claimed_s = 100.0
        self.assertTrue(duty.may_act(claimed_s, 100.5))
        last_s = claimed_s + duty.TURN_S - duty.STOP_BEFORE_S
        self.assertFalse(duty.may_act(claimed_s, last_s))

    def test_foreign_object_holds_no_turn(self) -> None:
        for spec in (
            None,
            3,
            {},
            {"holder": 1},
            HELD._asdict() | {"fence": "4"},
        ):
            self.assertIsNone(duty.parse_turn(spec))
        self.assertEqual(duty.parse_turn(HELD._asdict()), HELD)
