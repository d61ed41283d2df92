"""Programs with invalid settings end with a one-line error and exit code 2."""

import subprocess
import sys

import pytest
import yaml

HOST = {'name': 'host-1', 'zone': 'zone-a', 'region': 'region-a'}


def run_program(role, path):
    return subprocess.run(
        [sys.executable, '-m', f'jackdawsail.{role}.main', '--settings', str(path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.mark.parametrize('role', ['control', 'entry', 'agent', 'relay'])
def test_missing_section_is_a_one_line_error(role, tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump({'deployment': 'test', 'host': HOST}))
    result = run_program(role, path)
    assert result.returncode == 2
    assert f'no {role} section' in result.stderr
    assert 'Traceback' not in result.stderr


def test_missing_file_is_a_one_line_error(tmp_path):
    result = run_program('agent', tmp_path / 'absent.yaml')
    assert result.returncode == 2
    assert len(result.stderr.strip().splitlines()) == 1
    assert 'absent.yaml' in result.stderr
