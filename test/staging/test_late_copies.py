"""A second copy of a piece on a connection that is in use again is no answer to later requests."""

import hashlib
from types import SimpleNamespace

from returns.result import Success
from twisted.internet.defer import Deferred

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.piece_fetcher import PieceFetcher
from jackdawsail.staging.sources import Source
from test.http1.ends import Reactor

BODIES = [f'piece {index}'.encode() for index in range(4)]
PIECES = PieceList('m', 2, tuple(hashlib.sha256(body).hexdigest() for body in BODIES))
ORIGIN = Source('10.0.0.1:9', is_origin=True)


def answer_with(channel, body):
    length = str(len(body)).encode()
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: ' + length + b'\r\n\r\n' + body)


def test_late_copy_of_a_piece_does_not_shift_the_pieces_after_it():
    reactor = Reactor()
    codec = SimpleNamespace(piece_target=lambda *_: b'/p')
    pool = ChannelPool(reactor, reactor)
    fetcher = PieceFetcher(pool, codec, lambda key: [ORIGIN])

    def fetch_piece(index):
        return Deferred.fromCoroutine(fetcher.fetch_piece(PIECES, index))

    first = fetch_piece(0)
    channel = reactor.accept()
    answer_with(channel, BODIES[0])
    assert first.result == Success(BODIES[0])
    second = fetch_piece(1)
    answer_with(channel, BODIES[0])
    assert second.result.failure() == 'digest differs'
    assert channel.transport.aborted
    third = fetch_piece(2)
    channel = reactor.accept()
    answer_with(channel, BODIES[2])
    assert third.result == Success(BODIES[2])
