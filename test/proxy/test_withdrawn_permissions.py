"""What was allowed when an upstream was chosen may be withdrawn before the connection is open."""

from dataclasses import replace

import pytest

from jackdawsail.site.document import Share
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    sent_on,
    status_of,
)
from test.site.documents import make_customer, make_document

KEY = 'Authorization: Token k1\r\n'


def make_world(upstreams=1, route=STREAM):
    """Builds a world with a service of engines, a customer, and a route that needs a key."""
    world = World(upstreams, MODEL_SERVICE)
    change_document(world, route=route)
    return world


def change_document(world, route=STREAM, services=(MODEL_SERVICE,), customers=None):
    version = world.context.view.document_version + 1
    known = (make_customer('c', 'k1'),) if customers is None else customers
    document = make_document(version, [route], services, known)
    world.context.view.apply_document(document)


def begin_call(world, attempt='a1'):
    headers = STREAM_HEADERS + KEY
    return world.call('/stream/x', headers=headers, method='POST', attempt=attempt)


def evacuate(world):
    world.summarize(revision=2, zones=['z'])


def change_over(world):
    world.report(1, running=0, switching=True)


def announce_overdue_weights(world):
    world.summarize(revision=2, weights=[('m', 2, 7.5)])


def leave(world):
    world.register(1, leaving=True, sequence=2)


def restart_without_weights(world):
    world.register(1, version=0, born_milliseconds=99)


def restart_at_another_address(world):
    world.register(1, born_milliseconds=99, address='10.0.0.9:80')


def drop_route(world):
    change_document(world, route=replace(STREAM, path_prefix='/other/'))


def move_route(world):
    services = (MODEL_SERVICE, replace(MODEL_SERVICE, name='t'))
    change_document(world, route=replace(STREAM, shares=(Share('t', 1),)), services=services)


def narrow_home_regions(world):
    change_document(world, route=replace(STREAM, home_regions=('elsewhere',)))


def withdraw_key(world):
    change_document(world, customers=(make_customer('c', 'k2'),))


def give_key_to_another_customer(world):
    change_document(world, customers=(make_customer('d', 'k1'),))


def block_part(world):
    world.context.traits.blame.block('part')


WITHDRAWALS = [
    evacuate,
    change_over,
    announce_overdue_weights,
    leave,
    restart_without_weights,
    restart_at_another_address,
    drop_route,
    move_route,
    narrow_home_regions,
    withdraw_key,
    give_key_to_another_customer,
]


@pytest.mark.parametrize('withdraw', WITHDRAWALS)
def test_call_is_not_sent_once_its_permission_was_withdrawn_while_it_waited_to_connect(withdraw):
    world = make_world()
    caller = begin_call(world)
    withdraw(world)
    assert sent_on(world.accept()) == b''
    assert status_of(caller) == 503
    assert world.context.running == 0
    assert world.context.upstreams.get('i-1').sends.pending == 0


def test_blocked_call_is_not_sent_though_it_was_not_blocked_when_it_waited_to_connect():
    world = make_world()
    headers = f'{STREAM_HEADERS}{KEY}Prompt-Prefix: part:10,own:5\r\n'
    caller = world.call('/stream/x', headers=headers, method='POST')
    block_part(world)
    assert sent_on(world.accept()) == b''
    assert status_of(caller) == 503


@pytest.mark.parametrize('waited_seconds', [0.25, 2.0])
def test_weights_that_become_due_while_a_call_waits_to_connect_keep_it_off_older_ones(
    waited_seconds,
):
    world = make_world()
    world.summarize(revision=2, weights=[('m', 2, 5.7)])
    begin_call(world)
    world.register(2, version=2)
    world.reactor.advance(waited_seconds)
    assert sent_on(world.accept()) == b''
    sent = sent_on(world.accept())
    assert b'Expect-Instance: i-2' in sent
    assert b'Expect-Version: 2' in sent


def test_version_that_became_due_while_a_call_waited_to_connect_is_expected_of_the_engine():
    world = make_world()
    world.register(1, version=2, sequence=2)
    world.summarize(revision=2, weights=[('m', 2, 5.7)])
    begin_call(world)
    world.reactor.advance(0.25)
    assert b'Expect-Version: 2' in sent_on(world.accept())


def test_time_spent_on_connecting_is_not_given_to_the_engine():
    world = make_world()
    begin_call(world)
    world.reactor.advance(0.25)
    assert b'Request-Deadline: 5750\r\n' in sent_on(world.accept())


def test_call_that_has_run_goes_on_though_its_key_was_withdrawn():
    world = make_world(upstreams=2)
    caller = begin_call(world)
    answer(world.accept(), 500)
    withdraw_key(world)
    body = b'id: 1\ndata: x\n\n'
    answer(world.accept(), body=body, headers='Weight-Versions: 1\r\n')
    assert status_of(caller) == 200


def test_withdrawal_sends_a_call_to_another_upstream_that_may_still_run_it():
    world = make_world(upstreams=2)
    begin_call(world)
    address = world.reactor.pending_connects[0][0]
    number = int(address.split('.')[3].split(':')[0])
    world.report(number, running=0, switching=True)
    assert sent_on(world.accept()) == b''
    assert b'Expect-Instance: i-%d' % (3 - number) in sent_on(world.accept())


@pytest.mark.parametrize('withdraw', [*WITHDRAWALS, block_part])
@pytest.mark.parametrize('route', [STREAM, replace(STREAM, resumable=False)])
def test_call_that_was_sent_to_a_silent_engine_is_never_refused_as_not_run(withdraw, route):
    world = make_world(route=route)
    headers = 'Prompt-Prefix: part:10,own:5\r\n'
    caller = world.call('/stream/x', headers=STREAM_HEADERS + KEY + headers, method='POST')
    assert sent_on(world.accept())
    withdraw(world)
    for _ in range(35):
        world.reactor.advance(0.2)
    assert status_of(caller) in {502, 504}
