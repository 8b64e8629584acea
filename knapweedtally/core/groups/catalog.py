"""The configuration in force and the targets that exist."""

import dataclasses
from collections.abc import Iterable

from knapweedtally.core.groups import model

# A target whose entry is missing is used on for this long, in seconds: entries
# lapse while the store is away and are back within about two seconds.
MISSING_GRACE_S = 4.0

# After this, in seconds, a missing target no longer counts as a member whose
# log a promotion has to see.
MEMBER_GRACE_S = 6.0


@dataclasses.dataclass(slots=True)
class Member:
    """Hold one target of the catalogue.

    Attributes:
        entry: newest entry of the target.
        missing_since_s: when its entry was first found missing, or None.
    """

    entry: model.TargetEntry
    missing_since_s: float | None = None


@dataclasses.dataclass(slots=True)
class Catalog:
    """Hold the configuration in force and the known targets.

    Attributes:
        configuration: newest configuration, or None before the first one.
        members: known targets by id.
        is_listed: whether the targets were listed once.
    """

    configuration: model.Configuration | None = None
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    is_listed: bool = False

    def find_route(self, database: str) -> model.Route | None:
        """Return the route of a database in the configuration in force."""
        if self.configuration is None:
            return None
        return self.configuration.routes.get(database)


def put_configuration(
    catalog: Catalog, configuration: model.Configuration
) -> bool:
    """Put a configuration in force unless an equal or newer one is.

    Returns:
        Whether it is in force now.
    """
    current = catalog.configuration
    if current is not None and configuration.version <= current.version:
        return False
    catalog.configuration = configuration
    return True


def put_entry(catalog: Catalog, entry: model.TargetEntry) -> bool:
    """Take a target's entry, unless a newer one is known.

    Returns:
        Whether the target is new or began a new life.
    """
    member = catalog.members.get(entry.target)
    if member is None:
        catalog.members[entry.target] = Member(entry)
        return True
    known = member.entry
    if entry.revision < known.revision:
        return False
    member.missing_since_s = None
    member.entry = entry
    is_elsewhere = (entry.address, entry.port) != (known.address, known.port)
    return is_elsewhere or is_new_life(known, entry)


def is_new_life(known: model.TargetEntry, entry: model.TargetEntry) -> bool:
    """Tell whether a newer entry comes from a target that started again."""
    if entry.started_ms and known.started_ms:
        return entry.started_ms != known.started_ms
    return entry.update < known.update


def find_predecessor(catalog: Catalog, entry: model.TargetEntry) -> str | None:
    """Return the target of the group that was at a new target's address.

    A target that started again under another id, or that took over another's
    log, is found at the same address; the other's process has ended.
    """
    for target, member in catalog.members.items():
        known = member.entry
        if target == entry.target or known.group != entry.group:
            continue
        is_same = (known.address, known.port) == (entry.address, entry.port)
        if is_same and known.revision < entry.revision:
            return target
    return None


def note_missing(catalog: Catalog, target: str, now_s: float) -> None:
    """Record that a target's entry is gone from the store."""
    member = catalog.members.get(target)
    if member is not None and member.missing_since_s is None:
        member.missing_since_s = now_s


def put_list(
    catalog: Catalog, entries: Iterable[model.TargetEntry], now_s: float
) -> list[str]:
    """Take a whole list of entries.

    Returns:
        Ids of the targets that are new or began a new life.
    """
    listed = {entry.target: entry for entry in entries}
    renewed = [
        target for target, entry in listed.items() if put_entry(catalog, entry)
    ]
    for target in catalog.members:
        if target not in listed:
            note_missing(catalog, target, now_s)
    catalog.is_listed = True
    return renewed


def forget_gone(catalog: Catalog, now_s: float) -> list[str]:
    """Drop the targets that have been missing for long and return their ids."""
    gone = [
        target
        for target, member in catalog.members.items()
        if member.missing_since_s is not None
        and now_s - member.missing_since_s > MEMBER_GRACE_S
    ]
    for target in gone:
        del catalog.members[target]
    return gone


def is_usable(member: Member, now_s: float) -> bool:
    """Tell whether a target may still get work, apart from draining."""
    missing_since_s = member.missing_since_s
    return missing_since_s is None or now_s - missing_since_s < MISSING_GRACE_S


def list_members(catalog: Catalog, group: str) -> list[Member]:
    """Return the known targets of a group."""
    return [
        member
        for member in catalog.members.values()
        if member.entry.group == group
    ]
