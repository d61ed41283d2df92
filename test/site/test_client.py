"""Messages of control hosts: broken documents change nothing, announcements keep their time."""

import zlib
from dataclasses import replace
from types import SimpleNamespace

import pytest
from returns.result import Success
from twisted.internet.task import Clock

from jackdawsail import events
from jackdawsail.registry.registration import Registration
from jackdawsail.site import client as client_module
from jackdawsail.site.announcements import WEIGHTS_ANNOUNCED, WEIGHTS_ANNOUNCED_EARLIER
from jackdawsail.site.client import REVISION_IN_FORCE, SiteClient
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import (
    AgedRegistration,
    AnnouncedWeights,
    DocumentPushed,
    Registrations,
    SiteSummary,
)
from test.site.documents import make_document

COMPRESSED = zlib.compress(b'{}' * 1000)


def receive(compressed):
    process = SimpleNamespace(reactor=Clock())
    view, decoded = SiteView(), []

    def decode(body):
        decoded.append(body)
        return Success(make_document())

    site_client = SiteClient(process, view, decode)
    link = SimpleNamespace(peer=SimpleNamespace(name='control-1'))
    site_client._on_document(link, DocumentPushed(1, 1, compressed))
    return view, decoded


def test_whole_document_is_applied():
    view, decoded = receive(COMPRESSED)
    assert decoded == [b'{}' * 1000]
    assert view.table is not None


@pytest.mark.parametrize('compressed', [COMPRESSED[:-1], COMPRESSED[:5], b'', b'no document'])
def test_document_that_is_cut_off_is_not_decoded(compressed):
    view, decoded = receive(compressed)
    assert decoded == []
    assert view.table is None


def test_document_that_is_too_long_is_not_decoded(monkeypatch):
    monkeypatch.setattr(client_module, 'MAX_DOCUMENT_BYTES', 1999)
    view, decoded = receive(COMPRESSED)
    assert decoded == []
    assert view.table is None


class Link:
    """Records the messages that are sent to one control host."""

    def __init__(self, name):
        self.peer = SimpleNamespace(name=name)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class World:
    """A client without network, whose clock is a test clock."""

    def __init__(self):
        self.clock, self.view = Clock(), SiteView()
        process = SimpleNamespace(reactor=self.clock)
        self.client = SiteClient(process, self.view, self.decode)
        self.links = {name: Link(name) for name in ('control-1', 'control-2')}

    def decode(self, _body):
        return Success(make_document(1))

    def receive_summary(self, revision, *weights, document=0, control='control-1'):
        announced = [AnnouncedWeights('m', version, age) for version, age in weights]
        message = SiteSummary(revision, document, [], announced)
        self.client._on_summary(self.links[control], message)

    def receive_document(self, control='control-1'):
        pushed = DocumentPushed(1, 1, COMPRESSED)
        self.client._on_document(self.links[control], pushed)

    @property
    def announced_seconds(self):
        targets = self.view.weights.get('m', ())
        return {target.version: target.announced_seconds for target in targets}


@pytest.fixture
def world():
    return World()


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(events, 'log', lambda kind, **fields: logged.append((kind, fields)))
    return logged


def test_the_log_has_the_age_of_each_announcement_as_this_process_counts_it(world, lines):
    world.receive_summary(1, (2, 0.5))
    world.clock.advance(3)
    world.receive_summary(2, (2, 3.5), (3, 0.1))
    ages = [fields['weight_ages_seconds'] for kind, fields in lines if kind is REVISION_IN_FORCE]
    assert ages == [{'m': {2: 0.5}}, {'m': {2: 3.5, 3: 0.1}}]
    first_ages = [
        (fields['version'], fields['weights_age_seconds'], fields['source'])
        for kind, fields in lines
        if kind is WEIGHTS_ANNOUNCED
    ]
    assert first_ages == [(2, 0.5, 'control-1'), (3, 0.1, 'control-1')]


def test_an_announcement_that_waits_for_a_document_is_not_counted_from_later(world):
    world.receive_summary(1, (2, 1.0), document=1)
    world.clock.advance(3)
    world.receive_document()
    assert world.view.revision == 1
    assert world.announced_seconds == {2: -1.0}


def test_a_restarted_control_host_heard_first_does_not_make_an_announcement_later(world):
    world.clock.advance(10)
    world.receive_summary(1, (2, 0.0), control='control-1')
    world.receive_summary(2, (2, 5.0), (3, 1.0), control='control-2')
    world.receive_summary(3, (2, 0.5), (3, 0.5), control='control-1')
    assert world.announced_seconds == {2: 5.0, 3: 9.0}


def test_the_log_has_by_how_much_the_time_of_an_announcement_moved(world, lines):
    world.clock.advance(10)
    world.receive_summary(1, (2, 0.0), control='control-1')
    world.receive_summary(2, (2, 5.0), control='control-2')
    world.receive_summary(3, (2, 5.04), control='control-1')
    moved = [
        (fields['earlier_seconds'], fields['weights_age_seconds'], fields['source'])
        for kind, fields in lines
        if kind is WEIGHTS_ANNOUNCED_EARLIER
    ]
    assert moved == [(5.0, 5.0, 'control-2')]


def test_weights_are_announced_before_the_document_of_their_summary_is_there(world):
    world.clock.advance(10)
    world.receive_summary(1, (2, 1.0), document=1)
    assert world.announced_seconds == {2: 9.0}
    world.clock.advance(3)
    world.receive_document()
    assert (world.view.revision, world.announced_seconds) == (1, {2: 9.0})
    assert world.view.control_received_seconds == 10


def test_registration_that_each_control_host_sends_changes_the_view_once():
    # Guards against rebuilding the table of upstreams for each copy of a heartbeat.
    site_client, changes = SiteClient(SimpleNamespace(reactor=Clock()), SiteView(), None), []
    site_client.view.on_registrations.append(lambda: changes.append(1))
    heartbeat = Registration('u', 's', '1.2.3.4:5', 'z', 1, False, 0, 1, 7)
    older = replace(heartbeat, sequence=6)
    for registration in (heartbeat, heartbeat, older):
        site_client._on_registrations(None, Registrations([AgedRegistration(registration, 0)]))
    assert len(changes) == 1
    newer = replace(heartbeat, sequence=8)
    heard = [AgedRegistration(newer, 0), AgedRegistration(older, 0)]
    site_client._on_registrations(None, Registrations(heard))
    assert len(changes) == 2
