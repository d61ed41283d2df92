"""Saves what an experiment saw over time, for ``python -m bench report`` to draw.

``results/<name>.series.json`` holds the moments at which an engine had loaded a
release, every request (scheduled, first byte, end, status, customer, kind) and the
marks of the experiment. All times are in seconds from the first of them.
"""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from bench.harness.fleet import Fleet
from bench.harness.layout import ProcessKind

RESULTS = Path('results')
REQUEST_FIELDS = (
    'scheduled_seconds',
    'first_seconds',
    'end_seconds',
    'status',
    'customer',
    'kind',
)


def save_series(fleet: Fleet, name: str, marks: Mapping[str, float] | None = None) -> Path:
    """Writes the series of a fleet; call it before the fleet is closed."""
    requests = [line for path in fleet.folder.glob('*.requests.jsonl') for line in _read(path)]
    loads = fleet.all_records(fleet.names(ProcessKind.engine), 'load')
    times = [line['scheduled_seconds'] for line in requests]
    times.extend(load['time_seconds'] for load in loads)
    origin = min(times, default=0)
    content = {
        'name': name,
        'engines': len(fleet.names(ProcessKind.engine)),
        'marks': {label: at - origin for label, at in (marks or {}).items()},
        'loads': [[load['time_seconds'] - origin, load['release']] for load in loads],
        'requests': [_compact(line, origin) for line in requests],
    }
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}.series.json'
    path.write_text(json.dumps(content), 'utf8')
    return path


def _read(path: Path) -> list[dict[str, Any]]:
    whole = path.read_text('utf8').rpartition('\n')[0]
    return [json.loads(line) for line in whole.splitlines()]


def _compact(line: dict[str, Any], origin: float) -> list[Any]:
    times = [round(line[name] - origin, 4) if line[name] else 0 for name in REQUEST_FIELDS[:3]]
    return [*times, *(line[name] for name in REQUEST_FIELDS[3:])]
