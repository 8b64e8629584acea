"""Show what a bundle's file changes."""

from collections.abc import Iterator
from typing import Any

from cleo.io.inputs import argument

from knapweedtally.management import base
from knapweedtally.management import bundle_options
from knapweedtally.management import exit_codes
from knapweedtally.management import options

_COLUMNS = ("path", "before", "after")
_KEYS = {"groups": "name", "targets": "id"}


class BundleDiffCommand(base.BaseCommand):
    """Compare a bundle's file with another file or the platform's bundle."""

    name = "bundle diff"
    description = "Show what a file changes against the platform's bundle."
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
        after = bundle_options.load_file(self.argument("file"))
        before_name = self.argument("before")
        if before_name:
            before = bundle_options.load_file(before_name)
        else:
            current = bundle_options.run_with_platform(
                self, bundle_options.read_current
            )
            before = current.value
        self.write_rows(_COLUMNS, list_changes(before, after))
        return exit_codes.OK


def list_changes(
    before: dict[str, Any], after: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return the changed values with their paths, groups by name."""
    old = dict(_flatten("", _pick(before)))
    new = dict(_flatten("", _pick(after)))
    return [
        {"path": path, "before": old.get(path), "after": new.get(path)}
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _pick(value: dict[str, Any]) -> dict[str, Any]:
    keys = ("version", "groups")
    return {key: value[key] for key in keys if key in value}


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten(f"{path}.{key}".lstrip("."), inner)
        return
    kind = path.rpartition(".")[2]
    if kind in _KEYS and isinstance(value, list):
        for item in value:
            yield from _flatten(f"{path}[{item[_KEYS[kind]]}]", item)
        return
    yield path, value
