"""Measures the slopes that docs/CAPACITY.md is computed from, with small stand-ins.

Each slope is a line fitted to some runs of real processes, or to the pure
structures where a process would only add noise. The result goes to
``docs/capacity/slopes.json``; ``python -m bench capacity`` reads it.

Example::

    python -m bench slopes --json
    python -m bench slopes --only links
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
from bench.capacity_slopes import Rest, Slope
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
Measured = dict[str, Slope]
PARTS: dict[str, Callable[[], Measured]] = {
    'state': measure_state,
    'tracker': measure_tracker,
    'entry-links': measure_entry_links,
    'control-links': measure_control_links,
    'relay-links': measure_relay_links,
    'changes': measure_changes,
    'requests': measure_requests,
}


def run(only: str = '', as_json: Annotated[bool, Parameter(name='--json')] = False) -> int:
    """Measures all parts, or one, and writes the slopes file."""
    content = _read()
    chosen = [only] if only else [*PARTS, 'rest']
    for part in chosen:
        if part == 'rest':
            content['rest'].update(_plain(measure_rest()))
        else:
            content['slopes'].update(_plain(PARTS[part]()))
        _write(content)
        print(f'measured {part}', file=sys.stderr, flush=True)
    print(json.dumps(content) if as_json else f'wrote {SLOPES_FILE.name}')
    return 0


def _write(content: dict[str, Any]) -> None:
    content['machine'] = (
        f'{os.cpu_count()} cores, {platform.machine()}, {platform.python_version()}'
    )
    content['measured_on'] = datetime.datetime.now(datetime.UTC).date().isoformat()
    SLOPES_FILE.parent.mkdir(parents=True, exist_ok=True)
    SLOPES_FILE.write_text(json.dumps(content, indent=1, sort_keys=True) + '\n', 'utf8')


def _read() -> dict[str, Any]:
    if SLOPES_FILE.exists():
        return json.loads(SLOPES_FILE.read_text('utf8'))  # type: ignore[no-any-return]
    return {'slopes': {}, 'rest': {}}


def _plain(measured: dict[str, Slope] | dict[str, Rest]) -> dict[str, Any]:
    return {name: dataclasses.asdict(figures) for name, figures in measured.items()}
