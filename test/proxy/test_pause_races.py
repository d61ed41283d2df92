"""An engine that pauses in a stream and another one that is asked meanwhile, both at work."""

from itertools import combinations

import pytest

from test.http1.ends import reset
from test.proxy.pauses import (
    END,
    are_silent_after_their_head,
    are_silent_too,
    continue_it,
    each_pause,
    events_from,
    head,
    make_play,
    next_event,
    send,
    silent_inside_an_event,
)
from test.proxy.world import STREAM, event


def merges(first_steps, second_steps):
    """Yields all orders of two sequences of steps, as pairs of the engine's index and a step."""
    total = len(first_steps) + len(second_steps)
    for places in combinations(range(total), len(first_steps)):
        steps = (iter(first_steps), iter(second_steps))
        owners = [0 if place in places else 1 for place in range(total)]
        yield [(owner, next(steps[owner])) for owner in owners]


def play_order(play, order):
    """Lets another engine be asked, and then plays the steps of both engines in an order."""
    play.pause(lambda _play: None)
    for index, body in order:
        if index and not play.others:
            next(play.opened(), None)
        engine = ([play.first, *play.others] + [None])[index]
        if engine is not None and body:
            send(engine, body)


REFUSAL = b'HTTP/1.1 503 X\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
CONTINUED = (head(), event(2)[:8], event(2)[8:], event(3) + event(4) + END)


@pytest.mark.parametrize(
    'order',
    [
        order
        for second_steps in ((b'', REFUSAL), (b'', *CONTINUED))
        for order in merges((event(2)[8:], event(3), event(4) + END), second_steps)
    ],
)
def test_stream_is_whole_in_each_order_of_what_both_engines_send(order):
    play = make_play()
    silent_inside_an_event(play)
    play_order(play, order)
    play.assert_whole()


def source_events(source, number):
    body = f'id: {number}\ndata: x{number}\n: {source}\n\n'.encode()
    return f'{len(body):x}\r\n'.encode() + body + b'\r\n'


@pytest.mark.parametrize(
    'order',
    list(
        merges(
            (head(), source_events('old', 1), source_events('old', 2) + event(3) + event(4) + END),
            (
                b'',
                head(2),
                source_events('new', 1),
                source_events('new', 2) + event(3) + event(4) + END,
            ),
        )
    ),
)
def test_stream_that_has_not_begun_is_not_mixed_from_two_weight_versions(order):
    play = make_play()
    play.world.register(2, version=2, sequence=2)
    play_order(play, order)
    play.assert_whole()
    text = play.caller.value()
    assert text.count(b': old\n') in {0, 2}
    assert text.count(b': new\n') == 2 - text.count(b': old\n')


@each_pause
def test_stream_continues_at_the_other_engine_if_its_first_one_breaks_off_after_the_pause(pause):
    play = make_play()
    pause(play)
    play.pause(are_silent_too)
    if not play.first.transport.aborted:
        reset(play.first)
    are_silent_too(play)
    for channel in play.others:
        send(channel, head() + events_from(next_event(channel)))
    play.assert_whole()


@each_pause
def test_first_engine_is_left_once_another_one_continues_the_stream(pause):
    play = make_play()
    pause(play)
    play.pause(continue_it)
    assert play.first.transport.aborted
    play.assert_whole()


@each_pause
@pytest.mark.parametrize('react', [are_silent_too, are_silent_after_their_head])
def test_no_engine_works_for_a_caller_that_has_left(react, pause):
    play = make_play()
    pause(play)
    play.pause(react)
    reset(play.caller.connection)
    assert all(channel.transport.aborted for channel in (play.first, *play.others))
    play.assert_no_attempt_left()


@each_pause
@pytest.mark.parametrize('react', [are_silent_too, are_silent_after_their_head])
def test_no_engine_works_for_a_stream_after_its_time_limit(react, pause):
    play = make_play()
    pause(play)
    play.pause(react)
    play.world.reactor.advance(STREAM.time_limit_seconds)
    assert all(channel.transport.aborted for channel in (play.first, *play.others))
    play.assert_no_attempt_left()
