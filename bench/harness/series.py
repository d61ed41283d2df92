"""Saves the time series of an experiment, which ``python -m bench report`` plots.

``results/<name>.series.json`` holds the times at which an engine finished loading a
release, every request (scheduled, first byte, end, status, customer, kind) and the
marks of the experiment. All times are in seconds since the earliest load or request.
"""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from bench.harness.fleet import Fleet
from bench.harness.layout import ProcessKind

RESULTS_FOLDER = Path('results')
REQUEST_FIELDS = (
    'scheduled_seconds',
    'first_seconds',
    'end_seconds',
    'status',
    'customer',
    'kind',
)


def save_series(fleet: Fleet, name: str, marks: Mapping[str, float] | None = None) -> Path:
    """Writes the series of a fleet, which must still be open; returns the path of the file."""
    requests = [
        record for path in fleet.folder.glob('*.requests.jsonl') for record in _read_records(path)
    ]
    loads = fleet.all_records(fleet.names(ProcessKind.engine), 'load')
    times = [record['scheduled_seconds'] for record in requests]
    times.extend(load['time_seconds'] for load in loads)
    start_seconds = min(times, default=0)
    content = {
        'name': name,
        'engines': len(fleet.names(ProcessKind.engine)),
        'marks': {label: at - start_seconds for label, at in (marks or {}).items()},
        'loads': [[load['time_seconds'] - start_seconds, load['release']] for load in loads],
        'requests': [_request_row(record, start_seconds) for record in requests],
    }
    RESULTS_FOLDER.mkdir(exist_ok=True)
    path = RESULTS_FOLDER / f'{name}.series.json'
    path.write_text(json.dumps(content), 'utf8')
    return path


def _read_records(path: Path) -> list[dict[str, Any]]:
    complete_lines = path.read_text('utf8').rpartition('\n')[0]
    return [json.loads(line) for line in complete_lines.splitlines()]


def _request_row(record: dict[str, Any], start_seconds: float) -> list[Any]:
    times = [
        round(record[name] - start_seconds, 4) if record[name] else 0
        for name in REQUEST_FIELDS[:3]
    ]
    return [*times, *(record[name] for name in REQUEST_FIELDS[3:])]
