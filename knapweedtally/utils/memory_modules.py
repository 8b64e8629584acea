"""Import extension modules out of a zip archive, through memory alone.

Python imports source from an archive but no extension modules, since the
system's loader needs a file. Each one is written to a file without a name in
memory (``memfd_create``, Linux) and loaded from there.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import types
import zipfile
import zipimport
from collections.abc import Sequence


class MemoryFinder(importlib.abc.MetaPathFinder):
    """Find extension modules in a zip archive."""

    def __init__(self, archive: str) -> None:
        """Read the list of modules.

        Args:
            archive: path of the zip archive.

        Raises:
            OSError: the archive can't be read.
        """
        self._importer = zipimport.zipimporter(archive)
        with zipfile.ZipFile(archive) as file:
            self._entries = index_modules(file.namelist())

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of an extension module, or None."""
        entry = self._entries.get(fullname)
        if entry is None:
            return None
        content = self._importer.get_data(entry)
        place = store_in_memory(entry, content)
        loader = importlib.machinery.ExtensionFileLoader(fullname, place)
        return importlib.util.spec_from_loader(fullname, loader)


def index_modules(names: Sequence[str]) -> dict[str, str]:
    """Return the entries of extension modules by the module's full name."""
    suffixes = sorted(
        importlib.machinery.EXTENSION_SUFFIXES, key=len, reverse=True
    )
    found = {}
    for name in names:
        for suffix in suffixes:
            if name.endswith(suffix):
                found[name.removesuffix(suffix).replace("/", ".")] = name
                break
    return found


def store_in_memory(name: str, content: bytes) -> str:
    """Write a file without a place on disk and return a path to it.

    The descriptor stays open: the system's loader knows libraries by their
    path, so that a number must not come to stand for another one.
    """
    descriptor = os.memfd_create(os.path.basename(name), os.MFD_CLOEXEC)
    with open(descriptor, "wb", closefd=False) as file:
        file.write(content)
    return f"/proc/self/fd/{descriptor}"


def install(archive: str) -> None:
    """Let imports look into an archive for extension modules."""
    sys.meta_path.insert(0, MemoryFinder(archive))
