"""Check a bundle's file: all mistakes at once, each with its line."""

import importlib.resources
import json
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import jsonschema

from knapweedtally.core.bundles import checks
from knapweedtally.management import yaml_files

SCHEMA_NAME = "bundle.schema.json"
_MAX_SHOWN = 60


class FileProblem(NamedTuple):
    """Describe one mistake in a file.

    Attributes:
        file: name of the file.
        line: line from 1.
        path: keys and indexes that lead to the value.
        value: the wrong value.
        remedy: what is allowed or what to do.
    """

    file: str
    line: int
    path: str
    value: str
    remedy: str

    def __str__(self) -> str:
        """Return the mistake as one line."""
        return (
            f"{self.file}:{self.line}: {self.path}: {self.value}: {self.remedy}"
        )


class BundleFileError(Exception):
    """Report all mistakes of a bundle's file.

    Attributes:
        problems: the mistakes, by line.
    """

    def __init__(self, problems: list[FileProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def load_schema() -> dict[str, Any]:
    """Return the JSON schema of a bundle's file."""
    package = importlib.resources.files("knapweedtally.management")
    schema: dict[str, Any] = json.loads((package / SCHEMA_NAME).read_text())
    return schema


def load_bundle_file(name: str) -> dict[str, Any]:
    """Return the plain form of a bundle; signer and signature may be absent.

    Raises:
        yaml_files.YamlFileError: the file cannot be read or is no YAML.
        BundleFileError: there are mistakes; names all of them.
    """
    file = yaml_files.read_yaml_file(name)
    problems = find_problems(file)
    if problems:
        found = [_locate(file, problem) for problem in problems]
        raise BundleFileError(sorted(found, key=lambda each: each.line))
    value: dict[str, Any] = file.value
    return value


def find_problems(file: yaml_files.YamlFile) -> list[checks.Problem]:
    """Return the mistakes of a file, by form first and then by meaning."""
    problems = [
        checks.Problem(path, path[-1], "state it once")
        for path in file.repeated
    ]
    for error in _make_validator().iter_errors(file.value):
        problems += _describe_error(error)
    # The checks of meaning rely on the form.
    return problems or checks.find_problems(file.value)


def _make_validator() -> Any:
    # JSON schema takes 1.0 for a whole number; a bundle doesn't.
    type_checker = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        "integer",
        lambda _, value: isinstance(value, int) and not isinstance(value, bool),
    )
    validator = jsonschema.validators.extend(
        jsonschema.Draft202012Validator, type_checker=type_checker
    )
    return validator(load_schema())


def _describe_error(error: Any) -> Iterator[checks.Problem]:
    describe = _DESCRIBERS.get(str(error.validator), _describe_value)
    return describe(error, tuple(error.absolute_path))


def _describe_value(error: Any, path: checks.Path) -> Iterator[checks.Problem]:
    description = error.schema.get("description", error.message)
    yield checks.Problem(path, error.instance, f"use {description}")


def _describe_missing(
    error: Any, path: checks.Path
) -> Iterator[checks.Problem]:
    # One error for each missing key; its message opens with the key.
    key = error.message.split("'")[1]
    yield checks.Problem((*path, key), None, f"add {key}")


def _describe_unknown(
    error: Any, path: checks.Path
) -> Iterator[checks.Problem]:
    known = error.schema["properties"]
    for key in error.instance:
        if key not in known:
            allowed = ", ".join(known)
            yield checks.Problem(
                (*path, key), key, f"remove it or use one of: {allowed}"
            )


_Describer = Callable[[Any, checks.Path], Iterator[checks.Problem]]
_DESCRIBERS: dict[str, _Describer] = {
    "required": _describe_missing,
    "additionalProperties": _describe_unknown,
}


def _locate(file: yaml_files.YamlFile, problem: checks.Problem) -> FileProblem:
    path = ".".join(map(str, problem.path)) or "bundle"
    shown = "no value" if problem.value is None else repr(problem.value)
    if len(shown) > _MAX_SHOWN:
        shown = shown[:_MAX_SHOWN] + "..."
    line = file.find_line(problem.path)
    return FileProblem(file.name, line, path, shown, problem.remedy)
