import json
from pathlib import Path

from bench.report import ratio, run
from bench.size import AREAS, area_of

SERIES = {
    'name': 'burst',
    'engines': 2,
    'marks': {'out': 1.0},
    'loads': [[0.5, 'r1'], [0.9, 'r1']],
    'requests': [
        [0.1, 0.2, 0.3, 200, 'label-one', 'generate'],
        [1.1, 0, 1.2, 503, 'label-one', 'generate'],
    ],
}


def test_page_shows_plots_and_ratio_to_another_run(tmp_path: Path) -> None:
    now, before = tmp_path / 'now', tmp_path / 'before'
    for folder, seconds in ((now, 3.0), (before, 6.0)):
        folder.mkdir()
        (folder / 'burst.json').write_text(json.dumps({'load': {'p95_seconds': seconds}}))
    (now / 'burst.series.json').write_text(json.dumps(SERIES))
    assert run(results=now, compare=before) == 0
    page = (now / 'report.html').read_text()
    assert page.count('data:image/png') == 3
    assert '<td>load.p95_seconds</td><td>3</td><td>6</td><td>0.5</td>' in page


def test_without_results_run_fails(tmp_path: Path) -> None:
    assert run(results=tmp_path) == 1


def test_ratio_of_invalid_figures_is_none() -> None:
    assert ratio(1, 0) is None
    assert ratio('a', 2) is None
    assert ratio(float('inf'), 2) is None


def test_file_belongs_to_first_matching_area() -> None:
    assert area_of('jackdawsail/state/tables.py') == 'state and recovery'
    assert area_of('jackdawsail/agent/entry_links.py') == 'membership'
    assert area_of('jackdawsail/agent/main.py') == 'weight distribution'
    assert set(AREAS) > {area_of('test/x.py'), area_of('docs/x.md')}
