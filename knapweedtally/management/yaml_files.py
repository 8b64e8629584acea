"""Reading of YAML files that records the line of every value."""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import yaml

Path = tuple[str | int, ...]

MAX_NODES = 500_000


class YamlFileError(Exception):
    """Raised when a file can't be read; the message names the line, if any."""


class YamlFile(NamedTuple):
    """Contents of a parsed file.

    Attributes:
        name: name of the file.
        value: value of the whole document.
        lines: line numbers by path, starting at 1: the line of the key for
            values in mappings, otherwise the line of the value.
        duplicates: paths of keys that occur more than once in a mapping.
    """

    name: str
    value: Any
    lines: dict[Path, int]
    duplicates: list[Path]

    def find_line(self, path: Path) -> int:
        """Return the line of a value, or of its closest known ancestor."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _LocatedNode(NamedTuple):
    """A node of the document with its path and line."""

    path: Path
    node: yaml.Node
    line: int


def read_yaml_file(name: str) -> YamlFile:
    """Read a YAML file; JSON files are valid YAML, too.

    Raises:
        YamlFileError: the file can't be read or is not valid YAML.
    """
    try:
        with open(name, encoding="utf-8") as file:
            return parse_yaml(name, file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise YamlFileError(f"{name}: cannot be read: {error}") from error


def parse_yaml(name: str, text: str) -> YamlFile:
    """Parse the text of a file.

    Raises:
        YamlFileError: the text is not valid YAML.
    """
    try:
        return _load_document(name, text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        raise YamlFileError(f"{name}:{line}: {error.problem}") from error
    except yaml.reader.ReaderError as error:
        line = text.count("\n", 0, error.position) + 1
        raise YamlFileError(f"{name}:{line}: {error.reason}") from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise YamlFileError(f"{name}:1: is not valid YAML: {error}") from error


def _load_document(name: str, text: str) -> YamlFile:
    loader = yaml.SafeLoader(text)
    try:
        root = loader.get_single_node()
        if root is None:
            raise YamlFileError(f"{name}:1: is empty; write a bundle into it")
        lines: dict[Path, int] = {}
        duplicates: list[Path] = []
        for entry in _walk_nodes(name, root):
            if entry.path in lines:
                duplicates.append(entry.path)
            lines[entry.path] = entry.line
        value = loader.construct_document(root)
    finally:
        loader.dispose()
    return YamlFile(name, value, lines, duplicates)


def _walk_nodes(name: str, root: yaml.Node) -> Iterator[_LocatedNode]:
    """Yield all nodes in document order.

    The number of nodes is limited, since nested aliases can expand
    exponentially.
    """
    pending = [_LocatedNode((), root, root.start_mark.line + 1)]
    count = 0
    while pending:
        entry = pending.pop()
        yield entry
        children = list(_list_children(entry))
        count += len(children)
        if count > MAX_NODES:
            raise YamlFileError(
                f"{name}:{entry.line}: has over {MAX_NODES} values; "
                "remove aliases"
            )
        pending.extend(reversed(children))


def _list_children(entry: _LocatedNode) -> Iterator[_LocatedNode]:
    if isinstance(entry.node, yaml.MappingNode):
        for key, value in entry.node.value:
            path = (*entry.path, str(key.value))
            yield _LocatedNode(path, value, key.start_mark.line + 1)
    elif isinstance(entry.node, yaml.SequenceNode):
        for index, value in enumerate(entry.node.value):
            path = (*entry.path, index)
            yield _LocatedNode(path, value, value.start_mark.line + 1)
