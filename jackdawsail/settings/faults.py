"""Describes each fault in a merged document: file, line, path, reason and a suggestion."""

import difflib
from types import NoneType
from typing import Any, get_args

from pydantic import BaseModel, ValidationError

from jackdawsail.settings.models import Settings
from jackdawsail.settings.sources import Document, Fault, Source, ValuePath, format_path

# Error types and the location marker of an invalid mapping key, as pydantic names them.
UNKNOWN_KEY_ERROR = 'extra_forbidden'
MISSING_KEY_ERROR = 'missing'
KEY_MARKER = '[key]'


def describe_faults(error: ValidationError, document: Document) -> list[Fault]:
    """Converts each validation error of the models to a fault."""
    return [_convert_error(each, document) for each in error.errors()]


def find_cross_section_faults(document: Document) -> list[Fault]:
    """Returns faults between sections: an undeclared host zone, or a zone in another region."""
    zones = _as_mapping(document.content.get('zones'))
    host = _as_mapping(document.content.get('host'))
    if not zones or 'zone' not in host:
        return []
    path: ValuePath = ('host', 'zone')
    zone = host['zone']
    if zone not in zones:
        return [
            _make_fault(document, path, f'{zone!r} is not a zone{_suggest_key(str(zone), zones)}')
        ]
    region = _as_mapping(zones[zone]).get('region')
    if 'region' in host and region != host['region']:
        reason = f'zone {zone!r} is in region {region!r}, not in {host["region"]!r}'
        return [_make_fault(document, ('host', 'region'), reason)]
    return []


def find_source(document: Document, path: ValuePath) -> Source:
    """Returns the source of a path, or of its nearest ancestor that has one."""
    while path and path not in document.sources:
        path = path[:-1]
    return document.sources.get(path, Source('(default)', 0))


def _convert_error(error: Any, document: Document) -> Fault:
    path = tuple(part for part in error['loc'] if part != KEY_MARKER)
    reason = error['msg']
    if error['type'] == UNKNOWN_KEY_ERROR:
        known = _known_keys(Settings, path[:-1])
        reason = f'unknown key{_suggest_key(str(path[-1]), known)}'
    elif error['type'] == MISSING_KEY_ERROR:
        reason = 'is required'
    else:
        reason = f'{reason[0].lower()}{reason[1:]}, not {error["input"]!r}'
    return _make_fault(document, path, reason)


def _make_fault(document: Document, path: ValuePath, reason: str) -> Fault:
    return Fault(find_source(document, path), format_path(path), reason)


def _suggest_key(name: str, known: Any) -> str:
    nearest = difflib.get_close_matches(name, list(known), n=1)
    return f'; did you mean {nearest[0]!r}?' if nearest else ''


def _known_keys(annotation: Any, path: ValuePath) -> list[str]:
    """Returns the valid keys of the section at a path.

    An annotation without ``None`` is a mapping or list, which takes one part of the path.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        if not path:
            return list(annotation.model_fields)
        field = annotation.model_fields.get(str(path[0]))
        return [] if field is None else _known_keys(field.annotation, path[1:])
    arguments = [each for each in get_args(annotation) if each is not NoneType]
    if not arguments:
        return []
    optional = NoneType in get_args(annotation)
    return _known_keys(arguments[-1], path if optional else path[1:])


def _as_mapping(content: Any) -> dict[str, Any]:
    return content if isinstance(content, dict) else {}
