from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsail.errors import UserError
from jackdawsail.settings.faults import find_source
from jackdawsail.settings.loader import check_settings, load_settings
from jackdawsail.settings.merge import merge
from jackdawsail.settings.report import format_document, list_values

EXAMPLES = Path(__file__).parents[2] / 'examples'
SITES = sorted(
    (folder.name, overlay.name)
    for folder in EXAMPLES.iterdir()
    for overlay in folder.glob('*.yaml')
    if overlay.name != 'base.yaml'
)
FAULTY_SETTINGS = """\
deployment: bench
host:
  name: entry-1
  zone: crete-b
  region: crete
zones:
  crete-a:
    region: crete
customers:
  label-one:
    weigth: 2
    max_concurrent: 0
entry:
  caller_port: many
control:
  data_folder: /var/lib/x
"""


def write_file(folder: Path, name: str, text: str) -> Path:
    path = folder / name
    path.write_text(text, 'utf8')
    return path


def test_all_faults_are_reported_together_with_their_lines(tmp_path: Path) -> None:
    path = write_file(tmp_path, 'base.yaml', FAULTY_SETTINGS)
    faults = check_settings([path]).failure()
    fault_by_path = {fault.path: fault for fault in faults}
    assert {name: fault.source.line for name, fault in fault_by_path.items()} == {
        'host.zone': 4,
        'customers.label-one.weigth': 11,
        'customers.label-one.max_concurrent': 12,
        'entry.control': 13,
        'entry.caller_port': 14,
        'control.voters': 15,
    }
    assert "did you mean 'weight'" in fault_by_path['customers.label-one.weigth'].reason
    assert "did you mean 'crete-a'" in fault_by_path['host.zone'].reason
    assert fault_by_path['control.voters'].reason == 'is required'
    assert {fault.source.file for fault in faults} == {str(path)}


@pytest.mark.parametrize(
    ('text', 'path', 'line'),
    [
        ('deployment: a\nzones: [\n', '(syntax)', 3),
        ('deployment: a\nhost: {}\ndeployment: b\n', 'deployment', 3),
        ('- a\n', '(whole file)', 1),
    ],
)
def test_malformed_file_is_rejected_with_its_line(
    tmp_path: Path, text: str, path: str, line: int
) -> None:
    [fault] = check_settings([write_file(tmp_path, 'base.yaml', text)]).failure()
    assert (fault.path, fault.source.line) == (path, line)


def test_load_settings_raises_all_faults(tmp_path: Path) -> None:
    with pytest.raises(UserError, match=r'(?s)weigth.*max_concurrent'):
        load_settings([write_file(tmp_path, 'base.yaml', FAULTY_SETTINGS)])
    with pytest.raises(UserError, match='No such file'):
        load_settings([tmp_path / 'absent.yaml'])


def test_overlay_merges_replaces_and_deletes(tmp_path: Path) -> None:
    base = 'deployment: a\nentry:\n  control: [1.1.1.1:1, 1.1.1.2:1]\n  caller_port: 80\nzones:\n  z:\n    region: r\n'
    overlay = 'entry:\n  control: [2.2.2.2:2]\n  caller_port: null\nweights: {origin_copies: 2}\n'
    paths = [write_file(tmp_path, 'base.yaml', base), write_file(tmp_path, 'site.yaml', overlay)]
    loaded = check_settings(paths).unwrap()
    assert loaded.settings.entry is not None
    assert loaded.settings.entry.control == ['2.2.2.2:2']
    assert loaded.settings.entry.caller_port == 0
    assert loaded.settings.weights.chunk_bytes == 262144
    sources = {each['path']: Path(each['file']).name for each in list_values(loaded.document)}
    assert sources['entry.control[0]'] == 'site.yaml'
    assert sources['zones.z.region'] == 'base.yaml'
    assert sources['weights.chunk_bytes'] == 'config_default.yaml'
    assert find_source(loaded.document, ('weights', 'origin_copies')).line == 4


def test_formatted_document_redacts_secrets(tmp_path: Path) -> None:
    text = 'deployment: a\nsecurity: {site_secret: moonshine, site_secret_file: /etc/s}\n'
    document = check_settings([write_file(tmp_path, 'base.yaml', text)]).unwrap().document
    shown = format_document(document)
    assert 'moonshine' not in shown
    assert '/etc/s' in shown


@pytest.mark.parametrize(('deployment', 'site'), SITES)
def test_examples_load(deployment: str, site: str) -> None:
    folder = EXAMPLES / deployment
    loaded = check_settings([folder / 'base.yaml', folder / site]).unwrap().settings
    assert loaded.host is not None
    assert loaded.host.zone == site.removesuffix('.yaml')
    assert len(loaded.customers) == 10
    hosts = [path for path in (folder / 'hosts').iterdir() if loaded.host.zone in path.read_text()]
    for host in hosts:
        upstream = check_settings([folder / 'base.yaml', folder / site, host]).unwrap().settings
        assert upstream.agent is not None
        assert upstream.control is None


plain_values = st.recursive(
    st.none() | st.integers() | st.text(max_size=3),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from('abc'), children, max_size=3)
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=200)
@given(
    base=st.dictionaries(st.sampled_from('abc'), plain_values), overlay=plain_values.filter(bool)
)
def test_merge_is_idempotent(base: object, overlay: object) -> None:
    merged = merge(base, overlay)
    assert merge(merged, overlay) == merged
