"""The tracker under loss, restarts, corrupt peers and takeovers: budgets hold, all end whole."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jackdawsail.weights.origin_budget import ORIGIN_COPIES_MAX
from jackdawsail.weights.schedule import SOURCE_WINDOW_CHUNKS
from jackdawsail.weights.swarm import SOURCE_CORRUPT_MAX
from jackdawsail.weights.tracker import SHARE_AGAIN_SECONDS
from jackdawsail.wire.weight_messages import FetchOutcome
from test.weights.zone_sim import Zone


@pytest.mark.parametrize('agents', [2, 20])
def test_each_chunk_is_drawn_once_and_uploads_are_even(agents):
    zone = Zone(agents=agents, chunks=40)
    zone.run()
    assert sorted(zone.origin_draws) == list(range(40))
    uploads = [member.uploads for member in _swarm(zone).members.values()]
    assert max(uploads) <= 1.2 * 40


def test_only_holder_dies_and_its_chunks_come_from_another_zone():
    zone = Zone(agents=3, chunks=12)
    zone.run(until=lambda: len(zone.origin_draws) >= 9)
    holder = max(zone.live(), key=lambda each: len(each.held))
    zone.remote_held = set(range(12))
    holder.alive = False
    zone.tracker.remove_agent(holder.name)
    zone.run()
    assert zone.copies() <= ORIGIN_COPIES_MAX / 3


def test_frozen_agent_is_passed_over_and_catches_up_later():
    zone = Zone(agents=3, chunks=12)
    zone.run(until=lambda: len(zone.origin_draws) >= 4)
    zone.agents['0'].frozen = True
    zone.run()
    zone.agents['0'].frozen = False
    zone.run()
    assert zone.copies() <= ORIGIN_COPIES_MAX / 3


def test_half_of_the_zone_is_lost():
    zone = Zone(agents=8, chunks=30)
    zone.remote_held = set(range(30))
    zone.run(until=lambda: len(zone.origin_draws) >= 15)
    for name in '0246':
        zone.agents[name].alive = False
        zone.tracker.remove_agent(name)
    zone.run()
    assert zone.copies() <= ORIGIN_COPIES_MAX / 3


def test_new_tracker_draws_no_chunk_twice():
    zone = Zone(agents=4, chunks=40)
    zone.run(until=lambda: len(zone.origin_draws) >= 20)
    zone.new_tracker()
    zone.run()
    assert max(Counter(zone.origin_draws).values()) == 1


def test_corrupt_peer_is_found_and_not_used_again():
    zone = Zone(agents=4, chunks=60)
    zone.agents['0'].corrupt = True
    zone.run(steps=900)
    address = zone.agents['0'].address
    corrupt = _swarm(zone).scores[address].corrupt
    # Those under way together with the second corrupt one still count.
    assert SOURCE_CORRUPT_MAX <= corrupt < SOURCE_CORRUPT_MAX + SOURCE_WINDOW_CHUNKS
    assert not _swarm(zone).is_usable(address, zone.now + 1e9)
    assert zone.copies() <= ORIGIN_COPIES_MAX / 3


def test_agent_with_a_full_disk_gets_no_orders_until_it_recovers():
    zone = Zone(agents=3, chunks=20)
    full = zone.agents['0']
    full.problem = 'no space left'
    zone.run(until=lambda: len(zone.agents['1'].held) == 20)
    assert not full.in_flight
    assert not full.held
    assert zone.tracker.agent_problems() == {'0': 'no space left'}
    full.problem = ''
    zone.run()
    assert sorted(zone.origin_draws) == list(range(20))


def test_late_joiner_draws_from_peers_only():
    zone = Zone(agents=3, chunks=20)
    zone.run()
    drawn = zone.origin_bytes
    zone.agents['9'] = type(zone.agents['0'])('9')
    zone.run()
    assert zone.origin_bytes == drawn


def test_changed_origin_stops_the_release_with_a_reason():
    zone = Zone(agents=3, chunks=20)
    zone.run(until=lambda: len(zone.origin_draws) >= 5)
    zone.origin_fault = lambda _fetch: FetchOutcome.changed
    for _ in range(100):
        zone.step()
    assert zone.tracker.failed_releases() == {'quill-2': 'test'}
    assert len(zone.origin_draws) <= 5 + 2 * 3


def test_corrupt_origin_stops_after_few_draws():
    zone = Zone(agents=3, chunks=20)
    zone.origin_fault = lambda _fetch: FetchOutcome.corrupt
    for _ in range(200):
        zone.step()
    assert zone.tracker.failed_releases()['quill-2'].startswith('chunk ')
    assert zone.copies() <= ORIGIN_COPIES_MAX / 3


def test_origin_that_corrupts_at_random_stops_nothing():
    zone = Zone(agents=3, chunks=20)
    zone.remote_held = {3, 4, 5}
    zone.reason = lambda: f'wrong digest {zone.rng.random()}'
    zone.origin_fault = lambda fetch: (
        FetchOutcome.corrupt if fetch.chunk in {3, 4} else FetchOutcome.done
    )
    zone.run()
    assert zone.tracker.failed_releases() == {}
    assert zone.copies() <= ORIGIN_COPIES_MAX / 3


def test_busy_origin_is_left_alone_then_drawn_from():
    zone = Zone(agents=3, chunks=20)
    zone.origin_fault = lambda _fetch: FetchOutcome.busy
    for _ in range(50):
        zone.step()
    assert len(zone.origin_draws) <= 12
    zone.origin_fault = None
    zone.run()


def test_later_zones_draw_from_earlier_ones():
    zones = tuple('abcdefghijkl')
    zone = Zone(agents=3, chunks=60, zones=zones)
    zone.remote_held = set(range(60))
    zone.run(steps=900)
    assert zone.copies() <= ORIGIN_COPIES_MAX / len(zones)
    assert zone.remote_served >= 40


def test_unchanged_account_is_shared_seldom_and_whole_holders_briefly():
    zone = Zone(agents=3, chunks=20)
    zone.run()
    (share,) = zone.tracker.zone_updates(zone.now)
    assert [holder.bitmap for holder in share.sent.holders] == [b'', b'', b'']
    assert not list(zone.tracker.zone_updates(zone.now + SHARE_AGAIN_SECONDS - 1))
    assert list(zone.tracker.zone_updates(zone.now + SHARE_AGAIN_SECONDS))
    zone.tracker.record_zone_chunks(share.sent, zone.now)
    assert len(_swarm(zone).remote_addresses(7, 'a', zone.now)) == 3


def test_switch_permits_keep_the_share():
    zone = Zone(agents=6, chunks=2)
    zone.run()
    for name, agent in zone.agents.items():
        agent.stage = 'verified'
        zone.tracker.request_switch(name, 'quill-2')
    zone.step()
    assert len(zone.permits) == 3
    zone.agents[zone.permits[0][0]].stage = 'serving'
    zone.step()
    assert len(zone.permits) == 4


class TrackerMachine(RuleBasedStateMachine):
    """Any mix of faults; at the end every live agent is whole and the budget is kept."""

    def __init__(self):
        super().__init__()
        self.zone = Zone(agents=5, chunks=16)
        self.trouble = 0

    @rule(steps=st.integers(1, 10))
    def go_on(self, steps):
        for _ in range(steps):
            self.zone.step()

    @rule(name=st.sampled_from('01234'), tell=st.booleans())
    def kill(self, name, tell):
        if len(self.zone.live()) > 1 and self.zone.agents[name].alive:
            self.trouble += 1
            self.zone.agents[name].alive = False
            self.zone.agents[name].in_flight.clear()
            if tell:
                self.zone.tracker.remove_agent(name)

    @rule(name=st.sampled_from('01234'))
    def restart(self, name):
        agent = self.zone.agents[name]
        if not agent.alive:
            agent.alive, agent.held = True, set()

    @rule(name=st.sampled_from('01234'))
    def freeze_or_thaw(self, name):
        agent = self.zone.agents[name]
        if agent.frozen or len(self.zone.live()) > 1:
            self.trouble += 1
            agent.frozen = not agent.frozen

    @rule(name=st.sampled_from('0123'))
    def turn_corrupt(self, name):
        self.trouble += 1
        self.zone.agents[name].corrupt = True

    @rule()
    def change_tracker(self):
        self.zone.new_tracker()

    @invariant()
    def no_chunk_is_drawn_twice_without_trouble(self):
        assert self.trouble or max(Counter(self.zone.origin_draws).values(), default=1) == 1

    @invariant()
    def origin_budget_is_kept(self):
        limit = ORIGIN_COPIES_MAX / 3 * self.zone.manifest.size_bytes
        assert self.zone.origin_bytes <= limit

    def teardown(self):
        self.zone.remote_held = set(range(self.zone.manifest.chunk_count))
        for agent in self.zone.agents.values():
            agent.frozen = False
        self.zone.run(steps=2000)


TestTracker = TrackerMachine.TestCase
TestTracker.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)


def _swarm(zone):
    return zone.tracker._tracked['quill-2'].swarm
