"""The plain form of a bundle, its canonical bytes and its digest.

The plain form is the value that is encoded as JSON or CBOR: ``{"version",
"signer", "signature", "groups": [...]}``, with the fields of ``model.Group``
by name and each target as ``{"id", "address": "IP:PORT", "data_centre"}``. The
signature and other keys of the platform's object are not part of the canonical
form.
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
    """Raised for a value that is not a valid bundle."""


def parse_bundle(value: Any) -> model.Bundle:
    """Return the bundle of a plain form without verifying its signature.

    Args:
        value: plain form, for example from JSON; unknown keys are ignored.

    Raises:
        MalformedBundleError: the value is not a valid bundle; the message
            lists the problems.
    """
    _check_type(value, dict, "bundle")
    version = _get_typed_value(value, "version", int, "bundle")
    signer = _get_typed_value(value, "signer", str, "bundle")
    plain_groups = _get_typed_value(value, "groups", list, "bundle")
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
    """Return the plain form of a bundle, including default values."""
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
    """Return the SHA-256 of a plain form's canonical bytes in hexadecimal."""
    return hashlib.sha256(get_canonical_bytes(value)).hexdigest()


def compute_fallback_digest(value: Any) -> str:
    """Return a digest of any value, to distinguish malformed bundles."""
    return hashlib.sha256(repr(value).encode()).hexdigest()


def pick_bundle_keys(value: dict[str, Any]) -> dict[str, Any]:
    """Return a plain form without unknown keys."""
    return {
        key: value[key] for key in (*SIGNED_KEYS, "signature") if key in value
    }


def _parse_group(value: Any, path: str) -> model.Group:
    _check_type(value, dict, path)
    defaults = model.Group._field_defaults
    numbers = {
        name: _get_typed_value(value, name, int, path, defaults[name])
        for name in checks.RANGES
    }
    leaving = _get_typed_value(value, "leaving", list, path, [])
    targets = _get_typed_value(value, "targets", list, path)
    rules = _get_typed_value(value, "read_rules", list, path, [])
    return model.Group(
        name=_get_typed_value(value, "name", str, path),
        targets=tuple(
            _parse_target(target, f"{path}.targets.{index}")
            for index, target in enumerate(targets)
        ),
        read_rules=tuple(
            _parse_rule(rule, f"{path}.read_rules.{index}")
            for index, rule in enumerate(rules)
        ),
        leaving=_parse_names(leaving, f"{path}.leaving"),
        **numbers,
    )


def _parse_target(value: Any, path: str) -> model.Target:
    _check_type(value, dict, path)
    address = _get_typed_value(value, "address", str, path)
    # ``checks`` reports an address that doesn't parse, so the placeholder is
    # never returned to a caller.
    host, port = checks.parse_address(address) or ("", 0)
    return model.Target(
        _get_typed_value(value, "id", str, path),
        host,
        port,
        _get_typed_value(value, "data_centre", str, path),
    )


def _parse_rule(value: Any, path: str) -> model.ReadRule:
    _check_type(value, dict, path)
    tables = _get_typed_value(value, "tables", list, path)
    return model.ReadRule(
        _parse_names(tables, f"{path}.tables"),
        _get_typed_value(value, "max_age_ms", int, path),
    )


def _parse_names(values: list[Any], path: str) -> frozenset[str]:
    for index, value in enumerate(values):
        _check_type(value, str, f"{path}.{index}")
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


def _get_typed_value(
    value: dict[str, Any],
    key: str,
    kind: type[_Value],
    path: str,
    default: Any = None,
) -> _Value:
    result = value.get(key, default)
    _check_type(result, kind, f"{path}.{key}")
    return result


def _check_type(value: Any, kind: type, path: str) -> None:
    # In Python, bool is a subclass of int; a bundle doesn't accept it as one.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise MalformedBundleError(
            f"{path}: {value!r}: use a value of type {kind.__name__}"
        )
