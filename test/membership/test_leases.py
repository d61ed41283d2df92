"""A holder's lease never outlives the granter's, and ends at once on a newer refusal."""

from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsail.membership.leases import Lease
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.membership_messages import (
    Announce,
    Heartbeat,
    UpstreamKind,
    UpstreamLoad,
    UpstreamState,
)

LEASE_SECONDS = 2.5
DELAYS = st.lists(st.tuples(st.floats(0, 10), st.floats(0, 10)), min_size=1, max_size=30)


@settings(max_examples=200, derandomize=True)
@given(DELAYS)
def test_late_and_reordered_replies_never_extend_the_lease(delays):
    lease, granted_until, replies, now = Lease(), 0.0, [], 0.0
    for number, (request_delay, reply_delay) in enumerate(delays, 1):
        now += 0.5
        sequence = lease.record_request(now)
        granted_at = now + request_delay
        replies.append((granted_at + reply_delay, sequence, number, granted_at))
    for arrives, sequence, number, granted_at in sorted(replies):
        granted_until = max(granted_until, granted_at + LEASE_SECONDS)
        lease.record_reply(sequence, LEASE_SECONDS, number)
        assert arrives + lease.remaining_seconds(arrives) <= max(arrives, granted_until)


def test_zone_taken_out_ends_the_lease_at_once():
    lease = Lease()
    lease.record_reply(lease.record_request(0.0), 2.5, 10)
    assert lease.is_live(1.0)
    # An entry that has only lost its own lease sends an old number.
    lease.record_reply(lease.record_request(1.0), 0, 10)
    assert lease.is_live(1.1)
    lease.record_reply(lease.record_request(1.2), 0, 11)
    assert not lease.is_live(1.2)
    # A late grant from before the zone was taken out changes nothing.
    lease.record_reply(lease.record_request(1.3), 2.5, 9)
    assert not lease.is_live(1.3)


def agent(incarnation):
    return Identity(Role.agent, 'a1', 'z', 'r', incarnation)


def beat(state=UpstreamState.serving):
    return Heartbeat(1, UpstreamLoad(state, 'r1', 1, 0, 8, 0, 0.0), 5)


ANNOUNCE = Announce(UpstreamKind.engine, 'b', '', 8, True)


def test_previous_incarnation_of_an_agent_is_ignored():
    table = ZoneTable()
    table.record_announce(agent(1), ANNOUNCE, 0.0)
    table.record_announce(agent(2), ANNOUNCE, 1.0)
    assert not table.record_heartbeat(agent(1), beat(), 1.0)
    table.remove(agent(1), 1.0)
    assert table.record_heartbeat(agent(2), beat(), 1.0)
    assert [record.name for record in table.serving_agents('b', 1.1)] == ['a1']


def test_silent_leaving_and_flapping_agents_get_no_new_work():
    table = ZoneTable()
    table.record_announce(agent(1), ANNOUNCE, 0.0)
    table.record_heartbeat(agent(1), beat(), 0.0)
    assert table.serving_agents('b', 2.9)
    assert not table.serving_agents('b', 3.1)
    for run in range(2, 6):
        table.record_announce(agent(run), ANNOUNCE, 4.0)
    table.record_heartbeat(agent(5), beat(), 4.0)
    assert not table.serving_agents('b', 4.0)
    table.record_heartbeat(agent(5), beat(), 40.0)
    assert table.serving_agents('b', 40.0)
    table.record_leaving(agent(5))
    assert not table.serving_agents('b', 40.0)
