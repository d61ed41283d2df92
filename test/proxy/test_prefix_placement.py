"""Prompts are placed by their prefix only where observation shows that engines keep it."""

import pytest

from jackdawsail.http1.messages import HttpRequest
from jackdawsail.platform.traffic import decode_caller_call
from jackdawsail.routing.prefix_evidence import MIN_CALLS
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM_HEADERS,
    World,
    begin_stream,
    event,
    sent_on,
)

HEADERS = f'{STREAM_HEADERS}Prompt-Prefix: p1:8000,own:200\r\nToken-Usage: 8200,100\r\n'


def decoded(prompt, usage=b'900,100'):
    headers = ((b'Prompt-Prefix', prompt), (b'Token-Usage', usage))
    return decode_caller_call(HttpRequest(b'POST', b'/', headers))


@pytest.mark.parametrize(
    ('prompt', 'tokens'),
    [
        (b'', 0),
        (b'own:5', 0),
        (b'a:40,own:5', 40),
        (b'a:40,b:60,own:5', 100),
        (b'a:-40,own:5', 0),
        (b'a:x,b:60,own:5', 60),
        (b'a,own:5', 0),
        (b'a:999999999,own:1', 900),
        (b'a:99999999999999999999,own:1', 0),
        (b'a: 40 , own:5', 40),
    ],
)
def test_shared_tokens_are_those_before_the_last_part_and_at_most_the_prompt(prompt, tokens):
    assert decoded(prompt).shared_tokens == tokens


def send(world, number, headers=HEADERS):
    world.call('/stream/x', f'a{number}', headers, 'POST')
    pending = world.reactor.pending_connects
    return world.accept() if pending else None


@pytest.mark.parametrize('keeps', [True, False])
def test_engine_that_ran_a_prefix_is_preferred_once_it_is_shown_to_keep_it(keeps):
    world = World(2, MODEL_SERVICE)
    prefixes, upstreams = world.context.prefixes, list(world.context.upstreams.all())
    call = decoded(b'p1:8000,own:200', b'8200,100')
    trial = prefixes.call_sent('s', call, upstreams[0], world.reactor.seconds())
    assert not trial.is_recent
    trial_again = prefixes.call_sent('s', call, upstreams[0], world.reactor.seconds())
    assert trial_again.is_recent
    for number in range(2 * MIN_CALLS):
        noise_seconds = 0.01 * (number % 3)
        prefixes.first_event(trial, 0.5 + noise_seconds)
        prefixes.first_event(trial_again, (0.3 if keeps else 0.5) + noise_seconds)
    savings = prefixes.savings('s', call, upstreams, world.reactor.seconds())
    assert list(savings or {}) == ([upstreams[0].name] if keeps else [])
    chosen = {sent_on(send(world, number)).count(b'i-1') for number in range(4)}
    assert not keeps or chosen == {1}
    world.register(1, born_milliseconds=77, sequence=2)
    restarted = list(world.context.upstreams.all())
    assert not prefixes.savings('s', call, restarted, world.reactor.seconds())


def test_short_prefixes_are_neither_kept_nor_weighed():
    world = World(2, MODEL_SERVICE)
    headers = HEADERS.replace('p1:8000', 'p1:40')
    channel = send(world, 1, headers)
    begin_stream(channel, 'a1')
    channel.dataReceived(event(1))
    assert not world.context.prefixes._evidence
    assert not world.context.prefixes._affinity._runs


def test_first_event_of_a_call_is_recorded():
    world = World(1, MODEL_SERVICE)
    channel = send(world, 1)
    begin_stream(channel, 'a1')
    channel.dataReceived(event(1))
    [evidence] = world.context.prefixes._evidence.values()
    assert evidence._other.count == 1
