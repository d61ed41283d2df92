"""Measures the slopes that docs/CAPACITY.md is computed from, at a small scale.

Each slope is a line fitted to measurements at several loads. They come from real
processes with stand-in peers, or from data structures and state machines alone
where a process would only add noise. The result goes to
``docs/capacity/slopes.json``; ``python -m bench capacity`` reads it.

Example::

    python -m bench slopes --json
    python -m bench slopes --only entry-links
"""

import dataclasses
import datetime
import json
import os
import platform
import sys
from collections.abc import Callable
from typing import Annotated, Any

from cyclopts import Parameter

from bench.capacity import SLOPES_FILE
from bench.capacity_slopes import RestFigures, Slope
from bench.slopes_changes import measure_changes
from bench.slopes_links import (
    measure_control_links,
    measure_entry_links,
    measure_relay_links,
    measure_rest,
)
from bench.slopes_requests import measure_requests
from bench.slopes_state import measure_state
from bench.slopes_tracker import measure_tracker

COMMAND = 'python -m bench slopes'
SlopesByName = dict[str, Slope]
MEASUREMENTS: dict[str, Callable[[], SlopesByName]] = {
    'state': measure_state,
    'tracker': measure_tracker,
    'entry-links': measure_entry_links,
    'control-links': measure_control_links,
    'relay-links': measure_relay_links,
    'changes': measure_changes,
    'requests': measure_requests,
}


def run(only: str = '', as_json: Annotated[bool, Parameter(name='--json')] = False) -> int:
    """Measures all parts, or one, and updates the slopes file after each part."""
    content = _read_file()
    parts = [only] if only else [*MEASUREMENTS, 'rest']
    for part in parts:
        if part == 'rest':
            content['rest'].update(_as_dicts(measure_rest()))
        else:
            content['slopes'].update(_as_dicts(MEASUREMENTS[part]()))
        _write_file(content)
        print(f'measured {part}', file=sys.stderr, flush=True)
    print(json.dumps(content) if as_json else f'wrote {SLOPES_FILE.name}')
    return 0


def _write_file(content: dict[str, Any]) -> None:
    content['machine'] = (
        f'{os.cpu_count()} cores, {platform.machine()}, {platform.python_version()}'
    )
    content['measured_on'] = datetime.datetime.now(datetime.UTC).date().isoformat()
    SLOPES_FILE.parent.mkdir(parents=True, exist_ok=True)
    SLOPES_FILE.write_text(json.dumps(content, indent=1, sort_keys=True) + '\n', 'utf8')


def _read_file() -> dict[str, Any]:
    if SLOPES_FILE.exists():
        return json.loads(SLOPES_FILE.read_text('utf8'))  # type: ignore[no-any-return]
    return {'slopes': {}, 'rest': {}}


def _as_dicts(measured: dict[str, Slope] | dict[str, RestFigures]) -> dict[str, Any]:
    return {name: dataclasses.asdict(figures) for name, figures in measured.items()}
