"""Makes one HTML page of the results of the experiments, and compares two runs.

Reads ``results/*.json`` (the figures of each experiment) and
``results/*.series.json`` (what it saw over time). With ``--compare FOLDER`` each
figure stands beside that of the other run, as a ratio.
"""

import base64
import html
import json
import math
from collections.abc import Iterator
from io import BytesIO
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from bench.report_plots import draw_all

RESULTS = Path('results')
SERIES_SUFFIX = '.series.json'
STYLE = (
    'body{font:14px sans-serif;max-width:60em;margin:2em auto}'
    'table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;'
    'border-bottom:1px solid #ddd}img{max-width:100%}'
)


def run(
    *, results: Path = RESULTS, compare: Path | None = None, output: Path | None = None
) -> int:
    """Writes the page; exit status 1 when there are no results to show."""
    figures = read_figures(results)
    series = read_series(results)
    if not figures and not series:
        print(f'no results in {results}; run an experiment first')
        return 1
    other = read_figures(compare) if compare else {}
    names = sorted({*figures, *series})
    parts = [_section(name, figures, series, other) for name in names]
    page = '<!doctype html><meta charset="utf-8"><title>jackdawsail bench</title>'
    page += f'<style>{STYLE}</style><h1>jackdawsail bench</h1>{"".join(parts)}'
    target = output or results / 'report.html'
    target.write_text(page, 'utf8')
    print(f'{target}: {", ".join(names)}')
    return 0


def read_figures(folder: Path) -> dict[str, dict[str, Any]]:
    """Returns the figures of each experiment, nested ones under dotted names."""
    found = {}
    for path in sorted(folder.glob('*.json')):
        if not path.name.endswith(SERIES_SUFFIX):
            found[path.stem] = dict(_flatten('', json.loads(path.read_text('utf8'))))
    return found


def read_series(folder: Path) -> dict[str, dict[str, Any]]:
    """Returns the series of each experiment."""
    paths = sorted(folder.glob(f'*{SERIES_SUFFIX}'))
    return {
        path.name.removesuffix(SERIES_SUFFIX): json.loads(path.read_text('utf8')) for path in paths
    }


def ratio(now: Any, before: Any) -> float | None:
    """Returns now divided by before, or None when that means nothing."""
    numbers = [each for each in (now, before) if isinstance(each, int | float)]
    if len(numbers) < 2 or isinstance(now, bool) or not before:
        return None
    quotient = now / before
    return quotient if math.isfinite(quotient) else None


def _flatten(prefix: str, content: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(content, dict):
        for name, below in content.items():
            yield from _flatten(f'{prefix}.{name}' if prefix else str(name), below)
    elif isinstance(content, int | float | str):
        yield prefix, content


def _section(
    name: str,
    figures: dict[str, dict[str, Any]],
    series: dict[str, dict[str, Any]],
    other: dict[str, dict[str, Any]],
) -> str:
    parts = [f'<h2>{html.escape(name)}</h2>']
    if name in series:
        parts.extend(_image(title, drawn) for title, drawn in draw_all(series[name]))
    if name in figures:
        parts.append(_table(figures[name], other.get(name, {})))
    return ''.join(parts)


def _image(title: str, figure: Figure) -> str:
    buffer = BytesIO()
    figure.savefig(buffer, format='png', dpi=110, bbox_inches='tight')
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<h3>{title}</h3><img alt="{title}" src="data:image/png;base64,{encoded}">'


def _table(now: dict[str, Any], before: dict[str, Any]) -> str:
    heads = ('measure', 'result', *(('other run', 'ratio') if before else ()))
    rows = ['<tr>', *(f'<th>{head}</th>' for head in heads), '</tr>']
    for measure, found in now.items():
        cells = [measure, _show(found)]
        if before:
            quotient = ratio(found, before.get(measure))
            cells.append(_show(before.get(measure, '')))
            cells.append('' if quotient is None else f'{quotient:.3g}')
        rows.append(f'<tr>{"".join(f"<td>{html.escape(cell)}</td>" for cell in cells)}</tr>')
    return f'<table>{"".join(rows)}</table>'


def _show(found: Any) -> str:
    return f'{found:.4g}' if isinstance(found, float) else str(found)
