"""A stream keeps an engine that has not failed until another one has taken over."""

from dataclasses import replace

import pytest

from jackdawsail.proxy.draining import CallerDrain
from jackdawsail.site.document import CallerLimits, Service, Share
from test.http1.ends import reset
from test.proxy.world import (
    MODEL_SERVICE,
    PLAIN,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    event,
    sent_on,
    status_of,
)
from test.site.documents import make_document

REFUSED = 'Not-Executed: 1\r\n'


def begun_stream(upstreams=2, events=1):
    world = World(upstreams, MODEL_SERVICE)
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_stream(first)
    for number in range(1, events + 1):
        first.dataReceived(event(number))
    return world, caller, first


def wait(world, seconds):
    for _ in range(round(seconds * 10)):
        world.reactor.advance(0.1)


def assert_whole(caller, events):
    text = caller.value()
    counts = [text.count(f'data: x{number}\n'.encode()) for number in range(1, events + 1)]
    assert not caller.aborted
    assert counts == [1] * events
    assert text.count(b'HTTP/1.1') == 1
    assert text.endswith(b'0\r\n\r\n')


def changing_engine():
    """Begins a stream at one of two engines, which then reports that it will load new weights."""
    world, caller, first = begun_stream()
    own = 1 if b'i-1' in sent_on(first) else 2
    world.report(own, running=9, switching=True)
    world.report(3 - own, running=3)
    wait(world, 0.3)
    return world, caller, first


def refuse_rest(world):
    answer(world.accept(), 503, headers=REFUSED)


def refuse_connection(world):
    world.refuse()


def answer_with_failure(world):
    answer(world.accept(), 500)


def break_off(world):
    reset(world.accept())


def stay_silent(world):
    world.accept()


ENDINGS = (refuse_rest, refuse_connection, answer_with_failure, break_off, stay_silent)


@pytest.mark.parametrize('end_second', ENDINGS)
def test_stream_is_not_aborted_when_its_silent_engine_goes_on_and_the_next_one_fails(end_second):
    world, caller, first = begun_stream()
    wait(world, 1)
    end_second(world)
    wait(world, 0.5)
    first.dataReceived(event(2) + b'0\r\n\r\n')
    assert_whole(caller, 2)


@pytest.mark.parametrize('end_second', ENDINGS)
def test_stream_is_not_aborted_when_its_engine_changes_over_and_the_next_one_fails(end_second):
    world, caller, first = changing_engine()
    end_second(world)
    first.dataReceived(event(2) + b'0\r\n\r\n')
    wait(world, 2)
    assert_whole(caller, 2)


@pytest.mark.parametrize('end_second', ENDINGS)
def test_call_does_not_fail_when_its_silent_engine_begins_late_and_the_next_one_fails(end_second):
    world = World(2, MODEL_SERVICE)
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    wait(world, 1.5)
    end_second(world)
    wait(world, 0.2)
    begin_stream(first)
    first.dataReceived(event(1) + b'0\r\n\r\n')
    assert_whole(caller, 1)


def test_stream_that_waits_at_a_next_engine_is_not_aborted_when_it_is_recalled_there():
    world, caller, first = changing_engine()
    world.accept()
    world.summarize(revision=2, weights=[('m', 2, 7.4)])
    wait(world, 0.3)
    first.dataReceived(event(2) + b'0\r\n\r\n')
    wait(world, 1)
    assert_whole(caller, 2)


def fails_with_500(world):
    caller = world.call()
    answer(world.accept(), 500, body=b'first failure')
    return caller


@pytest.mark.parametrize('end_second', (refuse_rest, break_off))
def test_failure_of_an_upstream_is_not_lost_when_the_upstream_of_the_retry_gives_no_answer(
    end_second,
):
    world = World(2)
    caller = fails_with_500(world)
    end_second(world)
    assert status_of(caller) == 500
    assert caller.value().endswith(b'first failure')
    assert world.context.running == 0


def test_failure_of_an_upstream_is_answered_when_the_retry_lasts_until_the_time_limit():
    world = World(2)
    caller = fails_with_500(world)
    world.accept()
    wait(world, 2.1)
    assert status_of(caller) == 500
    assert caller.value().endswith(b'first failure')


def stop(world):
    CallerDrain(world.context, world.factory).start()


def reload_settings(world):
    settings = world.context.settings
    world.context.settings = replace(settings, bounds=replace(settings.bounds, retry_slack=0))


def withdraw_route(world, version=2):
    apply_document(world, version, routes=[PLAIN])


def move_route(world, version=2):
    apply_document(world, version, routes=[replace(STREAM, shares=(Share('t', 1),))])


def shorten_times(world, version=2):
    apply_document(world, version, routes=[replace(STREAM, time_limit_seconds=0.1)])
    world.factory.options.limits = CallerLimits(idle_seconds=0.1, head_seconds=0.1)


def withdraw_service(world, version=2):
    apply_document(world, version, routes=[PLAIN], services=[Service('t')])


def apply_document(world, version, **changes):
    services = changes.pop('services', [MODEL_SERVICE, Service('t')])
    world.context.view.apply_document(make_document(version=version, services=services, **changes))


def change_all_at_once(world):
    reload_settings(world)
    for version, change in enumerate((move_route, shorten_times, withdraw_service), start=2):
        change(world, version)
    stop(world)


EVENTS = (
    stop,
    reload_settings,
    withdraw_route,
    move_route,
    shorten_times,
    withdraw_service,
    change_all_at_once,
)


@pytest.mark.parametrize('end_second', ENDINGS)
@pytest.mark.parametrize('happen', EVENTS)
@pytest.mark.parametrize('at_seconds', [0.4, 0.9, 1.3])
def test_stream_is_not_aborted_when_something_happens_while_its_engine_is_silent_for_a_while(
    at_seconds, happen, end_second
):
    world, caller, first = begun_stream()
    for tick in range(15):
        if tick == round(at_seconds * 10):
            happen(world)
        if world.reactor.pending_connects:
            end_second(world)
        wait(world, 0.1)
    first.dataReceived(event(2) + b'0\r\n\r\n')
    assert_whole(caller, 2)
    assert world.context.running == 0
