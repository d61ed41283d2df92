"""Reads a base settings file and its overlays, merges them and validates the result.

Mappings merge key by key, lists and scalars replace, and ``null`` deletes a key
of the base.
"""

from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from jackdawsail.errors import UserError
from jackdawsail.settings.models import Settings


def merge(base: Any, overlay: Any) -> Any:
    """Lays one plain document over another."""
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    merged = dict(base)
    for key, laid in overlay.items():
        if laid is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), laid)
    return merged


def load_settings(paths: list[Path]) -> Settings:
    """Loads the base file and the overlays in order; raises UserError with every fault."""
    document: Any = {}
    for path in paths:
        document = merge(document, _read(path))
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        raise UserError(str(error)) from None


def _read(path: Path) -> Any:
    try:
        return yaml.safe_load(path.read_text('utf8')) or {}
    except (OSError, yaml.YAMLError) as error:
        raise UserError(f'{path}: {error}') from None
