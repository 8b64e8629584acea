"""Tests of the assignment of a target's connections to hosts."""

import testtools

from knapweedtally.core.groups import connection_holders

HOSTS = {f"h{number}": f"dc{number % 3}" for number in range(58)}


class HoldersTest(testtools.TestCase):
    """Which hosts hold connections, and which of them relay statements."""

    def test_every_host_is_a_holder_while_connections_suffice(self) -> None:
        few_hosts = {name: HOSTS[name] for name in list(HOSTS)[:9]}
        holder_names = connection_holders.list_holders("t", few_hosts, 14)
        self.assertEqual(holder_names, frozenset(few_hosts))
        self.assertEqual(
            connection_holders.list_relays("t", "h0", few_hosts, holder_names),
            [],
        )

    def test_holders_keep_the_limit_and_cover_all_data_centres(self) -> None:
        holder_names = connection_holders.list_holders("t", HOSTS, 30)
        self.assertLessEqual(
            len(holder_names) * connection_holders.CONNECTIONS_PER_HOLDER, 30
        )
        self.assertEqual(
            {HOSTS[name] for name in holder_names}, set(HOSTS.values())
        )

    def test_first_relay_is_in_the_own_data_centre(self) -> None:
        holder_names = connection_holders.list_holders("t", HOSTS, 30)
        for host in set(HOSTS) - holder_names:
            relays = connection_holders.list_relays(
                "t", host, HOSTS, holder_names
            )
            self.assertEqual(len(relays), connection_holders.MAX_RELAYS)
            self.assertEqual(HOSTS[relays[0]], HOSTS[host])

    def test_every_holder_is_the_first_relay_of_a_host(self) -> None:
        holder_names = connection_holders.list_holders("t", HOSTS, 30)
        first_relays = [
            connection_holders.list_relays("t", host, HOSTS, holder_names)[0]
            for host in set(HOSTS) - holder_names
        ]
        self.assertEqual(set(first_relays), holder_names)

    def test_other_holders_are_kept_when_a_holder_leaves(self) -> None:
        holder_names = connection_holders.list_holders("t", HOSTS, 30)
        removed = sorted(holder_names)[0]
        remaining = {name: HOSTS[name] for name in HOSTS if name != removed}
        self.assertEqual(
            len(
                connection_holders.list_holders("t", remaining, 30)
                & holder_names
            ),
            len(holder_names) - 1,
        )
