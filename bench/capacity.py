"""Computes the tables of docs/CAPACITY.md from the measured slopes.

``python -m bench capacity`` writes the tables into the page, between the marks
``<!-- table NAME -->`` and ``<!-- end -->``. With ``--check`` it compares them instead
and exits with status 1 when the page and the computed tables differ.

Example::

    python -m bench slopes --json
    python -m bench capacity
    python -m bench capacity --check
"""

import json
import re
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from bench.capacity_roles import make_load_table, make_role_table
from bench.capacity_size import DesignSize
from bench.capacity_slopes import Slopes, make_measured_table, make_rest_table, read_slopes

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
SLOPES_FILE = ROOT / 'docs' / 'capacity' / 'slopes.json'
TABLE_PATTERN = re.compile(r'<!-- table (\w+) -->\n.*?<!-- end -->', re.DOTALL)


def make_tables(slopes: Slopes, size: DesignSize) -> dict[str, str]:
    """Returns every table of the page, keyed by the name in its mark."""
    return {
        'slopes': make_measured_table(slopes),
        'rest': make_rest_table(slopes),
        'roles': make_role_table(slopes, size),
        'days': make_load_table(slopes, size),
    }


def fill_page(text: str, tables: dict[str, str]) -> str:
    """Returns the page with each table inserted between its marks.

    Raises ``KeyError`` for a mark whose table name is unknown.
    """

    def fill_mark(mark: re.Match[str]) -> str:
        name = mark.group(1)
        return f'<!-- table {name} -->\n{tables[name]}\n<!-- end -->'

    return TABLE_PATTERN.sub(fill_mark, text)


def run(check: bool = False, as_json: Annotated[bool, Parameter(name='--json')] = False) -> int:
    """Writes the tables into the page, or only checks that the page is current."""
    slopes = read_slopes(SLOPES_FILE)
    text = PAGE.read_text('utf8')
    filled = fill_page(text, make_tables(slopes, DesignSize()))
    is_current = filled == text
    if not check:
        PAGE.write_text(filled, 'utf8')
        is_current = True
    verdict = 'current' if is_current else 'not current'
    print(json.dumps({'page': verdict}) if as_json else f'the page is {verdict}')
    return 0 if is_current else 1
