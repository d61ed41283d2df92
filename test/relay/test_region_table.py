"""A relay between entries and a leader: shorter leases, one tracker, lost and late messages."""

import random

import cbor2
import pytest

from jackdawsail.control.relay_handler import RelayHandler
from jackdawsail.control.zone_leases import ZoneLeases, ZoneRule
from jackdawsail.relay.region_table import RegionTable
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.membership_messages import LeaseRequest

LEASE = 2.5


class Leader:
    """A fake LeaseHandler over real leases; its clock differs from the relay's."""

    def __init__(self):
        self.leases = ZoneLeases(LEASE)
        self.led_term, self.now, self.leading, self.in_service = 1, 0.0, True, True
        self.leases.become_leader(1, 0)
        self.sent = []

    def check_leadership(self):
        return self.leading

    def grant(self, identity, request):
        rule = ZoneRule(self.in_service, host_out=False)
        return self.leases.grant(request, identity, rule, self.now)


class RelayLink:
    """The leader's end of the link to the relay."""

    peer = Identity(Role.relay, 'r1', 'a', 'attica', 1)

    def __init__(self, sent):
        self.send = sent.append


class World:
    """One relay, its entries and a leader; ``now`` is the relay's clock."""

    def __init__(self, entries=3):
        self.leader, self.table = Leader(), RegionTable()
        self.handler = RelayHandler(self.leader)
        self.link = RelayLink(self.leader.sent)
        self.entries = [Identity(Role.entry, f'e{n}', 'a', 'attica', 1) for n in range(entries)]
        self.bytes = 0

    def ask(self, now, number=0, revision=7, lacking=0, leaving=False):
        entry = self.entries[number]
        request = LeaseRequest('a', int(now * 10), revision, lacking, 'c', 'l', leaving, {})
        return self.table.grant_lease(entry, request, now)

    def renew(self, now, deliver=True, hold_reply=False):
        frame = encode(self.table.make_request(7, now))
        self.bytes += len(frame)
        if not deliver:
            return
        self.leader.now = now + 1000
        self.handler.request(self.link, decode(frame).unwrap())
        if self.leader.sent and not hold_reply:
            self.take_reply(-1)

    def take_reply(self, position):
        self.table.apply_grant(self.leader.sent.pop(position), LEASE)

    def granted_until(self):
        return self.leader.leases.view('a', 0).lapses_in_seconds - 1000

    def round(self, now, **options):
        grants = [self.ask(now, number) for number in range(len(self.entries))]
        self.renew(now, **options)
        return grants


def test_entries_get_the_remaining_time_of_the_relays_lease():
    world = World()
    assert world.round(3) == [None, None, None]
    grants = world.round(3.5)
    assert [grant.lease_seconds for grant in grants] == [pytest.approx(2.0)] * 3
    assert world.ask(5.9).lease_seconds == pytest.approx(0.1)
    assert world.ask(6.1) is None


def test_region_has_one_tracker_and_zone_out_reaches_the_entries():
    world = World()
    for step in range(10):
        grants = world.round(3 + step / 2)
    assert sum(grant.is_tracker for grant in grants) == 1
    number = grants[0].number
    world.leader.in_service = False
    world.round(8)
    out = world.ask(8.1)
    assert (out.lease_seconds, out.number > number) == (0, True)


def test_new_leader_receives_full_reports_again():
    world = World()
    world.round(3)
    world.round(3.5)
    assert world.table.make_request(7, 3.6).fresh == []
    world.leader.led_term = 2
    world.round(4)
    world.round(4.5)
    assert set(world.leader.leases.entries) == {'e0', 'e1', 'e2'}
    assert world.ask(4.6).lease_seconds > 0


def test_lagging_entries_are_reported():
    world = World()
    world.round(3)
    world.ask(3.5, 1, revision=5)
    world.ask(3.5, 2, lacking=4)
    world.renew(3.5)
    last_requests = {name: view.last_request for name, view in world.leader.leases.entries.items()}
    assert [last_requests[f'e{n}'].in_force_revision for n in range(3)] == [7, 5, 7]
    assert last_requests['e2'].lacking_agents == 4


@pytest.mark.parametrize('seed', range(20))
def test_no_entry_holds_a_lease_longer_than_the_leader_granted(seed):
    rng, world = random.Random(seed), World()
    now = 3.0
    for _ in range(200):
        now += rng.choice([0.1, 0.3, 0.5, 2.0])
        world.leader.in_service = rng.random() < 0.8
        world.leader.leading = rng.random() < 0.9
        if rng.random() < 0.05:
            world.table.leader_changed()
        if rng.random() < 0.05:
            world.leader.led_term += 1
        for number in range(3):
            grant = world.ask(now, number, revision=rng.choice([6, 7]))
            if grant is not None and grant.lease_seconds:
                assert now + grant.lease_seconds <= world.granted_until() + 1e-6
        world.renew(now, deliver=rng.random() < 0.8, hold_reply=rng.random() < 0.4)
        if world.leader.sent and rng.random() < 0.5:
            world.take_reply(rng.randrange(len(world.leader.sent)))


def test_traffic_of_a_region_at_the_design_size_is_bounded():
    world = World(entries=64)
    for step in range(4):
        world.round(3 + step / 2)
    world.bytes = 0
    for step in range(20):
        world.round(5 + step / 2)
    # Requests of twelve such regions stay below 20 KB a second at the leader, without summaries.
    assert world.bytes / 10 * 12 < 10_000
    assert cbor2.loads(encode(world.table.make_request(7, 15)))[3] == []
