"""Formats a merged settings document with the source of each value and secrets redacted."""

from collections.abc import Iterator
from typing import Any

import yaml

from jackdawsail.events import SECRET_WORDS
from jackdawsail.settings.faults import find_source
from jackdawsail.settings.sources import Document, ValuePath, format_path

INDENT = '  '
REDACTED = '(hidden)'
SOURCE_COLUMN = 60


def format_document(document: Document) -> str:
    """Returns the document as YAML, with ``file:line`` as a comment after each value."""
    return '\n'.join(_format_lines(document, document.content, (), 0))


def list_values(document: Document) -> list[dict[str, Any]]:
    """Returns a mapping of path, value, file and line for each value that has no children."""
    rows = []
    for path, leaf in _leaves(document.content, ()):
        source = find_source(document, path)
        redacted = _redact(path, leaf)
        row = {
            'path': format_path(path),
            'value': redacted,
            'file': source.file,
            'line': source.line,
        }
        rows.append(row)
    return rows


def _format_lines(document: Document, content: Any, path: ValuePath, depth: int) -> Iterator[str]:
    for name, child in _children(content):
        child_path = (*path, name)
        label = '-' if isinstance(name, int) else f'{name}:'
        head = f'{INDENT * depth}{label}'
        if _children(child):
            yield head
            yield from _format_lines(document, child, child_path, depth + 1)
        else:
            text = f'{head} {_format_scalar(_redact(child_path, child))}'
            yield f'{text:<{SOURCE_COLUMN}} # {find_source(document, child_path)}'


def _leaves(content: Any, path: ValuePath) -> Iterator[tuple[ValuePath, Any]]:
    for name, child in _children(content):
        if _children(child):
            yield from _leaves(child, (*path, name))
        else:
            yield (*path, name), child


def _children(content: Any) -> list[tuple[Any, Any]]:
    if isinstance(content, dict):
        return list(content.items())
    if isinstance(content, list):
        return list(enumerate(content))
    return []


def _redact(path: ValuePath, leaf: Any) -> Any:
    name = str(path[-1])
    secret = any(word in name for word in SECRET_WORDS) and not name.endswith('_file')
    return REDACTED if secret and leaf else leaf


def _format_scalar(leaf: Any) -> str:
    dumped: str = yaml.safe_dump(leaf, default_flow_style=True, width=1000)
    return dumped.removesuffix('\n').removesuffix('\n...')
