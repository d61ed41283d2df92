"""Counts lines of code, tests and documentation, and the shares of tests and decisions.

Counts the lines of every file that git tracks, without blank lines and lines that
hold only a comment. Decisions are the product code that decides: routing, limits,
retries, membership, state and recovery.
"""

import json
import subprocess
from collections import Counter
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table

from bench.harness.child import REPOSITORY_ROOT

MAX_TEST_SHARE = 1 / 3
MIN_DECISION_SHARE = 1 / 4
SUFFIXES = frozenset(('.py', '.feature', '.md', '.yaml'))
AREAS = {
    'routing, limits and retries': (
        'jackdawsail/routing/',
        'jackdawsail/entry/stages/',
        'jackdawsail/entry/pipeline.py',
        'jackdawsail/agent/work_runner.py',
    ),
    'membership': (
        'jackdawsail/membership/',
        'jackdawsail/control/zone_leases.py',
        'jackdawsail/control/lease_handler.py',
        'jackdawsail/agent/service_permit.py',
        'jackdawsail/agent/entry_links.py',
        'jackdawsail/entry/agent_links.py',
        'jackdawsail/entry/control_links.py',
    ),
    'state and recovery': (
        'jackdawsail/consensus/',
        'jackdawsail/state/',
        'jackdawsail/control/',
    ),
    'weight distribution': (
        'jackdawsail/weights/',
        'jackdawsail/agent/',
        'jackdawsail/entry/tracker',
    ),
    'other product code': ('jackdawsail/',),
    'tests': ('test/',),
    'bench': ('bench/',),
    'documentation and examples': ('docs/', 'README.md', 'examples/'),
}
DECISION_AREAS = ('routing, limits and retries', 'membership', 'state and recovery')
PRODUCT_AREAS = (*DECISION_AREAS, 'weight distribution', 'other product code')
CODE_AREAS = (*PRODUCT_AREAS, 'tests', 'bench')


def run(
    *,
    since: Annotated[str, Parameter(help='Count only lines added since this commit.')] = '',
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
) -> int:
    """Print the shares; exit status 1 when tests exceed or decisions miss their share."""
    lines = added_lines(since) if since else count_lines()
    code = max(1, sum(lines[area] for area in CODE_AREAS))
    test_share = lines['tests'] / code
    decision_share = sum(lines[area] for area in DECISION_AREAS) / code
    if as_json:
        shares = {'test_share': round(test_share, 3), 'decision_share': round(decision_share, 3)}
        print(json.dumps({'lines': dict(lines), **shares}))
    else:
        _print_table(lines, code, test_share, decision_share)
    return 0 if test_share <= MAX_TEST_SHARE and decision_share >= MIN_DECISION_SHARE else 1


def count_lines() -> Counter[str]:
    """Returns the significant lines of each area in the working tree."""
    lines: Counter[str] = Counter()
    for name in _git('ls-files').splitlines():
        path = REPOSITORY_ROOT / name
        if path.suffix in SUFFIXES and path.is_file():
            lines[area_of(name)] += _count_significant_lines(path)
    return lines


def added_lines(since: str) -> Counter[str]:
    """Returns the added lines of each area since a commit, blank and comment lines included."""
    lines: Counter[str] = Counter()
    for row in _git('diff', '--numstat', since).splitlines():
        added, _, name = row.split('\t')
        if Path(name).suffix in SUFFIXES and added.isdigit():
            lines[area_of(name)] += int(added)
    return lines


def area_of(name: str) -> str:
    """Returns the first area that a file belongs to."""
    for area, prefixes in AREAS.items():
        if name.startswith(prefixes):
            return area
    return 'other files'


def _count_significant_lines(path: Path) -> int:
    lines = (line.strip() for line in path.read_text('utf8').splitlines())
    return sum(bool(line) and not line.startswith('#') for line in lines)


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ['git', *arguments], cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=True
    )
    return completed.stdout


def _print_table(lines: Counter[str], code: int, test_share: float, decision_share: float) -> None:
    table = Table('area', 'lines', 'share of code')
    for listed_area in AREAS:
        table.add_row(listed_area, str(lines[listed_area]), f'{lines[listed_area] / code:.1%}')
    table.add_section()
    decisions = sum(lines[area] for area in DECISION_AREAS)
    table.add_row('tests (a third at most)', str(lines['tests']), f'{test_share:.1%}')
    table.add_row('decisions (a quarter at least)', str(decisions), f'{decision_share:.1%}')
    Console().print(table)
