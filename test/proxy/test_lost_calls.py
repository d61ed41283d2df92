"""An error at any step of a call leaves its caller with an answer, and other calls unharmed."""

from contextlib import contextmanager
from dataclasses import replace

import pytest
from twisted.python.failure import Failure

from jackdawsail import events
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import ClientChannel
from jackdawsail.proxy import admission, attempt, dispatching, outgoing, task
from jackdawsail.proxy.call_log import CallLog
from jackdawsail.proxy.draining import CHECK_INTERVAL_SECONDS, CallerDrain
from jackdawsail.proxy.relaying import PlainRelay, StreamRelay
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.proxy.trait_reports import TraitReports
from jackdawsail.proxy.watch import EngineWatch
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import CallerLimits, Service, Share, document_faults
from jackdawsail.site.routes import RouteTable
from test.http1.ends import Transport, reset
from test.proxy.test_endless_bytes import Caller, Peer, live_world, request
from test.proxy.world import (
    MODEL_SERVICE,
    ONCE,
    PLAIN,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    event,
    status_of,
)
from test.site.documents import make_document, make_route

SERVICES = (Service('s'), Service('t'))
STEP_SECONDS = 0.05
# Calls are answered before their time limit, which is two seconds or more.
PROMPT_SECONDS = 1.9
LONG = make_route('long', time_limit_seconds=20.0)
LONG_ONCE = replace(ONCE, time_limit_seconds=20.0)
SOUND = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok'


class InjectedError(Exception):
    """The error that a test raises."""


@contextmanager
def as_in_the_reactor(connection):
    """Closes a connection whose handler raises, as Twisted's reactor does."""
    try:
        yield
    except InjectedError:
        connection.failed = True
        connection.connectionLost(Failure())


def fail_once(monkeypatch, owner, name):
    """Makes the next call of a function raise; returns the list of the calls that did."""
    original = getattr(owner, name)
    raised = []

    def fail(*arguments, **options):
        if not raised:
            raised.append(name)
            raise InjectedError(name)
        return original(*arguments, **options)

    monkeypatch.setattr(owner, name, fail)
    return raised


def fail_codec_once(world, name):
    codec = world.context.codec
    original = getattr(codec, name)
    raised = []

    def fail(*arguments):
        if not raised:
            raised.append(name)
            raise InjectedError(name)
        return original(*arguments)

    world.context.codec = replace(codec, **{name: fail})
    return raised


class Play:
    """Calls of an entry whose connections are closed on an error."""

    def __init__(self, service=None):
        self.world = World(2, service)
        self.reactor = self.world.reactor
        self.channels = []

    def call(self, path='/p/x', attempt_id='a1', headers='', method='GET'):
        connection = self.world.factory.buildProtocol(None)
        transport = self.connect(connection)
        head = f'{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt_id}\r\n'
        with as_in_the_reactor(connection):
            connection.dataReceived(f'{head}{headers}\r\n'.encode())
        return transport

    def connect(self, connection):
        transport = Transport()
        connection.failed = False
        connection.makeConnection(transport)
        transport.connection = connection
        return transport

    def accept(self):
        _address, factory = self.reactor.pending_connects.pop(0)
        channel = factory.buildProtocol(None)
        channel.failed = False
        with as_in_the_reactor(channel):
            channel.makeConnection(Transport())
        self.channels.append(channel)
        return channel

    def deliver(self, channel, send, *arguments, **options):
        """Delivers bytes to a channel, if it is still open."""
        if not channel.is_closed:
            with as_in_the_reactor(channel):
                send(channel, *arguments, **options)

    def wait(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            try:
                self.reactor.advance(STEP_SECONDS)
            except InjectedError:
                continue

    def serve(self, caller, attempt_id='a1'):
        """Answers each attempt of a call until its caller has an answer."""
        waited_seconds = 0
        while not caller.value() and not caller.aborted and waited_seconds < PROMPT_SECONDS:
            while self.reactor.pending_connects:
                self.accept()
            for channel in self.channels:
                if channel.transport.take_written():
                    self.deliver(channel, answer, attempt=attempt_id)
            self.wait(STEP_SECONDS)
            waited_seconds += STEP_SECONDS

    def assert_ended(self, caller):
        """Checks that a call has an answer and that the entry serves further calls."""
        assert not caller.connection.failed
        assert status_of(caller) in {200, 500, 502, 503, 504}
        other = self.call(attempt_id='a2')
        self.serve(other, 'a2')
        assert status_of(other) == 200
        self.wait(10)
        assert self.world.context.running == 0


STEPS = (
    (RouteTable, 'admit'),
    (admission, 'pick_service'),
    (admission, 'make_call_task'),
    (dispatching, 'place_call'),
    (dispatching, 'withdrawn_call'),
    (dispatching, 'dispatch_details'),
    (CallLog, 'dispatched'),
    (ChannelPool, 'acquire_idle'),
    (ChannelPool, 'connect'),
    (dispatching, 'make_upstream_request'),
    (outgoing, 'withdrawal_reason'),
    (SendHistory, 'record_send'),
    (Upstream, 'call_sent'),
    (ClientChannel, 'send'),
    (ClientChannel, '_encode_request'),
    (attempt, 'record_signals'),
    (task, 'make_relay'),
    (PlainRelay, 'forward'),
    (TraitReports, 'events_received'),
    (ChannelPool, 'release'),
    (task, 'is_cut_off'),
    (task, 'record_complete'),
    (Upstream, 'call_answered'),
    (PlainRelay, 'finish'),
    (CallLog, 'write'),
    (events, 'log'),
)


@pytest.mark.parametrize(('owner', 'name'), STEPS)
def test_error_at_a_step_of_a_call_ends_it_with_an_answer(monkeypatch, owner, name):
    play = Play()
    raised = fail_once(monkeypatch, owner, name)
    caller = play.call()
    play.serve(caller)
    assert raised
    play.assert_ended(caller)


@pytest.mark.parametrize('name', ['decode_call', 'upstream_headers', 'decode_head'])
def test_error_in_a_codec_ends_the_call_with_an_answer(name):
    play = Play()
    raised = fail_codec_once(play.world, name)
    caller = play.call()
    play.serve(caller)
    assert raised
    play.assert_ended(caller)


@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (CallLog, 'attempt_ended'),
        (SendHistory, 'take_further_upstream'),
        (TraitReports, 'answer_broken'),
        (Upstream, 'call_failed'),
        (task, 'may_continue'),
        (dispatching, 'place_call'),
    ],
)
def test_error_after_a_broken_attempt_ends_the_call_with_an_answer(monkeypatch, owner, name):
    play = Play()
    caller = play.call()
    channel = play.accept()
    raised = fail_once(monkeypatch, owner, name)
    play.deliver(channel, reset)
    play.serve(caller)
    assert raised
    play.assert_ended(caller)


@pytest.mark.parametrize(
    ('owner', 'name'), [(CallLog, 'write'), (task, 'HttpAnswer'), (task.CallTask, '_fail')]
)
def test_error_at_the_time_limit_ends_the_call(monkeypatch, owner, name):
    play = Play()
    caller = play.call()
    play.accept()
    raised = fail_once(monkeypatch, owner, name)
    play.wait(PLAIN.time_limit_seconds + 0.5)
    assert raised
    assert status_of(caller) in {500, 504} or caller.aborted
    assert play.world.context.running == 0


@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (StreamRelay, 'forward'),
        (TraitReports, 'events_received'),
        (task, 'record_first_event'),
        (EngineWatch, '_offer'),
    ],
)
def test_error_in_a_stream_is_continued_or_aborted(monkeypatch, owner, name):
    play = Play(MODEL_SERVICE)
    caller = play.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = play.accept()
    play.deliver(first, begin_stream)
    raised = fail_once(monkeypatch, owner, name)
    play.deliver(first, ClientChannel.dataReceived, event(1))
    play.wait(0.5)
    if play.reactor.pending_connects:
        second = play.accept()
        play.deliver(second, begin_stream)
        play.deliver(second, ClientChannel.dataReceived, event(1) + event(2) + b'0\r\n\r\n')
    else:
        play.deliver(first, ClientChannel.dataReceived, event(2) + b'0\r\n\r\n')
    assert raised
    assert caller.aborted or caller.value().endswith(b'0\r\n\r\n')
    assert not caller.connection.failed
    play.wait(10)
    assert play.world.context.running == 0


@pytest.mark.parametrize('deadline', ['0.000001', '0.001', '1', '0', '-5', 'x', '1e308'])
def test_call_with_hardly_any_time_is_answered(deadline):
    with live_world(Peer(SOUND, b'')) as (world, port):
        caller = Caller(port, request('/p/x', f'Request-Deadline: {deadline}\r\n'))
        world.context.clock.run_until(lambda: caller.answer or not caller.is_alive())
        assert caller.answer.split()[1:2] in ([b'200'], [b'503'], [b'504'])


@pytest.mark.parametrize('path', ['/p/x', '/none'])
def test_head_request_that_the_entry_answers_itself_gets_the_answer_without_a_body(path):
    with live_world() as (world, port):
        caller = Caller(port, request(path, 'Connection: close\r\n', 'HEAD'))
        world.context.clock.run_until(lambda: not caller.is_alive())
        assert caller.answer.split()[1:2] in ([b'503'], [b'404'])
        assert caller.answer.endswith(b'\r\n\r\n')
        assert world.context.running == 0


@pytest.mark.parametrize(
    'headers',
    [
        'Token-Usage: 1e308,1e308\r\n',
        'Token-Usage: -1,,\r\n',
        'Length-Hint: 1e308\r\n',
        'Prompt-Prefix: ,,::;\xff\r\n',
        'Last-Event-Id: \xff\r\n',
        'Last-Event-Id: ' + '9' * 5000 + '\r\n',
        'Authorization: Token \xff\r\n',
        'Model: \xff\r\n',
        'Connection: host, model, attempt-id\r\n',
        'Upgrade: x\r\nConnection: upgrade\r\n',
    ],
)
@pytest.mark.parametrize('method', ['GET', 'POST', 'HEAD', 'OPTIONS', 'CONNECT'])
def test_odd_request_is_answered_or_passed_on(headers, method):
    world = World(2, MODEL_SERVICE)
    caller = world.call('/stream/x', headers=STREAM_HEADERS + headers, method=method)
    assert status_of(caller) or world.reactor.pending_connects
    while world.reactor.pending_connects:
        answer(world.accept(), status=400)
    assert status_of(caller) in {400, 502}


@pytest.mark.parametrize(
    'shares',
    [
        (Share('s', 1.7e308), Share('t', 1.7e308)),
        (Share('s', 1e-320), Share('t', 1e-320)),
        (Share('s', 0), Share('t', 1)),
    ],
)
def test_call_on_a_route_with_odd_weights_is_answered(shares):
    route = make_route(shares=shares)
    world = World(2, routes=[route])
    caller = world.call()
    if world.reactor.pending_connects:
        answer(world.accept())
    is_valid = not document_faults(make_document(routes=[route], services=SERVICES))
    assert status_of(caller) in ({200, 503} if is_valid else {500})


@pytest.mark.parametrize('path', ['/p/x', '/once/x'])
def test_call_that_runs_at_the_limit_of_a_stop_is_answered_before_the_process_ends(path):
    world = World(2, routes=[LONG, LONG_ONCE])
    ended = []
    drain = CallerDrain(world.context, world.factory)
    drain.start().addCallback(ended.append)
    world.reactor.advance(2.5)
    sent, waiting = world.call(path), world.call(path)
    channel = world.accept()
    statuses = None
    while not ended:
        statuses = status_of(sent), status_of(waiting)
        world.reactor.advance(CHECK_INTERVAL_SECONDS)
    # Both were written before the check at which the process ends.
    assert statuses == (504, 503)
    assert channel.transport.aborted
    assert world.context.running == 0


def test_stream_that_runs_at_the_limit_of_a_stop_is_aborted():
    world = World(2, MODEL_SERVICE, routes=[replace(STREAM, time_limit_seconds=20.0)])
    ended = []
    drain = CallerDrain(world.context, world.factory)
    drain.start().addCallback(ended.append)
    world.reactor.advance(2.5)
    caller = world.call('/stream/x', headers='Model: m\r\n', method='POST')
    channel = world.accept()
    begin_stream(channel)
    channel.dataReceived(event(1))
    for number in range(2, 200):
        world.reactor.advance(CHECK_INTERVAL_SECONDS)
        if not channel.transport.aborted:
            channel.dataReceived(event(number))
    assert ended
    assert caller.aborted
    assert not caller.value().endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('expects', [b'', b'Expect: 100-continue\r\n'])
@pytest.mark.parametrize('path', ['/p/x', '/withdrawn/x'])
def test_call_whose_body_arrives_after_a_change_of_the_document_is_answered(path, expects):
    routes = [PLAIN, make_route('withdrawn', path_prefix='/withdrawn/')]
    world = World(1, routes=routes)
    connection = world.factory.buildProtocol(None)
    caller = Transport()
    connection.makeConnection(caller)
    head = f'POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n'.encode()
    connection.dataReceived(head + expects + b'Content-Length: 4\r\n\r\nab')
    world.context.view.apply_document(make_document(version=2, routes=[PLAIN]))
    world.factory.options.limits = CallerLimits(idle_seconds=0.1, head_seconds=0.1)
    world.reactor.advance(0.5)
    connection.dataReceived(b'cd')
    if world.reactor.pending_connects:
        answer(world.accept())
    final = caller.value().replace(b'HTTP/1.1 100 \r\n\r\n', b'')
    assert final.split()[1] == (b'200' if path == '/p/x' else b'404')
