"""Which ages of announced weights the leader stores, and when."""

import pytest

from jackdawsail import events
from jackdawsail.group import calls
from jackdawsail.group.weight_ages import (
    AGE_STEP_SECONDS,
    WEIGHT_AGES_NOT_STORED,
    WeightAges,
    ages_to_store,
)
from jackdawsail.routing.weight_rules import LAST_SEND_MARGIN_SECONDS, weight_rule
from jackdawsail.site.announcements import WeightTarget
from jackdawsail.site.stored_weights import StoredWeights
from jackdawsail.wire.site_messages import SiteSummary
from test.group.test_call_handler import Host

WITHIN_SECONDS = 8.0
DUE_AGE_SECONDS = WITHIN_SECONDS - LAST_SEND_MARGIN_SECONDS


def needed(stored, now_seconds, **announced_seconds):
    """Returns what is stored of versions ``v2``, ``v3`` that were announced at the given times."""
    targets = [WeightTarget(int(name[1:]), seconds) for name, seconds in announced_seconds.items()]
    return ages_to_store(stored, {'m': tuple(targets)}, WITHIN_SECONDS, now_seconds)


def test_an_age_is_stored_in_steps():
    stored = [StoredWeights('m', 2, 0)]
    assert needed(stored, 0.9, v2=0.0) == []
    assert needed(stored, AGE_STEP_SECONDS, v2=0.0) == [StoredWeights('m', 2, AGE_STEP_SECONDS)]


@pytest.mark.parametrize('stored_seconds', [0, DUE_AGE_SECONDS - 0.1])
def test_a_version_is_stored_as_due_when_entries_send_no_more_calls_to_older_ones(stored_seconds):
    stored = [StoredWeights('m', 2, stored_seconds)]
    [due] = needed(stored, DUE_AGE_SECONDS, v2=0.0)
    targets = [WeightTarget(2, 20.0 - due.age_seconds)]
    assert weight_rule('m', targets, WITHIN_SECONDS, 20.0).least_version == 2


def test_a_due_version_is_not_stored_again():
    assert needed([StoredWeights('m', 2, DUE_AGE_SECONDS)], 60.0, v2=0.0) == []


def test_older_versions_are_dropped_once_a_newer_one_is_due():
    stored = [StoredWeights('m', 2, DUE_AGE_SECONDS), StoredWeights('m', 3, 3.0)]
    assert needed(stored, DUE_AGE_SECONDS + 3.0, v2=0.0, v3=3.0) == [
        StoredWeights('m', 3, DUE_AGE_SECONDS)
    ]
    assert needed(stored, DUE_AGE_SECONDS + 2.0, v2=0.0, v3=3.0)[0].version == 2


def test_weights_without_an_age_are_stored_with_the_age_that_they_count_as():
    assert needed([StoredWeights('m', 2)], 60.0, v2=0.0) == [StoredWeights('m', 2, 60.0)]


class Leader(Host):
    """A control host that stores ages."""

    def __init__(self):
        super().__init__()
        self.ages = WeightAges(self.clock, self.replicator, self.fanout)


@pytest.mark.parametrize(('leads', 'age_seconds'), [(True, 3.0), (False, 0)])
def test_only_the_leader_stores_ages(leads, age_seconds):
    host = Leader()
    host.ask(calls.AnnounceWeights('m', 2))
    host.replicator.leads = leads
    host.clock.advance(3.0)
    host.ages.update(WITHIN_SECONDS)
    assert host.machine.state.weights == (StoredWeights('m', 2, age_seconds),)


def test_ages_that_were_not_confirmed_are_proposed_again(monkeypatch):
    lines = []
    monkeypatch.setattr(events, 'log', lambda kind, **fields: lines.append(kind))
    leader = Leader()
    leader.ask(calls.AnnounceWeights('m', 2))
    leader.replicator.lost = True
    leader.clock.advance(3.0)
    leader.ages.update(WITHIN_SECONDS)
    assert lines[-1] is WEIGHT_AGES_NOT_STORED
    leader.replicator.lost = False
    leader.clock.advance(0.5)
    leader.ages.update(WITHIN_SECONDS)
    assert leader.machine.state.weights == (StoredWeights('m', 2, 3.5),)


def test_stored_ages_are_not_sent_as_a_change_to_every_process():
    leader = Leader()
    leader.ask(calls.AnnounceWeights('m', 2))
    link, revision = leader.link(), leader.machine.state.revision
    sent = len(link.sent_of(SiteSummary))
    leader.clock.advance(3.0)
    leader.ages.update(WITHIN_SECONDS)
    assert leader.machine.state.weights == (StoredWeights('m', 2, 3.0),)
    assert (leader.machine.state.revision, len(link.sent_of(SiteSummary))) == (revision, sent)
