"""A stream whose engine pauses and then goes on, and what other engines do meanwhile."""

import re
from dataclasses import dataclass, field
from typing import Any

import pytest

from test.http1.ends import reset
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    event,
    sent_on,
)
from test.site.documents import make_customer, make_document

SILENT_SECONDS = 1.5
CHANGING_SECONDS = 0.5  # from the report that an engine changes over to its next event
STEP_SECONDS = 0.125  # exact in binary, so that no step falls short of a time-out
CONNECT_SECONDS = 0.25
EVENTS = 4
END = b'0\r\n\r\n'
HEADERS = f'{STREAM_HEADERS}Length-Hint: 120\r\nPrompt-Prefix: part:10,own:5\r\n'
KEY = 'Authorization: Token k1\r\n'


@dataclass
class Play:
    """A stream whose first engine pauses, and the engines that it is sent to meanwhile."""

    world: World
    caller: Any
    first: Any
    rest: bytes = b''
    pause_seconds: float = SILENT_SECONDS
    others: list[Any] = field(default_factory=list)
    waiting: list[Any] = field(default_factory=list)

    def pause(self, react):
        """Lets the time of the pause pass; ``react`` plays the other engines at each step."""
        for _ in range(round(self.pause_seconds / STEP_SECONDS)):
            self.world.reactor.advance(STEP_SECONDS)
            react(self)

    def opened(self):
        """Opens each requested connection; yields those that get the request."""
        while self.world.reactor.pending_connects:
            channel = self.world.accept()
            if sent_on(channel):
                self.others.append(channel)
                yield channel

    def go_on(self):
        """The first engine sends the rest, which is lost if its connection was closed."""
        send(self.first, self.rest)

    def assert_whole(self):
        text = self.caller.value()
        assert not self.caller.aborted
        assert text.startswith(b'HTTP/1.1 200 ')
        assert events_in(text) == list(range(1, EVENTS + 1))
        assert text.count(b'HTTP/1.1') == 1
        assert text.endswith(END)
        self.assert_no_attempt_left()

    def assert_no_attempt_left(self):
        assert self.world.context.running == 0
        upstreams = list(self.world.context.upstreams.all())
        assert [upstream.calls for upstream in upstreams] == [0] * len(upstreams)
        assert [upstream.sends.pending for upstream in upstreams] == [0] * len(upstreams)


def send(channel, body):
    if not (channel.transport.aborted or channel.is_closed):
        channel.dataReceived(body)


def events_in(text):
    return [int(number) for number in re.findall(rb'data: x(\d+)\n', text)]


def events_from(number):
    """Returns the events of the stream from one on, and its end."""
    return b''.join(map(event, range(number, EVENTS + 1))) + END


def head(version=1):
    lines = f'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nWeight-Versions: {version}\r\n'
    return f'{lines}Transfer-Encoding: chunked\r\n\r\n'.encode()


def next_event(channel):
    """Returns the event from which an engine is asked to continue."""
    asked = re.search(rb'Last-Event-Id: (\d+)', sent_on(channel))
    return int(asked.group(1)) + 1 if asked else 1


def make_play(others=1, bounds=None, route=STREAM):
    """Sends a stream to engine 1, the only one; then the others register."""
    world = World(1, MODEL_SERVICE, bounds=bounds)
    change_document(world, route)
    caller = world.call('/stream/x', headers=HEADERS + KEY, method='POST')
    play = Play(world, caller, world.accept(), rest=head() + events_from(1))
    for number in range(2, 2 + others):
        world.register(number)
    return play


def change_document(world, route=STREAM, services=(MODEL_SERVICE,), key='k1'):
    version = world.context.view.document_version + 1
    document = make_document(version, [route], services, [make_customer('c', key)])
    world.context.view.apply_document(document)


def receive(play, body):
    """Delivers the part of the answer that the first engine sends before its pause."""
    send(play.first, body)
    play.rest = play.rest[len(body) :]


def silent_before_head(play):
    """The engine has sent nothing yet."""


def silent_before_first_event(play):
    receive(play, head())


def silent_after_an_event(play):
    receive(play, head() + event(1))


def silent_inside_an_event(play):
    receive(play, head() + event(1) + event(2)[:8])


def changing_over(play):
    receive(play, head() + event(1))
    play.world.report(1, running=9, switching=True)
    for number in (2, 3):
        play.world.report(number, running=3)
    play.pause_seconds = CHANGING_SECONDS


def refuse(play):
    for channel in play.opened():
        answer(channel, 503, headers='Not-Executed: 1\r\n')


def refuse_and_rest(play):
    for channel in play.opened():
        answer(channel, 503, headers='Not-Executed: 1\r\nRetry-After: 1.0\r\n')


def refuse_a_step_later(play):
    for channel in play.waiting:
        if not channel.transport.aborted:
            answer(channel, 503, headers='Not-Executed: 1\r\n')
    play.waiting = list(play.opened())


def hold_other_weights(play):
    for channel in play.opened():
        answer(channel, 421, headers='Not-Executed: 1\r\n')


def cannot_be_reached(play):
    while play.world.reactor.pending_connects:
        play.world.refuse()


def do_not_answer_connections(play):
    """Connections time out, which the reactor of the tests does not do by itself."""
    clock = play.world.reactor
    for pending in clock.pending_connects:
        if pending not in play.waiting:
            play.waiting.append(pending)
            clock.callLater(CONNECT_SECONDS, time_out_connection, play.world, pending)


def time_out_connection(world, pending):
    if pending in world.reactor.pending_connects:
        world.reactor.pending_connects.remove(pending)
        pending[1].clientConnectionFailed(None, None)


def are_silent_too(play):
    list(play.opened())


def are_silent_after_their_head(play):
    for channel in play.opened():
        begin_stream(channel)


def break_off_before_their_head(play):
    for channel in play.opened():
        reset(channel)


def break_off_after_their_head(play):
    for channel in play.opened():
        begin_stream(channel)
        reset(channel)


def fail(play):
    for channel in play.opened():
        answer(channel, 500)


def send_no_answer(play):
    for channel in play.opened():
        channel.dataReceived(b'no answer\r\n\r\n')


def continue_it(play):
    for channel in play.opened():
        begin_stream(channel)
        channel.dataReceived(events_from(next_event(channel)))


BEGUN = (silent_after_an_event, silent_inside_an_event, changing_over)
PAUSES = (silent_before_head, silent_before_first_event, *BEGUN)
USELESS_ENGINES = (
    refuse,
    refuse_and_rest,
    refuse_a_step_later,
    hold_other_weights,
    cannot_be_reached,
    do_not_answer_connections,
    are_silent_too,
    are_silent_after_their_head,
    break_off_before_their_head,
    break_off_after_their_head,
    fail,
    send_no_answer,
)

each_pause = pytest.mark.parametrize('pause', PAUSES)
each_begun_pause = pytest.mark.parametrize('pause', BEGUN)
each_useless_engine = pytest.mark.parametrize('react', USELESS_ENGINES)
