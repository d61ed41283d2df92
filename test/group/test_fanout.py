"""What control hosts send about announced weights."""

import pytest

from jackdawsail import events
from jackdawsail.group import calls
from jackdawsail.site.announcements import WEIGHTS_ANNOUNCED
from jackdawsail.site.view import SiteView
from jackdawsail.wire.identity import Role
from jackdawsail.wire.site_messages import AnnouncedWeights, Registrations, SiteSummary
from test.group.test_call_handler import Host
from test.group.test_weight_ages import DUE_AGE_SECONDS, WITHIN_SECONDS, Leader


def test_the_log_shows_when_a_host_first_sees_announced_weights(monkeypatch):
    lines = []
    monkeypatch.setattr(events, 'log', lambda kind, **fields: lines.append((kind, fields)))
    host = Host()
    host.ask(calls.AnnounceWeights('m', 2))
    host.ask(calls.SetZoneEmptied('z', emptied=True))
    announced = [fields for kind, fields in lines if kind is WEIGHTS_ANNOUNCED]
    assert [(line['version'], line['source']) for line in announced] == [(2, 'replicated state')]


def restarted(host):
    """Returns a control host that starts from the snapshot of another one."""
    started = Host(host.clock)
    started.machine.restore(host.machine.snapshot())
    return started


def test_a_version_that_a_snapshot_lacks_is_learned_from_another_control_host():
    host, view = Host(), SiteView()
    host.ask(calls.AnnounceWeights('m', 2))
    host.clock.advance(3)
    host.ask(calls.AnnounceWeights('m', 3))
    host.clock.advance(2)
    for each in (restarted(host), host):
        [summary] = each.link().sent_of(SiteSummary)
        view.apply_summary(summary, host.clock.seconds())
    targets = {target.version: target.announced_seconds for target in view.weights['m']}
    assert targets == {2: 0.0, 3: 3.0}


def connect(first, second):
    """Opens a link between two control hosts, and delivers what each sends on it at first."""
    sides = [(first, first.link(Role.control, 'c2')), (second, second.link(Role.control, 'c1'))]
    for (_sender, sent_on), (receiver, received_on) in (sides, sides[::-1]):
        for message in sent_on.sent_of(Registrations):
            receiver.router.link_received(received_on, message)


@pytest.mark.parametrize('is_restored_first', [True, False])
def test_a_restarted_control_host_does_not_tell_a_later_time_than_the_others(is_restored_first):
    host = Host()
    host.ask(calls.AnnounceWeights('m', 2))
    host.clock.advance(3)
    host.ask(calls.AnnounceWeights('m', 3))
    host.clock.advance(2)
    started = restarted(host) if is_restored_first else Host(host.clock)
    connect(started, host)
    started.machine.restore(host.machine.snapshot())
    host.clock.advance(1)
    for each in (started, host):
        announced = each.link().sent_of(SiteSummary)[0].weights
        assert {weights.version: weights.age_seconds for weights in announced} == {2: 6.0, 3: 3.0}


def test_a_control_host_forgets_an_older_version_after_its_changeover():
    host = Leader()
    host.ask(calls.AnnounceWeights('m', 2))
    host.ask(calls.AnnounceWeights('m', 3))
    host.clock.advance(DUE_AGE_SECONDS)
    host.ages.update(WITHIN_SECONDS)
    announced = host.link().sent_of(SiteSummary)[0].weights
    assert [weights.version for weights in announced] == [3]


def test_a_version_that_the_leader_has_dropped_is_not_announced_again(monkeypatch):
    host = Leader()
    host.ask(calls.AnnounceWeights('m', 3))
    lines = []
    monkeypatch.setattr(events, 'log', lambda kind, **fields: lines.append(kind))
    told = Registrations([], [AnnouncedWeights('m', 2, 50.0)])
    host.router.link_received(host.link(), told)
    assert WEIGHTS_ANNOUNCED not in lines
