"""Links authenticate both sides, carry messages and reject wrong secrets and bad frames."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jackdawsail.wire import work_messages
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import (
    HANDSHAKE_SECONDS,
    SILENCE_SECONDS,
    LinkClientFactory,
    LinkServerFactory,
    LinkSettings,
)
from jackdawsail.wire.membership_messages import Subscribe


class Recorder:
    """A link owner that records the events of its link."""

    def __init__(self):
        self.opened, self.messages, self.closed = [], [], []

    def link_opened(self, link):
        self.opened.append(link)

    def link_received(self, link, received):
        self.messages.append(received)

    def link_closed(self, link, reason):
        self.closed.append(reason)


class Transport(StringTransport):
    """A transport that records an abort."""

    aborted = False

    def setTcpNoDelay(self, enabled):
        pass

    def abortConnection(self):
        self.aborted = True


def make_pair(server_secret=b's', client_secret=b's'):
    clock = Clock()
    server_owner, client_owner = Recorder(), Recorder()
    entry = Identity(Role.entry, 'e1', 'z', 'r', 1)
    agent = Identity(Role.agent, 'a1', 'z', 'r', 2)
    server = LinkServerFactory(
        LinkSettings(entry, server_secret), server_owner, clock
    ).buildProtocol(None)
    client = LinkClientFactory(
        LinkSettings(agent, client_secret), client_owner, clock
    ).buildProtocol(None)
    for end in (server, client):
        end.makeConnection(Transport())
    exchange_bytes(server, client)
    return clock, server, client, server_owner, client_owner


def exchange_bytes(*ends):
    for _ in range(20):
        for source, target in (ends, ends[::-1]):
            sent = source.transport.value()
            source.transport.clear()
            if sent:
                target.dataReceived(sent)


def test_handshake_and_message():
    _clock, server, client, server_owner, client_owner = make_pair()
    assert server.peer.name == 'a1'
    assert client.peer.name == 'e1'
    assert client.send(Subscribe(revision=7))
    exchange_bytes(server, client)
    assert server_owner.messages == [Subscribe(revision=7)]
    assert not client_owner.messages


def test_full_queue_aborts_the_link(monkeypatch):
    monkeypatch.setattr('jackdawsail.wire.link.MAX_QUEUE_BYTES', 100)
    _clock, _server, client, _server_owner, _client_owner = make_pair()
    client.backlog.pauseProducing()
    sent = [client.send(Subscribe(revision=7)) for _ in range(60)]
    assert not sent[-1]
    assert client.transport.aborted


def test_sent_bytes_no_longer_count_as_queued(monkeypatch):
    monkeypatch.setattr('jackdawsail.wire.link.MAX_QUEUE_BYTES', 100)
    _clock, _server, client, _server_owner, _client_owner = make_pair()
    for _ in range(60):
        client.backlog.pauseProducing()
        assert client.send(Subscribe(revision=7))
        client.backlog.resumeProducing()


def test_wrong_secret_is_rejected():
    _clock, server, client, server_owner, client_owner = make_pair(client_secret=b'other')
    assert not server_owner.opened
    assert not client_owner.opened
    assert server.transport.disconnecting


def test_handshake_times_out():
    clock = Clock()
    identity = Identity(Role.entry, 'e1', 'z', 'r', 1)
    link = LinkServerFactory(LinkSettings(identity, b''), Recorder(), clock).buildProtocol(None)
    link.makeConnection(Transport())
    clock.advance(HANDSHAKE_SECONDS)
    assert link.transport.aborted


def test_silent_peer_is_dropped():
    clock, server, _client, _server_owner, _client_owner = make_pair()
    for _ in range(10):
        clock.advance(SILENCE_SECONDS / 5)
    assert server.transport.aborted


@settings(max_examples=200, derandomize=True)
@given(st.binary(max_size=200))
def test_decode_never_raises(frame):
    decode(frame)


@pytest.mark.parametrize('cut', [1, 5, 20])
def test_cut_frame_is_a_failure(cut):
    reserve = work_messages.Reserve(
        'a', 'r', 'c', 'b', '', 10, work_messages.Priority.live, 1.0, ''
    )
    frame = encode(reserve)
    assert decode(frame).unwrap() == reserve
    assert isinstance(decode(frame[:-cut]), Failure)


def test_random_bytes_never_open_a_link():
    rng = random.Random(5)
    for _ in range(50):
        recorder = Recorder()
        identity = Identity(Role.entry, 'e1', 'z', 'r', 1)
        factory = LinkServerFactory(LinkSettings(identity, b''), recorder, Clock())
        link = factory.buildProtocol(None)
        link.makeConnection(Transport())
        link.dataReceived(rng.randbytes(200))
        assert not recorder.opened
