"""Merges settings documents.

Mappings merge key by key, lists and scalars are replaced, and ``null`` deletes a key
of the base. The result keeps the source of each of its values.
"""

from typing import Any

from jackdawsail.settings.sources import Document, ValuePath


def merge(base: Any, overlay: Any) -> Any:
    """Merges a plain overlay value into a plain base value."""
    if not isinstance(overlay, dict):
        return overlay
    merged = dict(base) if isinstance(base, dict) else {}
    for key, overlaid in overlay.items():
        if overlaid is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), overlaid)
    return merged


def merge_documents(base: Document, overlay: Document) -> Document:
    """Merges two documents; a mapping in both keeps its source in the base."""
    content = merge(base.content, overlay.content)
    merged_paths = set(list_paths(content, ()))
    sources = {path: base.sources[path] for path in merged_paths if path in base.sources}
    overlaid = {path: overlay.sources[path] for path in merged_paths if path in overlay.sources}
    for path in overlaid.keys() & sources.keys():
        if _is_mapping_at(content, path):
            overlaid.pop(path)
    return Document(content, {**sources, **overlaid})


def list_paths(content: Any, path: ValuePath) -> list[ValuePath]:
    """Returns a path and the paths of all values nested below it."""
    paths = [path]
    if isinstance(content, dict):
        for key, child in content.items():
            paths.extend(list_paths(child, (*path, key)))
    elif isinstance(content, list):
        for position, child in enumerate(content):
            paths.extend(list_paths(child, (*path, position)))
    return paths


def _is_mapping_at(content: Any, path: ValuePath) -> bool:
    for part in path:
        content = content[part]
    return isinstance(content, dict)
