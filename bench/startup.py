"""Processor time and memory of each program's imports against those of its libraries.

``python -m bench startup --json`` measures both in fresh processes on the same
machine, several times, and takes the least of each.
"""

import json
import subprocess
import sys
from dataclasses import asdict, dataclass
from typing import Annotated

from cyclopts import Parameter

REPEATS = 5
LIBRARIES = (
    'import cbor2, h11, msgspec, prometheus_client, structlog, returns.result;'
    'import websockets.client, websockets.server;'
    'from twisted.internet import reactor'
)
SITE = 'import jackdawsail.site.running; from twisted.internet import reactor;'
PROGRAMS = {
    'site control': f'{SITE} import jackdawsail.group.program, jackdawsail.platform.calls',
    'site entry': f'{SITE} import jackdawsail.proxy.program, jackdawsail.platform.traffic',
    'site agent': f'{SITE} import jackdawsail.staging.program, jackdawsail.platform.engines',
    'control': 'import jackdawsail.control.main',
    'entry': 'import jackdawsail.entry.main',
    'agent': 'import jackdawsail.agent.main',
}
PROBE = (
    'import time, resource; begun = time.process_time(); {code};'
    'print(time.process_time() - begun, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)'
)


@dataclass(frozen=True, slots=True)
class StartFigure:
    """The cost of the imports of one program."""

    program: str
    processor_seconds: float
    peak_megabytes: float
    ratio_to_libraries: float


def measure(code: str) -> tuple[float, float]:
    """Runs code in fresh processes; returns the least processor seconds and megabytes."""
    found = []
    for _ in range(REPEATS):
        command = [sys.executable, '-c', PROBE.format(code=code)]
        printed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        seconds, kilobytes = printed.split()
        found.append((float(seconds), float(kilobytes) / 1024))
    return min(found)


def run(
    *,
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
) -> int:
    """Measures every program; with ``--json`` prints JSON."""
    libraries_seconds, libraries_megabytes = measure(LIBRARIES)
    figures = [StartFigure('libraries', libraries_seconds, libraries_megabytes, 1.0)]
    for program, code in PROGRAMS.items():
        seconds, megabytes = measure(code)
        ratio = round(seconds / libraries_seconds, 3)
        figures.append(StartFigure(program, round(seconds, 4), round(megabytes, 1), ratio))
    if as_json:
        print(json.dumps([asdict(figure) for figure in figures], indent=2))
        return 0
    for figure in figures:
        print(
            f'{figure.program:14} {figure.processor_seconds:.3f} s '
            f'{figure.peak_megabytes:.0f} MB, {figure.ratio_to_libraries} of the libraries'
        )
    return 0
