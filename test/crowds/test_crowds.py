"""Crowds of callers must not take the memory or the descriptors of a process (issue 51).

Each test guards against one way in which callers within the limits on a single request made
a process grow without a bound. The crowds and the limits are small, and the limits are those
of the process's own settings. Nothing depends on speed.
"""

import json
from contextlib import ExitStack

import pytest

from test.crowds.crowd import chunked_body, crowd, large_body, many_headers
from test.crowds.processes import (
    make_document,
    running_node,
    running_own,
    running_upstream,
    wait_for,
)

pytestmark = pytest.mark.crowd
ENTRY_MB = 96
CONTROL_MB = 128
CALLERS = 32
DESK = {'Host': 'desk.test', 'Attempt-Id': 'ordinary'}
OWN_SETTINGS = {
    'deployment': 'demo',
    'zones': {'attica-a': {'region': 'attica'}},
    'backends': {'quill': {'kind': 'service'}},
    'customers': {'label': {'weight': 2}},
}
HEARTBEAT = json.dumps(
    {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'slots': 1,
        'state': 'ready',
        'sequence': 1,
    }
)
LARGE_PIECES = {
    'whole': large_body('/held'),
    'one byte short': large_body(missing_bytes=1),
    'chunked': chunked_body(),
}


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    """A control host without a crowd of its own, with its document and an upstream."""
    folder = tmp_path_factory.mktemp('site')
    with running_node(folder / 'control', 'control', 512) as control:
        wait_for(lambda: control.call('PUT', '/api/config', make_document()) == 200, 'document')
        with running_upstream(control) as released:
            yield control, released


@pytest.fixture
def make_entry(site, tmp_path):
    control, _released = site
    with ExitStack() as stack:

        def start(name='entry', **limits):
            options = {'memory_mb': ENTRY_MB, **limits, 'control': control}
            entry = stack.enter_context(running_node(tmp_path / name, 'entry', **options))
            wait_for(lambda: answers(entry), 'entry serves')
            return entry

        yield start


def answers(entry):
    """Returns whether one ordinary request is answered."""
    return entry.call('POST', '/now', '{}', DESK) == 200


@pytest.mark.parametrize('at_once', [True, False], ids=['at once', 'piece by piece'])
@pytest.mark.parametrize('kind', LARGE_PIECES)
def test_large_bodies_at_an_entry(site, make_entry, kind, at_once):
    entry = make_entry()
    _control, released = site
    released.clear()
    with crowd(entry.address, entry.port, CALLERS, LARGE_PIECES[kind], at_once=at_once):
        assert answers(entry)
        entry.check()
        released.set()
        assert answers(entry)
    entry.check()


def test_many_headers_at_an_entry(make_entry):
    entry = make_entry()
    with crowd(entry.address, entry.port, 160, many_headers()):
        assert answers(entry)
        entry.check()


def test_large_answers_that_callers_of_an_entry_do_not_read(make_entry):
    entry = make_entry()
    request = b'GET /large HTTP/1.1\r\nHost: desk.test\r\nAttempt-Id: crowd\r\n\r\n'
    with crowd(entry.address, entry.port, CALLERS, [request * 4], receive_bytes=4096):
        assert answers(entry)
        entry.check()


@pytest.mark.parametrize('begun', [b'', b'POST /now HTTP/1.1\r\nHost: des'], ids=['idle', 'begun'])
def test_more_connections_than_descriptors_at_an_entry(make_entry, begun):
    entry = make_entry(max_fds=128)
    with crowd(entry.address, entry.port, 200, [begun]):
        wait_for(lambda: answers(entry), 'a request is answered')
        entry.check()


@pytest.mark.parametrize('offset', [1, 9], ids=['relay', 'metrics'])
def test_large_bodies_at_the_other_ports_of_an_entry(make_entry, offset):
    entry = make_entry()
    port = entry.link_port + offset
    with crowd(entry.address, port, CALLERS, large_body(missing_bytes=1), at_once=True):
        assert answers(entry)
        entry.check()
        assert entry.call('GET', '/metrics', port=entry.link_port + 9) == 200


def test_crowds_at_three_entries_and_then_at_a_fourth(make_entry):
    entries = [make_entry(f'entry-{number}') for number in range(4)]
    with ExitStack() as stack:
        for entry in entries:
            pieces = large_body(missing_bytes=1)
            stack.enter_context(crowd(entry.address, entry.port, CALLERS, pieces, at_once=True))
        for entry in entries:
            assert answers(entry)
            entry.check()


def test_a_single_large_body_is_served_in_calm(make_entry):
    entry = make_entry(memory_mb=128)
    for _ in range(5):
        assert entry.call('POST', '/now', bytes(4_194_304), DESK) == 200
    entry.check()


def test_large_bodies_one_after_the_other_leave_nothing(make_entry):
    entry = make_entry()
    for _ in range(60):
        assert entry.call('POST', '/now', bytes(4_194_304), DESK) == 200
    entry.check()


@pytest.fixture
def control(tmp_path):
    with running_node(tmp_path / 'control', 'control', CONTROL_MB) as host:
        wait_for(lambda: host.call('PUT', '/api/config', make_document()) == 200, 'document')
        yield host


@pytest.mark.parametrize('at_once', [True, False], ids=['at once', 'piece by piece'])
def test_unfinished_documents_at_a_control_host(control, at_once):
    pieces = large_body('/api/config', missing_bytes=1)
    with crowd(control.address, control.port, CALLERS, pieces, at_once=at_once):
        assert control.call('GET', '/api/config') == 200
        control.check()
    put_large_document(control)


@pytest.mark.parametrize('repeats', [1, 8])
def test_documents_that_callers_of_a_control_host_do_not_read(control, repeats):
    put_large_document(control)
    request = b'GET /api/config HTTP/1.1\r\nHost: c\r\n\r\n' * repeats
    with crowd(control.address, control.port, CALLERS, [request], receive_bytes=4096):
        assert control.call('PUT', '/api/instances/desk-1', HEARTBEAT) == 200
        control.check()


def test_more_connections_than_descriptors_at_a_control_host(tmp_path):
    with running_node(tmp_path / 'c', 'control', CONTROL_MB, 128) as control:
        wait_for(lambda: control.call('PUT', '/api/config', make_document()) == 200, 'document')
        with crowd(control.address, control.port, 200, [b'PUT /api/config HT']):
            wait_for(lambda: control.call('GET', '/api/config') == 200, 'an answer')
            control.check()


def put_large_document(control):
    body = make_document(2, 4_194_304)
    wait_for(lambda: control.call('PUT', '/api/config', body) == 200, 'large document')


def own_settings(memory_mb, max_fds, **sections):
    limits = {'memory_mb': memory_mb, 'max_fds': max_fds}
    host = {'name': 'h1', 'zone': 'attica-a', 'region': 'attica'}
    return {**OWN_SETTINGS, 'host': host, 'limits': limits, **sections}


def running_own_entry(folder, memory_mb=128, max_fds=1024):
    entry = {'control': ['127.0.0.1:1'], 'max_body_bytes': 4_194_304}
    settings = own_settings(memory_mb, max_fds, entry=entry)
    return running_own(folder, 'entry', settings, memory_mb, max_fds, 'caller_port')


@pytest.mark.parametrize('pieces', ['declared', 'chunked'])
def test_unfinished_bodies_at_an_own_entry(tmp_path, pieces):
    path = '/v1/backends/quill/call/x'
    sent = {'declared': large_body(path, missing_bytes=1), 'chunked': chunked_body(path)}[pieces]
    with running_own_entry(tmp_path / 'entry') as entry:
        with crowd(entry.address, entry.port, CALLERS, sent, at_once=True):
            assert entry.call('GET', '/metrics') == 200
            entry.check()


def test_more_connections_than_descriptors_at_an_own_entry(tmp_path):
    with running_own_entry(tmp_path / 'entry', max_fds=128) as entry:
        with crowd(entry.address, entry.port, 200, [b'POST /v1/back']):
            wait_for(lambda: entry.call('GET', '/metrics') == 200, 'an answer')
            entry.check()


@pytest.mark.parametrize('pieces', ['declared', 'chunked'])
def test_unfinished_bodies_at_the_administration_api(tmp_path, pieces):
    size = 7_000_000
    sent = {
        'declared': large_body('/v1/customers', 1, size),
        'chunked': chunked_body('/v1/customers', size),
    }[pieces]
    section = {
        'data_folder': str(tmp_path / 'data'),
        'voters': [{'name': 'h1', 'address': '127.0.0.1:1'}],
        'bootstrap_token': 'boot',
    }
    settings = own_settings(CONTROL_MB, 1024, control=section)
    with running_own(tmp_path / 'control', 'control', settings, CONTROL_MB) as control:
        with crowd(control.address, control.port, 20, sent, at_once=True):
            assert control.call('GET', '/metrics') == 200
            control.check()
