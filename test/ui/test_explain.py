"""``explain`` finds the events of one request in the logs of several processes."""

import json

import pytest

from jackdawsail.errors import UserError
from jackdawsail.ui.explain_command import explain, find_lines, format_line

DISPATCHED = {
    'request': 'a1',
    'number': 420,
    'event': 'dispatched',
    'timestamp': '02',
    'host': 'e1',
    'age': 3,
}
REFUSED = {'request': 'a1', 'number': 421, 'event': 'refused', 'timestamp': '01', 'host': 'e2'}
OTHER = {'request': 'a2', 'number': 421, 'event': 'refused', 'timestamp': '01', 'upstream': 'a1'}


def test_find_lines_returns_only_events_of_the_request():
    lines = ['  1.0 e1 ' + json.dumps(DISPATCHED), json.dumps(OTHER), 'a1 {broken', 'a1']
    assert list(find_lines('a1', lines)) == [DISPATCHED]


def test_lines_of_all_files_are_printed_by_timestamp(tmp_path, capsys):
    for number, line in enumerate((DISPATCHED, REFUSED)):
        (tmp_path / f'{number}.log').write_text(json.dumps(line) + '\n')
    explain('a1', tmp_path / '0.log', tmp_path / '1.log')
    printed = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in printed] == ['421', '420']


def test_format_line_has_time_host_event_and_fields():
    assert format_line(DISPATCHED) == '02 e1 420 dispatched: age=3'


def test_unknown_request_or_missing_file_raises_user_error(tmp_path):
    (tmp_path / 'a.log').write_text('{}\n')
    with pytest.raises(UserError, match='no log line names request zz'):
        explain('zz', tmp_path / 'a.log')
    with pytest.raises(UserError, match='missing.log'):
        explain('zz', tmp_path / 'missing.log')
