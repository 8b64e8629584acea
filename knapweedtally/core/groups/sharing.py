"""Sharing of evidence between hosts whose clocks aren't synchronized.

A host sends the age of its evidence together with an echo: the timestamp of the
last message that it received from the other host, and how long ago that was.
The receiver knows from its own clock when it sent the echoed message, and the
other host received it later than that. From this, the receiver derives the
earliest time on its own clock at which the evidence can have been obtained. A
delayed message makes evidence look older, never younger.
"""

import dataclasses
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model

# Largest drift between two hosts' clocks, in seconds per second.
MAX_CLOCK_DRIFT = 2e-4

# Number of hosts that poll a group's targets for the other hosts. With two, of
# different data centres, the others still get results if one is killed or cut
# off.
POLLERS_PER_GROUP = 2


@dataclasses.dataclass(slots=True)
class PeerClock:
    """The offset between another host's clock and this host's clock.

    Attributes:
        incarnation: identifies the start of the other host's process to which
            the offset applies.
        offset_s: lower bound of this host's time minus the other host's time.
        updated_s: this host's time when the offset was updated, or None.
    """

    incarnation: int = 0
    offset_s: float = 0.0
    updated_s: float | None = None


def update_offset(
    clock: PeerClock,
    incarnation: int,
    sent_s: float,
    echoed_s: float,
    echo_age_s: float,
    now_s: float,
) -> None:
    """Update the offset from an echo if this gives a higher lower bound.

    Args:
        clock: the offset to update.
        incarnation: identifies the start of the other host's process.
        sent_s: the other host's time when it sent the message with the echo.
        echoed_s: this host's time when it sent the echoed message.
        echo_age_s: how long before ``sent_s`` the other host received the
            echoed message.
        now_s: this host's current time.
    """
    offset_s = echoed_s - (sent_s - echo_age_s)
    if clock.incarnation != incarnation or clock.updated_s is None:
        clock.incarnation = incarnation
    elif offset_s <= get_offset_s(clock, now_s):
        return
    clock.offset_s = offset_s
    clock.updated_s = now_s


def get_offset_s(clock: PeerClock, now_s: float) -> float:
    """Return the offset minus the largest clock drift since its update."""
    assert clock.updated_s is not None
    return clock.offset_s - MAX_CLOCK_DRIFT * max(0.0, now_s - clock.updated_s)


class SharedEvidence(NamedTuple):
    """One group's evidence as sent to other hosts.

    Attributes:
        group: name of the group.
        target: id of the primary.
        term: term of the primary.
        primary_age_s: age of the evidence from the primary itself.
        member_age_s: age of the evidence from other members.
        position_age_s: age of the position.
        position: log position in the primary's answer.
        is_fenced: whether the position comes from a promoter that has fenced
            the group; only group, term, position and position_age_s are
            then used.
        refused_share: share of new requests for the primary to refuse.
        change: what a notice about a change of primary says. With one, only
            group, target, term, position and position_age_s are used, and
            the target is that of the promotion.
    """

    group: str
    target: str
    term: int
    primary_age_s: float
    member_age_s: float
    position_age_s: float
    position: model.Position
    is_fenced: bool = False
    refused_share: float = 0.0
    change: change_notices.Stage = change_notices.Stage.NONE


def make_shared_notice(
    group: str, notice: change_notices.Notice, age_s: float
) -> SharedEvidence:
    """Return a notice about a change of primary to share."""
    return SharedEvidence(
        group,
        notice.target,
        notice.term,
        0.0,
        0.0,
        age_s,
        notice.position,
        change=notice.stage,
    )


def make_shared_evidence(
    group: str,
    leadership: evidence.Leadership,
    refused_share: float,
    now_s: float,
) -> SharedEvidence | None:
    """Return the evidence about a group to share, or None without any."""
    if leadership.target is None or not leadership.positions:
        return None
    position_s, position = leadership.positions[-1]
    return SharedEvidence(
        group,
        leadership.target,
        leadership.term,
        now_s - leadership.primary_seen_s,
        now_s - leadership.member_seen_s,
        now_s - position_s,
        position,
        refused_share=refused_share,
    )


def merge_shared_evidence(
    leadership: evidence.Leadership,
    shared: SharedEvidence,
    sent_local_s: float,
) -> bool:
    """Merge evidence that another host shared into this host's evidence.

    Args:
        leadership: this host's evidence about the group.
        shared: the other host's evidence.
        sent_local_s: earliest time, on this host's clock, at which the other
            host can have sent it.

    Returns:
        Whether there is a new primary or a new term.
    """
    if shared.is_fenced:
        evidence.record_fenced_position(
            leadership,
            shared.term,
            shared.position,
            sent_local_s - shared.position_age_s,
        )
        return False
    primary_s = sent_local_s - shared.primary_age_s
    is_new = evidence.record_primary(
        leadership, shared.target, shared.term, primary_s
    )
    if (leadership.target, leadership.term) != (shared.target, shared.term):
        return False
    member_s = sent_local_s - shared.member_age_s
    leadership.member_seen_s = max(leadership.member_seen_s, member_s)
    evidence.record_position(
        leadership,
        shared.target,
        shared.position,
        sent_local_s - shared.position_age_s,
    )
    return is_new


def rank_hosts(group: str, hosts: Mapping[str, str]) -> list[str]:
    """Return the hosts in order of rank for a group, by rendezvous hashing.

    The second one is the first of another data centre, so that the others keep
    a poller if one data centre is cut off. Evidence that ends can be renewed by
    an answer of all members only, and those that are cut off don't answer.

    Args:
        group: name of the group.
        hosts: data centres of the hosts by name.
    """
    ranked = sorted(
        hosts, key=lambda host: zlib.crc32(f"{group}/{host}".encode())
    )
    second = next((h for h in ranked if hosts[h] != hosts[ranked[0]]), None)
    if second is not None:
        ranked.remove(second)
        ranked.insert(1, second)
    return ranked
