"""Tests of the import of extension modules from memory."""

import importlib.machinery
import importlib.util
import os
import pathlib
import tempfile
import zipfile

import testtools

from knapweedtally.utils import memory_modules

SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]


class MemoryModulesTest(testtools.TestCase):
    def test_modules_are_indexed_by_their_full_names(self) -> None:
        names = [
            f"cbor2/_cbor2{SUFFIX}",
            "package/bare.abi3.so",
            "package/__init__.pyc",
            "package/notes.txt",
        ]
        self.assertEqual(
            {"cbor2._cbor2": names[0], "package.bare": names[1]},
            memory_modules.index_modules(names),
        )

    def test_module_is_loaded_from_an_anonymous_file(self) -> None:
        installed_spec = importlib.util.find_spec("cbor2._cbor2")
        assert installed_spec is not None and installed_spec.origin is not None
        with tempfile.TemporaryDirectory() as directory:
            archive = pathlib.Path(directory, "program")
            with zipfile.ZipFile(archive, "w") as file:
                file.write(installed_spec.origin, f"cbor2/_cbor2{SUFFIX}")
            finder = memory_modules.MemoryFinder(str(archive))
            self.assertIsNone(finder.find_spec("cbor2", None))
            spec = finder.find_spec("cbor2._cbor2", None)
        assert spec is not None and isinstance(
            spec.loader, importlib.machinery.ExtensionFileLoader
        )
        self.assertIn("/memfd:", os.readlink(spec.loader.path))
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        self.assertEqual([1, "a"], module.loads(module.dumps([1, "a"])))
