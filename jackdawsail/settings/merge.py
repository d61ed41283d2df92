"""Lays settings documents over one another.

Mappings merge key by key, lists and scalars replace, and ``null`` deletes a key
of the document below. The result knows the source of each of its values.
"""

from typing import Any

from jackdawsail.settings.sources import Document, ValuePath


def merge(base: Any, overlay: Any) -> Any:
    """Lays one plain value over another."""
    if not isinstance(overlay, dict):
        return overlay
    merged = dict(base) if isinstance(base, dict) else {}
    for key, laid in overlay.items():
        if laid is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), laid)
    return merged


def merge_documents(base: Document, overlay: Document) -> Document:
    """Lays one document over another, with the sources of what is kept."""
    content = merge(base.content, overlay.content)
    kept = set(paths_in(content, ()))
    sources = {path: base.sources[path] for path in kept if path in base.sources}
    laid = {path: overlay.sources[path] for path in kept if path in overlay.sources}
    for path in laid.keys() & sources.keys():
        if _is_mapping(content, path):
            laid.pop(path)
    return Document(content, {**sources, **laid})


def paths_in(content: Any, path: ValuePath) -> list[ValuePath]:
    """Returns the path of each value at or below a path."""
    found = [path]
    if isinstance(content, dict):
        for key, below in content.items():
            found.extend(paths_in(below, (*path, key)))
    elif isinstance(content, list):
        for position, below in enumerate(content):
            found.extend(paths_in(below, (*path, position)))
    return found


def _is_mapping(content: Any, path: ValuePath) -> bool:
    for part in path:
        content = content[part]
    return isinstance(content, dict)
