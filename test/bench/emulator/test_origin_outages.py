"""Weights reach all engines soon after an outage of their origin, each byte about once."""

import hashlib
from collections import defaultdict

import pytest

from bench.emulator.origin_outages import make_outage
from bench.emulator.staging_hosts import Fetch
from bench.emulator.staging_play import SCENARIOS, StagingPlay

ORIGIN_COPIES = 1.2
BOUND_RATIO = 1.25


@pytest.mark.parametrize(
    ('outage_seconds', 'tenth', 'versions'), [(6, 5, 1), (12, 5, 1), (6, 9, 2)]
)
def test_outage_of_the_origin_costs_little_more_than_its_time(outage_seconds, tenth, versions):
    figures = StagingPlay(make_outage(outage_seconds, tenth, versions)).run()
    assert figures.staged_seconds[-1] <= BOUND_RATIO * figures.bound_seconds
    assert figures.origin_copies <= ORIGIN_COPIES


# Of the requests of each process, in order, with the code before outages were handled (4cf94bf).
REQUESTS_WITHOUT_FAULT = 'd87aea1e4d0c3629bc9a587717d58fc7ec267adf27887ec0fd58b6888c567006'


def test_order_of_pieces_and_sources_is_as_before_while_nothing_fails(monkeypatch):
    requests = defaultdict(list)
    start = Fetch.start

    def record(fetch, request):
        requests[fetch.own.address].append((fetch.address, request.target.decode()))
        return start(fetch, request)

    monkeypatch.setattr(Fetch, 'start', record)
    StagingPlay(SCENARIOS[0]).run()
    digest = hashlib.sha256(repr(sorted(requests.items())).encode()).hexdigest()
    assert digest == REQUESTS_WITHOUT_FAULT
