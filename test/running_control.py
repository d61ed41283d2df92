"""Starts a control process for tests of the administration API and of the command line."""

import json
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

SETTINGS = """
deployment: demo
host: {name: c1, zone: attica-a, region: attica}
control:
  data_folder: DATA
  voters: [{name: c1, address: '127.0.0.1:PORT'}]
  link_port: PORT
  bootstrap_token: boot
zones: {attica-a: {region: attica}, crete-a: {region: crete}}
backends: {quill: {kind: engine}}
customers: {label: {weight: 2}}
"""


@dataclass(frozen=True)
class RunningControl:
    """The settings file and the administration address of a running control process."""

    settings: Path
    address: str


@contextmanager
def running_control(folder):
    """Runs a control process; asserts that it exits with status 0 after SIGTERM."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = str(probe.getsockname()[1])
    settings = folder / 'base.yaml'
    settings.write_text(SETTINGS.replace('DATA', str(folder / 'data')).replace('PORT', port))
    command = [sys.executable, '-m', 'jackdawsail.control.main', '--settings', str(settings)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        yield RunningControl(settings, f'127.0.0.1:{_admin_port(process)}')
    finally:
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=20)
    assert process.returncode == 0


def _admin_port(process):
    for line in process.stderr:
        event = json.loads(line)
        if event['number'] == 100:
            return event['admin_port']
    raise AssertionError('control did not become ready')
