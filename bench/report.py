"""Writes one HTML page with the results of the experiments, and compares two runs.

Reads ``results/*.json`` (the figures of each experiment) and ``results/*.series.json``
(its requests and events over time). With ``--compare FOLDER`` the page also shows each
figure of the other run, and the ratio of the two.
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
    """Writes the page; exit status 1 if there are no results."""
    figures = read_figures(results)
    series = read_series(results)
    if not figures and not series:
        print(f'no results in {results}; run an experiment first')
        return 1
    other_figures = read_figures(compare) if compare else {}
    names = sorted({*figures, *series})
    parts = [_section(name, figures, series, other_figures) for name in names]
    page = '<!doctype html><meta charset="utf-8"><title>jackdawsail bench</title>'
    page += f'<style>{STYLE}</style><h1>jackdawsail bench</h1>{"".join(parts)}'
    output_path = output or results / 'report.html'
    output_path.write_text(page, 'utf8')
    print(f'{output_path}: {", ".join(names)}')
    return 0


def read_figures(folder: Path) -> dict[str, dict[str, Any]]:
    """Returns the figures of each experiment; the names of nested figures are joined by dots."""
    figures = {}
    for path in sorted(folder.glob('*.json')):
        if not path.name.endswith(SERIES_SUFFIX):
            figures[path.stem] = dict(_flatten('', json.loads(path.read_text('utf8'))))
    return figures


def read_series(folder: Path) -> dict[str, dict[str, Any]]:
    """Returns the series of each experiment, as written by ``bench.harness.series``."""
    paths = sorted(folder.glob(f'*{SERIES_SUFFIX}'))
    return {
        path.name.removesuffix(SERIES_SUFFIX): json.loads(path.read_text('utf8')) for path in paths
    }


def ratio(now: Any, before: Any) -> float | None:
    """Returns now divided by before.

    Returns None if one of them is no number, if before is zero, or if the ratio is not finite.
    """
    numbers = [each for each in (now, before) if isinstance(each, int | float)]
    if len(numbers) < 2 or isinstance(now, bool) or not before:
        return None
    ratio_to_other = now / before
    return ratio_to_other if math.isfinite(ratio_to_other) else None


def _flatten(prefix: str, content: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(content, dict):
        for name, nested in content.items():
            yield from _flatten(f'{prefix}.{name}' if prefix else str(name), nested)
    elif isinstance(content, int | float | str):
        yield prefix, content


def _section(
    name: str,
    figures: dict[str, dict[str, Any]],
    series: dict[str, dict[str, Any]],
    other_figures: dict[str, dict[str, Any]],
) -> str:
    parts = [f'<h2>{html.escape(name)}</h2>']
    if name in series:
        parts.extend(_image(title, figure) for title, figure in draw_all(series[name]))
    if name in figures:
        parts.append(_table(figures[name], other_figures.get(name, {})))
    return ''.join(parts)


def _image(title: str, figure: Figure) -> str:
    buffer = BytesIO()
    figure.savefig(buffer, format='png', dpi=110, bbox_inches='tight')
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<h3>{title}</h3><img alt="{title}" src="data:image/png;base64,{encoded}">'


def _table(now: dict[str, Any], before: dict[str, Any]) -> str:
    headers = ('measure', 'result', *(('other run', 'ratio') if before else ()))
    rows = ['<tr>', *(f'<th>{header}</th>' for header in headers), '</tr>']
    for measure, figure in now.items():
        cells = [measure, _format_figure(figure)]
        if before:
            ratio_to_other = ratio(figure, before.get(measure))
            cells.append(_format_figure(before.get(measure, '')))
            cells.append('' if ratio_to_other is None else f'{ratio_to_other:.3g}')
        rows.append(f'<tr>{"".join(f"<td>{html.escape(cell)}</td>" for cell in cells)}</tr>')
    return f'<table>{"".join(rows)}</table>'


def _format_figure(figure: Any) -> str:
    return f'{figure:.4g}' if isinstance(figure, float) else str(figure)
