"""Tests of the counters by team."""

import testtools

from knapweedtally.entry.common import metrics


class TeamCounterTest(testtools.TestCase):
    """Series by team, whose number is bounded."""

    def test_smaller_teams_are_summed(self) -> None:
        # Guards against a series for each of any number of teams, and against
        # counts that get lost with them.
        counters = metrics.Metrics()
        for number in range(150):
            for _ in range(number + 1):
                counters.increment_team("n", f"team-{number}")
        lines = counters.format_text({}).splitlines()
        self.assertEqual(101, len(lines))
        self.assertIn('knapweedtally_n_total{team="other"} 1275', lines)
        self.assertIn('knapweedtally_n_total{team="team-149"} 150', lines)

    def test_number_of_counted_teams_is_bounded(self) -> None:
        # Guards against memory that grows with teams that come and go.
        counter = metrics.TeamCounter()
        for number in range(5000):
            counter.increment(str(number))
        self.assertLessEqual(len(counter._counts), metrics.MAX_COUNTED_TEAMS)
        self.assertEqual(
            5000, sum(count for _, count in counter.list_largest())
        )

    def test_name_that_would_end_the_label_is_escaped(self) -> None:
        # Guards against metrics that can't be read for one team's name.
        counters = metrics.Metrics()
        counters.increment_team("n", 'a"\\\n')
        self.assertEqual(
            'knapweedtally_n_total{team="a\\"\\\\\\n"} 1\n',
            counters.format_text({}),
        )
