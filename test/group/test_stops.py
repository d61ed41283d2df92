"""Calls that a control host has received are answered, also while it stops, over real sockets."""

import json
import time
from contextlib import contextmanager

import pytest

from jackdawsail.control.raft_replicator import FLUSH_SECONDS
from jackdawsail.group.calls import CallCodec
from jackdawsail.group.operator_calls import with_operator_calls
from jackdawsail.group.program import make_control_program
from jackdawsail.platform.calls import AnswerEncoder, decode_call
from jackdawsail.site.node import ListenAddresses, NodeSettings
from jackdawsail.site.process import NodeProcess
from jackdawsail.wire.identity import Role
from test.proxy.test_endless_bytes import Caller, LiveReactor

HOST = '127.0.0.1'
CONFIG = {'version': 7, 'routes': [], 'services': []}
HEARTBEAT = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'z',
    'slots': 16,
    'state': 'ready',
    'sequence': 4,
}
DEEP = b'[' * 100_000


class PortReactor(LiveReactor):
    """Keeps the listening ports of a program, whose numbers the kernel chooses."""

    def __init__(self):
        super().__init__()
        self.ports = []

    def listenTCP(self, *arguments, **options):
        port = super().listenTCP(*arguments, **options)
        self.ports.append(port)
        return port


class ControlHost:
    """The only control host of a site, as a running process has it."""

    def __init__(self, folder):
        self.reactor = PortReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        settings = NodeSettings(
            'c',
            HOST,
            'z',
            'r',
            seeds=(f'{HOST}:1',),
            may_bootstrap=True,
            data_folder=str(folder),
            listening=ListenAddresses(control=f'{HOST}:0', directory=f'{HOST}:0'),
        )
        self.process = NodeProcess(self.reactor, settings, Role.control)
        codec = with_operator_calls(CallCodec(decode_call, AnswerEncoder(1).encode))
        self.program = make_control_program(self.process, codec)
        self.program.start()
        self.reactor.run_until(self.program.consensus.replicator.is_leader)

    def call(self, method, path, body=b''):
        port = self.reactor.ports[0].getHost().port
        return Caller(port, request_of(method, path, body))

    def answer(self, caller):
        """Runs until a caller has an answer or its connection has ended."""
        self.reactor.run_until(lambda: caller.answer or not caller.is_alive())
        return caller.answer

    def stop_and_end(self):
        """Stops as on SIGTERM, and ends the process once it has stopped."""
        self.program.stop().addBoth(lambda _outcome: self.process.end(0))


def request_of(method, path, body=b''):
    head = f'{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


@contextmanager
def control_host(folder):
    host = ControlHost(folder)
    try:
        yield host
    finally:
        for port in host.reactor.ports:
            port.stopListening()
        host.reactor.disconnectAll()
        host.reactor.iterate(0)


CALLS = (
    ('PUT', '/api/config', json.dumps(CONFIG).encode()),
    ('GET', '/api/config', b''),
    ('PUT', '/api/instances/i-1', json.dumps(HEARTBEAT).encode()),
    ('DELETE', '/api/instances/i-1', b''),
    ('GET', '/api/resolve?name=a&region=r&zone=z', b''),
    ('POST', '/api/evacuation/z', b''),
    ('POST', '/api/version-put', b'{"model":"m","version":2}'),
    ('GET', '/nothing', b''),
)


@pytest.mark.parametrize(('method', 'path', 'body'), CALLS)
def test_call_that_is_read_while_its_host_stops_is_answered(tmp_path, method, path, body):
    with control_host(tmp_path) as host:
        caller = host.call(method, path, body)
        host.stop_and_end()
        assert host.answer(caller).startswith(b'HTTP/1.1 ')


@pytest.mark.parametrize(('method', 'path', 'body'), CALLS)
def test_call_in_the_kernel_at_the_end_of_a_stop_is_answered(tmp_path, method, path, body):
    with control_host(tmp_path) as host:
        kept = host.call('GET', '/nothing')
        host.answer(kept)
        kept.answer = b''
        host.stop_and_end()
        kept.connection.sendall(request_of(method, path, body))
        new = host.call(method, path, body)
        # The process is held up until it would have ended.
        time.sleep(2 * FLUSH_SECONDS)
        host.reactor.run_until(lambda: not kept.is_alive() and not new.is_alive())
        assert kept.answer.startswith(b'HTTP/1.1 ')
        assert new.answer.startswith(b'HTTP/1.1 ')
        host.reactor.run_until(lambda: not host.reactor.running)


def test_answers_of_a_stopping_host_close_their_connections(tmp_path):
    with control_host(tmp_path) as host:
        host.program.stop()
        caller = host.call('GET', '/nothing')
        assert b'connection: close' in host.answer(caller).lower()


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('PUT', '/api/config', b'{"x":' + DEEP),
        ('PUT', '/api/config', json.dumps(CONFIG).encode()[:-1] + b',"x":1e999}'),
        (
            'PUT',
            '/api/config',
            json.dumps(CONFIG).encode()[:-1] + b',"x":' + b'[' * 5000 + b']' * 5000 + b'}',
        ),
        ('PUT', '/api/config', json.dumps({**CONFIG, 'version': 2**70}).encode()),
        ('PUT', '/api/config', json.dumps({**CONFIG, 'version': -1}).encode()),
        ('PUT', '/api/config', b'\xff\xfe'),
        ('PUT', '/api/instances/i-1', b'{"x":' + DEEP),
        ('PUT', '/api/instances/%ff', json.dumps(HEARTBEAT).encode()),
        ('PUT', '/api/instances/i-1', json.dumps({**HEARTBEAT, 'sequence': 2**70}).encode()),
        ('POST', '/api/version-put', b'{"x":' + DEEP),
        ('POST', '/api/version-put', b'{"model":"m","version":-5}'),
        ('POST', '/api/version-put', b'{"model":"m","version":%d}' % (2**70)),
        ('POST', '/api/evacuation/%ff%00', b''),
        ('GET', '//[', b''),
        ('GET', 'http://[/api/config', b''),
        ('HEAD', '/api/config', b''),
        ('OPTIONS', '*', b''),
    ],
)
def test_odd_call_is_answered_and_the_host_goes_on(tmp_path, method, path, body):
    with control_host(tmp_path) as host:
        caller = host.call(method, path, body)
        assert host.answer(caller).startswith(b'HTTP/1.1 ')
        assert host.answer(host.call('GET', '/nothing')).startswith(b'HTTP/1.1 404')


@pytest.mark.parametrize('name', ['_handle', '_propose'])
def test_error_in_a_handler_is_answered(tmp_path, monkeypatch, name):
    with control_host(tmp_path) as host:

        def fail(*_arguments):
            raise LookupError(name)

        monkeypatch.setattr(type(host.program.call_handler), name, fail)
        caller = host.call('PUT', '/api/config', json.dumps(CONFIG).encode())
        assert host.answer(caller).startswith(b'HTTP/1.1 50')


def test_error_after_a_change_was_decided_is_answered(tmp_path, monkeypatch):
    with control_host(tmp_path) as host:

        def fail(*_arguments):
            raise LookupError('answer')

        monkeypatch.setattr(type(host.program.call_handler), '_answer_change', fail)
        caller = host.call('PUT', '/api/config', json.dumps(CONFIG).encode())
        assert host.answer(caller).startswith(b'HTTP/1.1 50')
