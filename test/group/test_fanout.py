"""What control hosts send about announced weights."""

from jackdawsail import events
from jackdawsail.group import calls
from jackdawsail.site.announcements import WEIGHTS_ANNOUNCED
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import SiteSummary
from test.group.test_call_handler import Host


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
