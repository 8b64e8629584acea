"""Tests of the libraries that a deployment installs."""

import importlib.metadata
import pathlib
import re
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).parent.parent.parent

# Prints the top-level modules that the entry process has imported, and any
# that it imports only later.
_LIST_MODULES = (
    "import pkgutil, sys, knapweedtally.entry as e;"
    "[__import__(m.name) for m in"
    " pkgutil.walk_packages(e.__path__, e.__name__ + '.')];"
    "print(*{name.partition('.')[0] for name in sys.modules})"
)


class RequirementsTest(testtools.TestCase):
    # Guards against a process that ends at its start on a clean machine, where
    # only the libraries in requirements.txt are installed.
    def test_entry_process_needs_only_installed_libraries(self) -> None:
        output = subprocess.run(
            [sys.executable, "-c", _LIST_MODULES],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        packages = importlib.metadata.packages_distributions()
        needed = {
            distribution.lower().replace("-", "_")
            for module in output.split()
            if module not in sys.stdlib_module_names
            for distribution in packages.get(module, ())
        } - {"knapweedtally", "setuptools"}
        listed = {
            re.split("[=<>]", line)[0].lower().replace("-", "_")
            for line in (ROOT / "requirements.txt").read_text().split()
        }
        self.assertEqual(set(), needed - listed)
