"""A sound engine is silent for 1.5 s in a stream, or changes over, and then goes on.

The caller must get the whole stream, whatever becomes of the attempt at another engine.
"""

from dataclasses import replace

import pytest

from jackdawsail.site.document import Share
from jackdawsail.site.node import NodeBounds
from test.proxy.pauses import (
    HEADERS,
    Play,
    change_document,
    continue_it,
    each_begun_pause,
    each_pause,
    each_useless_engine,
    events_from,
    head,
    make_play,
    refuse,
    silent_after_an_event,
)
from test.proxy.world import MODEL_SERVICE, STREAM, World


@each_pause
@each_useless_engine
@pytest.mark.parametrize('others', [1, 2])
def test_stream_is_whole_though_no_other_engine_continues_it(others, react, pause):
    play = make_play(others)
    pause(play)
    play.pause(react)
    play.go_on()
    play.assert_whole()


@each_pause
@pytest.mark.parametrize('others', [0, 1, 2])
def test_stream_is_whole_if_another_engine_continues_it(others, pause):
    play = make_play(others)
    pause(play)
    play.pause(continue_it)
    play.go_on()
    play.assert_whole()


@each_pause
@each_useless_engine
@pytest.mark.parametrize('retry_slack', [0, 2])  # no repeat, and one
def test_stream_is_whole_though_the_retry_budget_is_used_up(retry_slack, react, pause):
    play = make_play(others=2, bounds=NodeBounds(retry_slack=retry_slack))
    pause(play)
    play.pause(react)
    play.go_on()
    play.assert_whole()


@each_begun_pause
@each_useless_engine
@pytest.mark.parametrize(
    'route', [replace(STREAM, resumable=False), replace(STREAM, max_upstreams=1)]
)
def test_stream_that_may_not_run_again_is_whole(route, react, pause):
    play = make_play(route=route)
    pause(play)
    play.pause(react)
    play.go_on()
    play.assert_whole()


def test_many_streams_that_are_silent_at_once_are_whole_though_few_may_be_repeated():
    world = World(1, MODEL_SERVICE, bounds=NodeBounds(retry_slack=6))
    plays = []
    for _ in range(8):
        caller = world.call('/stream/x', headers=HEADERS, method='POST')
        plays.append(Play(world, caller, world.accept(), rest=head() + events_from(1)))
        silent_after_an_event(plays[-1])
    world.register(2)
    plays[0].pause(refuse)
    for play in plays:
        play.go_on()
    for play in plays:
        play.assert_whole()


def empty_data_centre(world):
    world.summarize(revision=2, zones=['z'])


def withdraw_service(world):
    services = [replace(MODEL_SERVICE, name='t')]
    change_document(world, replace(STREAM, shares=(Share('t', 1),)), services)


def withdraw_route(world):
    change_document(world, replace(STREAM, path_prefix='/other/'))


def move_route(world):
    services = [MODEL_SERVICE, replace(MODEL_SERVICE, name='t')]
    change_document(world, replace(STREAM, shares=(Share('t', 1),)), services)


def shorten_time_limit(world):
    change_document(world, replace(STREAM, time_limit_seconds=0.5))


def narrow_home_regions(world):
    change_document(world, replace(STREAM, home_regions=('elsewhere',)))


def withdraw_key(world):
    change_document(world, key='k2')


def announce_overdue_weights(world):
    world.summarize(revision=2, weights=[('m', 2, 7.5)])


def load_other_weights(world):
    world.register(2, version=2, sequence=2)
    world.report(2, running=0, version=2)


def change_the_other_engine_over(world):
    world.report(2, running=0, switching=True)


def leave(world):
    world.register(2, leaving=True, sequence=2)


def lose_the_other_engine(world):
    world.register(2, born_milliseconds=99, address='10.0.0.9:80')


def block_part(world):
    world.context.traits.blame.block('part')


WITHDRAWALS = (
    empty_data_centre,
    withdraw_service,
    withdraw_route,
    move_route,
    shorten_time_limit,
    narrow_home_regions,
    withdraw_key,
    announce_overdue_weights,
    load_other_weights,
    change_the_other_engine_over,
    leave,
    lose_the_other_engine,
    block_part,
)
each_withdrawal = pytest.mark.parametrize('withdraw', WITHDRAWALS)


@each_begun_pause
@each_withdrawal
def test_stream_is_whole_though_its_permission_was_withdrawn_before_another_engine_was_asked(
    withdraw, pause
):
    play = make_play()
    pause(play)
    withdraw(play.world)
    play.pause(continue_it)
    play.go_on()
    play.assert_whole()


@each_begun_pause
@each_withdrawal
def test_stream_is_whole_though_its_permission_was_withdrawn_while_another_engine_was_connected(
    withdraw, pause
):
    play = make_play()
    pause(play)

    def withdraw_and_continue(play):
        if play.world.reactor.pending_connects:
            withdraw(play.world)
        continue_it(play)

    play.pause(withdraw_and_continue)
    play.go_on()
    play.assert_whole()


@each_begun_pause
@each_withdrawal
def test_stream_is_whole_though_its_permission_was_withdrawn_while_another_engine_had_it(
    withdraw, pause
):
    play = make_play()
    pause(play)

    def withdraw_once_sent(play):
        if list(play.opened()):
            withdraw(play.world)

    play.pause(withdraw_once_sent)
    play.go_on()
    play.assert_whole()
