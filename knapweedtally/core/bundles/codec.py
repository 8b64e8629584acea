"""The plain form of a bundle, its canonical bytes and its digest.

The plain form is what JSON and CBOR carry: ``{"version", "signer",
"signature", "groups": [...]}``, with the fields of ``model.Group`` by name and
each target as ``{"id", "address": "IP:PORT", "data_centre"}``. The signature
and keys of the platform's object that are not the bundle's are no part of the
canonical form.
"""

import hashlib
import json
from typing import Any
from typing import TypeVar

from knapweedtally.core import model
from knapweedtally.core.bundles import checks

_Value = TypeVar("_Value")

SIGNED_KEYS = ("groups", "signer", "version")


class MalformedBundleError(ValueError):
    """Report a value that is no bundle."""


def parse_bundle(value: Any) -> model.Bundle:
    """Return the bundle of a plain form; the signature is not looked at.

    Args:
        value: plain form, for example from JSON; keys that are not the
            bundle's are ignored.

    Raises:
        MalformedBundleError: the value is no bundle; names what is wrong.
    """
    _check_type(value, dict, "bundle")
    version = _take(value, "version", int, "bundle")
    signer = _take(value, "signer", str, "bundle")
    plain_groups = _take(value, "groups", list, "bundle")
    groups = [
        _parse_group(group, f"groups.{index}")
        for index, group in enumerate(plain_groups)
    ]
    problems = checks.find_problems(value)
    if problems:
        raise MalformedBundleError("; ".join(map(str, problems)))
    return model.Bundle(
        version,
        compute_digest(value),
        {group.name: group for group in groups},
        signer,
    )


def dump_bundle(bundle: model.Bundle) -> dict[str, Any]:
    """Return the plain form of a bundle, with every default written out."""
    return {
        "version": bundle.version,
        "signer": bundle.signer,
        "groups": [_dump_group(group) for group in bundle.groups.values()],
    }


def get_canonical_bytes(value: dict[str, Any]) -> bytes:
    """Return the bytes of a plain form that are signed."""
    signed = {key: value[key] for key in SIGNED_KEYS}
    return json.dumps(
        signed, sort_keys=True, separators=(",", ":"), ensure_ascii=True
    ).encode("ascii")


def compute_digest(value: dict[str, Any]) -> str:
    """Return the SHA-256 of a plain form's canonical bytes, hexadecimal."""
    return hashlib.sha256(get_canonical_bytes(value)).hexdigest()


def compute_any_digest(value: Any) -> str:
    """Return a digest of any value, to tell malformed bundles apart."""
    return hashlib.sha256(repr(value).encode()).hexdigest()


def pick_bundle_keys(value: dict[str, Any]) -> dict[str, Any]:
    """Return a plain form without keys that are not the bundle's."""
    return {
        key: value[key] for key in (*SIGNED_KEYS, "signature") if key in value
    }


def _parse_group(value: Any, place: str) -> model.Group:
    _check_type(value, dict, place)
    defaults = model.Group._field_defaults
    numbers = {
        name: _take(value, name, int, place, defaults[name])
        for name in checks.RANGES
    }
    leaving = _take(value, "leaving", list, place, [])
    targets = _take(value, "targets", list, place)
    rules = _take(value, "read_rules", list, place, [])
    return model.Group(
        name=_take(value, "name", str, place),
        targets=tuple(
            _parse_target(target, f"{place}.targets.{index}")
            for index, target in enumerate(targets)
        ),
        read_rules=tuple(
            _parse_rule(rule, f"{place}.read_rules.{index}")
            for index, rule in enumerate(rules)
        ),
        leaving=_parse_names(leaving, f"{place}.leaving"),
        **numbers,
    )


def _parse_target(value: Any, place: str) -> model.Target:
    _check_type(value, dict, place)
    address = _take(value, "address", str, place)
    # The checks refuse an address that doesn't parse, before anyone sees it.
    host, port = checks.parse_address(address) or ("", 0)
    return model.Target(
        _take(value, "id", str, place),
        host,
        port,
        _take(value, "data_centre", str, place),
    )


def _parse_rule(value: Any, place: str) -> model.ReadRule:
    _check_type(value, dict, place)
    tables = _take(value, "tables", list, place)
    return model.ReadRule(
        _parse_names(tables, f"{place}.tables"),
        _take(value, "max_age_ms", int, place),
    )


def _parse_names(values: list[Any], place: str) -> frozenset[str]:
    for index, value in enumerate(values):
        _check_type(value, str, f"{place}.{index}")
    return frozenset(values)


def _dump_group(group: model.Group) -> dict[str, Any]:
    numbers = {name: getattr(group, name) for name in checks.RANGES}
    return {
        "name": group.name,
        "targets": [_dump_target(target) for target in group.targets],
        "read_rules": [
            {"tables": sorted(rule.tables), "max_age_ms": rule.max_age_ms}
            for rule in group.read_rules
        ],
        "leaving": sorted(group.leaving),
        **numbers,
    }


def _dump_target(target: model.Target) -> dict[str, Any]:
    host = f"[{target.host}]" if ":" in target.host else target.host
    return {
        "id": target.id,
        "address": f"{host}:{target.port}",
        "data_centre": target.data_centre,
    }


def _take(
    value: dict[str, Any],
    key: str,
    kind: type[_Value],
    place: str,
    default: Any = None,
) -> _Value:
    found = value.get(key, default)
    _check_type(found, kind, f"{place}.{key}")
    return found


def _check_type(value: Any, kind: type, place: str) -> None:
    # A bool is an int to Python, but not in a bundle.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise MalformedBundleError(
            f"{place}: {value!r}: use a value of type {kind.__name__}"
        )
