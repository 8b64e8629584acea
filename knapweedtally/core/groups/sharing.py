"""Share evidence between hosts whose clocks have nothing in common.

A host states the age of its evidence, and which of the receiver's own
messages it had received, and how long ago. Evidence that is younger than that
message is younger, on the receiver's clock, than the moment when the receiver
sent it. So a message that was held up on its way makes evidence look older,
never younger.
"""

import dataclasses
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model

# Two clocks may part by this much in each second.
CLOCK_DRIFT = 2e-4

# Hosts that ask a group's targets for the others. Two, so that one that is
# killed or cut off is not missed.
ASKERS = 2


@dataclasses.dataclass(slots=True)
class PeerClock:
    """Relate another host's clock to this one's.

    Attributes:
        incarnation: start of the other process that the offset is for.
        offset_s: this host's time less the other's, at most.
        noted_s: this host's time when the offset was found, or None.
    """

    incarnation: int = 0
    offset_s: float = 0.0
    noted_s: float | None = None


def note_echo(
    clock: PeerClock,
    incarnation: int,
    sent_s: float,
    echoed_s: float,
    echo_age_s: float,
    now_s: float,
) -> None:
    """Take the offset that an echo shows, if it is the best one known.

    Args:
        clock: what is known of the other host's clock.
        incarnation: start of the other process.
        sent_s: the other host's time when it sent the message.
        echoed_s: this host's time in the message that the other received.
        echo_age_s: how long before ``sent_s`` it received it.
        now_s: this host's time.
    """
    offset_s = echoed_s - (sent_s - echo_age_s)
    if clock.incarnation != incarnation or clock.noted_s is None:
        clock.incarnation = incarnation
    elif offset_s <= get_offset_s(clock, now_s):
        return
    clock.offset_s = offset_s
    clock.noted_s = now_s


def get_offset_s(clock: PeerClock, now_s: float) -> float:
    """Return the offset, less what the clocks may have parted since."""
    assert clock.noted_s is not None
    return clock.offset_s - CLOCK_DRIFT * max(0.0, now_s - clock.noted_s)


class SharedEvidence(NamedTuple):
    """Hold one group's evidence as another host states it.

    Attributes:
        group: name of the group.
        target: id of the primary.
        term: its term.
        primary_age_s: age of the evidence of the primary itself.
        member_age_s: age of the evidence of another member.
        position_age_s: age of the position.
        position: position that the primary answered.
        is_fenced: whether the position is that of a promoter which has
            stopped the group; the rest then says nothing.
        refused_share: share of new requests for the primary to refuse.
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


def make_shared(
    group: str,
    leadership: evidence.Leadership,
    refused_share: float,
    now_s: float,
) -> SharedEvidence | None:
    """Return what this host can tell the others about a group."""
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


def merge_shared(
    leadership: evidence.Leadership,
    shared: SharedEvidence,
    sent_here_s: float,
) -> bool:
    """Take evidence of another host.

    Args:
        leadership: this host's evidence about the group.
        shared: what the other host stated.
        sent_here_s: when it was sent, on this host's clock, at the earliest.

    Returns:
        Whether it shows a new primary or a new term.
    """
    if shared.is_fenced:
        evidence.note_fenced_position(
            leadership,
            shared.term,
            shared.position,
            sent_here_s - shared.position_age_s,
        )
        return False
    primary_s = sent_here_s - shared.primary_age_s
    is_new = evidence.note_primary(
        leadership, shared.target, shared.term, primary_s
    )
    if (leadership.target, leadership.term) != (shared.target, shared.term):
        return False
    member_s = sent_here_s - shared.member_age_s
    leadership.member_seen_s = max(leadership.member_seen_s, member_s)
    evidence.note_position(
        leadership,
        shared.target,
        shared.position,
        sent_here_s - shared.position_age_s,
    )
    return is_new


def rank_hosts(group: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in a group's order, by rendezvous hashing."""
    return sorted(
        hosts, key=lambda host: zlib.crc32(f"{group}/{host}".encode())
    )
