"""Build the program as one file: ``python -m bench.binary``.

The file is a zip archive with a shebang line. It contains the program and the
packages that it needs at run time, as bytecode.
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
OUTPUT_PATH = ROOT / "dist" / NAME
PYTHON_VERSION = f"{sys.version_info.major}.{sys.version_info.minor}"
# -I ignores PYTHON* variables, -S installed packages, and -B writes no bytecode
# files.
SHEBANG = f"#!/usr/bin/env -S python{PYTHON_VERSION} -ISB\n"
MAIN_SOURCE = """\
import sys

from knapweedtally.utils import memory_modules

memory_modules.install(sys.path[0])

from knapweedtally import __main__

sys.exit(__main__.main())
"""
_EXECUTABLE_MODE = 0o755
# Files of packages that the program doesn't need at run time.
_EXCLUDED_FILES = re.compile(r"(^|/)(tests?|__pycache__)/|\.(pyi|pyx|pxd|c|h)$")


class BuildError(Exception):
    """The program can't be built as one file."""


def list_distributions() -> list[importlib.metadata.Distribution]:
    """Return the packages that the program depends on, directly or not."""
    distributions: dict[str, importlib.metadata.Distribution] = {}
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pending: list[str] = list(project["dependencies"])
    while pending:
        requirement = requirements.Requirement(pending.pop())
        marker = requirement.marker
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        if name in distributions or (
            marker and not marker.evaluate({"extra": ""})
        ):
            continue
        distributions[name] = importlib.metadata.distribution(name)
        pending += distributions[name].requires or ()
    return list(distributions.values())


def list_files() -> Iterator[tuple[str, pathlib.Path]]:
    """Return the files of the program with their names in the archive.

    Raises:
        BuildError: a package bundles shared libraries.
    """
    for path in sorted((ROOT / NAME).rglob("*")):
        if path.is_file():
            yield path.relative_to(ROOT).as_posix(), path
    for distribution in list_distributions():
        for file in distribution.files or ():
            name = file.as_posix()
            if name.startswith("..") or _EXCLUDED_FILES.search(name):
                continue
            if ".libs/" in name:
                raise BuildError(
                    f"{name}: a shared library beside an extension module "
                    "can't be loaded from memory; replace the package"
                )
            yield name, pathlib.Path(str(file.locate()))


def compile_source(path: pathlib.Path, name: str, directory: str) -> bytes:
    """Return the bytecode of a source file, which is valid without it.

    Args:
        path: path of the source file.
        name: file name that tracebacks show.
        directory: directory for the temporary file.

    Raises:
        PyCompileError: the source file has a syntax error.
    """
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
    """Write the program as one executable file.

    Raises:
        BuildError: the program can't be built as one file.
    """
    files = {name: path for name, path in list_files() if path.is_file()}
    files = {n: p for n, p in files.items() if not _EXCLUDED_FILES.search(n)}
    # Namespace packages can be imported only if the archive has entries for
    # their directories.
    directories = {
        f"{parent.as_posix()}/"
        for name in files
        for parent in pathlib.PurePosixPath(name).parents
        if parent.name
    }
    target.parent.mkdir(exist_ok=True)
    with (
        target.open("wb") as output,
        tempfile.TemporaryDirectory() as scratch_directory,
    ):
        output.write(SHEBANG.encode())
        with zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as archive:
            for name in sorted(directories):
                archive.writestr(name, b"")
            for name, path in sorted(files.items()):
                if path.suffix == ".py":
                    content = compile_source(path, name, scratch_directory)
                    archive.writestr(f"{name}c", content)
                else:
                    archive.write(path, name)
            archive.writestr("__main__.py", MAIN_SOURCE)
    target.chmod(_EXECUTABLE_MODE)


def main() -> int:
    """Build the program and print its size."""
    write_archive(OUTPUT_PATH)
    size_mib = OUTPUT_PATH.stat().st_size / 1024 / 1024
    print(f"{OUTPUT_PATH.relative_to(ROOT)}: {size_mib:.1f} MiB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
