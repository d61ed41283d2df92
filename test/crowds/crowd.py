"""Callers that are not under the operators' control: each sends what it is told and stays open.

A caller whose connection is refused, answered or closed early has ended; none of them retries.
"""

import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

THREADS = 8
SEND_TIMEOUT_SECONDS = 5.0
BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
NAMES = 'Host: desk.test\r\nAttempt-Id: crowd'


def large_body(path='/now', missing_bytes=0, body_bytes=BODY_BYTES):
    """Returns a request with a large body of known length, or all of it but the last bytes."""
    head = f'POST {path} HTTP/1.1\r\n{NAMES}\r\nContent-Length: {body_bytes}\r\n\r\n'
    return [head.encode(), *_pieces(body_bytes - missing_bytes)]


def chunked_body(path='/now', body_bytes=BODY_BYTES):
    """Returns a request with a chunked body whose last chunk never comes."""
    head = f'POST {path} HTTP/1.1\r\n{NAMES}\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunks = [b'%x\r\n%s\r\n' % (len(piece), piece) for piece in _pieces(body_bytes)]
    return [head.encode(), *chunks]


def many_headers(count=3000):
    """Returns a request within the limit on heads that has many headers, and lacks its body."""
    head = f'POST /now HTTP/1.1\r\n{NAMES}\r\nContent-Length: 2\r\n'
    return [(head + 'a:\r\n' * count + '\r\n1').encode()]


def _pieces(size_bytes):
    whole, rest = divmod(size_bytes, PIECE_BYTES)
    return [bytes(PIECE_BYTES)] * whole + [bytes(rest)]


@contextmanager
def crowd(address, port, count, pieces, receive_bytes=0, at_once=False):
    """Opens ``count`` callers that send the same pieces and then stay open.

    Piece by piece means that all callers have sent a piece before any sends the next, and
    ``at_once`` that each sends all that it has.
    """
    callers = [_connect(address, port, receive_bytes) for _ in range(count)]
    rounds = [b''.join(pieces)] if at_once else pieces
    try:
        with ThreadPoolExecutor(THREADS) as pool:
            for piece in rounds:
                list(pool.map(lambda caller, sent=piece: _send(caller, sent), callers))
        yield
    finally:
        for caller in callers:
            caller.close()


def _connect(address, port, receive_bytes):
    caller = socket.socket()
    caller.settimeout(SEND_TIMEOUT_SECONDS)
    if receive_bytes:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        caller.connect((address, port))
    except OSError:
        caller.close()
    return caller


def _send(caller, piece):
    if caller.fileno() < 0:
        return
    try:
        caller.sendall(piece)
    except OSError:
        caller.close()
