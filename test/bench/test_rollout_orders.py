"""Pauses, resumes, aborts and rolls back a release during its rollout, with real processes."""

import time

import pytest

from bench.harness.fleet import running_fleet
from bench.harness.plan import MEBIBYTE, Deployment
from bench.harness.releases import (
    create_release,
    engines_serving,
    require_accepted,
    start_release,
    wait_engines_serving,
)
from bench.harness.waiting import wait_until

MODEL_BYTES = 4 * MEBIBYTE
LINK_BITS_PER_SECOND = 20_000_000
SETTLE_SECONDS = 2.0
PAUSED_SECONDS = 1.5


@pytest.fixture
def fleet():
    weights = {
        'inter_region_bits_per_second': LINK_BITS_PER_SECOND,
        'origin_bits_per_second': LINK_BITS_PER_SECOND,
    }
    with running_fleet(Deployment(weights=weights)) as started:
        started.wait_leader()
        wait_until(lambda: 'critique-models' in status_text(started), 20, 'settings')
        create_release(started, 'one', MEBIBYTE)
        start_release(started, 'one')
        wait_engines_serving(started, 'one')
        wait_status(started, 'one', 'done')
        create_release(started, 'two', MODEL_BYTES)
        start_release(started, 'two')
        wait_until(lambda: fetched_bytes(started) > 0, 20, 'the rollout starts')
        yield started


def status_text(fleet):
    return fleet.admin('GET', '/v1/status').body.decode()


def fetched_bytes(fleet):
    counts = fleet.get_from_fake('origin', '/admin/counts')
    return counts.get('bytes_by_path', {}).get('/two.bin', 0)


def wait_status(fleet, name, status):
    def has_status():
        items = fleet.admin('GET', '/v1/releases').content['items']
        return any(item['name'] == name and item['status'] == status for item in items)

    wait_until(has_status, 30, f'{name} is {status}')


@pytest.mark.slow
def test_paused_rollout_stops_fetching_and_resumes(fleet):
    require_accepted(fleet.command('release-pause', name='two'))
    time.sleep(SETTLE_SECONDS)
    paused_bytes = fetched_bytes(fleet)
    time.sleep(PAUSED_SECONDS)
    assert fetched_bytes(fleet) == paused_bytes < 3 * MODEL_BYTES
    assert len(engines_serving(fleet, 'one')) == 3
    require_accepted(fleet.command('release-resume', name='two'))
    wait_engines_serving(fleet, 'two')
    assert fetched_bytes(fleet) <= 3.2 * MODEL_BYTES


@pytest.mark.slow
def test_aborted_rollout_keeps_old_release_and_finished_one_rolls_back(fleet):
    require_accepted(fleet.command('release-abort', name='two', reason='wrong model'))
    time.sleep(SETTLE_SECONDS)
    assert len(engines_serving(fleet, 'one')) == 3
    start_release(fleet, 'two')
    wait_engines_serving(fleet, 'two')
    wait_status(fleet, 'two', 'done')
    before = fleet.get_from_fake('origin', '/admin/counts')['bytes']
    require_accepted(fleet.command('release-abort', name='two', reason='worse'))
    wait_engines_serving(fleet, 'one')
    assert fleet.get_from_fake('origin', '/admin/counts')['bytes'] == before
