"""Tests that the reference pages match the code."""

import pathlib
import re
import textwrap

import testtools
import yaml

from knapweedtally.core import model
from knapweedtally.core.bundles import checks
from knapweedtally.core.bundles import codec
from knapweedtally.management import bundle_files
from knapweedtally.management import exit_codes

REFERENCE = (
    pathlib.Path(__file__).resolve().parent.parent.parent / "docs/reference"
)


def read_section(page: str, title: str) -> str:
    """Return the text of a section of a page."""
    text = (REFERENCE / page).read_text()
    return text.split(f"\n## {title}\n")[1].split("\n## ")[0]


def read_rows(page: str, title: str) -> list[list[str]]:
    """Return the cells of a section's table."""
    lines = re.findall(r"^\| (.*) \|$", read_section(page, title), re.M)
    return [line.replace("`", "").split(" | ") for line in lines[2:]]


class BundlePageTest(testtools.TestCase):
    def test_fields_match_the_schema(self) -> None:
        schema = bundle_files.load_schema()
        for title, described in (
            ("The bundle", schema),
            ("A group", schema["$defs"]["group"]),
            ("A target", schema["$defs"]["target"]),
            ("A read rule", schema["$defs"]["rule"]),
        ):
            rows = read_rows("bundle.md", title)
            self.assertEqual(
                set(described["properties"]), {row[0] for row in rows}
            )
            required = {row[0] for row in rows if row[1] == "yes"}
            self.assertEqual(set(described["required"]), required)

    def test_limits_and_defaults_match_the_code(self) -> None:
        rows = {row[0]: row for row in read_rows("bundle.md", "A group")}
        for name, (smallest, largest) in checks.RANGES.items():
            expected = f"{smallest} to {largest}"
            self.assertEqual(
                expected, rows[name][2].removesuffix(" milliseconds")
            )
            default = model.Group._field_defaults[name]
            self.assertEqual(str(default), rows[name][3])

    def test_example_is_valid(self) -> None:
        text = textwrap.dedent(read_section("bundle.md", "Example"))
        value = yaml.safe_load(text)
        bundle = codec.parse_bundle({"signer": "", **value})
        fields = {key for group in value["groups"] for key in group}
        self.assertEqual(set(model.Group._fields), fields)
        self.assertEqual(2, bundle.version)


class ErrorsPageTest(testtools.TestCase):
    def test_exit_codes_match_the_commands(self) -> None:
        rows = read_rows("errors.md", "Exit codes of the commands")
        documented = {int(code): meaning for code, meaning in rows}
        self.assertEqual(exit_codes.DESCRIPTIONS, documented)
