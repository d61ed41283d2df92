"""What control hosts send about announced weights."""

from jackdawsail import events
from jackdawsail.group import calls
from jackdawsail.site.announcements import WEIGHTS_ANNOUNCED
from test.group.test_call_handler import Host


def test_the_log_shows_when_a_host_first_sees_announced_weights(monkeypatch):
    lines = []
    monkeypatch.setattr(events, 'log', lambda kind, **fields: lines.append((kind, fields)))
    host = Host()
    host.ask(calls.AnnounceWeights('m', 2))
    host.ask(calls.SetZoneEmptied('z', emptied=True))
    announced = [fields for kind, fields in lines if kind is WEIGHTS_ANNOUNCED]
    assert [(line['version'], line['source']) for line in announced] == [(2, 'replicated state')]
