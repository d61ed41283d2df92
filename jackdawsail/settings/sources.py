"""Reads a YAML file into plain values and records the line of each value.

A path is a tuple of mapping keys and list indexes, in the form that pydantic reports:
``('control', 'voters', 0, 'address')``.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from returns.result import Failure, Result, Success

ValuePath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True, order=True)
class Source:
    """File and line of a value; lines are counted from 1, and 0 stands for no line."""

    file: str
    line: int

    def __str__(self) -> str:
        """Returns ``file:line``."""
        return f'{self.file}:{self.line}'


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """An error in the settings, with its source and its path."""

    source: Source
    path: str
    reason: str

    def __str__(self) -> str:
        """Returns one line for terminal output."""
        return f'{self.source}: {self.path}: {self.reason}'


@dataclass(frozen=True, slots=True)
class Document:
    """Settings as plain values, with the source of each value by its path."""

    content: dict[str, Any] = field(default_factory=dict)
    sources: dict[ValuePath, Source] = field(default_factory=dict)


def format_path(path: ValuePath) -> str:
    """Formats a path as ``control.voters[0].address``, or the empty path as ``(whole file)``."""
    formatted = ''
    for part in path:
        formatted += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return formatted.removeprefix('.') or '(whole file)'


def read_document(file: Path) -> Result[Document, list[Fault]]:
    """Reads one YAML file; a failure lists syntax errors, duplicate keys or a read error."""
    try:
        root = yaml.compose(file.read_text('utf8'), Loader=yaml.SafeLoader)
    except OSError as error:
        return Failure([Fault(Source(str(file), 0), '(file)', error.strerror or str(error))])
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return Failure([_syntax_fault(file, error)])
    reader = _NodeReader(str(file))
    if root is None:
        return Success(Document())
    if not isinstance(root, yaml.MappingNode):
        return Failure([Fault(reader.source(root), '(whole file)', 'is not a mapping')])
    content = reader.read(root, ())
    if reader.faults:
        return Failure(reader.faults)
    return Success(Document(content, reader.sources))


def _syntax_fault(file: Path, error: Exception) -> Fault:
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 0
    reason = getattr(error, 'problem', None) or str(error)
    return Fault(Source(str(file), line), '(syntax)', reason)


class _NodeReader:
    """Converts the YAML nodes of one file to plain values, collecting sources and faults."""

    def __init__(self, file: str) -> None:
        self.sources: dict[ValuePath, Source] = {}
        self.faults: list[Fault] = []
        self._file = file
        self._scalars = yaml.SafeLoader('')

    def source(self, node: yaml.Node) -> Source:
        """Returns the file and line at which a node starts."""
        return Source(self._file, node.start_mark.line + 1)

    def read(self, node: yaml.Node, path: ValuePath) -> Any:
        """Converts a node to a plain value and records the sources in it.

        The line of a mapping's key takes precedence over that of its value.
        """
        self.sources.setdefault(path, self.source(node))
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            return [self.read(each, (*path, position)) for position, each in items]
        return self._scalars.construct_object(node)

    def _read_mapping(self, node: yaml.MappingNode, path: ValuePath) -> dict[str, Any]:
        content: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            child_path = (*path, key)
            if key in content:
                reason = f'is a duplicate key, first set at line {self.sources[child_path].line}'
                self.faults.append(Fault(self.source(key_node), format_path(child_path), reason))
                continue
            self.sources[child_path] = self.source(key_node)
            content[key] = self.read(value_node, child_path)
        return content
