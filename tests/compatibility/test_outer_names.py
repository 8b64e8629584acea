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


def has_word(text: str, name: str) -> bool:
    """Return whether a text holds a name that no letter or dash adjoins."""
    for match in re.finditer(re.escape(name), text):
        neighbours = text[match.start() - 1] + text[match.end()]
        if not re.search(r"[\w-]", neighbours):
            return True
    return False


class OuterNamesTest(testtools.TestCase):
    def test_each_name_is_still_in_the_program(self) -> None:
        text = f"\n{read_program()}\n"
        missing = [name for name in read_names() if not has_word(text, name)]
        self.assertEqual([], missing)

    def test_the_list_names_each_thing_once(self) -> None:
        names = read_names()
        self.assertEqual(len(names), len(set(names)))
