"""Shows a merged settings document with the source of each value, secrets hidden."""

from collections.abc import Iterator
from typing import Any

import yaml

from jackdawsail.events import SECRET_WORDS
from jackdawsail.settings.faults import source_of
from jackdawsail.settings.sources import Document, ValuePath, show_path

INDENT = '  '
HIDDEN = '(hidden)'
SOURCE_COLUMN = 60


def show_document(document: Document) -> str:
    """Returns the document as YAML, with ``file:line`` in a comment behind each value."""
    return '\n'.join(_lines(document, document.content, (), 0))


def list_values(document: Document) -> list[dict[str, Any]]:
    """Returns one mapping for each value: path, value, file and line."""
    found = []
    for path, leaf in _leaves(document.content, ()):
        source = source_of(document, path)
        shown = _hide(path, leaf)
        entry = {'path': show_path(path), 'value': shown, 'file': source.file, 'line': source.line}
        found.append(entry)
    return found


def _lines(document: Document, content: Any, path: ValuePath, depth: int) -> Iterator[str]:
    for name, below in _children(content):
        below_path = (*path, name)
        label = '-' if isinstance(name, int) else f'{name}:'
        head = f'{INDENT * depth}{label}'
        if _children(below):
            yield head
            yield from _lines(document, below, below_path, depth + 1)
        else:
            text = f'{head} {_scalar(_hide(below_path, below))}'
            yield f'{text:<{SOURCE_COLUMN}} # {source_of(document, below_path)}'


def _leaves(content: Any, path: ValuePath) -> Iterator[tuple[ValuePath, Any]]:
    for name, below in _children(content):
        if _children(below):
            yield from _leaves(below, (*path, name))
        else:
            yield (*path, name), below


def _children(content: Any) -> list[tuple[Any, Any]]:
    if isinstance(content, dict):
        return list(content.items())
    if isinstance(content, list):
        return list(enumerate(content))
    return []


def _hide(path: ValuePath, leaf: Any) -> Any:
    name = str(path[-1])
    secret = any(word in name for word in SECRET_WORDS) and not name.endswith('_file')
    return HIDDEN if secret and leaf else leaf


def _scalar(leaf: Any) -> str:
    dumped: str = yaml.safe_dump(leaf, default_flow_style=True, width=1000)
    return dumped.removesuffix('\n').removesuffix('\n...')
