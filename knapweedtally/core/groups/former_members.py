"""Targets that were members, or are known only from a group's record.

A departed member is gone, and a replaced one has lost its address to another
member. Both are counted on until a member is known to have their log; then they
are released.
"""

import itertools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import model


def release_departed(
    catalog: catalog_module.Catalog, target: str, now_s: float
) -> None:
    """Stop counting on a departed member whose log another member has."""
    departed = catalog.departed.pop(target)
    _release(catalog, departed.entry, now_s)


def release_replaced(
    catalog: catalog_module.Catalog, target: str, now_s: float
) -> None:
    """Forget a replaced member whose log another member has."""
    replaced = catalog.replaced.pop(target)
    _release(catalog, replaced.entry, now_s)


def _release(
    catalog: catalog_module.Catalog, entry: model.TargetEntry, now_s: float
) -> None:
    _forget_released(catalog, now_s)
    catalog.released[entry.target] = catalog_module.ReleasedMember(entry, now_s)


def _forget_released(catalog: catalog_module.Catalog, now_s: float) -> None:
    """Forget the members that were released too long ago to be checked."""
    expired = [
        target
        for target, released in catalog.released.items()
        if now_s - released.released_s > catalog_module.RELEASED_CHECK_S
    ]
    for target in expired:
        del catalog.released[target]


def list_released(
    catalog: catalog_module.Catalog, group: str, now_s: float
) -> dict[str, model.TargetEntry]:
    """Return the released members of a group that may still answer.

    One whose address another member has doesn't run.
    """
    _forget_released(catalog, now_s)
    occupied = catalog_module.list_occupied(catalog)
    return {
        target: released.entry
        for target, released in catalog.released.items()
        if released.entry.group == group
        and catalog_module.get_address(released.entry) not in occupied
    }


def check_replaced(
    catalog: catalog_module.Catalog, group: str, now_s: float
) -> dict[str, catalog_module.ReplacedMember]:
    """Return the replaced members of a group whose log may be missing."""
    for target, replaced in catalog.replaced.items():
        if replaced.replaced_s is None:
            catalog.replaced[target] = replaced._replace(replaced_s=now_s)
    return {
        target: replaced
        for target, replaced in catalog.replaced.items()
        if replaced.entry.group == group
    }


def list_successors(
    catalog: catalog_module.Catalog, group: str
) -> frozenset[str]:
    """Return the members that may lack the log of one that they replaced."""
    former = [
        *(replaced.entry for replaced in catalog.replaced.values()),
        *_list_recorded(catalog, group),
    ]
    lives = {
        (catalog_module.get_address(entry), entry.target) for entry in former
    }
    return frozenset(
        member.entry.target
        for member in catalog_module.list_members(catalog, group)
        if any(
            address == catalog_module.get_address(member.entry)
            and target != member.entry.target
            for address, target in lives
        )
    )


def list_duplicates(
    catalog: catalog_module.Catalog, group: str, answering: Collection[str]
) -> frozenset[str]:
    """Return the recorded targets for whose place another one stands.

    Targets at one address are lives of one member. Which of them was the last
    isn't known if neither has an entry: one that answers, or any, stands for
    all of them.

    Args:
        catalog: what is known.
        group: name of the group.
        answering: ids of the targets that answer.
    """
    lives = sorted(
        _list_recorded(catalog, group),
        key=lambda entry: (entry.target not in answering, entry.target),
    )
    occupied = catalog_module.list_occupied(catalog)
    duplicates = set()
    for entry in lives:
        address = catalog_module.get_address(entry)
        if address in occupied:
            duplicates.add(entry.target)
        occupied.add(address)
    return frozenset(duplicates)


def add_unlisted(
    catalog: catalog_module.Catalog,
    entries: Iterable[model.TargetEntry],
    now_s: float,
) -> tuple[str, ...]:
    """Add targets without an entry in the store that may be members.

    A target whose address another member has by now is none, but its log may be
    needed.

    Args:
        catalog: what is known.
        entries: the last known entries of the targets, from a group's record.
        now_s: the current time.

    Returns:
        The ids of the targets that were added.
    """
    occupied = catalog_module.list_occupied(catalog)
    known = {*catalog.members, *catalog.departed, *catalog.replaced}
    added = []
    for entry in entries:
        target = entry.target
        _confirm_recorded(catalog, entry)
        if target in known:
            continue
        if (
            target in catalog.hidden
            or catalog_module.get_address(entry) in occupied
        ):
            if target not in catalog.released:
                catalog.replaced[target] = catalog_module.ReplacedMember(
                    entry, now_s
                )
            continue
        catalog.released.pop(target, None)
        catalog.members[target] = catalog_module.Member(
            entry, missing_since_s=now_s
        )
        added.append(target)
    return tuple(added)


def _confirm_recorded(
    catalog: catalog_module.Catalog, entry: model.TargetEntry
) -> None:
    """Record in which generation of the store a record last named a target."""
    target = entry.target
    member = catalog.members.get(target)
    if member is not None and catalog_module.is_from_record(member):
        confirmed = member.entry._replace(revision=entry.revision)
        catalog.members[target] = member._replace(entry=confirmed)
    replaced = catalog.replaced.get(target)
    if replaced is not None and catalog_module.is_recorded(replaced.entry):
        confirmed = replaced.entry._replace(revision=entry.revision)
        catalog.replaced[target] = replaced._replace(entry=confirmed)


def drop_unrecorded(
    catalog: catalog_module.Catalog,
    group: str,
    recorded: Collection[str],
    generation: int,
) -> tuple[str, ...]:
    """Drop targets that were known only from a record which now lacks them.

    A record that was read in a later generation of the store may be older than
    the one that named them, which the store has lost.

    Args:
        catalog: what is known.
        group: name of the group.
        recorded: ids of the targets in the record.
        generation: the store's generation in which the record was read.

    Returns:
        The ids of the targets that were dropped.
    """
    revision = store_revisions.Revision(
        generation, catalog_module.RECORD_NUMBER
    )
    dropped = tuple(
        entry.target
        for entry in _list_recorded(catalog, group)
        if entry.revision == revision and entry.target not in recorded
    )
    for target in dropped:
        catalog.members.pop(target, None)
        catalog.departed.pop(target, None)
        catalog.replaced.pop(target, None)
    return dropped


def has_unconfirmed(catalog: catalog_module.Catalog, group: str) -> bool:
    """Return whether targets of a group are known only from its record."""
    return any(_list_recorded(catalog, group))


def _list_recorded(
    catalog: catalog_module.Catalog, group: str
) -> Iterator[model.TargetEntry]:
    """Return the entries of a group that are known only from its record."""
    entries = itertools.chain(
        (member.entry for member in catalog.members.values()),
        (departed.entry for departed in catalog.departed.values()),
        (replaced.entry for replaced in catalog.replaced.values()),
    )
    return (
        entry
        for entry in entries
        if entry.group == group and catalog_module.is_recorded(entry)
    )


def list_departed(
    catalog: catalog_module.Catalog, group: str
) -> list[catalog_module.DepartedMember]:
    """Return the departed members of a group whose log may be missing."""
    return [
        member
        for member in catalog.departed.values()
        if member.entry.group == group
    ]
