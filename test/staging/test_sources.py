"""Weights cross a link between regions once, and a failing source is skipped."""

import hashlib
from dataclasses import replace
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from jackdawsail.http1.fetch import FetchedAnswer
from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging import piece_fetcher as piece_fetcher_module
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.piece_fetcher import matches_digest
from jackdawsail.staging.relay import PieceRelay
from jackdawsail.staging.sources import Source, rank_relays, sources_for, sources_for_relay
from jackdawsail.wire.site_messages import MemberHost, Members
from test.site.documents import ENGINE, make_document

ENTRIES = [
    MemberHost(f'10.{region}.0.{host}', f'z{region}', f'r{region}')
    for region in (1, 2, 3)
    for host in (1, 2, 3)
]
REGIONS = {f'z{region}': f'r{region}' for region in (1, 2, 3)}
ORIGIN = Service('o', origin_address='1.2.3.4:9', origin_zone='z2')

DIGEST = hashlib.sha256(b'body').hexdigest()
PIECES = PieceList('m', 2, (DIGEST,))


def make_view(entries=ENTRIES, agents=()):
    view = SiteView()
    view.apply_document(make_document(services=[Service('s', engine=ENGINE), ORIGIN]))
    view.apply_members('c', Members(['c'], list(entries), list(agents)))
    return view


def source_addresses(address, region, list_sources=sources_for, view=None, key='m'):
    settings = NodeSettings('n', address, f'z{region[1:]}', region, REGIONS, link_port=7700)
    return [source.address for source in list_sources(settings, view or make_view(), key)]


def ranked_addresses(region, key='m'):
    return [relay.address for relay in rank_relays(make_view(), region, key)]


def first_relay_of(region, key='m'):
    return ranked_addresses(region, key)[0]


def test_agent_prefers_relays_near_by_and_tries_the_origin_last():
    addresses = source_addresses('10.1.0.99', 'r1')
    assert addresses[0] == f'{first_relay_of("r1")}:7701'
    assert addresses[-1] == '1.2.3.4:9'
    assert any(address.startswith('10.2.') for address in addresses)


def test_first_relay_of_a_region_fetches_from_the_one_in_the_origins_region():
    addresses = source_addresses(first_relay_of('r1'), 'r1', sources_for_relay)
    assert addresses[0] == f'{first_relay_of("r2")}:7701'


def test_first_relay_in_the_origins_region_fetches_from_the_origin():
    assert source_addresses(first_relay_of('r2'), 'r2', sources_for_relay) == ['1.2.3.4:9']


def test_relays_never_depend_on_each_other_in_a_cycle():
    for region in ('r1', 'r2', 'r3'):
        for entry in (each for each in ENTRIES if each.region == region):
            sources = source_addresses(entry.address, region, sources_for_relay)
            hosts = [address.rpartition(':')[0] for address in sources]
            ranked = ranked_addresses(region)
            behind = ranked[ranked.index(entry.address) :]
            assert not set(hosts) & set(behind)


@pytest.mark.parametrize('key', ['m', 'a', 'b', 'c', 'd'])
def test_relays_that_know_different_entries_do_not_depend_on_each_other(key):
    region = [entry for entry in ENTRIES if entry.region == 'r2']
    edges = set()
    for entry in region:
        for missing in region:
            view = make_view([each for each in ENTRIES if each is not missing])
            sources = source_addresses(entry.address, 'r2', sources_for_relay, view, key)
            edges |= {(entry.address, source.rpartition(':')[0]) for source in sources}
    assert not {(after, before) for before, after in edges} & edges


def test_leaving_entry_is_no_relay():
    first = first_relay_of('r1')
    leaving = [replace(entry, leaving=entry.address == first) for entry in ENTRIES]
    ranked = rank_relays(make_view(leaving), 'r1', 'm')
    assert first not in [relay.address for relay in ranked]
    assert len(ranked) == 2


def test_relays_of_a_region_are_bounded_and_more_with_more_agents():
    entries = [MemberHost(f'10.2.0.{host}', 'z2', 'r2') for host in range(1, 60)]
    agents = [MemberHost(f'10.2.9.{host}', 'z2', 'r2') for host in range(1, 250)]
    counts = [
        len(rank_relays(make_view(entries, agents[:count]), 'r2', 'm')) for count in (0, 30, 249)
    ]
    assert counts == [8, 10, 24]


def test_piece_with_another_digest_is_invalid():
    assert matches_digest(PIECES, 0, b'body')
    assert not matches_digest(PIECES, 0, b'bodY')


def make_process(address, *, may_bootstrap=False):
    zone, region = 'z2', 'r2'
    settings = NodeSettings('n', address, zone, region, REGIONS, may_bootstrap=may_bootstrap)
    return SimpleNamespace(settings=settings, reactor=Clock())


class Exchange:
    """One request of an agent for a piece."""

    def __init__(self, target):
        self.request = SimpleNamespace(target=target)
        self.ended = False
        self.answers = []

    def answer(self, answer):
        self.answers.append(answer)


class Fetcher:
    """Stands in for the piece fetcher; each fetch of a piece waits until the test answers it."""

    def __init__(self, pieces=PIECES):
        self.waiting = []
        self.lists = []
        self.list_answer = None
        self.pieces = pieces

    async def fetch_list(self, model, version):
        self.lists.append(version)
        return await self.list_answer if self.list_answer else Success(self.pieces)

    async def review_list(self, pieces, told=None):
        return Failure('no review is due')

    async def fetch_piece(self, pieces, index):
        answer = Deferred()
        self.waiting.append(answer)
        return await answer


def test_concurrent_requests_for_a_piece_share_one_fetch():
    fetcher = Fetcher()
    relay = PieceRelay(None, make_view(), fetcher)
    requests = [Deferred.fromCoroutine(relay._get_piece(PIECES, 0)) for _ in range(3)]
    assert len(fetcher.waiting) == 1
    fetcher.waiting[0].callback(Success(b'body'))
    assert [request.result for request in requests] == [b'body'] * 3
    again = Deferred.fromCoroutine(relay._get_piece(PIECES, 0))
    assert again.result == b'body'
    assert len(fetcher.waiting) == 1


def test_concurrent_requests_for_a_list_share_one_fetch():
    fetcher = Fetcher()
    answer = Deferred()
    fetcher.list_answer = answer
    relay = PieceRelay(None, make_view(), fetcher)
    requests = [Deferred.fromCoroutine(relay._get_list('m', 2)) for _ in range(3)]
    assert fetcher.lists == [2]
    answer.callback(Success(PIECES))
    assert [request.result for request in requests] == [PIECES] * 3


def test_request_for_a_list_after_a_failed_one_fetches_it_again():
    fetcher = Fetcher()
    fetcher.list_answer = succeed(Failure('reset'))
    relay = PieceRelay(None, make_view(), fetcher)
    requests = [Deferred.fromCoroutine(relay._get_list('m', 2)) for _ in range(2)]
    assert [request.result for request in requests] == [None, None]
    assert fetcher.lists == [2, 2]


def test_relay_retries_a_fill_after_its_sources_were_unreachable():
    view, fetcher = make_view(), Fetcher()
    own = first_relay_of('r2', DIGEST)
    view.weights['m'] = (WeightTarget(2, 0.0),)
    relay = PieceRelay(make_process(own), view, fetcher)
    relay.site_changed()
    relay.site_changed()
    assert len(fetcher.waiting) == 1
    fetcher.waiting[0].callback(Failure('reset'))
    relay.site_changed()
    assert len(fetcher.waiting) == 2
    fetcher.waiting[1].callback(Success(b'body'))
    relay.site_changed()
    assert len(fetcher.waiting) == 2


def test_relay_fetches_a_piece_again_after_a_failure():
    fetcher = Fetcher()
    relay = PieceRelay(None, make_view(), fetcher)
    first = Deferred.fromCoroutine(relay._get_piece(PIECES, 0))
    fetcher.waiting[0].callback(Failure('reset'))
    assert first.result is None
    Deferred.fromCoroutine(relay._get_piece(PIECES, 0))
    assert len(fetcher.waiting) == 2


MANY = PieceList('m', 1, (DIGEST,) * 20)


def answer_all(fetcher):
    answered = 0
    while len(fetcher.waiting) > answered:
        fetcher.waiting[answered].callback(Success(b'body'))
        answered += 1
    return answered


def test_request_for_one_piece_prefetches_the_others_of_the_relay():
    fetcher = Fetcher(MANY)
    relay = PieceRelay(make_process(first_relay_of('r2', DIGEST)), make_view(), fetcher)
    exchange = Exchange(b'/weights/m/1/0')
    relay.handle_request(exchange)
    assert answer_all(fetcher) == 20
    assert [answer.status for answer in exchange.answers] == [200]


def test_only_the_first_relay_of_a_piece_prefetches_the_origins_version_at_bootstrap():
    first = first_relay_of('r2', DIGEST)
    for entry in (each for each in ENTRIES if each.region == 'r2'):
        fetcher = Fetcher(MANY)
        relay = PieceRelay(make_process(entry.address, may_bootstrap=True), make_view(), fetcher)
        relay.site_changed()
        relay.site_changed()
        assert answer_all(fetcher) == (20 if entry.address == first else 0)
        # An agent that requests the version by its number finds the pieces there.
        if entry.address == first:
            relay.handle_request(Exchange(b'/weights/m/1/3'))
            assert len(fetcher.waiting) == 20
            assert fetcher.lists == [0]


def test_restarted_relay_fetches_nothing_before_a_request():
    fetcher = Fetcher(MANY)
    relay = PieceRelay(make_process(first_relay_of('r2')), make_view(), fetcher)
    relay.site_changed()
    assert not fetcher.waiting


def test_one_fetch_is_tried_per_check_while_the_sources_are_unreachable():
    fetcher = Fetcher(MANY)
    own = first_relay_of('r2', DIGEST)
    relay = PieceRelay(make_process(own, may_bootstrap=True), make_view(), fetcher)
    for check in range(5):
        relay.site_changed()
        assert len(fetcher.waiting) == check + 1
        fetcher.waiting[check].callback(Failure('reset'))


class Pool:
    """Answers requests to each source with the outcome that the test set."""

    def __init__(self, **outcomes):
        self.outcomes = outcomes
        self.addresses = []
        self.clock = Clock()

    def fetch(self, _pool, address, _request, _limits, find_fault):
        self.addresses.append(address)
        outcome = self.outcomes[address.partition('.')[0]]
        fault = find_fault(outcome.unwrap()) if isinstance(outcome, Success) else ''
        return succeed(Failure(fault) if fault else outcome)


HELD = Success(FetchedAnswer(200, b'body'))
NOT_HELD = Success(FetchedAnswer(404, b''))
UNREACHABLE = Failure('no connection')


def make_fetcher(pool, *sources):
    codec = SimpleNamespace(
        piece_target=lambda *_: b'/p',
        list_target=lambda *_: b'/l',
        decode_list=lambda _body: Success(PIECES),
    )
    return piece_fetcher_module.PieceFetcher(pool, codec, lambda key: list(sources), pool.fetch)


RELAY = Source('relay.1:7701', is_origin=False)
ORIGIN_SOURCE = Source('origin.1:9', is_origin=True)


def fetch_one(fetcher):
    return Deferred.fromCoroutine(fetcher.fetch_piece(PIECES, 0)).result


def test_origin_is_not_asked_while_a_relay_answers_not_found():
    pool = Pool(relay=NOT_HELD, origin=HELD)
    fetcher = make_fetcher(pool, RELAY, ORIGIN_SOURCE)
    for _ in range(5):
        assert isinstance(fetch_one(fetcher), Failure)
        pool.clock.advance(1)
    assert set(pool.addresses) == {RELAY.address}


def test_origin_is_asked_if_no_relay_answers_or_all_answer_not_found_for_long():
    pool = Pool(relay=UNREACHABLE, origin=HELD)
    fetcher = make_fetcher(pool, RELAY, ORIGIN_SOURCE)
    assert fetch_one(fetcher) == Success(b'body')
    pool.outcomes['relay'] = NOT_HELD
    assert isinstance(fetch_one(fetcher), Failure)
    pool.clock.advance(11)
    assert fetch_one(fetcher) == Success(b'body')


OTHER_RELAY = Source('other.1:7701', is_origin=False)


def test_relay_that_was_lost_delays_only_one_piece():
    pool = Pool(relay=UNREACHABLE, other=HELD, origin=HELD)
    fetcher = make_fetcher(pool, RELAY, OTHER_RELAY, ORIGIN_SOURCE)
    for _ in range(10):
        assert fetch_one(fetcher) == Success(b'body')
    assert pool.addresses == [RELAY.address] + [OTHER_RELAY.address] * 10


def test_relay_that_failed_is_tried_again_later_and_before_the_origin():
    pool = Pool(relay=UNREACHABLE, other=UNREACHABLE, origin=HELD)
    fetcher = make_fetcher(pool, RELAY, OTHER_RELAY, ORIGIN_SOURCE)
    assert fetch_one(fetcher) == Success(b'body')
    pool.outcomes['relay'] = HELD
    assert fetch_one(fetcher) == Success(b'body')
    assert pool.addresses[3:] == [RELAY.address]
    pool.outcomes['relay'] = UNREACHABLE
    fetch_one(fetcher)
    pool.outcomes.update(relay=HELD, other=HELD)
    pool.clock.advance(2.1)
    fetch_one(fetcher)
    assert pool.addresses[-1] == RELAY.address


def test_failing_source_is_logged_once_until_it_recovers(monkeypatch):
    pool, written = Pool(origin=UNREACHABLE), []
    monkeypatch.setattr(
        piece_fetcher_module.events, 'log', lambda event, **details: written.append(event.number)
    )
    fetcher = make_fetcher(pool, ORIGIN_SOURCE)
    for _ in range(10):
        fetch_one(fetcher)
    pool.outcomes['origin'] = HELD
    for _ in range(3):
        fetch_one(fetcher)
    assert written == [560, 572]


def test_reason_why_a_list_could_not_be_fetched_is_logged_once_though_relays_answer(monkeypatch):
    written = []
    monkeypatch.setattr(
        piece_fetcher_module.events, 'log', lambda event, **details: written.append(details)
    )
    fetcher = make_fetcher(Pool(relay=NOT_HELD, origin=HELD), RELAY, ORIGIN_SOURCE)
    for version in (2, 2, 3, 3):
        Deferred.fromCoroutine(fetcher.fetch_list('m', version))
    expected = {'model': 'm', 'reason': 'not held', 'relays': 1}
    assert written == [{**expected, 'version': version} for version in (2, 3)]


def test_relay_stops_fetching_a_version_that_is_no_longer_requested():
    view, fetcher = make_view(), Fetcher(MANY)
    relay = PieceRelay(make_process(first_relay_of('r2', DIGEST)), view, fetcher)
    relay.handle_request(Exchange(b'/weights/m/1/0'))
    relay._process.reactor.advance(2)
    view.weights['m'] = (WeightTarget(2, 0.0),)
    assert answer_all(fetcher) < 10


def test_check_that_finds_a_version_complete_continues_with_the_next():
    fetcher = Fetcher(MANY)
    relay = PieceRelay(make_process(first_relay_of('r2', DIGEST)), make_view(), fetcher)
    relay.handle_request(Exchange(b'/weights/m/1/0'))
    fetcher.waiting[0].callback(Success(b'body'))
    for answer in fetcher.waiting[1:]:
        answer.callback(Failure('digest differs'))
    # Agents fetch the rest one by one before the next check.
    first = len(fetcher.waiting)
    for index in range(20):
        Deferred.fromCoroutine(relay._get_piece(MANY, index))
    for answer in fetcher.waiting[first:]:
        answer.callback(Success(b'body'))
    relay.site_changed()
    assert relay._last_request_seconds == {}
    relay.site_changed()
