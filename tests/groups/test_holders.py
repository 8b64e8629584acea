"""Tests of which hosts hold connections to a target."""

import testtools

from knapweedtally.core.groups import holders

HOSTS = {f"h{number}": f"dc{number % 3}" for number in range(58)}


class HoldersTest(testtools.TestCase):
    """Few connections are shared by many hosts."""

    def test_every_host_holds_its_own_while_there_are_enough(self) -> None:
        few = {name: HOSTS[name] for name in list(HOSTS)[:9]}
        held_by = holders.list_holders("t", few, 14)
        self.assertEqual(held_by, frozenset(few))
        self.assertEqual(holders.list_ways("t", "h0", few, held_by), [])

    def test_holders_fit_the_limit_and_stand_in_every_data_centre(self) -> None:
        held_by = holders.list_holders("t", HOSTS, 30)
        self.assertLessEqual(len(held_by) * holders.CONNECTIONS_PER_HOLDER, 30)
        self.assertEqual({HOSTS[name] for name in held_by}, set(HOSTS.values()))

    def test_ways_begin_in_the_own_data_centre(self) -> None:
        held_by = holders.list_holders("t", HOSTS, 30)
        for host in set(HOSTS) - held_by:
            ways = holders.list_ways("t", host, HOSTS, held_by)
            self.assertEqual(len(ways), holders.MAX_WAYS)
            self.assertEqual(HOSTS[ways[0]], HOSTS[host])

    def test_hosts_share_the_ways(self) -> None:
        held_by = holders.list_holders("t", HOSTS, 30)
        first = [
            holders.list_ways("t", host, HOSTS, held_by)[0]
            for host in set(HOSTS) - held_by
        ]
        self.assertEqual(set(first), held_by)

    def test_most_holders_stay_when_a_host_goes(self) -> None:
        held_by = holders.list_holders("t", HOSTS, 30)
        gone = sorted(held_by)[0]
        left = {name: HOSTS[name] for name in HOSTS if name != gone}
        self.assertEqual(
            len(holders.list_holders("t", left, 30) & held_by),
            len(held_by) - 1,
        )
