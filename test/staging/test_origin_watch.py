"""An origin that failed is probed, not asked, and asked again within 0.2 s of its return."""

from types import SimpleNamespace

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bench.emulator.origin_outages import make_outage
from bench.emulator.staging_hosts import ORIGIN
from bench.emulator.staging_play import ANNOUNCED_SECONDS, StagingPlay
from jackdawsail.http1.fetch import FetchedAnswer
from jackdawsail.staging import staged_versions
from jackdawsail.staging.origin_watch import MAX_PROBES, OriginOutage, OriginWatch
from jackdawsail.staging.piece_fetcher import ORIGIN_UNREACHABLE, PieceFetcher
from jackdawsail.staging.staged_versions import StagedPieces, StagedVersions
from test.staging.test_changeover import listing, piece
from test.staging.test_sources import (
    HELD,
    NOT_HELD,
    ORIGIN_SOURCE,
    OTHER_RELAY,
    RELAY,
    UNREACHABLE,
    Pool,
    fetch_one,
    make_fetcher,
)

ADDRESS = ORIGIN_SOURCE.address


class Probes:
    """Stands in for connections to the origin; each waits until the test ends it."""

    def __init__(self):
        self.waiting = []

    def __call__(self, _address, on_probed):
        self.waiting.append(on_probed)


def watched_fetcher(pool, *sources):
    probes = Probes()
    plain = make_fetcher(pool, *sources)
    watch = OriginWatch(pool.clock, probes)
    return PieceFetcher(pool, plain.codec, plain.sources, pool.fetch, watch=watch), probes


def test_origin_that_failed_is_not_asked_until_a_connection_opens():
    pool = Pool(origin=UNREACHABLE)
    fetcher, probes = watched_fetcher(pool, ORIGIN_SOURCE)
    returns = []
    fetcher.watch.on_return.append(lambda: returns.append(pool.clock.seconds()))
    fetch_one(fetcher)
    for _ in range(10):
        assert fetch_one(fetcher) == Failure(ORIGIN_UNREACHABLE)
    assert len(pool.addresses) == 1
    assert len(probes.waiting) == 1
    pool.outcomes['origin'] = HELD
    probes.waiting.pop()(False)
    assert fetch_one(fetcher) == Failure(ORIGIN_UNREACHABLE)
    pool.clock.advance(0.15)
    fetch_one(fetcher)
    probes.waiting.pop()(True)
    assert returns == [pool.clock.seconds()]
    assert fetch_one(fetcher) == Success(b'body')


def test_probes_of_an_origin_are_bounded():
    outage = OriginOutage(since_seconds=0)
    started = sum(outage.start_probe(tick * 0.01) for tick in range(1000))
    assert started == MAX_PROBES
    started = 0
    for tick in range(1000):
        outage.running = 0
        started += outage.start_probe(200 + tick * 0.01)
    assert started <= 11


@pytest.mark.parametrize('reason', ['reset', 'digest differs'])
def test_origin_that_answers_wrongly_is_not_held_back(reason):
    pool = Pool(origin=Failure(reason))
    fetcher, _ = watched_fetcher(pool, ORIGIN_SOURCE)
    for _ in range(3):
        fetch_one(fetcher)
    assert len(pool.addresses) == 3


def test_agents_leave_an_origin_that_has_just_returned_to_the_relays():
    # After an outage of over 10 s all agents would ask the origin beside the relays.
    pool = Pool(relay=NOT_HELD, origin=HELD)
    fetcher, probes = watched_fetcher(pool, RELAY, ORIGIN_SOURCE)
    fetch_one(fetcher)
    pool.clock.advance(11)
    fetch_one(fetcher)
    probes.waiting.pop()(True)
    fetch_one(fetcher)
    assert ADDRESS not in pool.addresses
    pool.clock.advance(1.1)
    assert fetch_one(fetcher) == Success(b'body')


def test_corrupt_piece_is_fetched_from_another_relay_before_the_origin():
    corrupt = Success(FetchedAnswer(200, b'other'))
    pool = Pool(relay=corrupt, other=HELD, origin=HELD)
    fetcher, _ = watched_fetcher(pool, RELAY, OTHER_RELAY, ORIGIN_SOURCE)
    assert fetch_one(fetcher) == Success(b'body')
    assert pool.addresses == [RELAY.address, OTHER_RELAY.address]


def test_pieces_in_memory_are_bounded_and_not_fetched_again(monkeypatch):
    size = len(piece(2, 0))
    monkeypatch.setattr(staged_versions, 'MAX_KEPT_BYTES', 3 * size)
    versions = StagedVersions(Clock(), SimpleNamespace(), SimpleNamespace())
    fetched = []

    async def fetch_piece(pieces, index):
        fetched.append(index)
        return Success(piece(pieces.version, index))

    fetcher, staged = SimpleNamespace(fetch_piece=fetch_piece), StagedPieces(listing(2))
    for index in (0, 1, 2, 3, 0, 1, 2, 3):
        Deferred.fromCoroutine(versions.fetch_piece(fetcher, staged, index))
    assert fetched == [0, 1, 2, 3, 3]
    assert sorted(staged.bodies) == [0, 1, 2]


def test_relays_ask_the_origin_within_200_ms_of_its_return():
    play = StagingPlay(make_outage(2, 5))
    asked = []
    serve = play.net.hosts[ORIGIN].serve

    def record(target, done):
        asked.append(play.clock.seconds())
        serve(target, done)

    play.net.hosts[ORIGIN].serve = record
    play.run()
    end_seconds = ANNOUNCED_SECONDS + play.scenario.outage_from_seconds + 2
    assert min(when for when in asked if when >= end_seconds) - end_seconds <= 0.2
