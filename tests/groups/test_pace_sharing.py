"""Tests of the sharing of a target's limit between hosts."""

import testtools

from knapweedtally.core.groups import pace_sharing
from knapweedtally.core.groups import pacing

NOW_S = 100.0
LIFE = 7
_Phase = pacing.Phase


def make_pace(limit=4, phase=_Phase.STEADY, is_healthy=False):
    pace = pacing.Pace(4, limit=limit, phase=phase)
    if is_healthy:
        pace.healthy_s, pace.healthy_since_s = NOW_S - 0.1, NOW_S - 5.0
    pace.measured_s = NOW_S
    return pace


def make_figure(limit, phase=_Phase.REDUCED, age_s=0.1, **changes):
    figure = pace_sharing.Figure(LIFE, limit, phase, 1, False, NOW_S - age_s)
    return figure._replace(**changes)


def find(pace, host="b", **figures):
    return pace_sharing.find_allowance(pace, host, LIFE, figures, NOW_S)


class AllowanceTests(testtools.TestCase):
    """Which part of the limit a host gets."""

    def test_alone_it_gets_everything(self):
        self.assertEqual((4, 4), find(make_pace()))

    def test_smallest_figure_counts_and_the_parts_add_up(self):
        # A lost remainder would leave slots idle; three hosts share four.
        figures = {name: make_figure(4) for name in ("a", "c")}
        shares = [
            find(make_pace(), host, **figures).share for host in ("b", "d")
        ]
        figures = {name: make_figure(4) for name in ("b", "c")}
        shares[1] = find(make_pace(), "a", **figures).share
        self.assertEqual([1, 2], shares)
        self.assertEqual((2, 1), find(make_pace(), a=make_figure(2)))

    def test_each_host_gets_at_least_one(self):
        figures = {f"a{i}": make_figure(1) for i in range(9)}
        self.assertEqual((1, 1), find(make_pace(), **figures))

    def test_old_figure_of_a_frozen_host_is_not_used(self):
        figure = make_figure(1, age_s=2.1)
        self.assertEqual((4, 4), find(make_pace(), a=figure))

    def test_figure_of_another_life_is_not_used(self):
        figure = make_figure(1, life=LIFE - 1)
        self.assertEqual((4, 4), find(make_pace(), a=figure))

    def test_host_without_work_takes_no_part(self):
        # Its figure doesn't grow, so it would hold the others back.
        figure = make_figure(1, in_flight=0)
        self.assertEqual((4, 4), find(make_pace(), a=figure))

    def test_primary_keeps_its_slots(self):
        pace = make_pace()
        pace.floor = 4
        self.assertEqual((4, 2), find(pace, a=make_figure(1)))


class MergeTests(testtools.TestCase):
    """Whose figure is taken over."""

    def merge(self, pace, figure):
        return pace_sharing.merge_figure(pace, figure, LIFE, NOW_S)

    def test_new_holder_takes_over_a_slow_start(self):
        # Its own start would send the slots at once to a cold target.
        pace = make_pace()
        self.merge(pace, make_figure(2, _Phase.SLOW_START))
        self.assertEqual((2, _Phase.SLOW_START), (pace.limit, pace.phase))

    def test_host_that_was_cut_off_does_not_slow_the_others_down(self):
        # It begins a slow start although the target was never down.
        figure = make_figure(1, _Phase.SLOW_START)
        pace = make_pace(is_healthy=True)
        self.assertIsNone(self.merge(pace, figure))
        self.assertTrue(pace_sharing.is_contradicted(pace, figure, NOW_S))
        self.assertEqual(4, find(pace, a=figure).limit)

    def test_host_that_was_cut_off_takes_over_a_healthy_figure(self):
        pace = make_pace(1, _Phase.SLOW_START)
        figure = make_figure(6, _Phase.STEADY, has_seen_healthy=True)
        self.merge(pace, figure)
        self.assertEqual((4, _Phase.STEADY), (pace.limit, pace.phase))

    def test_healthy_figure_of_an_earlier_life_is_not_taken_over(self):
        # The target restarted; what was seen before says nothing.
        pace = make_pace(1, _Phase.SLOW_START)
        figure = make_figure(
            4, _Phase.STEADY, has_seen_healthy=True, life=LIFE - 1
        )
        self.assertIsNone(self.merge(pace, figure))
        self.assertEqual(1, pace.limit)


class MessageTests(testtools.TestCase):
    """Figures arrive as sent, and nothing else is taken for one."""

    def encode(self):
        return pace_sharing.encode_figure(
            "i-1", make_pace(2, _Phase.REDUCED), LIFE, NOW_S + 0.25
        )

    def test_round_trip(self):
        target, figure = pace_sharing.decode_figure(self.encode(), NOW_S + 1)
        self.assertEqual("i-1", target)
        expected = pace_sharing.Figure(
            LIFE, 2, _Phase.REDUCED, 0, False, NOW_S + 0.75
        )
        self.assertEqual(expected, figure)

    def test_malformed_payloads_are_refused(self):
        bad = [None, 7, "x", {}, [], self.encode()[:-1], [*self.encode(), 1]]
        values = (None, -1, 2**70, 0.5, True, float("nan"), [], "x" * 300)
        for index in range(7):
            for value in values:
                if (index, value) == (5, True):
                    continue
                payload = self.encode()
                payload[index] = value
                bad.append(payload)
        for payload in bad:
            self.assertRaises(
                pace_sharing.MalformedFigure,
                pace_sharing.decode_figure,
                payload,
                NOW_S,
            )
