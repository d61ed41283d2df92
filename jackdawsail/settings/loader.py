"""Reads a base settings file and its overlays, merges them and validates the result.

The shipped defaults lie under every base. Mappings merge key by key, lists and
scalars replace, and ``null`` deletes a key of the file below.
"""

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from jackdawsail.errors import UserError
from jackdawsail.settings.faults import cross_faults, describe_faults
from jackdawsail.settings.merge import merge, merge_documents
from jackdawsail.settings.models import Settings
from jackdawsail.settings.sources import Document, Fault, read_document

__all__ = ('Loaded', 'check_settings', 'load_settings', 'merge')

DEFAULT_FILE = Path(__file__).with_name('config_default.yaml')


@dataclass(frozen=True, slots=True)
class Loaded:
    """Valid settings, and the merged document that they were made of."""

    settings: Settings
    document: Document


def check_settings(paths: list[Path]) -> Result[Loaded, list[Fault]]:
    """Loads the base file and the overlays in order; a failure holds every fault."""
    faults: list[Fault] = []
    document = Document()
    for path in (DEFAULT_FILE, *paths):
        outcome = read_document(path)
        if isinstance(outcome, Success):
            document = merge_documents(document, outcome.unwrap())
        else:
            faults.extend(outcome.failure())
    if faults:
        return Failure(faults)
    return _validate(document)


def load_settings(paths: list[Path]) -> Settings:
    """Loads settings for a program; raises UserError with every fault."""
    outcome = check_settings(paths)
    if isinstance(outcome, Success):
        return outcome.unwrap().settings
    raise UserError('\n'.join(str(fault) for fault in outcome.failure()))


def _validate(document: Document) -> Result[Loaded, list[Fault]]:
    faults = cross_faults(document)
    try:
        settings = Settings.model_validate(document.content)
    except ValidationError as error:
        return Failure(sorted([*describe_faults(error, document), *faults]))
    if faults:
        return Failure(faults)
    return Success(Loaded(settings, document))
