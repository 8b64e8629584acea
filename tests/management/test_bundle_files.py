"""Tests of the validation of bundle files."""

import pathlib
import tempfile
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core.bundles import checks
from knapweedtally.core.bundles import codec
from knapweedtally.management import bundle_files
from knapweedtally.management import yaml_files
from tests.bundles import test_codec

VALID = """\
version: 4
groups:
  - name: fog
    targets:
      - {id: fog-1, address: "127.0.1.10:5432", data_centre: sala-norte}
      - {id: fog-2, address: "127.0.2.10:5432", data_centre: sala-sur}
    leaving: [fog-2]
    read_rules:
      - tables: [readings]
        max_age_ms: 5000
"""

SCHEMA_VIOLATIONS = """\
version: 1.0
groups:
  - name: fog
    slotz: 2
    targets:
      - id: fog-1
        address: "127.0.1.10:5432"
    connection_limit: 0
    read_rules:
      - tables: readings
        max_age_ms: 5000
    slots: 2
    slots: 3
"""

SEMANTIC_PROBLEMS = """\
version: 4
groups:
  - name: fog
    targets:
      - {id: fog-1, address: "fog:5432", data_centre: sala-norte}
      - {id: fog-1, address: "127.0.2.10:5432", data_centre: sala-sur}
    leaving:
      - fog-3
"""


def load_bundle(text: str) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "bundle.yaml"
        path.write_text(text)
        return bundle_files.load_bundle_file(str(path))


def list_problems(text: str) -> list[tuple[int, str, str]]:
    try:
        load_bundle(text)
    except bundle_files.BundleFileError as error:
        return [(p.line, p.path, p.value) for p in error.problems]
    return []


class BundleFilesTest(testtools.TestCase):
    def test_valid_file_is_parsed(self) -> None:
        bundle = codec.parse_bundle({"signer": "", **load_bundle(VALID)})
        self.assertEqual(frozenset({"fog-2"}), bundle.groups["fog"].leaving)

    def test_schema_violations_are_located_by_line(self) -> None:
        self.assertEqual(
            [
                (1, "version", "1.0"),
                (4, "groups.0.slotz", "'slotz'"),
                (6, "groups.0.targets.0.data_centre", "no value"),
                (8, "groups.0.connection_limit", "0"),
                (10, "groups.0.read_rules.0.tables", "'readings'"),
                (13, "groups.0.slots", "'slots'"),
            ],
            list_problems(SCHEMA_VIOLATIONS),
        )

    def test_semantic_problems_are_located_by_line(self) -> None:
        self.assertEqual(
            [
                (5, "groups.0.targets.0.id", "'fog-1'"),
                (5, "groups.0.targets.0.address", "'fog:5432'"),
                (6, "groups.0.targets.1.id", "'fog-1'"),
                (8, "groups.0.leaving.0", "'fog-3'"),
            ],
            list_problems(SEMANTIC_PROBLEMS),
        )

    def test_every_problem_has_a_remedy(self) -> None:
        for text in (SCHEMA_VIOLATIONS, SEMANTIC_PROBLEMS):
            with self.assertRaises(bundle_files.BundleFileError) as caught:
                load_bundle(text)
            for problem in caught.exception.problems:
                self.assertNotEqual("", problem.remedy)

    def test_invalid_yaml_is_located_by_line(self) -> None:
        for text, line in (("", 1), ("a: [1,\nb: }", 2), ("\x00", 1)):
            with self.assertRaises(yaml_files.YamlFileError) as caught:
                yaml_files.parse_yaml("bundle.yaml", text)
            self.assertIn(f"bundle.yaml:{line}:", str(caught.exception))

    def test_exponentially_nested_aliases_are_refused(self) -> None:
        lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"]
        for number in range(1, 9):
            inner = ", ".join([f"*a{number - 1}"] * 10)
            lines.append(f"a{number}: &a{number} [{inner}]")
        with self.assertRaises(yaml_files.YamlFileError):
            yaml_files.parse_yaml("bundle.yaml", "\n".join(lines))

    def test_schema_ranges_match_the_semantic_checks(self) -> None:
        schema = bundle_files.load_schema()
        group = schema["$defs"]["group"]["properties"]
        group["max_age_ms"] = schema["$defs"]["age"]
        for name, (smallest, largest) in checks.RANGES.items():
            found = (group[name]["minimum"], group[name]["maximum"])
            self.assertEqual((smallest, largest), found, name)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.text(max_size=40) | test_codec.JSON.map(repr))
    def test_any_text_is_refused_in_order(self, text: str) -> None:
        try:
            file = yaml_files.parse_yaml("bundle.yaml", text)
        except yaml_files.YamlFileError:
            return
        for problem in bundle_files.find_problems(file):
            self.assertGreaterEqual(file.find_line(problem.path), 1)
