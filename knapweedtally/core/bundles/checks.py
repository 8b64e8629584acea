"""Semantic validation of bundles, beyond the types of their values."""

import collections
import ipaddress
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

Path = tuple[str | int, ...]

_MAX_PORT = 65_535

# Smallest and largest allowed value of each numeric field of a group.
RANGES: dict[str, tuple[int, int]] = {
    "connection_limit": (1, 10_000),
    "slots": (1, 1_000),
    "max_age_ms": (0, 86_400_000),
    "request_timeout_ms": (1, 600_000),
    "replica_wait_ms": (0, 60_000),
}


class Problem(NamedTuple):
    """An invalid value in a bundle.

    Attributes:
        path: keys and indexes that lead to the value.
        value: the invalid value.
        remedy: which values are allowed, or how to correct the value.
    """

    path: Path
    value: object
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        path = ".".join(str(part) for part in self.path)
        return f"{path}: {self.value!r}: {self.remedy}"


def find_problems(value: dict[str, Any]) -> list[Problem]:
    """Return all problems of a plain form whose values have valid types."""
    problems = list(_check_version(value))
    problems += _check_unique(value)
    for index, group in enumerate(value["groups"]):
        path: Path = ("groups", index)
        problems += _check_ranges(path, group)
        problems += _check_addresses(path, group)
        problems += _check_read_rules(path, group)
        problems += _check_leaving(path, group)
    return problems


def find_unsafe_changes(
    before: dict[str, Any], after: dict[str, Any]
) -> list[Problem]:
    """Return the groups that change by more than one target.

    A majority of such a group may share no member with a majority of the group
    as it was, so acknowledged writes could be lost at a failover.

    Args:
        before: plain form of the present bundle.
        after: plain form of the bundle that is to follow it.
    """
    known = {
        group["name"]: _list_ids(group) for group in before.get("groups", ())
    }
    problems = []
    for index, group in enumerate(after["groups"]):
        ids = _list_ids(group)
        changed = ids ^ known.get(group["name"], ids)
        if len(changed) > 1:
            remedy = (
                "add or remove one target of a group in each bundle, and wait"
                " until the group is whole before the next"
            )
            path: Path = ("groups", index, "targets")
            problems.append(Problem(path, sorted(changed), remedy))
    return problems


def _list_ids(group: dict[str, Any]) -> set[str]:
    return {target["id"] for target in group["targets"]}


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the IP address and the port of ``IP:PORT``, or None."""
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        return None
    return (str(ip), number) if 0 < number <= _MAX_PORT else None


def _check_version(value: dict[str, Any]) -> Iterator[Problem]:
    if value["version"] < 1:
        yield Problem(
            ("version",), value["version"], "use a whole number from 1"
        )


def _check_unique(value: dict[str, Any]) -> Iterator[Problem]:
    names: list[tuple[Path, str]] = []
    ids: list[tuple[Path, str]] = []
    addresses: list[tuple[Path, str]] = []
    for index, group in enumerate(value["groups"]):
        path: Path = ("groups", index)
        names.append(((*path, "name"), group["name"]))
        for number, target in enumerate(group["targets"]):
            target_path = (*path, "targets", number)
            ids.append(((*target_path, "id"), target["id"]))
            addresses.append(((*target_path, "address"), target["address"]))
    for entries, description in (
        (names, "name of a group"),
        (ids, "id of a target"),
        (addresses, "address of a target"),
    ):
        yield from _find_repeated(entries, description)


def _find_repeated(
    entries: list[tuple[Path, str]], description: str
) -> Iterator[Problem]:
    counts = collections.Counter(name for _, name in entries)
    for path, name in entries:
        if counts[name] > 1:
            yield Problem(
                path, name, f"use each {description} once in the bundle"
            )


def _check_ranges(path: Path, group: dict[str, Any]) -> Iterator[Problem]:
    for name, (smallest, largest) in RANGES.items():
        number = group.get(name, smallest)
        if not smallest <= number <= largest:
            yield Problem((*path, name), number, f"use {smallest} to {largest}")
    if not group["targets"]:
        yield Problem((*path, "targets"), [], "state at least one target")


def _check_addresses(path: Path, group: dict[str, Any]) -> Iterator[Problem]:
    for index, target in enumerate(group["targets"]):
        if parse_address(target["address"]) is None:
            yield Problem(
                (*path, "targets", index, "address"),
                target["address"],
                "use IP:PORT, for example 127.0.1.10:5432",
            )


def _check_read_rules(path: Path, group: dict[str, Any]) -> Iterator[Problem]:
    smallest, largest = RANGES["max_age_ms"]
    for index, rule in enumerate(group.get("read_rules", ())):
        rule_path = (*path, "read_rules", index)
        if not smallest <= rule["max_age_ms"] <= largest:
            yield Problem(
                (*rule_path, "max_age_ms"),
                rule["max_age_ms"],
                f"use {smallest} to {largest}",
            )
        if not rule["tables"]:
            yield Problem((*rule_path, "tables"), [], "name at least one table")


def _check_leaving(path: Path, group: dict[str, Any]) -> Iterator[Problem]:
    ids = {target["id"] for target in group["targets"]}
    leaving = group.get("leaving", [])
    for index, target in enumerate(leaving):
        if target not in ids:
            yield Problem(
                (*path, "leaving", index),
                target,
                f"name a target of the group: {', '.join(sorted(ids))}",
            )
    if ids and ids <= set(leaving):
        yield Problem(
            (*path, "leaving"), leaving, "let at least one target stay"
        )
