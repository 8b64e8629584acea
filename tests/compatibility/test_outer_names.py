"""Tests that names which leave the process are still in the program."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NAMES = pathlib.Path(__file__).with_name("outer_names.txt")
PLACES = ("knapweedtally", "deploy", "standins", "pyproject.toml")
SUFFIXES = frozenset({".py", ".json", ".toml", ".template", ".md"})


def read_names() -> list[str]:
    """Return the names on the list; lines with ``#`` are comments."""
    lines = [line.strip() for line in NAMES.read_text().splitlines()]
    return [line for line in lines if line and not line.startswith("#")]


def read_program() -> str:
    """Return the text of the program, its schemas and its deploy file."""
    paths: list[pathlib.Path] = []
    for place in PLACES:
        root = ROOT / place
        paths += sorted(root.rglob("*")) if root.is_dir() else [root]
    return "\n".join(
        path.read_text()
        for path in paths
        if path.suffix in SUFFIXES and path.is_file()
    )


class OuterNamesTest(testtools.TestCase):
    def test_each_name_is_still_in_the_program(self) -> None:
        text = read_program()
        missing = [
            name
            for name in read_names()
            if name not in text
            or not re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text)
        ]
        self.assertEqual([], missing)

    def test_the_list_names_each_thing_once(self) -> None:
        names = read_names()
        self.assertEqual(len(names), len(set(names)))
