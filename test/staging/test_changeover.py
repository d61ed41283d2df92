"""An engine is ordered to load only pieces that were read back valid right before."""

import hashlib

import pytest
from returns.result import Failure, Success
from twisted.internet.task import Clock

from jackdawsail.registry.registration import ModelVersion
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging import changeover as changeover_module
from jackdawsail.staging.changeover import StagedPieces, make_changeover
from jackdawsail.staging.engine import EngineReport, PieceList
from jackdawsail.staging.engine_calls import OrderFailure
from jackdawsail.staging.waves import may_change_over
from jackdawsail.wire.site_messages import AnnouncedWeights, MemberHost, Members, SiteSummary
from test.site.documents import ENGINE

PIECES = 10


def piece(version, index):
    return f'{version}-{index}'.encode() * 4


def listing(version):
    digests = [hashlib.sha256(piece(version, index)).hexdigest() for index in range(PIECES)]
    return PieceList('m', version, tuple(digests))


class Engine:
    """Stores staged pieces, corrupts those in ``to_corrupt``, and accepts or refuses orders."""

    def __init__(self, version=0):
        self.staged = {}
        self.to_corrupt = []
        self.orders = []
        self.loaded = version
        self.refuses = False
        self.read_back = []

    async def write_piece(self, model, index, body):
        self.staged[index] = body
        return Success(None)

    async def read_piece(self, model, index):
        if index in self.to_corrupt:
            self.to_corrupt.remove(index)
            self.staged[index] = b'corrupt'
        self.read_back.append(index)
        return Success(self.staged[index]) if index in self.staged else Failure('404')

    async def staged_pieces(self, model):
        return Success(tuple(sorted(self.staged)))

    async def order_load(self, order, send_by_seconds):
        self.orders.append((order, dict(self.staged)))
        if self.refuses:
            return Failure(OrderFailure('status 409', maybe_accepted=False))
        self.loaded = order.version
        return Success(None)

    def report(self):
        models = (ModelVersion('m', self.loaded),) if self.loaded else ()
        return EngineReport(models, 16 if self.loaded else 0, False, 3, 0, 2, 0, 1.0, 1)


class Source:
    """Stands in for the piece fetcher; ``down`` makes every fetch fail.

    ``on_fetch`` holds what happens at a fetch of a piece, by the number of fetches so far.
    """

    def __init__(self):
        self.down = False
        self.missing = set()
        self.lists_missing = set()
        self.fetched = []
        self.on_fetch = {}
        self.newest = 1

    async def fetch_list(self, model, version):
        unreachable = self.down or version in self.lists_missing
        return Failure('down') if unreachable else Success(listing(version or self.newest))

    async def review_list(self, pieces):
        return Failure('no review is due')

    async def fetch_piece(self, pieces, index):
        self.fetched.append(index)
        self.on_fetch.pop(len(self.fetched), lambda: None)()
        unreachable = self.down or (pieces.version, index) in self.missing
        return Failure('down') if unreachable else Success(piece(pieces.version, index))


class World:
    """An agent with its engine; ``announce_weights`` announces a new version, as operators do."""

    def __init__(self, loaded=0, address='10.0.0.1', others=()):
        self.clock = Clock()
        self.clock.advance(100)
        self.view = SiteView()
        hosts = [MemberHost(host, 'z', 'r') for host in (address, *others)]
        self.view.apply_members('c', Members(['c'], [], hosts))
        self.engine, self.source = Engine(loaded), Source()
        settings = NodeSettings('a', address, 'z', 'r')
        self.changeover = make_changeover(
            self.clock, self.view, self.engine, self.source, settings
        )
        self.revision = 0

    def announce_weights(self, version):
        self.revision += 1
        summary = SiteSummary(self.revision, 0, [], [AnnouncedWeights('m', version, 0.0)])
        self.view.apply_summary(summary, self.clock.seconds())

    def report(self, seconds=1.1):
        self.clock.advance(seconds)
        self.changeover.handle_report(self.engine.report(), ENGINE)


def nearly_staged_world():
    """Returns an agent that lacks one piece of version 2, with version 3 announced."""
    world = World(loaded=1)
    world.source.missing = {(2, PIECES - 1)}
    world.announce_weights(2)
    world.report()
    world.announce_weights(3)
    return world


def test_empty_engine_loads_the_newest_weights():
    world = World()
    world.report()
    (order, staged) = world.engine.orders[0]
    assert (order.version, order.expected_orders, order.finish_running) == (1, 3, True)
    assert staged == {index: piece(1, index) for index in range(PIECES)}


def test_engine_with_the_announced_weights_gets_no_order():
    world = World(loaded=2)
    world.announce_weights(2)
    world.report()
    assert world.engine.orders == []
    assert world.source.fetched == []


def test_every_staged_piece_is_read_back_before_the_order():
    world = World(loaded=1)
    world.announce_weights(2)
    world.report()
    assert sorted(set(world.engine.read_back)) == list(range(PIECES))
    assert world.engine.loaded == 2


@pytest.mark.parametrize('index', range(PIECES))
def test_corrupt_staged_piece_is_fetched_again_before_any_order(index):
    world = World(loaded=1)
    world.engine.to_corrupt = [index]
    world.announce_weights(2)
    world.report()
    assert world.engine.orders == []
    assert not world.changeover.switching
    world.report()
    (order, staged) = world.engine.orders[0]
    assert staged == {each: piece(2, each) for each in range(PIECES)}
    assert order.version == 2


def test_pieces_staged_before_a_restart_are_verified_and_only_corrupt_ones_fetched():
    world = World()
    world.engine.staged = {index: piece(1, index) for index in range(PIECES)}
    world.engine.staged[2] = b'corrupt'
    world.report()
    assert world.source.fetched == [2]
    assert world.engine.loaded == 1


def test_newer_version_replaces_one_whose_staging_has_not_started():
    world = World(loaded=1)
    world.source.down = True
    world.announce_weights(2)
    world.report()
    world.source.down = False
    world.announce_weights(3)
    world.report()
    assert [order.version for order, _staged in world.engine.orders] == [3]


def test_nearly_staged_version_is_loaded_before_a_newer_one():
    world = nearly_staged_world()
    world.source.missing = set()
    world.report()
    assert [order.version for order, _staged in world.engine.orders] == [2]
    world.report()
    assert [order.version for order, _staged in world.engine.orders] == [2, 3]


def test_nearly_staged_version_is_dropped_if_a_newer_one_is_due_soon():
    world = nearly_staged_world()
    world.source.missing = set()
    world.report(6.0)
    assert [order.version for order, _staged in world.engine.orders] == [3]


def test_nearly_staged_version_is_dropped_if_the_next_one_is_due_though_another_one_is_not():
    world = nearly_staged_world()
    world.clock.advance(7.0)
    world.announce_weights(4)
    world.source.missing = set()
    world.report()
    assert [order.version for order, _staged in world.engine.orders] == [4]


def test_staging_continues_while_the_list_of_a_newer_version_is_unavailable():
    world = World(loaded=1)
    world.source.missing = {(2, index) for index in range(2, PIECES)}
    world.announce_weights(2)
    world.report()
    world.announce_weights(3)
    world.source.lists_missing = {3}
    world.source.missing = set()
    world.report()
    assert [order.version for order, _staged in world.engine.orders] == [2]


def test_engine_whose_weights_have_expired_does_not_wait_for_its_wave():
    # Its old weights may no longer be used, however recently the newest version was announced.
    world = World(loaded=1, address='10.0.0.2', others=['10.0.0.1'])
    world.source.lists_missing = {3}
    world.announce_weights(2)
    world.clock.advance(8.5)
    world.announce_weights(3)
    world.engine.staged = {index: piece(2, index) for index in range(PIECES)}
    world.changeover._staged = StagedPieces(listing(2), set(range(PIECES)))
    world.report(0.1)
    assert [order.version for order, _staged in world.engine.orders] == [2]


def test_loaded_engine_serves_while_the_list_of_a_newer_version_is_unavailable():
    world = World(loaded=1)
    world.announce_weights(2)
    world.report()
    world.report()
    assert world.engine.loaded == 2
    world.announce_weights(3)
    world.source.lists_missing = {3}
    world.engine.read_back = []
    world.report(6.0)
    assert not world.changeover.switching
    assert world.engine.read_back == []


def test_staging_failure_is_logged_once_until_staging_completes(monkeypatch):
    written = []
    monkeypatch.setattr(
        changeover_module.events, 'log', lambda event, **details: written.append(event.number)
    )
    world = World(loaded=1)
    world.announce_weights(2)
    world.source.down = True
    for _ in range(5):
        world.report()
    assert written == [changeover_module.STAGING_FAILED.number]


def test_version_announced_while_another_is_staged_is_neither_delayed_nor_a_failure(monkeypatch):
    written = []
    monkeypatch.setattr(
        changeover_module.events, 'log', lambda event, **details: written.append(event.number)
    )
    world = World(loaded=1)
    world.source.on_fetch[4] = lambda: world.announce_weights(3)
    world.announce_weights(2)
    world.report()
    assert world.engine.orders == []
    world.report(0.0)
    assert changeover_module.STAGING_FAILED.number not in written
    assert [order.version for order, _staged in world.engine.orders] == [3]


def test_pieces_of_a_version_that_is_given_up_are_counted_in_the_log(monkeypatch):
    written = {}
    monkeypatch.setattr(
        changeover_module.events,
        'log',
        lambda event, **details: written.setdefault(event.number, details),
    )
    world = World(loaded=1)
    world.source.missing = {(2, index) for index in range(2, PIECES)}
    world.announce_weights(2)
    world.report()
    world.announce_weights(3)
    world.report()
    progress = {'model': 'm', 'version': 2, 'pieces': PIECES}
    failed = written[changeover_module.STAGING_FAILED.number]
    given_up = written[changeover_module.VERSION_GIVEN_UP.number]
    assert failed.items() >= progress.items()
    assert given_up == {**progress, 'newer': 3, 'staged': failed['staged']}


def test_loaded_version_is_not_logged_as_given_up(monkeypatch):
    written = []
    monkeypatch.setattr(
        changeover_module.events, 'log', lambda event, **details: written.append(event.number)
    )
    world = World(loaded=1)
    for version in (2, 3):
        world.announce_weights(version)
        world.report(6.0)
        assert world.engine.loaded == version
    assert changeover_module.VERSION_GIVEN_UP.number not in written


def test_unreachable_source_is_tried_again_after_a_delay():
    world = World(loaded=1)
    world.source.down = True
    world.announce_weights(2)
    world.report()
    fetched = len(world.source.fetched)
    world.changeover.handle_report(world.engine.report(), ENGINE)
    assert len(world.source.fetched) == fetched
    world.source.down = False
    world.report()
    assert world.engine.loaded == 2


def test_refused_order_is_repeated_after_verifying_again():
    world = World(loaded=1)
    world.engine.refuses = True
    world.announce_weights(2)
    world.report()
    read_back = len(world.engine.read_back)
    world.engine.refuses = False
    world.report()
    assert len(world.engine.read_back) == read_back + PIECES
    assert world.engine.loaded == 2


def test_weights_that_do_not_fit_in_memory_are_not_loaded():
    from dataclasses import replace

    world = World()
    world.clock.advance(1)
    world.changeover.handle_report(world.engine.report(), replace(ENGINE, memory_megabytes=1000))
    assert world.engine.orders == []


def test_second_half_of_the_engines_changes_over_later_than_the_first():
    first = World(loaded=1, address='10.0.0.1', others=['10.0.0.2'])
    second = World(loaded=1, address='10.0.0.2', others=['10.0.0.1'])
    for world in (first, second):
        world.announce_weights(2)
        world.report(5.7)
    assert first.engine.loaded == 2
    assert second.engine.loaded == 1
    assert not second.changeover.switching
    second.report(0.1)
    assert second.engine.loaded == 2


@pytest.mark.parametrize('age', [0.0, 4.0, 5.7])
def test_half_of_the_engines_serve_until_entries_stop_using_old_weights(age):
    agents = [f'10.0.0.{number}' for number in range(1, 9)]
    permitted = [may_change_over(agent, agents, age, 8.0) for agent in agents]
    assert sum(permitted) == 4
    assert all(may_change_over(agent, agents, 5.75, 8.0) for agent in agents)
