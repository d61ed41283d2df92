"""How long overdue weights and their ages are kept: by control hosts, and in the stored state."""

import cbor2
import pytest

from jackdawsail import events
from jackdawsail.group.weight_ages import WEIGHT_AGES_STORED
from jackdawsail.site.machine import announce_weights
from test.group.control_group import ControlGroup
from test.group.test_weight_ages import Leader

WITHIN_SECONDS = 8.0


@pytest.mark.parametrize('age_seconds', [20.0, 61.0])
@pytest.mark.parametrize('restarts_one', [False, True])
def test_overdue_version_is_told_until_a_newer_one_is_due(age_seconds, restarts_one):
    group = ControlGroup(WITHIN_SECONDS)
    group.commit(announce_weights('m', 2))
    group.run(age_seconds)
    group.commit(announce_weights('m', 3))
    group.run(1)
    if restarts_one:
        name = group.follower()
        group.hosts[name].kill()
        group.run(0.2)
        group.start(name, 7)
        group.run(1)
    entry = group.start_entry()
    assert entry.least_version(WITHIN_SECONDS) >= 2


def test_overdue_version_of_an_earlier_release_is_told_until_a_newer_one_is_due():
    group = ControlGroup(WITHIN_SECONDS)
    group.commit(cbor2.dumps(['weights', 'm', 2]))
    group.restart_all()
    group.run(4)
    group.commit(announce_weights('m', 3))
    group.run(1)
    entry = group.start_entry()
    assert entry.least_version(WITHIN_SECONDS) >= 2


def test_stored_ages_are_logged_beside_a_version_without_an_age(monkeypatch):
    lines = []
    failures = []
    monkeypatch.setattr(events, 'log', lambda kind, **fields: lines.append(kind))
    monkeypatch.setattr(events, 'log_failure', failures.append)
    leader = Leader()
    leader.machine.apply(1, cbor2.dumps(['weights', 'm', 2]))
    leader.machine.apply(2, announce_weights('m', 3))
    leader.clock.advance(1.5)
    leader.ages.update(WITHIN_SECONDS)
    assert not failures
    assert lines[-1] is WEIGHT_AGES_STORED


def test_version_of_an_earlier_release_is_overdue_with_a_long_limit():
    within_seconds = 90.0
    group = ControlGroup(within_seconds)
    group.commit(cbor2.dumps(['weights', 'm', 2]))
    group.restart_all()
    assert group.start_entry().least_version(within_seconds) == 2


def test_older_version_with_a_long_limit_of_its_own_is_told_until_a_newer_one_is_due():
    within_seconds = 90.0
    group = ControlGroup(within_seconds)
    group.commit(announce_weights('m', 2))
    group.run(50)
    group.commit(announce_weights('m', 3))
    group.run(within_seconds - 50)
    assert group.start_entry().least_version(within_seconds) == 2


def test_overdue_version_stays_overdue_after_a_restart_with_a_longer_limit():
    group = ControlGroup(WITHIN_SECONDS)
    group.commit(announce_weights('m', 2))
    group.run(40)
    group.within_seconds = 20.0
    group.restart_all()
    entry = group.start_entry()
    group.run(3)
    assert entry.least_version(group.within_seconds) == 2


@pytest.mark.parametrize('within_seconds', [2.0, WITHIN_SECONDS])
def test_due_versions_do_not_accumulate_in_the_state(within_seconds):
    group = ControlGroup(within_seconds)
    for version in range(2, 7):
        group.commit(announce_weights('m', version))
        group.run(within_seconds + 1)
    held = group.machines['a'].state.weights
    assert [each.version for each in held] == [6]
