"""Show the changes that a bundle file makes."""

from collections.abc import Iterator
from typing import Any

from cleo.io.inputs import argument

from knapweedtally.management import base
from knapweedtally.management import bundle_io
from knapweedtally.management import exit_codes
from knapweedtally.management import options

_COLUMNS = ("path", "before", "after")
_ITEM_KEYS = {"groups": "name", "targets": "id"}


class BundleDiffCommand(base.BaseCommand):
    """Compare a bundle file with another file or the platform's bundle."""

    name = "bundle diff"
    description = (
        "Show the differences between a file and the platform's bundle."
    )
    arguments = [
        argument.Argument("file", description="new bundle"),
        argument.Argument(
            "before",
            required=False,
            description="file to compare with; the platform's bundle if absent",
        ),
    ]
    options = [options.make_option("platform-address"), base.JSON_OPTION]
    examples = (
        "knapweedtally bundle diff bundle.yaml",
        "knapweedtally bundle diff new.yaml old.yaml",
    )

    def run_command(self) -> int:
        """Print one row for each changed value."""
        after = bundle_io.load_bundle(self.argument("file"))
        before_name = self.argument("before")
        if before_name:
            before = bundle_io.load_bundle(before_name)
        else:
            current = bundle_io.run_with_platform(
                self, bundle_io.read_current_bundle
            )
            before = current.value
        self.write_rows(_COLUMNS, list_changes(before, after))
        return exit_codes.OK


def list_changes(
    before: dict[str, Any], after: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return the changed values by path.

    Paths identify groups by name and targets by id instead of by index.
    """
    old = dict(_flatten_values("", _pick_compared_keys(before)))
    new = dict(_flatten_values("", _pick_compared_keys(after)))
    return [
        {"path": path, "before": old.get(path), "after": new.get(path)}
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _pick_compared_keys(value: dict[str, Any]) -> dict[str, Any]:
    keys = ("version", "groups")
    return {key: value[key] for key in keys if key in value}


def _flatten_values(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten_values(f"{path}.{key}".lstrip("."), inner)
        return
    list_name = path.rpartition(".")[2]
    if list_name in _ITEM_KEYS and isinstance(value, list):
        for item in value:
            yield from _flatten_values(
                f"{path}[{item[_ITEM_KEYS[list_name]]}]", item
            )
        return
    yield path, value
