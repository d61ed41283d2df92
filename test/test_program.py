"""Long-running programs end with one clear line when their settings are wrong."""

import subprocess
import sys

import pytest
import yaml

HOST = {'name': 'host-1', 'zone': 'zone-a', 'region': 'region-a'}


def start(role, path):
    return subprocess.run(
        [sys.executable, '-m', f'jackdawsail.{role}.main', '--settings', str(path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.mark.parametrize('role', ['control', 'entry', 'agent', 'relay'])
def test_missing_section_is_one_clear_line(role, tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump({'deployment': 'test', 'host': HOST}))
    ended = start(role, path)
    assert ended.returncode == 2
    assert f'no {role} section' in ended.stderr
    assert 'Traceback' not in ended.stderr


def test_missing_file_is_one_clear_line(tmp_path):
    ended = start('agent', tmp_path / 'absent.yaml')
    assert ended.returncode == 2
    assert len(ended.stderr.strip().splitlines()) == 1
    assert 'absent.yaml' in ended.stderr
