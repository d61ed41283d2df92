"""Says what is wrong in a merged document: file, line, path, reason and a hint."""

import difflib
from types import NoneType
from typing import Any, get_args

from pydantic import BaseModel, ValidationError

from jackdawsail.settings.models import Settings
from jackdawsail.settings.sources import Document, Fault, Source, ValuePath, show_path

UNKNOWN_KEY = 'extra_forbidden'
MISSING_KEY = 'missing'
KEY_MARK = '[key]'


def describe_faults(error: ValidationError, document: Document) -> list[Fault]:
    """Returns one fault for each error that the models found."""
    return [_describe(each, document) for each in error.errors()]


def cross_faults(document: Document) -> list[Fault]:
    """Returns what is wrong between sections: zones that are used but not declared."""
    zones = _mapping(document.content.get('zones'))
    host = _mapping(document.content.get('host'))
    if not zones or 'zone' not in host:
        return []
    path: ValuePath = ('host', 'zone')
    zone = host['zone']
    if zone not in zones:
        return [_fault(document, path, f'{zone!r} is not a zone{_hint(str(zone), zones)}')]
    region = _mapping(zones[zone]).get('region')
    if 'region' in host and region != host['region']:
        reason = f'zone {zone!r} is in region {region!r}, not in {host["region"]!r}'
        return [_fault(document, ('host', 'region'), reason)]
    return []


def source_of(document: Document, path: ValuePath) -> Source:
    """Returns the source of a path, or of the nearest value above it."""
    while path and path not in document.sources:
        path = path[:-1]
    return document.sources.get(path, Source('(default)', 0))


def _describe(error: Any, document: Document) -> Fault:
    path = tuple(part for part in error['loc'] if part != KEY_MARK)
    reason = error['msg']
    if error['type'] == UNKNOWN_KEY:
        known = _known_keys(Settings, path[:-1])
        reason = f'unknown key{_hint(str(path[-1]), known)}'
    elif error['type'] == MISSING_KEY:
        reason = 'is required'
    else:
        reason = f'{reason[0].lower()}{reason[1:]}, not {error["input"]!r}'
    return _fault(document, path, reason)


def _fault(document: Document, path: ValuePath, reason: str) -> Fault:
    return Fault(source_of(document, path), show_path(path), reason)


def _hint(name: str, known: Any) -> str:
    nearest = difflib.get_close_matches(name, list(known), n=1)
    return f'; did you mean {nearest[0]!r}?' if nearest else ''


def _known_keys(kind: Any, path: ValuePath) -> list[str]:
    """Returns the keys that a section at a path may have."""
    if isinstance(kind, type) and issubclass(kind, BaseModel):
        if not path:
            return list(kind.model_fields)
        below = kind.model_fields.get(str(path[0]))
        return [] if below is None else _known_keys(below.annotation, path[1:])
    arguments = [each for each in get_args(kind) if each is not NoneType]
    if not arguments:
        return []
    optional = NoneType in get_args(kind)
    return _known_keys(arguments[-1], path if optional else path[1:])


def _mapping(content: Any) -> dict[str, Any]:
    return content if isinstance(content, dict) else {}
