"""Read YAML files with the line of every value."""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import yaml

Path = tuple[str | int, ...]

MAX_NODES = 500_000


class YamlFileError(Exception):
    """Report a file that can't be read; the message names the line."""


class YamlFile(NamedTuple):
    """Hold a file's value.

    Attributes:
        name: name of the file.
        value: value of the whole file.
        lines: line from 1 of each value by its path, and of each key of a
            mapping by the path of its value.
        repeated: paths whose key stands more than once in its mapping.
    """

    name: str
    value: Any
    lines: dict[Path, int]
    repeated: list[Path]

    def find_line(self, path: Path) -> int:
        """Return the line of a value, or of the closest one around it."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _Entry(NamedTuple):
    """Hold a node and the path that leads to it."""

    path: Path
    node: yaml.Node
    line: int


def read_yaml_file(name: str) -> YamlFile:
    """Read a file; JSON is YAML too.

    Raises:
        YamlFileError: there is no such file, or it is no YAML.
    """
    try:
        with open(name, encoding="utf-8") as file:
            return parse_yaml(name, file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise YamlFileError(f"{name}: cannot be read: {error}") from error


def parse_yaml(name: str, text: str) -> YamlFile:
    """Parse the text of a file.

    Raises:
        YamlFileError: the text is no YAML.
    """
    try:
        return _load(name, text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        raise YamlFileError(f"{name}:{line}: {error.problem}") from error
    except yaml.reader.ReaderError as error:
        line = text.count("\n", 0, error.position) + 1
        raise YamlFileError(f"{name}:{line}: {error.reason}") from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise YamlFileError(f"{name}:1: is no YAML: {error}") from error


def _load(name: str, text: str) -> YamlFile:
    loader = yaml.SafeLoader(text)
    try:
        root = loader.get_single_node()
        if root is None:
            raise YamlFileError(f"{name}:1: is empty; write a bundle into it")
        lines: dict[Path, int] = {}
        repeated: list[Path] = []
        for entry in _walk(name, root):
            if entry.path in lines:
                repeated.append(entry.path)
            lines[entry.path] = entry.line
        value = loader.construct_document(root)
    finally:
        loader.dispose()
    return YamlFile(name, value, lines, repeated)


def _walk(name: str, root: yaml.Node) -> Iterator[_Entry]:
    """Yield every node in order; the bound stops aliases that multiply."""
    pending = [_Entry((), root, root.start_mark.line + 1)]
    count = 0
    while pending:
        entry = pending.pop()
        yield entry
        children = list(_list_children(entry))
        count += len(children)
        if count > MAX_NODES:
            raise YamlFileError(
                f"{name}:{entry.line}: has over {MAX_NODES} values; "
                "leave out aliases"
            )
        pending.extend(reversed(children))


def _list_children(entry: _Entry) -> Iterator[_Entry]:
    if isinstance(entry.node, yaml.MappingNode):
        for key, value in entry.node.value:
            path = (*entry.path, str(key.value))
            yield _Entry(path, value, key.start_mark.line + 1)
    elif isinstance(entry.node, yaml.SequenceNode):
        for index, value in enumerate(entry.node.value):
            path = (*entry.path, index)
            yield _Entry(path, value, value.start_mark.line + 1)
