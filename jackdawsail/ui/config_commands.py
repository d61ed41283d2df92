"""``jackdawsail config``: validates settings files without starting a program."""

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
    """Checks BASE with its overlays and prints the merged result, or all faults.

    Exit status 0: the settings are valid. Exit status 2: they are invalid, and each
    fault is printed with its file, line, path and reason.

    Parameters
    ----------
    base
        The base file of the deployment.
    overlay
        A file merged into the ones before it; can be given several times.
    as_json
        Print one JSON object for scripts.
    """
    outcome = check_settings([base, *(overlay or [])])
    if isinstance(outcome, Success):
        _print_valid(outcome.unwrap(), as_json)
        return 0
    _print_faults(outcome.failure(), as_json)
    return FAULTS_EXIT_CODE


def _print_valid(loaded: Loaded, as_json: bool) -> None:
    if as_json:
        print(json.dumps({'valid': True, 'values': list_values(loaded.document)}))
    else:
        print(format_document(loaded.document))


def _print_faults(faults: list[Fault], as_json: bool) -> None:
    if as_json:
        print(json.dumps({'valid': False, 'faults': [_as_mapping(fault) for fault in faults]}))
        return
    for fault in faults:
        print(fault, file=sys.stderr)
    print(f'{len(faults)} faults', file=sys.stderr)


def _as_mapping(fault: Fault) -> dict[str, str | int]:
    source = fault.source
    location: dict[str, str | int] = {'file': source.file, 'line': source.line}
    return {**location, 'path': fault.path, 'reason': fault.reason}
