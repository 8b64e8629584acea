"""The record of a group's members, which outlives entries and hosts.

A target's entry in the store expires, and a host that starts afterwards would
not know of a target that still runs and receives the log. The record keeps the
id and address of each member until a host has found that the member is gone and
that another one has its log. It also names the last primary, whose log is the
proof by which a group can be led again if other members are gone for good.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import model

MAX_PORT = 65535

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
        primary: the last primary, or None if the recorded one stays.
    """

    added: tuple[model.TargetEntry, ...] = ()
    removed: tuple[str, ...] = ()
    primary: last_primary.LastPrimary | None = None


def plan_change(
    recorded: Members,
    members: Iterable[catalog.Member],
    released: Collection[str],
    recorded_primary: last_primary.LastPrimary | None = None,
    primary: last_primary.LastPrimary | None = None,
    generation: int = store_revisions.UNKNOWN_GENERATION,
) -> RecordChange | None:
    """Return the change that a group's record needs, or None.

    Args:
        recorded: the recorded members by id.
        members: the members of the group that are known.
        released: ids of targets that are gone and whose log another member
            has.
        recorded_primary: the recorded last primary, or None.
        primary: the last primary that is known, or None.
        generation: the store's generation in which the record was read.
    """
    known = {member.entry.target: member for member in members}
    added = tuple(
        member.entry
        for target, member in known.items()
        if target not in recorded and not _is_unrecorded(member, generation)
    )
    removed = tuple(
        target
        for target in recorded
        if target not in known and target in released
    )
    new_primary = _find_new_primary(recorded_primary, primary)
    if not added and not removed and new_primary is None:
        return None
    return RecordChange(added, removed, new_primary)


def _is_unrecorded(member: catalog.Member, generation: int) -> bool:
    """Return whether a member is known only from a record that dropped it.

    A record of an earlier generation of the store hasn't dropped it: the store
    has lost that record.
    """
    return (
        catalog.is_from_record(member)
        and member.entry.revision.generation == generation
    )


def _find_new_primary(
    recorded: last_primary.LastPrimary | None,
    known: last_primary.LastPrimary | None,
) -> last_primary.LastPrimary | None:
    """Return the known last primary if the record has to name it."""
    if known is None or recorded is None:
        return known
    is_newer = known.term > recorded.term
    is_successor = (
        known.term == recorded.term and known.target != recorded.target
    )
    is_confirmed = (
        known.term == recorded.term and known.generation > recorded.generation
    )
    return known if is_newer or is_successor or is_confirmed else None


def apply_change(recorded: Members, change: RecordChange) -> Members:
    """Return the recorded members after a change."""
    kept = {t: e for t, e in recorded.items() if t not in change.removed}
    return kept | {entry.target: entry for entry in change.added}


def format_record(
    recorded: Members, primary: last_primary.LastPrimary | None = None
) -> dict[str, Any]:
    """Return a record as it is stored."""
    fields = (
        {}
        if primary is None
        else {"primary": last_primary.format_last_primary(primary)}
    )
    return fields | {
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


def parse_record(
    group: str,
    spec: Any,
    generation: int = store_revisions.UNKNOWN_GENERATION,
) -> Members | None:
    """Return the members in a stored record, or None if it is invalid.

    Earlier builds recorded targets whose entry named an impossible port.
    Nothing runs there, so these are no members.

    Args:
        group: name of the group.
        spec: the stored value.
        generation: the store's generation in which it was read.
    """
    try:
        revision = store_revisions.Revision(generation, catalog.RECORD_NUMBER)
        members = (
            _parse_member(group, str(target), fields, revision)
            for target, fields in spec["members"].items()
        )
        return {
            member.target: member
            for member in members
            if 0 < member.port <= MAX_PORT
        }
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def parse_primary(spec: Any) -> last_primary.LastPrimary | None:
    """Return the last primary in a stored record, or None if it has none."""
    if not isinstance(spec, dict):
        return None
    return last_primary.parse_last_primary(spec.get("primary"))


def _parse_member(
    group: str, target: str, fields: Any, revision: store_revisions.Revision
) -> model.TargetEntry:
    return model.TargetEntry(
        target=target,
        revision=revision,
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
