"""Tests of the exchange of versions between hosts, in virtual time."""

import random

import testtools

from knapweedtally.core.teams import version_exchange


class VersionExchangeTest(testtools.TestCase):
    """Whom a host asks, and from whom it fetches."""

    def test_nothing_is_asked_or_fetched_while_the_store_answers(self) -> None:
        # Guards against messages of a healthy deployment.
        state = version_exchange.State()
        version_exchange.record_silence(state, False, 1.0)
        version_exchange.receive_offer(state, "b", 9, 1.0)
        asked = version_exchange.choose_hosts_to_ask(state, ["b"], 3, 1.0)
        self.assertEqual((), asked)
        self.assertIsNone(version_exchange.take_fetch(state, 3, 1.0))

    def test_older_and_equal_versions_are_not_fetched(self) -> None:
        # Guards against a revoked key that becomes valid again.
        state = version_exchange.State()
        version_exchange.record_silence(state, True, 1.0)
        for host, version in (("b", 2), ("c", 3), ("d", 5), ("e", 4)):
            version_exchange.receive_offer(state, host, version, 1.0)
        self.assertEqual("d", version_exchange.take_fetch(state, 3, 1.0))
        self.assertIsNone(version_exchange.take_fetch(state, 3, 1.0))
        version_exchange.end_fetch(state)
        self.assertIsNone(version_exchange.take_fetch(state, 5, 1.0))

    def test_first_copy_is_the_newest_of_several_offers(self) -> None:
        # Guards against a start with a version that others have replaced.
        state, none = version_exchange.State(), version_exchange.NO_VERSION
        version_exchange.record_silence(state, True, 1.0)
        version_exchange.receive_offer(state, "b", 3, 1.0)
        self.assertIsNone(version_exchange.take_fetch(state, none, 1.0))
        version_exchange.receive_offer(state, "c", 4, 1.1)
        self.assertEqual("c", version_exchange.take_fetch(state, none, 1.2))

    def test_malformed_versions_are_refused(self) -> None:
        # Guards against errors, and versions that compare by accident.
        for payload in (None, True, "9", 9.0, [9], {}, -2):
            self.assertIsNone(version_exchange.parse_version(payload))

    def test_invented_names_do_not_fill_the_memory(self) -> None:
        state = version_exchange.State()
        version_exchange.record_silence(state, True, 1.0)
        for number in range(2000):
            version_exchange.receive_question(state, str(number), 3, 3, 1.0)
            version_exchange.receive_offer(state, str(number), 9, 1.0)
        limit = version_exchange.MAX_HOSTS
        self.assertEqual(limit, len(state.askers))
        self.assertEqual(limit, len(state.offers))

    def test_one_informed_host_of_86_informs_all_in_time(self) -> None:
        # Guards against a spread by intervals only, which takes 2 to 6 s.
        for seed in range(5):
            self.assertLess(Spread(seed).measure_s(), 1.0)


class Spread:
    """86 hosts without the store, one of which learns of a version."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._states = {str(n): version_exchange.State() for n in range(86)}
        self._versions = dict.fromkeys(self._states, 1)

    def measure_s(self) -> float:
        """Return the time until all hosts have the version."""
        phases_s = {host: self._random.random() for host in self._states}
        for tick in range(400):
            now_s = tick * 0.05
            if now_s == 3.0:
                self._inform("0", now_s)
            for host, phase_s in phases_s.items():
                if now_s >= phase_s:
                    self._ask(host, now_s)
            if min(self._versions.values()) == 2:
                return now_s - 3.0
        raise AssertionError("a host was never informed")

    def _inform(self, host: str, now_s: float) -> None:
        self._versions[host] = 2
        for other in version_exchange.take_hosts_to_notify(
            self._states[host], 2, now_s
        ):
            if self._versions[other] == 1:
                self._inform(other, now_s)

    def _ask(self, host: str, now_s: float) -> None:
        state, version = self._states[host], self._versions[host]
        version_exchange.record_silence(state, True, now_s)
        others = self._random.sample([h for h in self._states if h != host], 85)
        for other in version_exchange.choose_hosts_to_ask(
            state, others, version, now_s
        ):
            if version_exchange.receive_question(
                self._states[other], host, version, self._versions[other], now_s
            ):
                self._inform(host, now_s)
