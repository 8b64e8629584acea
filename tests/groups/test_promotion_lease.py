"""Tests of the promotion lease."""

import json

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import promotion_lease

GENERATION = 5


def make_revision(number: int) -> store_revisions.Revision:
    return store_revisions.Revision(GENERATION, number)


def get_claimable_at_s(
    lease: promotion_lease.Lease | None,
    revision: promotion_lease.LeaseRevision,
    seen_s: float = 0.0,
) -> float:
    """Return when host b may claim, with the time of the generation."""
    generation = store_revisions.Generation(GENERATION, seen_s)
    return promotion_lease.get_claimable_at_s(lease, revision, "b", generation)


HELD = promotion_lease.Lease("a", "1", 4, True, 0)


class RequestTest(testtools.TestCase):
    """The terms for which promotions were requested."""

    # Guards against a former primary whose log is taken for complete because
    # nobody who sees its successor can be heard.
    def test_requested_terms_stay_with_the_next_holders(self) -> None:
        lease = promotion_lease.Lease("h1", "a", 3, True, 0)
        lease = promotion_lease.record_request(lease, "g", 4)
        lease = promotion_lease.record_request(lease, "g", 2)
        spec = json.loads(json.dumps(promotion_lease.format_lease(lease)))
        read = promotion_lease.parse_lease(spec)
        assert read is not None
        claimed = promotion_lease.make_next_lease(read, "h2", "b")
        self.assertEqual(claimed.requested_terms, {"g": 4})
        self.assertEqual((read.renewals, claimed.fence), (2, 4))

    def test_malformed_terms_make_the_lease_unreadable(self) -> None:
        lease = promotion_lease.Lease("h1", "a", 3, True, 0)
        spec = promotion_lease.format_lease(lease)
        self.assertNotIn("requested_terms", spec)
        for terms in ([1], {"g": "4"}):
            broken = {**spec, "requested_terms": terms}
            self.assertIsNone(promotion_lease.parse_lease(broken))


class LeaseTest(testtools.TestCase):
    """Leases don't overlap, and their fencing numbers increase."""

    def test_fencing_number_increases_with_each_claim(self) -> None:
        claimed = promotion_lease.make_next_lease(HELD, "b", "2")
        self.assertEqual(claimed.fence, 5)
        claimed_again = promotion_lease.make_next_lease(claimed, "b", "2")
        self.assertEqual(claimed_again.fence, 6)

    def test_held_lease_expires_after_its_duration(self) -> None:
        lease_revision = promotion_lease.LeaseRevision()
        promotion_lease.record_revision(lease_revision, make_revision(7), 100.0)
        promotion_lease.record_revision(lease_revision, make_revision(7), 101.0)
        claimable_at_s = get_claimable_at_s(HELD, lease_revision)
        self.assertEqual(
            claimable_at_s, 100.0 + promotion_lease.LEASE_DURATION_S
        )

    def test_renewal_extends_the_lease(self) -> None:
        lease_revision = promotion_lease.LeaseRevision()
        promotion_lease.record_revision(lease_revision, make_revision(7), 100.0)
        promotion_lease.record_revision(lease_revision, make_revision(8), 101.0)
        claimable_at_s = get_claimable_at_s(HELD, lease_revision)
        self.assertEqual(
            claimable_at_s, 101.0 + promotion_lease.LEASE_DURATION_S
        )

    def test_renewal_changes_the_stored_object(self) -> None:
        renewed = promotion_lease.renew_lease(HELD)
        self.assertNotEqual(renewed._asdict(), HELD._asdict())
        self.assertEqual(renewed.fence, HELD.fence)

    def test_released_lease_may_be_claimed_at_once(self) -> None:
        lease_revision = promotion_lease.LeaseRevision()
        promotion_lease.record_revision(lease_revision, make_revision(7), 100.0)
        released = HELD._replace(is_held=False)
        self.assertEqual(get_claimable_at_s(released, lease_revision), 100.0)

    def test_claim_waits_for_the_holder_of_a_lease_that_the_store_lost(
        self,
    ) -> None:
        # Two hosts acted at the same time after the store came back older.
        revision = promotion_lease.LeaseRevision(make_revision(7), 100.0)
        for lease in (None, HELD._replace(is_held=False)):
            self.assertEqual(
                99.0 + promotion_lease.LEASE_DURATION_S,
                get_claimable_at_s(lease, revision, seen_s=99.0),
            )

    def test_released_lease_of_an_earlier_generation_may_hide_another(
        self,
    ) -> None:
        # A release that was sent before the store's return came into effect
        # late, in place of a lease that is held.
        late = HELD._replace(is_held=False, generation=4)
        revision = promotion_lease.LeaseRevision(make_revision(7), 100.0)
        self.assertEqual(
            100.0 + promotion_lease.LEASE_DURATION_S,
            get_claimable_at_s(late, revision, seen_s=50.0),
        )

    def test_fencing_number_rests_on_the_revision_of_the_claim(self) -> None:
        # The stored number was that of before the return, so that the next
        # claim got the same number as one of another host.
        claimed = promotion_lease.make_next_lease(HELD, "b", "2", GENERATION)
        per_generation = promotion_lease.FENCES_PER_GENERATION
        numbered = promotion_lease.number_claim(claimed, make_revision(7))
        self.assertEqual(GENERATION * per_generation + 7, numbered.fence)

    def test_terms_that_the_store_lost_are_stored_again(self) -> None:
        claimed = promotion_lease.make_next_lease(
            HELD._replace(requested_terms={"g": 4, "h": 2}),
            "b",
            "2",
            GENERATION,
            {"g": 5, "i": 1},
        )
        self.assertEqual({"g": 5, "h": 2, "i": 1}, claimed.requested_terms)

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
