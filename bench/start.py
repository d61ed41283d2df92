"""Time from start to ready of each program, and its memory and processor share while idle.

Each program is restarted on its own in a running deployment, so that no other start
competes for the processor.
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
IDLE_SECONDS = 10.0
RESULT_PATH = Path('results/start.json')


@dataclass(frozen=True)
class ProgramFigures:
    """Seconds from start to ready of one program; its megabytes and core share while idle."""

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
    document = {program: asdict(figure) for program, figure in figures.items()}
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(json.dumps(document), 'utf8')
    if as_json:
        print(json.dumps(document))
    else:
        _print_table(figures)
    return 0


def _measure(fleet: Fleet, name: str) -> ProgramFigures:
    child = fleet.children[name]
    before = child.usage()
    time.sleep(IDLE_SECONDS)
    after = child.usage()
    processor_seconds = after.processor_seconds - before.processor_seconds
    return ProgramFigures(
        ready_seconds=round(child.ready_seconds, 2),
        resident_megabytes=round(after.resident_bytes / 1_000_000, 1),
        core_share=round(processor_seconds / IDLE_SECONDS, 4),
    )


def _print_table(figures: dict[str, ProgramFigures]) -> None:
    table = Table('program', 'seconds to ready', 'MB idle', 'share of a core idle')
    for program, figure in figures.items():
        share = f'{figure.core_share:.1%}'
        table.add_row(program, str(figure.ready_seconds), str(figure.resident_megabytes), share)
    Console().print(table)
