"""The promotion lease: only its holder, one host at a time, may promote.

The lease is one object in the store that is replaced by compare-and-swap on its
revision. Each new lease has a higher fencing number than all earlier ones. The
holder measures the duration of the lease from before it sent the claim; other
hosts measure it from when they first saw the claim. Leases therefore never
overlap, whatever the hosts' clocks show.

A store that comes back from an older copy may have lost the last leases, and a
write that was sent before may replace one of the new generation late, if its
revision has been given out again. So a fencing number is made of the generation
and of the revision that the store gave to the claim, and rests on no content.
What the holder of a lost lease still does ends within a lease's duration, for
which the others wait.
"""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core import store_revisions

# How long a lease lasts unless it is renewed. The next holder of an abandoned
# lease has to wait this long, which delays a change of primary whose promoter
# was killed.
LEASE_DURATION_S = 2.0

# The holder stops acting this long before the lease expires, so that a call to
# the platform that is already on its way ends in time.
LEASE_SAFETY_MARGIN_S = 0.8

# Fencing numbers that each generation of the store has for itself, more than it
# makes changes. Those of 9,000 generations are exact as floating-point numbers.
FENCES_PER_GENERATION = 10**12

_UNKNOWN = store_revisions.UNKNOWN_GENERATION


class Lease(NamedTuple):
    """A promotion lease as stored.

    Attributes:
        holder: name of the host that holds the lease.
        incarnation: identifies one start of the holder's process.
        fence: fencing number of the lease.
        is_held: whether the lease is held; False once the holder released it.
        renewals: number of renewals. The store assigns no new revision to an
            object that is replaced by an equal one, so without this count
            other hosts would take a renewed lease for abandoned.
        requested_terms: highest term, by group, for which this holder or an
            earlier one requested a promotion. A target that led an earlier term
            may have been replaced, even if no host has seen its successor.
        generation: the store's generation in which the lease was written, or
            ``UNKNOWN_GENERATION``.
    """

    holder: str
    incarnation: str
    fence: int
    is_held: bool
    renewals: int
    requested_terms: Mapping[str, int] = types.MappingProxyType({})
    generation: int = store_revisions.UNKNOWN_GENERATION


@dataclasses.dataclass(slots=True)
class LeaseRevision:
    """The newest known revision of the lease object.

    Attributes:
        revision: the revision, of the number 0 if the object doesn't exist.
        seen_s: when this host first saw this revision.
    """

    revision: store_revisions.Revision = store_revisions.NO_REVISION
    seen_s: float = 0.0


def record_revision(
    lease_revision: LeaseRevision,
    revision: store_revisions.Revision,
    now_s: float,
) -> None:
    """Record that a revision of the lease object was seen."""
    if revision != lease_revision.revision:
        lease_revision.revision = revision
        lease_revision.seen_s = now_s


def get_claimable_at_s(
    lease: Lease | None,
    lease_revision: LeaseRevision,
    host: str,
    generation: store_revisions.Generation,
) -> float:
    """Return from when on a host may claim the lease.

    If the lease is held in the name of the host itself, it may be claimed at
    once: the process that held it has ended, and so have its connections. A
    lease of an earlier generation may have replaced one that another host has.

    Args:
        lease: the stored lease, or None without one.
        lease_revision: its revision.
        host: name of the host.
        generation: the store's generation. Whoever the lease names, another
            host may hold one that the store has lost.
    """
    claimable_at_s = lease_revision.seen_s
    if lease is not None and (
        (lease.is_held and lease.holder != host)
        or lease.generation not in (_UNKNOWN, generation.number)
    ):
        claimable_at_s += LEASE_DURATION_S
    if generation.number == _UNKNOWN or generation.seen_s is None:
        return claimable_at_s
    return max(claimable_at_s, generation.seen_s + LEASE_DURATION_S)


def make_next_lease(
    lease: Lease | None,
    host: str,
    incarnation: str,
    generation: int = _UNKNOWN,
    requested_terms: Mapping[str, int] = types.MappingProxyType({}),
) -> Lease:
    """Return the lease to store in order to claim it.

    Its fencing number is final once the store has answered, see
    ``number_claim``.

    Args:
        lease: the stored lease, or None without one.
        host: name of the host.
        incarnation: identifies the start of the host's process.
        generation: the store's generation.
        requested_terms: the terms that this host knows of, which the store may
            have lost.
    """
    fence = lease.fence + 1 if lease is not None else 1
    terms = dict(requested_terms)
    if lease is not None:
        for group, term in lease.requested_terms.items():
            terms[group] = max(term, terms.get(group, 0))
    return Lease(host, incarnation, fence, True, 0, terms, generation)


def number_claim(lease: Lease, revision: store_revisions.Revision) -> Lease:
    """Return a claimed lease with its fencing number.

    Args:
        lease: the lease as it was stored to claim it.
        revision: the revision that the store gave to it.
    """
    if revision.generation == _UNKNOWN:
        return lease
    fence = revision.generation * FENCES_PER_GENERATION + revision.number
    return lease._replace(fence=max(lease.fence, fence))


def renew_lease(lease: Lease) -> Lease:
    """Return the lease to store in order to renew it."""
    return lease._replace(renewals=lease.renewals + 1)


def record_request(lease: Lease, group: str, term: int) -> Lease:
    """Return the lease to store before a promotion is requested."""
    known = lease.requested_terms.get(group, 0)
    terms = {**lease.requested_terms, group: max(known, term)}
    return renew_lease(lease)._replace(requested_terms=terms)


def may_act(claimed_s: float, now_s: float) -> bool:
    """Return whether the holder may still act under its lease.

    Args:
        claimed_s: when the claim or the last renewal was sent.
        now_s: the time just before acting.
    """
    return now_s < claimed_s + LEASE_DURATION_S - LEASE_SAFETY_MARGIN_S


def parse_lease(spec: object) -> Lease | None:
    """Return the lease in a stored object, or None if the object is invalid."""
    if not isinstance(spec, dict):
        return None
    holder, incarnation = spec.get("holder"), spec.get("incarnation")
    fence, is_held = spec.get("fence"), spec.get("is_held")
    renewals = spec.get("renewals")
    if not isinstance(holder, str) or not isinstance(incarnation, str):
        return None
    if type(fence) is not int or type(renewals) is not int:
        return None
    if not isinstance(is_held, bool):
        return None
    terms = spec.get("requested_terms") or {}
    if not isinstance(terms, dict):
        return None
    if not all(type(term) is int for term in terms.values()):
        return None
    generation = spec.get("generation", _UNKNOWN)
    if type(generation) is not int:
        return None
    return Lease(
        holder, incarnation, fence, is_held, renewals, terms, generation
    )


def format_lease(lease: Lease) -> dict[str, Any]:
    """Return a lease as it is stored."""
    fields = lease._asdict()
    fields["requested_terms"] = dict(lease.requested_terms)
    if not lease.requested_terms:
        del fields["requested_terms"]
    if lease.generation == _UNKNOWN:
        del fields["generation"]
    return fields
