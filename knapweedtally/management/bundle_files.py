"""Validation of bundle files that reports every problem with its line."""

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
_MAX_VALUE_CHARS = 60


class FileProblem(NamedTuple):
    """A problem in a file.

    Attributes:
        file: name of the file.
        line: line number, starting at 1.
        path: keys and indexes that lead to the value, joined by dots.
        value: representation of the invalid value.
        remedy: the allowed values, or how to correct the value.
    """

    file: str
    line: int
    path: str
    value: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return (
            f"{self.file}:{self.line}: {self.path}: {self.value}: {self.remedy}"
        )


class BundleFileError(Exception):
    """Raised when a bundle file has problems.

    Attributes:
        problems: all problems, sorted by line.
    """

    def __init__(self, problems: list[FileProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def load_schema() -> dict[str, Any]:
    """Return the JSON schema of bundle files."""
    package = importlib.resources.files("knapweedtally.management")
    schema: dict[str, Any] = json.loads((package / SCHEMA_NAME).read_text())
    return schema


def load_bundle_file(name: str) -> dict[str, Any]:
    """Return the plain form of a bundle; it may lack signer and signature.

    Raises:
        yaml_files.YamlFileError: the file can't be read or is not valid YAML.
        BundleFileError: the file has problems; the error lists all of them.
    """
    file = yaml_files.read_yaml_file(name)
    problems = find_problems(file)
    if problems:
        located = [_add_location(file, problem) for problem in problems]
        raise BundleFileError(sorted(located, key=lambda item: item.line))
    value: dict[str, Any] = file.value
    return value


def find_problems(file: yaml_files.YamlFile) -> list[checks.Problem]:
    """Return the schema violations, or if there are none, semantic problems."""
    problems = [
        checks.Problem(path, path[-1], "state the key only once")
        for path in file.duplicates
    ]
    for error in _make_validator().iter_errors(file.value):
        problems += _describe_error(error)
    # The semantic checks require a value that conforms to the schema.
    return problems or checks.find_problems(file.value)


def _make_validator() -> Any:
    # JSON schema accepts 1.0 as an integer; a bundle doesn't.
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
    # The validator reports one error per missing key, and the message starts
    # with the quoted key.
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


def _add_location(
    file: yaml_files.YamlFile, problem: checks.Problem
) -> FileProblem:
    path = ".".join(map(str, problem.path)) or "bundle"
    value_text = "no value" if problem.value is None else repr(problem.value)
    if len(value_text) > _MAX_VALUE_CHARS:
        value_text = value_text[:_MAX_VALUE_CHARS] + "..."
    line = file.find_line(problem.path)
    return FileProblem(file.name, line, path, value_text, problem.remedy)
