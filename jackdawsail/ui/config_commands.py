"""``jackdawsail config``: checks settings files without starting anything."""

import json
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from returns.result import Success

from jackdawsail.settings.loader import Loaded, check_settings
from jackdawsail.settings.report import format_document, list_values
from jackdawsail.settings.sources import Fault

FAULTS_EXIT_CODE = 2

config_app = App(name='config', help='Check settings files.')


@config_app.command
def check(
    base: Path,
    *,
    overlay: Annotated[list[Path] | None, Parameter(negative=())] = None,
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
) -> int:
    """Check BASE with its overlays; print the merged result, or every fault.

    Exit status 0: the settings are valid; 2: they are not, and each fault is named
    with its file, line, path and reason.

    Parameters
    ----------
    base
        The base file of the deployment.
    overlay
        A file laid over the ones before it; may be given several times.
    as_json
        Print one JSON object for scripts.
    """
    outcome = check_settings([base, *(overlay or [])])
    if isinstance(outcome, Success):
        _show_valid(outcome.unwrap(), as_json)
        return 0
    _show_faults(outcome.failure(), as_json)
    return FAULTS_EXIT_CODE


def _show_valid(loaded: Loaded, as_json: bool) -> None:
    if as_json:
        print(json.dumps({'valid': True, 'values': list_values(loaded.document)}))
    else:
        print(format_document(loaded.document))


def _show_faults(faults: list[Fault], as_json: bool) -> None:
    if as_json:
        print(json.dumps({'valid': False, 'faults': [_as_mapping(fault) for fault in faults]}))
        return
    for fault in faults:
        print(fault, file=sys.stderr)
    print(f'{len(faults)} faults', file=sys.stderr)


def _as_mapping(fault: Fault) -> dict[str, str | int]:
    source = fault.source
    where: dict[str, str | int] = {'file': source.file, 'line': source.line}
    return {**where, 'path': fault.path, 'reason': fault.reason}
