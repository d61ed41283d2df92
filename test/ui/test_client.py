"""The command line takes no broken or endless answer of a control host for a whole one."""

import socket
import threading

import pytest

from jackdawsail.errors import UserError
from jackdawsail.ui import client as client_module
from jackdawsail.ui.client import AdminClient

HEAD = b'HTTP/1.1 200 OK\r\n'


def read_status(answer, blocks=0):
    """Reads the status from a host that sends ``answer`` and then ``blocks`` of spaces."""
    listener = socket.create_server(('127.0.0.1', 0))
    sent_blocks = []

    def serve():
        connection, _address = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(answer)
            try:
                for _ in range(blocks):
                    connection.sendall(b' ' * 65_536)
                    sent_blocks.append(65_536)
            except OSError:
                return

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    now = iter([0.0, 1000.0])
    host = f'127.0.0.1:{listener.getsockname()[1]}'
    client = AdminClient([host], 't', lambda _seconds: None, lambda: next(now))
    try:
        return client.get('/v1/status')
    finally:
        server.join(20)
        listener.close()
        read_status.sent_bytes = sum(sent_blocks)


def test_answer_that_ends_with_its_connection_is_read():
    assert read_status(HEAD + b'\r\n{"revision": 3}') == {'revision': 3}


@pytest.mark.parametrize(
    'answer',
    [
        HEAD + b'\r\n{"revision": 3',
        HEAD + b'Content-Length: 30\r\n\r\n{"revision": 3',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n5\r\n{"rev\r\n',
        HEAD,
    ],
)
def test_answer_that_is_cut_off_is_no_answer(answer):
    with pytest.raises(UserError):
        read_status(answer)


def test_answer_without_an_end_is_given_up(monkeypatch):
    monkeypatch.setattr(client_module, 'MAX_ANSWER_BYTES', 1_000_000)
    with pytest.raises(UserError):
        read_status(HEAD + b'\r\n', blocks=1000)
    assert read_status.sent_bytes < 32_000_000


@pytest.mark.parametrize('status', [420, 499, 599])
def test_failure_with_a_status_without_a_name_is_reported(status):
    answer = f'HTTP/1.1 {status} X\r\n\r\n{{"code": "odd", "detail": "why"}}'.encode()
    with pytest.raises(UserError, match='odd: why'):
        read_status(answer)
