"""Runs the command line against a real control process: results, conflicts, exit codes."""

import json
import os
import subprocess
import sys

import pytest

from jackdawsail.ui.exit_codes import ExitCode
from test.running_control import running_control


@pytest.fixture(scope='module')
def control(tmp_path_factory):
    with running_control(tmp_path_factory.mktemp('control')) as started:
        yield started


@pytest.fixture
def run(control):
    def run_command(*arguments, token='boot'):
        environment = {
            **os.environ,
            'JACKDAWSAIL_CONTROL': control.address,
            'JACKDAWSAIL_TOKEN': token,
        }
        command = [sys.executable, '-m', 'jackdawsail.ui.main', *arguments]
        completed = subprocess.run(
            command, env=environment, capture_output=True, text=True, timeout=60
        )
        return completed.returncode, completed.stdout, completed.stderr

    return run_command


def test_release_from_file_to_abort(run, tmp_path):
    weights = tmp_path / 'weights.bin'
    weights.write_bytes(b'w' * 3000)
    created = run('release', 'create', 'r1', '--backend', 'quill', '--file', str(weights))
    assert created[0] == 0, created
    assert run('release', 'start', 'r1')[0] == 0
    code, shown, _ = run('release', 'show', 'r1', '--json')
    release = json.loads(shown)
    assert (code, release['status'], release['chunks']) == (0, 'running', 1)
    assert run('release', 'create', 'r1', '--backend', 'quill', '--file', str(weights))[0] == 3
    assert run('release', 'show', 'r9')[0] == ExitCode.not_found
    assert run('release', 'abort', 'r1', '--reason', 'wrong notes')[0] == 0


def test_apply_prints_differences_and_conflict_prints_changes_in_between(run, control, tmp_path):
    overlay = tmp_path / 'site.yaml'
    overlay.write_text('customers: {label: {weight: 7}}')
    applied = run('apply', str(control.settings), '--overlay', str(overlay), '--wait')
    assert applied[0] == 0, applied
    assert 'customer/label' in applied[1]
    revision = json.loads(run('status', '--json')[1])['revision']
    stale = ('customer', 'put', 'label', '--weight', '3', '--expect-revision', str(revision - 1))
    code, _, error = run(*stale)
    assert code == ExitCode.conflict
    assert 'customer/label' in error
    assert 'bootstrap' in run('audit')[1]


def test_operator_roles_are_enforced(run):
    code, shown, _ = run('operator', 'put', 'ana', '--role', 'operate', '--json')
    token = json.loads(shown)['token']
    assert code == 0
    assert run('host', 'out', 'h1', token=token)[0] == 0
    assert run('customer', 'remove', 'label', token=token)[0] == ExitCode.forbidden
    assert run('status', token='wrong')[0] == ExitCode.forbidden
    assert token not in run('audit', '--json')[1]


def test_voter_commands_show_change_and_audit(run):
    assert 'c1' in run('voters', 'status')[1]
    assert run('voters', 'retire', 'c7')[0] == 0
    assert run('voters', 'retire', 'c7')[0] == 0
    assert json.loads(run('voters', 'status', '--json')[1])['retired'] == ['c7']
    assert run('voters', 'take-back', 'c7')[0] == 0
    assert json.loads(run('voters', 'status', '--json')[1])['retired'] == []
    assert run('voters', 'count', '11')[0] == ExitCode.invalid
    assert 'control/voters' in run('audit')[1]


def test_last_zone_out_requires_force(run):
    code, _, error = run('zone', 'out', 'crete-a')
    assert (code, 'last-zone' in error) == (ExitCode.conflict, True)
    assert run('zone', 'out', 'crete-a', '--force', '--no-wait')[0] == 0
    assert run('zone', 'in', 'crete-a')[0] == 0


def test_unreachable_control_host_is_reported(monkeypatch):
    from jackdawsail.errors import UserError
    from jackdawsail.ui.client import AdminClient

    now = iter(range(0, 1000, 5))
    client = AdminClient(['127.0.0.1:1'], 't', lambda _seconds: None, lambda: next(now))
    with pytest.raises(UserError, match='JACKDAWSAIL_CONTROL') as raised:
        client.get('/v1/status')
    assert raised.value.exit_code == ExitCode.unreachable
