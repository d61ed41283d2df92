"""A request that is pinned to a release accepts only a grant of that release."""

import pytest

from jackdawsail.routing.dispatch_effects import RequestSpec, SendTo
from jackdawsail.routing.request_dispatch import RequestDispatch
from jackdawsail.wire.work_messages import CancelReserve, Granted, Priority, Reserve, Work


def make_dispatch(release):
    spec = RequestSpec(
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
    dispatch = RequestDispatch(spec)
    dispatch.start()
    effects = dispatch.offer_candidates(['a1'], 0)
    attempt_id = next(
        effect.message.attempt_id for effect in effects if isinstance(effect.message, Reserve)
    )
    return dispatch, attempt_id


def sent_types(effects):
    return [type(effect.message) for effect in effects if isinstance(effect, SendTo)]


@pytest.mark.parametrize('pinned', ['', 'r1'])
def test_a_grant_of_the_pinned_release_is_bound(pinned):
    dispatch, attempt_id = make_dispatch(pinned)
    assert Work in sent_types(dispatch.handle_grant(Granted(attempt_id, 1, 1, 'r1', 1.0), 0))


def test_a_grant_of_another_release_is_cancelled_and_gets_no_work():
    dispatch, attempt_id = make_dispatch('r1')
    messages = sent_types(dispatch.handle_grant(Granted(attempt_id, 1, 1, 'r2', 1.0), 0))
    assert CancelReserve in messages
    assert Work not in messages
