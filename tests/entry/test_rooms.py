"""Tests of which parts of the entry host may import which.

They guard against circles, and against a part that reaches past its task.
"""

import ast
import graphlib
import pathlib

import testtools

ROOT = pathlib.Path(__file__).parent.parent.parent
ENTRY = ROOT / "knapweedtally" / "entry"

# The parts that each part may import, see docs/DESIGN.md.
ALLOWED: dict[str, set[str]] = {
    "common": set(),
    "fleet": {"common"},
    "pools": {"common"},
    "members": {"common", "fleet", "pools"},
    "limits": {"common", "fleet"},
    "statements": {"common", "fleet", "limits", "members", "pools"},
}
PREFIX = "knapweedtally.entry"


def list_imports(path: pathlib.Path) -> set[str]:
    """Return the modules below ``entry`` that a module imports, in any way."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            if node.module.startswith(PREFIX):
                found |= {f"{node.module}.{a.name}" for a in node.names}
        elif isinstance(node, ast.Import):
            found |= {a.name for a in node.names if a.name.startswith(PREFIX)}
    return found


class RoomsTest(testtools.TestCase):
    def test_parts_import_allowed_parts_only(self) -> None:
        for part, allowed in ALLOWED.items():
            for path in (ENTRY / part).glob("*.py"):
                used = {name.split(".")[2] for name in list_imports(path)}
                self.assertEqual(set(), used - allowed - {part}, path.name)

    def test_each_module_belongs_to_a_part(self) -> None:
        modules = {path.stem for path in ENTRY.glob("*.py")}
        expected = {
            "__init__",
            "graceful_stop",
            "group_members",
            "host",
            "process",
            "readiness",
            "target_paths",
        }
        self.assertEqual(expected, modules)

    def test_no_circle_of_modules(self) -> None:
        graph = {}
        for path in ENTRY.rglob("*.py"):
            parts = path.relative_to(ENTRY).with_suffix("").parts
            graph[".".join((PREFIX, *parts))] = list_imports(path)
        # Raises CycleError, which names the circle.
        graphlib.TopologicalSorter(graph).prepare()
