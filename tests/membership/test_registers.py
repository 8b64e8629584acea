"""Differential tests of the register store against a reference."""

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import model
from knapweedtally.core.membership import messages
from knapweedtally.core.membership import registers
from knapweedtally.core.membership import state as membership_state
from tests.membership import naive

VERSIONS = strategies.tuples(
    strategies.integers(0, 3), strategies.integers(0, 5)
)
REGISTERS = strategies.builds(
    naive.build_register,
    strategies.sampled_from(["group", "target", "observation"]),
    strategies.sampled_from(["a", "b", "c", "d"]),
    VERSIONS,
)


def fill_store(
    items: list[model.Register],
) -> membership_state.RegisterStore:
    store = membership_state.RegisterStore()
    for item in items:
        registers.put_register(store, item)
    return store


def read_store(
    store: membership_state.RegisterStore,
) -> dict[tuple[str, str], model.Register]:
    return {key: entry.register for key, entry in store.entries.items()}


class RegisterStoreTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.lists(REGISTERS))
    def test_store_holds_the_highest_version_of_each_key(
        self, items: list[model.Register]
    ) -> None:
        expected = naive.pick_highest(items)
        self.assertEqual(expected, read_store(fill_store(items)))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.lists(REGISTERS), strategies.randoms())
    def test_hash_depends_on_content_and_not_on_order(
        self, items: list[model.Register], random: object
    ) -> None:
        shuffled = list(items)
        random.shuffle(shuffled)
        first, second = fill_store(items), fill_store(shuffled)
        self.assertEqual(first.hashes, second.hashes)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.lists(REGISTERS), strategies.lists(REGISTERS))
    def test_digests_reveal_exactly_the_registers_a_peer_lacks(
        self, ours: list[model.Register], theirs: list[model.Register]
    ) -> None:
        store, other = fill_store(ours), fill_store(theirs)
        for kind in registers.KINDS:
            for digest in registers.build_digests(other, kind):
                for key in registers.list_missing_keys(store, digest):
                    newer = store.entries[key].register
                    self.assertTrue(registers.put_register(other, newer))
        both = naive.pick_highest([*ours, *theirs])
        self.assertEqual(both, read_store(other))

    def test_digests_of_a_large_kind_are_bounded_and_cover_all_names(
        self,
    ) -> None:
        items = [
            naive.build_register("group", f"g{number:05}", (1,))
            for number in range(2 * registers.MAX_DIGEST_ENTRIES + 1)
        ]
        digests = list(registers.build_digests(fill_store(items), "group"))
        self.assertEqual(3, len(digests))
        empty = membership_state.RegisterStore()
        for digest in digests:
            self.assertLessEqual(
                len(digest.entries), registers.MAX_DIGEST_ENTRIES
            )
            self.assertTrue(
                registers.has_newer_entry(empty, "group", digest.entries)
            )
        extra = [
            naive.build_register("group", name, (1,))
            for name in ("a", "g00999x", "z")
        ]
        missing = [
            key
            for digest in digests
            for key in registers.list_missing_keys(fill_store(extra), digest)
        ]
        self.assertEqual([("group", item.name) for item in extra], missing)

    def test_digests_omit_dead_hosts(self) -> None:
        dead = model.Register("host", "h", (1, 2), {"status": "dead"})
        store = fill_store([dead])
        digest = messages.Digest("host", "", "", (), False)
        self.assertEqual([], registers.list_missing_keys(store, digest))
        stale = messages.DigestEntry("h", (1, 0))
        digest = digest._replace(entries=(stale,))
        self.assertEqual(
            [("host", "h")], registers.list_missing_keys(store, digest)
        )
