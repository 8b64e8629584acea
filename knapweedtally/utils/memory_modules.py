"""Import extension modules from a zip archive without writing to disk.

Python can import source modules from an archive, but not extension modules,
because the system's dynamic loader needs a file. Each extension module is
written to an anonymous file in memory (``memfd_create``, Linux) and loaded
from there.
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
        """Index the extension modules of the archive.

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
        """Return the spec of an extension module, or None if there is none."""
        entry = self._entries.get(fullname)
        if entry is None:
            return None
        content = self._importer.get_data(entry)
        file_path = create_memory_file(entry, content)
        loader = importlib.machinery.ExtensionFileLoader(fullname, file_path)
        return importlib.util.spec_from_loader(fullname, loader)


def index_modules(names: Sequence[str]) -> dict[str, str]:
    """Return the archive entries of extension modules, by full module name."""
    suffixes = sorted(
        importlib.machinery.EXTENSION_SUFFIXES, key=len, reverse=True
    )
    entries_by_module = {}
    for name in names:
        for suffix in suffixes:
            if name.endswith(suffix):
                entries_by_module[
                    name.removesuffix(suffix).replace("/", ".")
                ] = name
                break
    return entries_by_module


def create_memory_file(name: str, content: bytes) -> str:
    """Create an anonymous file in memory and return a path to it.

    The file descriptor is never closed: the dynamic loader identifies
    libraries by path, so a descriptor number must not be reused for another
    library.
    """
    descriptor = os.memfd_create(os.path.basename(name), os.MFD_CLOEXEC)
    with open(descriptor, "wb", closefd=False) as file:
        file.write(content)
    return f"/proc/self/fd/{descriptor}"


def install(archive: str) -> None:
    """Install a finder that imports extension modules from an archive."""
    sys.meta_path.insert(0, MemoryFinder(archive))
