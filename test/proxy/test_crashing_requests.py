"""Requests that crash engines stop to reach them; sound requests go on."""

import pytest

from test.proxy.crash_site import CrashSite, PlainRequest

STABLE_SECONDS = 3.0  # after the third end; by then every entry must know the request
MAX_SENDS_AFTER = 3
LOOKUP = PlainRequest('/lookup/bad', body='x')
BOOKING = PlainRequest('/booking/bad', body='x')
STREAM = PlainRequest('/stream/bad', body='x')


def sends_after_third_end(site, request):
    """Returns the sends of a request later than STABLE_SECONDS after the third end."""
    third_seconds = sorted(site.ended_seconds)[2]
    sent = site.sends_of((request.path, request.body))
    return [seconds for seconds in sent if seconds > third_seconds + STABLE_SECONDS]


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'request_', [LOOKUP, BOOKING, STREAM], ids=['lookup', 'booking', 'stream']
)
def test_request_that_crashes_engines_does_not_end_engine_after_engine(request_, seed):
    site = CrashSite(seed, plain_engines=3)
    site.offer_requests(2)
    site.offer_requests(16, [request_])
    assert len(sends_after_third_end(site, request_)) <= MAX_SENDS_AFTER
    start = len(site.callers)
    site.offer_requests(4)
    site.run(1)
    statuses = [status for status in site.all_statuses(start) if status is not None]
    assert statuses.count(200) == len(statuses)
