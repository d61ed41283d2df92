"""Start time to ready, and memory and processor share at rest, of each program.

Each program is started alone on a running deployment, so that no other start
takes the processor from it.
"""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table

from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment
from bench.harness.releases import roll_out

PROGRAMS = (ProcessKind.control, ProcessKind.entry, ProcessKind.agent)
SETTLE_SECONDS = 3.0
REST_SECONDS = 10.0
RESULT = Path('results/start.json')


@dataclass(frozen=True)
class ProgramFigures:
    """One program: seconds from start to ready; megabytes and core share at rest."""

    ready_seconds: float
    resident_megabytes: float
    core_share: float


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Measures control, entry and agent; writes results/start.json."""
    with running_fleet(Deployment(voters=3, engines_per_zone=1)) as fleet:
        fleet.wait_in_force()
        roll_out(fleet, 'critique-1')
        names = {kind: fleet.names(kind)[-1] for kind in PROGRAMS}
        names[ProcessKind.agent] = fleet.names(
            ProcessKind.agent, list(fleet.deployment.zones)[-1]
        )[0]
        for name in names.values():
            fleet.restart(name)
        time.sleep(SETTLE_SECONDS)
        figures = {kind.value: _measure(fleet, names[kind]) for kind in PROGRAMS}
    document = {program: asdict(found) for program, found in figures.items()}
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(document), 'utf8')
    if as_json:
        print(json.dumps(document))
    else:
        _show(figures)
    return 0


def _measure(fleet: Fleet, name: str) -> ProgramFigures:
    child = fleet.children[name]
    before = child.usage()
    time.sleep(REST_SECONDS)
    after = child.usage()
    spent_seconds = after.processor_seconds - before.processor_seconds
    return ProgramFigures(
        ready_seconds=round(child.ready_seconds, 2),
        resident_megabytes=round(after.resident_bytes / 1_000_000, 1),
        core_share=round(spent_seconds / REST_SECONDS, 4),
    )


def _show(figures: dict[str, ProgramFigures]) -> None:
    table = Table('program', 'seconds to ready', 'MB at rest', 'share of a core at rest')
    for program, found in figures.items():
        share = f'{found.core_share:.1%}'
        table.add_row(program, str(found.ready_seconds), str(found.resident_megabytes), share)
    Console().print(table)
