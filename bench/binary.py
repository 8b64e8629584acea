"""Build the program as one file: ``python -m bench.binary``.

The file is a zip archive with a first line that names the interpreter. It
holds the program and the packages that it needs at run time, compiled.
"""

import importlib.metadata
import pathlib
import py_compile
import re
import sys
import tempfile
import tomllib
import zipfile
from collections.abc import Iterator

from packaging import requirements

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAME = "knapweedtally"
TARGET = ROOT / "dist" / NAME
VERSION = f"{sys.version_info.major}.{sys.version_info.minor}"
# Isolated from the environment and from installed packages, no cached
# bytecode written.
SHEBANG = f"#!/usr/bin/env -S python{VERSION} -ISB\n"
MAIN = """\
import sys

from knapweedtally.utils import memory_modules

memory_modules.install(sys.path[0])

from knapweedtally import __main__

sys.exit(__main__.main())
"""
_EXECUTABLE = 0o755
# Parts of packages that don't run in the program.
_LEFT_OUT = re.compile(r"(^|/)(tests?|__pycache__)/|\.(pyi|pyx|pxd|c|h)$")


class BuildError(Exception):
    """Report that the program can't be built as one file."""


def list_distributions() -> list[importlib.metadata.Distribution]:
    """Return the packages that the program needs, itself not among them."""
    found: dict[str, importlib.metadata.Distribution] = {}
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    waiting: list[str] = list(project["dependencies"])
    while waiting:
        requirement = requirements.Requirement(waiting.pop())
        marker = requirement.marker
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        if name in found or (marker and not marker.evaluate({"extra": ""})):
            continue
        found[name] = importlib.metadata.distribution(name)
        waiting += found[name].requires or ()
    return list(found.values())


def list_files() -> Iterator[tuple[str, pathlib.Path]]:
    """Return the names in the archive and the files.

    Raises:
        BuildError: a package brings shared libraries of its own.
    """
    for path in sorted((ROOT / NAME).rglob("*")):
        if path.is_file():
            yield path.relative_to(ROOT).as_posix(), path
    for distribution in list_distributions():
        for file in distribution.files or ():
            name = file.as_posix()
            if name.startswith("..") or _LEFT_OUT.search(name):
                continue
            if ".libs/" in name:
                raise BuildError(
                    f"{name}: a shared library beside an extension module "
                    "can't be loaded from memory; use another package"
                )
            yield name, pathlib.Path(str(file.locate()))


def compile_source(path: pathlib.Path, name: str, directory: str) -> bytes:
    """Return the bytecode of a source file, valid without the source."""
    compiled = pathlib.Path(directory, "compiled.pyc")
    py_compile.compile(
        str(path),
        str(compiled),
        dfile=name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return compiled.read_bytes()


def write_archive(target: pathlib.Path) -> None:
    """Write the program.

    Raises:
        BuildError: it can't be built as one file.
    """
    files = {name: path for name, path in list_files() if path.is_file()}
    files = {n: p for n, p in files.items() if not _LEFT_OUT.search(n)}
    # The import of namespace packages needs entries of their directories.
    directories = {
        f"{parent.as_posix()}/"
        for name in files
        for parent in pathlib.PurePosixPath(name).parents
        if parent.name
    }
    target.parent.mkdir(exist_ok=True)
    with target.open("wb") as output, tempfile.TemporaryDirectory() as scratch:
        output.write(SHEBANG.encode())
        with zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as archive:
            for name in sorted(directories):
                archive.writestr(name, b"")
            for name, path in sorted(files.items()):
                if path.suffix == ".py":
                    content = compile_source(path, name, scratch)
                    archive.writestr(f"{name}c", content)
                else:
                    archive.write(path, name)
            archive.writestr("__main__.py", MAIN)
    target.chmod(_EXECUTABLE)


def main() -> int:
    """Build the program and print its size."""
    write_archive(TARGET)
    size_mib = TARGET.stat().st_size / 1024 / 1024
    print(f"{TARGET.relative_to(ROOT)}: {size_mib:.1f} MiB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
