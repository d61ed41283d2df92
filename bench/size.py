"""Shares of code, tests and documentation, and of the product's own decisions in it.

Counts the lines that are neither blank nor only a comment of every file that git
tracks. The decisions are routing, limits, retries, membership, state and recovery.
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
DECISIONS = ('routing, limits and retries', 'membership', 'state and recovery')
PRODUCT = (*DECISIONS, 'weight distribution', 'other product code')
CODE = (*PRODUCT, 'tests', 'bench')


def run(
    *,
    since: Annotated[str, Parameter(help='Count only lines added since this commit.')] = '',
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
) -> int:
    """Print the shares; exit status 1 when tests or decisions miss their share."""
    lines = added_lines(since) if since else count_lines()
    code = max(1, sum(lines[area] for area in CODE))
    test_share = lines['tests'] / code
    decision_share = sum(lines[area] for area in DECISIONS) / code
    if as_json:
        shares = {'test_share': round(test_share, 3), 'decision_share': round(decision_share, 3)}
        print(json.dumps({'lines': dict(lines), **shares}))
    else:
        _show(lines, code, test_share, decision_share)
    return 0 if test_share <= MAX_TEST_SHARE and decision_share >= MIN_DECISION_SHARE else 1


def count_lines() -> Counter[str]:
    """Returns the lines of each area as the files stand."""
    counted: Counter[str] = Counter()
    for name in _git('ls-files').splitlines():
        path = REPOSITORY_ROOT / name
        if path.suffix in SUFFIXES and path.is_file():
            counted[area_of(name)] += _meaning(path)
    return counted


def added_lines(since: str) -> Counter[str]:
    """Returns the lines of each area that were added since a commit."""
    counted: Counter[str] = Counter()
    for row in _git('diff', '--numstat', since).splitlines():
        added, _, name = row.split('\t')
        if Path(name).suffix in SUFFIXES and added.isdigit():
            counted[area_of(name)] += int(added)
    return counted


def area_of(name: str) -> str:
    """Returns the first area that a file belongs to."""
    for area, prefixes in AREAS.items():
        if name.startswith(prefixes):
            return area
    return 'other files'


def _meaning(path: Path) -> int:
    lines = (line.strip() for line in path.read_text('utf8').splitlines())
    return sum(bool(line) and not line.startswith('#') for line in lines)


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ['git', *arguments], cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=True
    )
    return done.stdout


def _show(lines: Counter[str], code: int, test_share: float, decision_share: float) -> None:
    table = Table('area', 'lines', 'share of code')
    for shown in AREAS:
        table.add_row(shown, str(lines[shown]), f'{lines[shown] / code:.1%}')
    table.add_section()
    decisions = sum(lines[area] for area in DECISIONS)
    table.add_row('tests (a third at most)', str(lines['tests']), f'{test_share:.1%}')
    table.add_row('decisions (a quarter at least)', str(decisions), f'{decision_share:.1%}')
    Console().print(table)
