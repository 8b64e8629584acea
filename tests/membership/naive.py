"""Reference implementation of the register store for differential tests."""

from collections.abc import Iterable

from knapweedtally.core import model


def build_register(
    kind: str, name: str, version: tuple[int, ...]
) -> model.Register:
    """Return a register whose value is derived from its version."""
    return model.Register(kind, name, version, {"at": list(version)})


def pick_highest(
    items: Iterable[model.Register],
) -> dict[tuple[str, str], model.Register]:
    """Return the register of the highest version of each key."""
    result: dict[tuple[str, str], model.Register] = {}
    for item in sorted(items, key=lambda item: item.version):
        result[item.kind, item.name] = item
    return result
