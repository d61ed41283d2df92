"""Signals to the programs of a site, as processes of their own."""

import os
import signal
import subprocess
import sys
import time
from contextlib import contextmanager

import pytest

from jackdawsail.platform.settings import PATH_VARIABLE

GIVE_UP_SECONDS = 60.0


@contextmanager
def started_program(name, settings_path):
    environment = {**os.environ, PATH_VARIABLE: str(settings_path)}
    process = subprocess.Popen(
        [sys.executable, '-m', 'jackdawsail.platform.programs', name],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize('name', ['control', 'entry', 'agent'])
def test_process_that_gets_a_hangup_before_it_has_read_its_settings_starts(tmp_path, name):
    path = tmp_path / 'settings'
    os.mkfifo(path)
    with started_program(name, path) as process:
        # Opens once the process has opened it for reading, which is before its start.
        with path.open('w') as settings:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            settings.write('nonsense')
        output, _errors = process.communicate(timeout=GIVE_UP_SECONDS)
        # Ends as its settings are unusable, and not by the signal.
        assert process.returncode > 0
        assert str(path) in output.decode()
