"""An agent dispatches no work without a lease, or while its host or zone is out of service."""

import pytest

from jackdawsail.agent.service_permit import GateState, ServicePermit
from jackdawsail.membership.leases import Lease
from jackdawsail.wire.identity import Identity, Role


class Replica:
    """A replica with the modes of zones and hosts only."""

    def __init__(self, **modes):
        self.modes = modes

    def get(self, kind, name):
        mode = self.modes.get(f'{kind}_{name}')
        return {'mode': mode} if mode else None


def make_permit(lease_seconds=2.5, closed_reason='', **modes):
    lease = Lease()
    lease.record_reply(lease.record_request(10.0), lease_seconds, 1)
    identity = Identity(Role.agent, 'h', 'z', 'r', 1)
    return ServicePermit(identity, lease, Replica(**modes), GateState(closed_reason))


def test_work_is_dispatched_under_a_live_lease_with_an_open_gate():
    assert make_permit().blocked_reason(12.0) == ''


def test_no_work_is_dispatched_after_the_lease_has_lapsed():
    assert make_permit().blocked_reason(12.6) == 'no-lease'
    assert make_permit(lease_seconds=0).blocked_reason(10.0) == 'no-lease'


@pytest.mark.parametrize('out', ['zone_z', 'host_h'])
def test_no_work_is_dispatched_while_the_host_or_its_data_centre_is_out(out):
    assert make_permit(**{out: 'out'}).blocked_reason(11.0) == 'out-of-service'
    assert make_permit(**{out: 'in'}).blocked_reason(11.0) == ''


def test_no_work_is_dispatched_with_a_closed_gate_or_while_leaving():
    assert make_permit(closed_reason='loading').blocked_reason(11.0) == 'loading'
    leaving = make_permit()
    leaving.leaving = True
    assert leaving.blocked_reason(11.0) == 'leaving'
