"""Faults of an origin and their handling; budgets, pacing and placement of chunks."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsail.weights.origin import OriginFetch, ResponseHead, parse_retry_after
from jackdawsail.weights.origin_budget import ORIGIN_COPIES_MAX, OriginBudget
from jackdawsail.weights.pacing import SHARE_MIN, TARGET_QUEUE_SECONDS, DelayPacer, TokenBucket
from jackdawsail.weights.placement import parent_zone, rank_zones
from jackdawsail.wire.weight_messages import FetchOutcome
from test.weights.zone_sim import CHUNK_BYTES, make_manifest

MANIFEST = make_manifest(4)
GOOD = ResponseHead(206, '"v1"', f'bytes {CHUNK_BYTES}-{2 * CHUNK_BYTES - 1}/{4 * CHUNK_BYTES}', 0)


def head(status=206, etag='"v1"', content_range=GOOD.content_range, retry_after_seconds=0):
    return ResponseHead(status, etag, content_range, retry_after_seconds)


def test_cut_fetch_resumes_where_it_stopped():
    fetch = OriginFetch(MANIFEST, 1, '')
    assert fetch.request_headers() == {'Range': 'bytes=1000-1999'}
    assert fetch.check_head(GOOD) is None
    fetch.add_bytes(bytes([1]) * 400)
    assert fetch.request_headers() == {
        'Range': 'bytes=1400-1999',
        'If-Match': '"v1"',
        'If-Range': '"v1"',
    }
    assert fetch.check_head(head(content_range='bytes 1400-1999/4000')) is None
    fetch.add_bytes(bytes([1]) * 600)
    assert fetch.check_body() is None
    assert fetch.drawn_bytes == CHUNK_BYTES


@pytest.mark.parametrize(
    ('answer', 'outcome'),
    [
        (head(status=429, retry_after_seconds=7), FetchOutcome.busy),
        (head(status=503), FetchOutcome.busy),
        (head(status=500), FetchOutcome.failed),
        (head(status=412), FetchOutcome.changed),
        (head(status=200), FetchOutcome.changed),
        (head(status=404), FetchOutcome.changed),
        (head(etag='"v2"'), FetchOutcome.changed),
        (head(content_range='bytes 1000-1999/9999'), FetchOutcome.changed),
        (head(content_range='bytes 0-999/4000'), FetchOutcome.failed),
        (head(content_range=''), FetchOutcome.failed),
    ],
)
def test_head_with_a_fault_ends_the_fetch(answer, outcome):
    end = OriginFetch(MANIFEST, 1, '"v1"').check_head(answer)
    assert end.outcome is outcome
    assert end.retry_after_seconds == answer.retry_after_seconds


def test_wrong_or_excess_bytes_are_detected():
    fetch = OriginFetch(MANIFEST, 1, '')
    assert fetch.add_bytes(b'x' * CHUNK_BYTES)
    assert fetch.check_body().outcome is FetchOutcome.corrupt
    assert not fetch.add_bytes(b'x')


def test_retry_after_delays_the_next_fetch():
    budget = OriginBudget(1000, 3, random.Random(1))
    budget.pause(parse_retry_after('7'), 100)
    assert not budget.allows(100, 106.9)
    assert budget.allows(100, 107.1)
    assert parse_retry_after('Thu, 03 Dec 2026') == 0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 400), st.integers(0, 400)), max_size=40))
def test_byte_budget_is_never_exceeded(fetches):
    budget = OriginBudget(1000, 3, random.Random(1))
    drawn_bytes = 0
    for now, (length_bytes, part_bytes) in enumerate(fetches):
        if budget.allows(length_bytes, now):
            budget.reserve(length_bytes)
            drawn_bytes += min(part_bytes, length_bytes)
            budget.settle(length_bytes, min(part_bytes, length_bytes))
    assert drawn_bytes <= ORIGIN_COPIES_MAX * 1000 / 3


def test_pacer_yields_to_delay_and_recovers():
    pacer = DelayPacer()
    for _ in range(10):
        pacer.record_delay(0.01)
    assert pacer.allowed_bits_per_second(1000, 0) == 1000
    for _ in range(40):
        pacer.record_delay(0.01 + 4 * TARGET_QUEUE_SECONDS)
    assert pacer.share == SHARE_MIN
    for _ in range(40):
        pacer.record_delay(0.01)
    assert pacer.allowed_bits_per_second(1000, 400) == 600


def test_token_bucket_keeps_the_rate():
    bucket = TokenBucket(1000, 100, 0)
    now = 0
    for _ in range(50):
        now += bucket.take(100, now)
    assert now == pytest.approx(49 * 0.1)


def test_every_zone_descends_from_the_origin_and_trees_differ():
    zones = [f'zone-{number}' for number in range(12)]
    shapes = set()
    for chunk in range(20):
        ranked = rank_zones(str(chunk), zones)
        parents = {zone: parent_zone(ranked, zone, 3) for zone in zones}
        assert sum(not parent for parent in parents.values()) == 3
        children = [parent for parent in parents.values() if parent]
        assert max(children.count(zone) for zone in zones) <= 2
        for zone in zones:
            while zone:
                zone = parents[zone]
        shapes.add(tuple(ranked))
    assert len(shapes) == 20
