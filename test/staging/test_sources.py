"""Weights cross a link between regions once, and a source that fails is passed over."""

import hashlib
from dataclasses import replace
from types import SimpleNamespace

from returns.result import Failure, Success
from twisted.internet.defer import Deferred

from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging.drawing import is_sound
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.relay import PieceRelay
from jackdawsail.staging.sources import rank_relays, sources_for
from jackdawsail.wire.site_messages import MemberHost, Members
from test.site.documents import make_document

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
    view.take_document(make_document(services=[Service('s'), ORIGIN]))
    view.take_members('c', Members(['c'], ENTRIES, []))
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


class Drawing:
    """Counts draws; each waits until the test answers it."""

    def __init__(self):
        self.waiting = []

    async def draw_list(self, model, version):
        return Success(PIECES)

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
    process = SimpleNamespace(settings=NodeSettings('n', own, 'z2', 'r2', REGIONS))
    relay = PieceRelay(process, view, drawing)
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
