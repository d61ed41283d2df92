"""A request that is pinned to a release accepts only a grant of that release."""

import pytest

from jackdawsail.routing.desk import Desk
from jackdawsail.routing.orders import Order, SendTo
from jackdawsail.wire.work_messages import CancelReserve, Granted, Priority, Reserve, Work


def make_desk(release):
    order = Order(
        request_id='q',
        customer='c',
        backend='b',
        tokens_estimate=1,
        priority=Priority.live,
        deadline_seconds=30,
        method='POST',
        path='/',
        content_type='',
        body=b'',
        repeatable=False,
        resumable=True,
        release=release,
    )
    desk = Desk(order)
    desk.start()
    effects = desk.offer(['a1'], 0)
    attempt_id = next(
        one.message.attempt_id for one in effects if isinstance(one.message, Reserve)
    )
    return desk, attempt_id


def sent(effects):
    return [type(one.message) for one in effects if isinstance(one, SendTo)]


@pytest.mark.parametrize('pinned', ['', 'r1'])
def test_a_grant_of_the_pinned_release_is_bound(pinned):
    desk, attempt_id = make_desk(pinned)
    assert Work in sent(desk.granted(Granted(attempt_id, 1, 1, 'r1', 1.0), 0))


def test_a_grant_of_another_release_is_cancelled_and_gets_no_work():
    desk, attempt_id = make_desk('r1')
    messages = sent(desk.granted(Granted(attempt_id, 1, 1, 'r2', 1.0), 0))
    assert CancelReserve in messages
    assert Work not in messages
