"""Upstreams that ask for rest, or say in an answer that they are leaving, get no calls."""

import pytest

from test.proxy.world import (
    MODEL_SERVICE,
    STREAM_HEADERS,
    World,
    answer,
)

ASK_FOR_REST = 'Not-Executed: full\r\nRetry-After: 3\r\n'


def target_of(world):
    """Returns the address of the oldest requested connection."""
    return world.reactor.pending_connects[0][0]


def turn_away(world, headers=ASK_FOR_REST, attempt='a1'):
    """Accepts a call at the upstream that it goes to and turns it away; returns the address."""
    address = target_of(world)
    answer(world.accept(), 503, attempt, headers=f'Connection: close\r\n{headers}')
    return address


def begin_call(world, attempt='a1'):
    return world.call('/stream/x', headers=STREAM_HEADERS, method='POST', attempt=attempt)


def serve(world, attempt='a1', headers=''):
    headers = f'Weight-Versions: 1\r\nConnection: close\r\n{headers}'
    answer(world.accept(), attempt=attempt, body=b'id: 1\ndata: x\n\n', headers=headers)


def addresses_called(world, calls, seconds_between=0.1):
    """Sends calls, serves them, and returns the addresses that they went to."""
    addresses = []
    for number in range(calls):
        world.reactor.advance(seconds_between)
        world.summarize(number + 2)
        for upstream in (1, 2, 3):
            world.report(upstream, running=0)
        begin_call(world, f'n{number}')
        addresses.append(target_of(world))
        serve(world, f'n{number}')
    return addresses


@pytest.fixture
def world():
    return World(3, MODEL_SERVICE)


def test_upstream_that_asked_for_rest_gets_no_call_until_its_end(world):
    begin_call(world)
    resting = turn_away(world)
    serve(world)
    assert resting not in addresses_called(world, 28)


def test_upstream_that_says_it_is_leaving_gets_no_call_any_more(world):
    begin_call(world)
    leaving = target_of(world)
    serve(world, headers='Server-Leaving: 1\r\n')
    assert leaving not in addresses_called(world, 40, seconds_between=0.5)
