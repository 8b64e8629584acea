"""Status polling: which members of a group a host polls for their status.

When a primary fails, many hosts lack the same evidence at once. To limit the
load on the targets, a few hosts, the pollers, poll often and share the results
with the other hosts, which poll rarely. Each status request occupies one of the
target's slots.
"""

import dataclasses
from collections.abc import Collection

from knapweedtally.core.groups import evidence

# Age of the evidence at which a poller polls again, early enough to share the
# result with the other hosts before their evidence expires.
POLLER_MAX_EVIDENCE_AGE_S = evidence.EVIDENCE_VALIDITY_S * 0.45

# The same for other hosts, which poll only if the pollers fail to share
# results.
NON_POLLER_MAX_EVIDENCE_AGE_S = evidence.EVIDENCE_VALIDITY_S * 0.8

# Intervals between status requests: of a poller to all members while no primary
# is known, and of another host in any case.
NO_PRIMARY_INTERVAL_S = 0.1
NON_POLLER_INTERVAL_S = evidence.EVIDENCE_VALIDITY_S * 0.5


@dataclasses.dataclass(slots=True)
class PollingState:
    """When a host may poll a group again, and which member is next.

    Attributes:
        next_poll_s: when the next status request is allowed.
        replica_polls: number of rounds in which members other than the primary
            were polled; selects the next of them in round-robin order.
    """

    next_poll_s: float = float("-inf")
    replica_polls: int = 0


def list_members_to_poll(
    state: PollingState,
    leadership: evidence.Leadership,
    members: Collection[str],
    is_poller: bool,
    now_s: float,
) -> list[str]:
    """Return the members to poll now and record that they are polled.

    Args:
        state: when the host may poll again, and which member is next.
        leadership: the evidence to renew.
        members: ids of all members.
        is_poller: whether this host polls for the other hosts.
        now_s: the current time.

    Returns:
        Ids of members; empty if no member is due.
    """
    if now_s < state.next_poll_s:
        return []
    if leadership.target is None or leadership.target not in members:
        due = list(members)
        interval_s = (
            NO_PRIMARY_INTERVAL_S if is_poller else NON_POLLER_INTERVAL_S
        )
    else:
        due = _list_stale(state, leadership, members, is_poller, now_s)
        interval_s = 0.0 if is_poller else NON_POLLER_INTERVAL_S
    if due:
        state.next_poll_s = now_s + interval_s
    return due


def _list_stale(
    state: PollingState,
    leadership: evidence.Leadership,
    members: Collection[str],
    is_poller: bool,
    now_s: float,
) -> list[str]:
    max_age_s = (
        POLLER_MAX_EVIDENCE_AGE_S
        if is_poller
        else NON_POLLER_MAX_EVIDENCE_AGE_S
    )
    due = []
    if leadership.target and now_s - leadership.primary_seen_s > max_age_s:
        due.append(leadership.target)
    others = [member for member in members if member != leadership.target]
    age_s = now_s - leadership.member_seen_s
    if others and age_s > max_age_s:
        state.replica_polls += 1
        has_expired = age_s > evidence.EVIDENCE_VALIDITY_S
        if has_expired and not is_poller:
            # Only answers of all members renew expired evidence, and this host
            # may not poll again soon.
            due += others
        else:
            due.append(others[state.replica_polls % len(others)])
    return due
