"""Weights cross a link between regions once, and a source that fails is passed over."""

import hashlib
from dataclasses import replace
from types import SimpleNamespace

from returns.result import Failure, Success
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from jackdawsail.http1.whole import WholeAnswer
from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging import drawing as drawing_module
from jackdawsail.staging.drawing import is_sound
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.relay import PieceRelay
from jackdawsail.staging.sources import Source, rank_relays, sources_for
from jackdawsail.wire.site_messages import MemberHost, Members
from test.site.documents import ENGINE, make_document

ENTRIES = [
    MemberHost(f'10.{region}.0.{host}', f'z{region}', f'r{region}')
    for region in (1, 2, 3)
    for host in (1, 2, 3)
]
REGIONS = {f'z{region}': f'r{region}' for region in (1, 2, 3)}
ORIGIN = Service('o', origin_address='1.2.3.4:9', origin_zone='z2')

PIECES = PieceList('m', 2, (hashlib.sha256(b'body').hexdigest(),))


def make_view():
    view = SiteView()
    view.apply_document(make_document(services=[Service('s', engine=ENGINE), ORIGIN]))
    view.apply_members('c', Members(['c'], ENTRIES, []))
    return view


def sources(address, region):
    settings = NodeSettings('n', address, f'z{region[1:]}', region, REGIONS, link_port=7700)
    return [source.address for source in sources_for(settings, make_view(), 'm')]


def first_of(region):
    return rank_relays(ENTRIES, region, 'm')[0].address


def test_an_agent_draws_near_by_first_and_from_the_origin_last():
    found = sources('10.1.0.99', 'r1')
    assert found[0] == f'{first_of("r1")}:7701'
    assert found[-1] == '1.2.3.4:9'
    assert any(one.startswith('10.2.') for one in found)


def test_the_first_relay_of_a_region_draws_from_the_one_in_the_origins_region():
    found = sources(first_of('r1'), 'r1')
    assert found[0] == f'{first_of("r2")}:7701'


def test_the_first_relay_in_the_origins_region_draws_from_the_origin():
    assert sources(first_of('r2'), 'r2')[-1] == '1.2.3.4:9'
    assert f'{first_of("r2")}:7701' not in sources(first_of('r2'), 'r2')


def test_relays_never_wait_for_each_other_in_a_circle():
    for region in ('r1', 'r2', 'r3'):
        for entry in (one for one in ENTRIES if one.region == region):
            found = [one.rpartition(':')[0] for one in sources(entry.address, region)]
            ranked = [one.address for one in rank_relays(ENTRIES, region, 'm')]
            behind = ranked[ranked.index(entry.address) :]
            assert not set(found) & set(behind)


def test_an_entry_that_is_leaving_relays_nothing():
    first = rank_relays(ENTRIES, 'r1', 'm')[0]
    leaving = [replace(one, leaving=one == first) for one in ENTRIES]
    assert first.address not in [one.address for one in rank_relays(leaving, 'r1', 'm')]
    assert len(rank_relays(leaving, 'r1', 'm')) == 2


def test_a_spoilt_piece_is_told_from_a_sound_one():
    assert is_sound(PIECES, 0, b'body')
    assert not is_sound(PIECES, 0, b'bodY')


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


class Drawing:
    """Counts draws; each waits until the test answers it."""

    def __init__(self, pieces=PIECES):
        self.waiting = []
        self.lists = []
        self.pieces = pieces

    async def draw_list(self, model, version):
        self.lists.append(version)
        return Success(self.pieces)

    async def draw_piece(self, pieces, index):
        answer = Deferred()
        self.waiting.append(answer)
        return await answer


def test_a_relay_draws_a_piece_once_for_all_that_ask_for_it():
    drawing = Drawing()
    relay = PieceRelay(None, make_view(), drawing)
    asked = [Deferred.fromCoroutine(relay._piece(PIECES, 0)) for _ in range(3)]
    assert len(drawing.waiting) == 1
    drawing.waiting[0].callback(Success(b'body'))
    assert [one.result for one in asked] == [b'body'] * 3
    again = Deferred.fromCoroutine(relay._piece(PIECES, 0))
    assert again.result == b'body'
    assert len(drawing.waiting) == 1


def test_a_relay_whose_sources_were_away_fills_itself_later():
    view, drawing = make_view(), Drawing()
    own = first_of('r2')
    view.weights['m'] = (WeightTarget(2, 0.0),)
    relay = PieceRelay(make_process(own), view, drawing)
    relay.site_changed()
    relay.site_changed()
    assert len(drawing.waiting) == 1
    drawing.waiting[0].callback(Failure('reset'))
    relay.site_changed()
    assert len(drawing.waiting) == 2
    drawing.waiting[1].callback(Success(b'body'))
    relay.site_changed()
    assert len(drawing.waiting) == 2


def test_a_relay_tries_again_after_a_failed_draw():
    drawing = Drawing()
    relay = PieceRelay(None, make_view(), drawing)
    first = Deferred.fromCoroutine(relay._piece(PIECES, 0))
    drawing.waiting[0].callback(Failure('reset'))
    assert first.result is None
    Deferred.fromCoroutine(relay._piece(PIECES, 0))
    assert len(drawing.waiting) == 2


MANY = PieceList('m', 1, tuple(hashlib.sha256(b'body').hexdigest() for _ in range(20)))


def answer_all(drawing):
    answered = 0
    while len(drawing.waiting) > answered:
        drawing.waiting[answered].callback(Success(b'body'))
        answered += 1
    return answered


def test_a_relay_that_is_asked_for_one_piece_draws_the_others_ahead():
    drawing = Drawing(MANY)
    relay = PieceRelay(make_process('10.2.0.9'), make_view(), drawing)
    exchange = Exchange(b'/weights/m/1/0')
    relay._handle(exchange)
    assert answer_all(drawing) == 20
    assert [answer.status for answer in exchange.answers] == [200]


def test_what_the_origin_holds_is_drawn_at_the_first_start_by_the_first_relay_alone():
    first = first_of('r2')
    for entry in (one for one in ENTRIES if one.region == 'r2'):
        drawing = Drawing(MANY)
        relay = PieceRelay(make_process(entry.address, may_bootstrap=True), make_view(), drawing)
        relay.site_changed()
        relay.site_changed()
        assert answer_all(drawing) == (20 if entry.address == first else 0)
        # An agent that asks by the number finds the pieces there.
        if entry.address == first:
            relay._handle(Exchange(b'/weights/m/1/3'))
            assert len(drawing.waiting) == 20
            assert drawing.lists == [0]


def test_a_relay_that_is_started_again_draws_nothing_before_it_is_asked():
    drawing = Drawing(MANY)
    relay = PieceRelay(make_process(first_of('r2')), make_view(), drawing)
    relay.site_changed()
    assert not drawing.waiting


def test_while_the_sources_are_away_one_draw_a_look_is_tried():
    drawing = Drawing(MANY)
    relay = PieceRelay(make_process(first_of('r2'), may_bootstrap=True), make_view(), drawing)
    for look in range(5):
        relay.site_changed()
        assert len(drawing.waiting) == look + 1
        drawing.waiting[look].callback(Failure('reset'))


class Pool:
    """Answers the draws from each source as the test wants."""

    def __init__(self, **outcomes):
        self.outcomes = outcomes
        self.asked = []
        self.clock = Clock()

    def fetch(self, _pool, address, _request, _silent_seconds):
        self.asked.append(address)
        return succeed(self.outcomes[address.partition('.')[0]])


HELD = Success(WholeAnswer(200, b'body'))
NOT_HELD = Success(WholeAnswer(404, b''))
AWAY = Failure('no connection')


def make_drawing(monkeypatch, pool, *sources):
    monkeypatch.setattr(drawing_module, 'fetch', pool.fetch)
    border = SimpleNamespace(piece_target=lambda *_: b'/p')
    return drawing_module.Drawing(pool, border, lambda model: list(sources))


RELAY = Source('relay.1:7701', is_origin=False)
ORIGIN_SOURCE = Source('origin.1:9', is_origin=True)


def draw(drawing):
    return Deferred.fromCoroutine(drawing.draw_piece(PIECES, 0)).result


def test_the_origin_is_not_asked_while_a_relay_answers_that_it_has_nothing(monkeypatch):
    pool = Pool(relay=NOT_HELD, origin=HELD)
    drawing = make_drawing(monkeypatch, pool, RELAY, ORIGIN_SOURCE)
    for _ in range(5):
        assert isinstance(draw(drawing), Failure)
        pool.clock.advance(1)
    assert set(pool.asked) == {RELAY.address}


def test_the_origin_is_asked_when_no_relay_answers_or_for_long_none_had_anything(monkeypatch):
    pool = Pool(relay=AWAY, origin=HELD)
    drawing = make_drawing(monkeypatch, pool, RELAY, ORIGIN_SOURCE)
    assert draw(drawing) == Success(b'body')
    pool.outcomes['relay'] = NOT_HELD
    assert isinstance(draw(drawing), Failure)
    pool.clock.advance(11)
    assert draw(drawing) == Success(b'body')


def test_a_source_that_fails_is_logged_once_until_it_answers_again(monkeypatch):
    pool, written = Pool(origin=AWAY), []
    monkeypatch.setattr(
        drawing_module.events, 'log', lambda event, **details: written.append(event.number)
    )
    drawing = make_drawing(monkeypatch, pool, ORIGIN_SOURCE)
    for _ in range(10):
        draw(drawing)
    pool.outcomes['origin'] = HELD
    for _ in range(3):
        draw(drawing)
    assert written == [560, 572]


def test_a_relay_stops_drawing_a_version_that_nobody_wants_any_more():
    view, drawing = make_view(), Drawing(MANY)
    relay = PieceRelay(make_process(first_of('r2')), view, drawing)
    relay._handle(Exchange(b'/weights/m/1/0'))
    relay._process.reactor.advance(2)
    view.weights['m'] = (WeightTarget(2, 0.0),)
    assert answer_all(drawing) < 10


def test_a_look_that_finds_a_version_complete_goes_on_to_the_next():
    drawing = Drawing(MANY)
    relay = PieceRelay(make_process('10.2.0.9'), make_view(), drawing)
    relay._handle(Exchange(b'/weights/m/1/0'))
    drawing.waiting[0].callback(Success(b'body'))
    for answer in drawing.waiting[1:]:
        answer.callback(Failure('spoilt'))
    # Agents draw the rest one by one before the next look.
    first = len(drawing.waiting)
    for index in range(20):
        Deferred.fromCoroutine(relay._piece(MANY, index))
    for answer in drawing.waiting[first:]:
        answer.callback(Success(b'body'))
    relay.site_changed()
    assert relay._asked_seconds == {}
    relay.site_changed()
