"""The record of a group's members, which outlives entries and hosts.

A target's entry in the store expires, and a host that starts afterwards would
not know of a target that still runs and receives the log. The record keeps the
id and address of each member until a host has found that the member is gone and
that another one has its log.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import model

# Number of hosts that keep a group's record up to date. With two, a change is
# still recorded if one is killed or can't reach the store.
RECORDERS_PER_GROUP = 2

# Delay after which the second recorder records what the first hasn't, in
# seconds.
RECORDER_DELAY_S = 1.0

Members = Mapping[str, model.TargetEntry]


class RecordChange(NamedTuple):
    """A change of a group's record.

    Attributes:
        added: entries of the members that the record lacks.
        removed: ids of the recorded targets that are no longer members.
    """

    added: tuple[model.TargetEntry, ...] = ()
    removed: tuple[str, ...] = ()


def plan_change(
    recorded: Members,
    members: Iterable[catalog.Member],
    released: Collection[str],
) -> RecordChange | None:
    """Return the change that a group's record needs, or None.

    Args:
        recorded: the recorded members by id.
        members: the members of the group that are known.
        released: ids of targets that are gone and whose log another member
            has.
    """
    known = {member.entry.target: member for member in members}
    former = {life for member in known.values() for life in member.former}
    added = tuple(
        member.entry
        for target, member in known.items()
        if target not in recorded and not catalog.is_from_record(member)
    )
    removed = tuple(
        target
        for target in recorded
        if target not in known and (target in former or target in released)
    )
    if not added and not removed:
        return None
    return RecordChange(added, removed)


def apply_change(recorded: Members, change: RecordChange) -> Members:
    """Return the recorded members after a change."""
    kept = {t: e for t, e in recorded.items() if t not in change.removed}
    return kept | {entry.target: entry for entry in change.added}


def format_record(recorded: Members) -> dict[str, Any]:
    """Return a record as it is stored."""
    return {
        "members": {
            target: {
                "address": entry.address,
                "port": entry.port,
                "data_centre": entry.data_centre,
                "slots": entry.slots,
            }
            for target, entry in sorted(recorded.items())
        }
    }


def parse_record(group: str, spec: Any) -> Members | None:
    """Return the members in a stored record, or None if it is invalid."""
    try:
        return {
            str(target): _parse_member(group, str(target), fields)
            for target, fields in spec["members"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _parse_member(group: str, target: str, fields: Any) -> model.TargetEntry:
    return model.TargetEntry(
        target=target,
        revision=catalog.RECORD_REVISION,
        group=group,
        address=str(fields["address"]),
        port=int(fields["port"]),
        data_centre=str(fields["data_centre"]),
        started_ms=0,
        update_count=0,
        is_draining=False,
        is_primary=False,
        slots=int(fields["slots"]),
    )
