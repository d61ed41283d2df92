"""What entries that start after a restart of all control hosts may still send to old weights.

The rule's own bound: no call begins on an older version ``within_seconds`` after a newer one was
acknowledged, if the core was stable for that long, by entries that have been in touch for the
stability window.
"""

import cbor2
import pytest

from jackdawsail.control.raft_replicator import SAVE_COMMIT_INTERVAL_SECONDS
from jackdawsail.group.program import SUMMARY_INTERVAL_SECONDS
from jackdawsail.site.machine import announce_weights, set_zone_emptied
from test.group.control_group import STEP_SECONDS, ControlGroup, Entry

STABILITY_WINDOW_SECONDS = 3.0
CHECKED_SECONDS = 12.0  # longer than a limit that is counted from the restart
OUTAGE_SECONDS = 0.2
COMMIT_SECONDS = 0.1
# Ages are stored at one interval, and a start reads what was known as committed at another one.
MAX_SET_BACK_SECONDS = (
    SUMMARY_INTERVAL_SECONDS + COMMIT_SECONDS + SAVE_COMMIT_INTERVAL_SECONDS + OUTAGE_SECONDS
)
BOUNDS = pytest.mark.parametrize('within_seconds', [8.0, 10.0])


def run_past_limit(group, within_seconds, beyond_seconds):
    """Announces version 2 of ``m`` and waits until its limit has passed by a time."""
    group.commit(announce_weights('m', 2))
    group.run(within_seconds + beyond_seconds)


def known_weights(group, name):
    """Returns what an entry knows that has heard only one control host."""
    entry = Entry(group.clock)
    entry.link_to(group.hosts[name])
    return entry.view.weights


def assert_never_allows_old_weights(group, entry, within_seconds):
    """Asserts that the entry sends no call to version 1 once it counts as in touch."""
    group.run(STABILITY_WINDOW_SECONDS)
    for _ in range(round(CHECKED_SECONDS / STEP_SECONDS)):
        assert entry.least_version(within_seconds) >= 2
        group.run(STEP_SECONDS)


@BOUNDS
@pytest.mark.parametrize('beyond_seconds', [0.7, 10.0])
@pytest.mark.parametrize('outage_seconds', [OUTAGE_SECONDS, 1.8])
def test_entry_started_after_all_control_hosts_allows_no_overdue_weights(
    within_seconds, beyond_seconds, outage_seconds
):
    group = ControlGroup(within_seconds)
    run_past_limit(group, within_seconds, beyond_seconds)
    group.restart_all(outage_seconds)
    entry = group.start_entry()
    assert_never_allows_old_weights(group, entry, within_seconds)


@BOUNDS
def test_entry_allows_no_overdue_weights_though_one_control_host_is_behind(within_seconds):
    group = ControlGroup(within_seconds)
    behind = group.follower()
    with group.lagging(behind):
        run_past_limit(group, within_seconds, beyond_seconds=0.7)
        group.restart_all()
        assert not known_weights(group, behind)
        entry = group.start_entry()
    assert_never_allows_old_weights(group, entry, within_seconds)


@BOUNDS
def test_overdue_weights_stay_overdue_in_a_snapshot(within_seconds):
    group = ControlGroup(within_seconds, snapshot_every=10)
    run_past_limit(group, within_seconds, beyond_seconds=0.7)
    for number in range(20):
        group.commit(set_zone_emptied('z', emptied=number % 2 == 0))
    group.restart_all()
    assert group.replicators['a'].status()['snapshot_index'] >= 10
    entry = group.start_entry()
    assert_never_allows_old_weights(group, entry, within_seconds)


@BOUNDS
def test_overdue_version_stays_overdue_after_a_newer_one_was_announced(within_seconds):
    group = ControlGroup(within_seconds)
    group.commit(announce_weights('m', 2))
    group.run(3)
    group.commit(announce_weights('m', 3))
    group.run(within_seconds - 3 + 0.7)
    group.restart_all()
    entry = group.start_entry()
    assert_never_allows_old_weights(group, entry, within_seconds)


@BOUNDS
def test_weights_from_the_log_of_an_earlier_release_are_overdue_at_a_start(within_seconds):
    group = ControlGroup(within_seconds)
    group.commit(cbor2.dumps(['weights', 'm', 2]))
    group.restart_all()
    entry = group.start_entry()
    assert entry.least_version(within_seconds) == 2


@BOUNDS
@pytest.mark.parametrize('run_seconds', [0.1, 3.3])
def test_restart_early_in_a_changeover_neither_ends_nor_restarts_its_time(
    within_seconds, run_seconds
):
    group = ControlGroup(within_seconds)
    announced_seconds = group.clock.seconds()
    group.commit(announce_weights('m', 2))
    group.run(run_seconds)
    group.restart_all(OUTAGE_SECONDS)
    entry = group.start_entry()
    assert entry.least_version(within_seconds) == 0
    [target] = entry.view.weights['m']
    assert announced_seconds <= target.announced_seconds
    assert target.announced_seconds <= announced_seconds + MAX_SET_BACK_SECONDS
