"""Reads a base settings file and its overlays, merges them and validates the result.

The packaged defaults are the lowest layer, below the base file. Mappings merge key
by key, lists and scalars are replaced, and ``null`` deletes a key of the layers below.
"""

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from jackdawsail.errors import UserError
from jackdawsail.settings.faults import describe_faults, find_cross_section_faults
from jackdawsail.settings.merge import merge, merge_documents
from jackdawsail.settings.models import Settings
from jackdawsail.settings.sources import Document, Fault, read_document

__all__ = ('Loaded', 'check_settings', 'load_settings', 'merge')

DEFAULT_FILE = Path(__file__).with_name('config_default.yaml')


@dataclass(frozen=True, slots=True)
class Loaded:
    """Valid settings, and the merged document that they were parsed from."""

    settings: Settings
    document: Document


def check_settings(paths: list[Path]) -> Result[Loaded, list[Fault]]:
    """Loads the base file and its overlays, in order; a failure lists all faults.

    A file that cannot be read or parsed prevents validation, so that its faults
    are reported without those of the merged result.
    """
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
    """Loads the settings of a program; raises UserError with one line for each fault."""
    outcome = check_settings(paths)
    if isinstance(outcome, Success):
        return outcome.unwrap().settings
    raise UserError('\n'.join(str(fault) for fault in outcome.failure()))


def _validate(document: Document) -> Result[Loaded, list[Fault]]:
    faults = find_cross_section_faults(document)
    try:
        settings = Settings.model_validate(document.content)
    except ValidationError as error:
        return Failure(sorted([*describe_faults(error, document), *faults]))
    if faults:
        return Failure(faults)
    return Success(Loaded(settings, document))
