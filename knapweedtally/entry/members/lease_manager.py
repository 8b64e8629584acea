"""The promotion lease of this host, an object in the store."""

import asyncio
import random

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import promotion_lease
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import store
from knapweedtally.platform import store_calls

LEASE_KIND = "knapweedtally-duties"
LEASE_NAME = "promotion"

# The lease is renewed when its last claim or renewal is this old, in seconds.
RENEW_AFTER_S = 0.5


class LeaseLost(Exception):  # noqa: N818 - named after the cause
    """The lease is held by another host, or the store can't be reached."""


class LeaseManager:
    """Claim, renew and release the promotion lease in the store.

    Attributes:
        claimed_s: when the claim or the last renewal was sent.
    """

    def __init__(
        self, client: store.StoreClient, host: str, log: logs.Log
    ) -> None:
        """Create a manager that doesn't hold the lease."""
        self.claimed_s = 0.0
        self._lease = promotion_lease.Lease(host, "", 0, False, 0)
        self._is_fence_stored = False
        self._generation = store_revisions.UNKNOWN_GENERATION
        self._lock = asyncio.Lock()
        self._client = client
        self._host = host
        self._incarnation = f"{random.getrandbits(48):x}"
        self._log = log
        self._revision = promotion_lease.LeaseRevision()

    @property
    def fence(self) -> int:
        """Return the fencing token of the held lease."""
        return self._lease.fence

    async def claim(self) -> None:
        """Claim the lease.

        Raises:
            LeaseLost: another host holds the lease, or the store doesn't
                answer.
        """
        async with self._lock:
            await self._claim()

    async def _claim(self) -> None:
        try:
            lease = await self._read()
            claimable_at_s = promotion_lease.get_claimable_at_s(
                lease, self._revision, self._host, self._client.generation
            )
            if claimable_at_s > clock.get_time_s():
                raise LeaseLost(_explain_wait(lease))
            claimed = promotion_lease.make_next_lease(
                lease,
                self._host,
                self._incarnation,
                self._revision.revision.generation,
                self._lease.requested_terms,
            )
            await self._write(claimed)
        except (store.StoreError, store_calls.MalformedResponse) as error:
            raise LeaseLost(str(error)) from error
        self._lease = promotion_lease.number_claim(
            claimed, self._revision.revision
        )
        self._is_fence_stored = self._lease == claimed
        self._generation = self._revision.revision.generation
        self._log.write("duty_claimed", fence=self.fence)

    async def renew(self) -> None:
        """Renew the held lease if a renewal is due.

        A failed call to the store is tolerated until the lease expires.

        Raises:
            LeaseLost: another host replaced the lease, it expired while the
                store didn't answer, or the store came back from an older copy.
        """
        self.check_generation()
        if clock.get_time_s() - self.claimed_s < RENEW_AFTER_S:
            return
        lease = promotion_lease.renew_lease(self._lease)
        try:
            await self._write(lease)
            self._lease = lease
        except store.GenerationEnded as error:
            raise LeaseLost(str(error)) from error
        except (store.StoreError, store_calls.MalformedResponse) as error:
            if not promotion_lease.may_act(self.claimed_s, clock.get_time_s()):
                raise LeaseLost(str(error)) from error

    def may_act(self) -> bool:
        """Return whether this host may still act under the lease."""
        return not self._has_generation_ended() and promotion_lease.may_act(
            self.claimed_s, clock.get_time_s()
        )

    def check_generation(self) -> None:
        """Ensure that the store still has the lease, as far as is known.

        Raises:
            LeaseLost: the store came back from an older copy.
        """
        if self._has_generation_ended():
            raise LeaseLost("the store came back from an older copy")

    def _has_generation_ended(self) -> bool:
        return self._generation != self._client.generation.number

    def get_requested_term(self, group: str) -> int:
        """Return the highest term requested for a group, or 0."""
        return self._lease.requested_terms.get(group, 0)

    async def record_request(self, group: str, term: int) -> None:
        """Name the term of a promotion that is about to be requested.

        The fencing number of the request is stored with it, from which hosts of
        earlier builds make the next one. If the store doesn't answer, the
        promotion is requested all the same: a group without a primary is worse
        than a proof that rests on memory.

        Raises:
            LeaseLost: another host replaced the lease, or the store came back
                from an older copy.
        """
        self.check_generation()
        is_stored = self.get_requested_term(group) >= term
        if is_stored and self._is_fence_stored:
            return
        lease = promotion_lease.record_request(self._lease, group, term)
        try:
            await self._write(lease)
            self._lease = lease
        except store.GenerationEnded as error:
            raise LeaseLost(str(error)) from error
        except (store.StoreError, store_calls.MalformedResponse) as error:
            self._log.write(
                "store_call_failed", kind=LEASE_KIND, reason=str(error)
            )

    async def release(self) -> None:
        """Release the lease, so that other hosts may claim it at once."""
        lease = self._lease._replace(is_held=False)
        try:
            self.check_generation()
            await self._write(lease)
        except (
            store.StoreError,
            store_calls.MalformedResponse,
            LeaseLost,
        ) as error:
            # The lease expires without a release.
            self._log.write("duty_not_given_back", reason=str(error))

    async def observe(self) -> None:
        """Read the lease, so that a later claim need not wait from then on.

        Used once the store came back from an older copy.

        Raises:
            store.StoreError: the call failed or was refused.
            store_calls.MalformedResponse: the lease can't be parsed.
        """
        async with self._lock:
            await self._read()

    async def _read(self) -> promotion_lease.Lease | None:
        request = store_calls.make_read_request(LEASE_KIND, LEASE_NAME)
        answer = await self._client.send(request)
        if answer.status == 404:
            none = store_revisions.Revision(answer.generation, 0)
            self._record_revision(none)
            return None
        if answer.status != 200:
            raise store.StoreError(
                f"store answered the lease's read with {answer.status}"
            )
        stored = store_calls.parse_object(answer)
        self._record_revision(stored.revision)
        lease = promotion_lease.parse_lease(stored.spec)
        if lease is None:
            raise store_calls.MalformedResponse(
                "the lease's object in the store can't be parsed"
            )
        return lease

    async def _write(self, lease: promotion_lease.Lease) -> None:
        """Replace what was read or written last, or create the object."""
        revision = self._revision.revision
        spec = promotion_lease.format_lease(lease)
        sent_s = clock.get_time_s()
        if revision.number:
            answer = await store.replace_object(
                self._client, LEASE_KIND, LEASE_NAME, spec, revision
            )
        else:
            answer = await store.create_object(
                self._client, LEASE_KIND, LEASE_NAME, spec, revision.generation
            )
        if answer.status not in (200, 201):
            raise LeaseLost(
                "the store rejected the write of the lease: status"
                f" {answer.status}"
            )
        self._record_revision(store_calls.parse_object(answer).revision)
        self._is_fence_stored = True
        self.claimed_s = sent_s

    def _record_revision(self, revision: store_revisions.Revision) -> None:
        promotion_lease.record_revision(
            self._revision, revision, clock.get_time_s()
        )


def _explain_wait(lease: promotion_lease.Lease | None) -> str:
    """Return why the lease can't be claimed yet."""
    if lease is not None and lease.is_held:
        return (
            f"{lease.holder} holds the lease with fencing token {lease.fence}"
        )
    return "the store may have lost a lease that another host holds"
