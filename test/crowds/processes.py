"""Starts the system's own processes on loopback addresses, and reads what they hold.

Memory is the peak of the resident set and descriptors are counted, both from /proc.
"""

import itertools
import json
import os
import re
import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from jackdawsail.platform.settings import PATH_VARIABLE

MEGABYTE = 1_000_000
KILOBYTE_OF_PROC = 1024
GIVE_UP_SECONDS = 60.0
POLL_SECONDS = 0.05
SETTLE_SECONDS = 0.4
READY_EVENT = 100
LARGE_ANSWER_BYTES = 8 * MEGABYTE
_NUMBERS = itertools.count(1)
_LOCK = threading.Lock()


@dataclass
class Running:
    """One process of the system; ``port`` is the one that the crowd of a test connects to."""

    process: subprocess.Popen
    address: str
    port: int
    link_port: int = 0
    memory_mb: int = 0
    max_fds: int = 0

    def lives(self):
        return self.process.poll() is None

    def peak_bytes(self):
        status = Path(f'/proc/{self.process.pid}/status').read_text('utf8')
        return int(re.search(r'VmHWM:\s+(\d+)', status)[1]) * KILOBYTE_OF_PROC

    def descriptors(self):
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def settle(self):
        """Waits until the process has read what its callers have sent, and grows no more."""
        before = None
        while before != (before := (self.peak_bytes(), self.descriptors())):
            time.sleep(SETTLE_SECONDS)

    def check(self):
        """Checks that the process lives and is within the limits of its settings."""
        assert self.lives()
        self.settle()
        peak_bytes, descriptors = self.peak_bytes(), self.descriptors()
        print(f'peak {peak_bytes / MEGABYTE:.0f} MB, {descriptors} descriptors')
        assert peak_bytes <= self.memory_mb * MEGABYTE
        assert descriptors <= self.max_fds

    def call(self, method, target, body=None, headers=(), port=0):
        """Makes one ordinary request; returns its status."""
        connection = HTTPConnection(self.address, port or self.port, timeout=GIVE_UP_SECONDS)
        try:
            connection.request(method, target, body, dict(headers))
            answer = connection.getresponse()
            answer.read()
            return answer.status
        finally:
            connection.close()


def wait_for(condition, what):
    """Waits until a condition holds; an error of the connection counts as not yet."""
    end = time.monotonic() + GIVE_UP_SECONDS
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(POLL_SECONDS)
    raise AssertionError(f'gave up waiting: {what}')


def loopback_address():
    """Returns an address that no other process of this test run uses."""
    pid = os.getpid()
    with _LOCK:
        return f'127.{20 + pid % 200}.{pid // 200 % 256}.{next(_NUMBERS)}'


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


@contextmanager
def _running(command, log_path, environment=None):
    """Runs a process that logs to a file; ends it by its id."""
    with log_path.open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, *command],
            env={**os.environ, **(environment or {})},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _ready_event(log_path, process):
    for line in log_path.read_text('utf8').splitlines():
        if line.startswith('{') and json.loads(line).get('number') == READY_EVENT:
            return json.loads(line)
    assert process.poll() is None, log_path.read_text('utf8')
    return None


@contextmanager
def running_node(folder, role, memory_mb, max_fds=1024, control=None):
    """Runs a program of a site; without ``control`` it is the first control host itself."""
    address = loopback_address()
    port = free_port(address)
    link_port = control.link_port if control else 20000 + os.getpid() % 10000
    seed = f'{control.address}:{control.port}' if control else f'{address}:{port}'
    listen = 'front' if role == 'entry' else 'control'
    folder.mkdir(parents=True)
    settings = folder / 'settings'
    settings.write_text(
        f'node_name={role}-{address}\nip={address}\nzone=a\nregion=r\nzones.a=r\n'
        f'internal_ports={link_port},{link_port + 11}\nseeds={seed}\nbootstrap=true\n'
        f'data_dir={folder}\nlisten.{listen}={address}:{port}\n'
        f'listen.ready={address}:{port + 1}\n'
        f'limits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n'
    )
    command = ['-m', 'jackdawsail.platform.programs', role]
    log_path = folder / 'log'
    with _running(command, log_path, {PATH_VARIABLE: str(settings)}) as process:
        wait_for(lambda: _ready_event(log_path, process), f'{role} is ready')
        yield Running(process, address, port, link_port, memory_mb, max_fds)


@contextmanager
def running_own(folder, program, settings, memory_mb, max_fds=1024, port_field='admin_port'):
    """Runs a program of the own interface with a settings document."""
    folder.mkdir(parents=True)
    path = folder / 'settings.yaml'
    path.write_text(json.dumps(settings))
    log_path = folder / 'log'
    command = ['-m', f'jackdawsail.{program}.main', '--settings', str(path)]
    with _running(command, log_path) as process:
        wait_for(lambda: _ready_event(log_path, process), f'{program} is ready')
        event = _ready_event(log_path, process)
        yield Running(process, '127.0.0.1', event[port_field], 0, memory_mb, max_fds)


class _Handler(BaseHTTPRequestHandler):
    """Answers at once, with a large answer, or only after the release of the stand-in."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        self._answer(bytes(LARGE_ANSWER_BYTES if self.path.startswith('/large') else 2))

    def do_POST(self):
        if self.path.startswith('/held'):
            self.server.released.wait(GIVE_UP_SECONDS)
        self.rfile.read(int(self.headers['Content-Length']))
        self._answer(b'{}')

    def _answer(self, body):
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Attempt-Id', self.headers['Attempt-Id'])
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


@contextmanager
def running_upstream(control):
    """Runs a plain service and sends its heartbeats; yields the event that releases answers."""
    address = loopback_address()
    server = _Server((address, 0), _Handler)
    server.released = threading.Event()
    ended = threading.Event()
    heartbeat = {
        'service': 'desk',
        'address': f'{address}:{server.server_port}',
        'zone': 'a',
        'slots': 256,
        'state': 'ready',
        'born': 1,
    }

    def send_heartbeats():
        for sequence in itertools.count(1):
            body = json.dumps({**heartbeat, 'sequence': sequence})
            try:
                control.call('PUT', '/api/instances/desk-1', body)
            except OSError:
                pass
            if ended.wait(0.3):
                return

    threads = [
        threading.Thread(target=server.serve_forever, daemon=True),
        threading.Thread(target=send_heartbeats, daemon=True),
    ]
    for thread in threads:
        thread.start()
    try:
        yield server.released
    finally:
        server.released.set()
        ended.set()
        server.shutdown()
        server.server_close()


def make_document(version=1, padding_bytes=0):
    """Returns a site document whose callers may take a minute for a request."""
    route = {
        'host': 'desk.test',
        'path_prefix': '/',
        'timeout_ms': 60_000,
        'service': 'desk',
        'kind': 'idempotent',
        'public': True,
    }
    limits = {'header_timeout_ms': 60_000, 'idle_timeout_ms': 60_000}
    document = {
        'version': version,
        'routes': [route],
        'services': [{'name': 'desk', 'max_connections': 512}],
        'limits': limits,
        'note': '',
    }
    document['note'] = 'x' * max(0, padding_bytes - len(json.dumps(document)))
    return json.dumps(document)
