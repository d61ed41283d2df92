"""Processor time and memory of each program's imports, compared with those of the libraries.

Measures both in fresh processes on the same machine, several times, and takes the run with
the least processor time. ``python -m bench startup --json`` prints JSON.
"""

import json
import subprocess
import sys
from dataclasses import asdict, dataclass
from typing import Annotated

from cyclopts import Parameter

REPEATS = 5
LIBRARY_IMPORTS = (
    'import cbor2, h11, msgspec, prometheus_client, structlog, returns.result;'
    'import websockets.client, websockets.server;'
    'from twisted.internet import reactor'
)
SITE_IMPORTS = 'import jackdawsail.site.running; from twisted.internet import reactor;'
PROGRAM_IMPORTS = {
    'site control': f'{SITE_IMPORTS} import jackdawsail.group.program, jackdawsail.platform.calls',
    'site entry': f'{SITE_IMPORTS} import jackdawsail.proxy.program, jackdawsail.platform.traffic',
    'site agent': f'{SITE_IMPORTS} import jackdawsail.staging.program, jackdawsail.platform.engines',
    'control': 'import jackdawsail.control.main',
    'entry': 'import jackdawsail.entry.main',
    'agent': 'import jackdawsail.agent.main',
}
PROBE_CODE = (
    'import time, resource; begun = time.process_time(); {code};'
    'print(time.process_time() - begun, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)'
)


@dataclass(frozen=True, slots=True)
class ImportCost:
    """Processor time and peak memory of the imports of one program."""

    program: str
    processor_seconds: float
    peak_megabytes: float
    ratio_to_libraries: float


def measure_code(code: str) -> tuple[float, float]:
    """Runs code in several fresh processes; returns the processor seconds and peak megabytes.

    Both are of the run with the least processor time.
    """
    samples = []
    for _ in range(REPEATS):
        command = [sys.executable, '-c', PROBE_CODE.format(code=code)]
        output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        seconds, kilobytes = output.split()
        samples.append((float(seconds), float(kilobytes) / 1024))
    return min(samples)


def run(
    *,
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
) -> int:
    """Measures the imports of every program; ``--json`` prints JSON instead of text."""
    libraries_seconds, libraries_megabytes = measure_code(LIBRARY_IMPORTS)
    figures = [ImportCost('libraries', libraries_seconds, libraries_megabytes, 1.0)]
    for program, code in PROGRAM_IMPORTS.items():
        seconds, megabytes = measure_code(code)
        ratio = round(seconds / libraries_seconds, 3)
        figures.append(ImportCost(program, round(seconds, 4), round(megabytes, 1), ratio))
    if as_json:
        print(json.dumps([asdict(figure) for figure in figures], indent=2))
        return 0
    for figure in figures:
        print(
            f'{figure.program:14} {figure.processor_seconds:.3f} s '
            f'{figure.peak_megabytes:.0f} MB, {figure.ratio_to_libraries} times the libraries'
        )
    return 0
