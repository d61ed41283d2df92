"""The tracker under losses, restarts, corrupt peers and takeovers.

The origin budget is kept, and every live agent ends with all chunks.
"""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jackdawsail.weights.origin_budget import ORIGIN_COPIES_MAX
from jackdawsail.weights.schedule import SOURCE_WINDOW_CHUNKS
from jackdawsail.weights.swarm import SOURCE_CORRUPT_MAX
from jackdawsail.weights.tracker import SHARE_REPEAT_SECONDS
from jackdawsail.wire.weight_messages import FetchOutcome
from test.weights.zone_sim import Zone


@pytest.mark.parametrize('agents', [2, 20])
def test_each_chunk_is_fetched_once_and_uploads_are_even(agents):
    zone = Zone(agents=agents, chunks=40)
    zone.run()
    assert sorted(zone.origin_fetches) == list(range(40))
    uploads = [member.uploads for member in _swarm(zone).members.values()]
    assert max(uploads) <= 1.2 * 40


def test_chunks_whose_only_holder_is_lost_come_from_another_zone():
    zone = Zone(agents=3, chunks=12)
    zone.run(until=lambda: len(zone.origin_fetches) >= 9)
    holder = max(zone.live_agents(), key=lambda each: len(each.held))
    zone.remote_held = set(range(12))
    holder.alive = False
    zone.tracker.remove_agent(holder.name)
    zone.run()
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / 3


def test_frozen_agent_is_skipped_and_catches_up_later():
    zone = Zone(agents=3, chunks=12)
    zone.run(until=lambda: len(zone.origin_fetches) >= 4)
    zone.agents['0'].frozen = True
    zone.run()
    zone.agents['0'].frozen = False
    zone.run()
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / 3


def test_loss_of_half_the_agents_keeps_the_origin_budget():
    zone = Zone(agents=8, chunks=30)
    zone.remote_held = set(range(30))
    zone.run(until=lambda: len(zone.origin_fetches) >= 15)
    for name in '0246':
        zone.agents[name].alive = False
        zone.tracker.remove_agent(name)
    zone.run()
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / 3


def test_new_tracker_fetches_no_chunk_twice():
    zone = Zone(agents=4, chunks=40)
    zone.run(until=lambda: len(zone.origin_fetches) >= 20)
    zone.new_tracker()
    zone.run()
    assert max(Counter(zone.origin_fetches).values()) == 1


def test_corrupt_peer_is_ejected_permanently():
    zone = Zone(agents=4, chunks=60)
    zone.agents['0'].corrupt = True
    zone.run(steps=900)
    address = zone.agents['0'].address
    corrupt = _swarm(zone).source_health[address].corrupt
    # Transfers in progress when the second corrupt chunk is reported still count.
    assert SOURCE_CORRUPT_MAX <= corrupt < SOURCE_CORRUPT_MAX + SOURCE_WINDOW_CHUNKS
    assert not _swarm(zone).is_usable(address, zone.now + 1e9)
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / 3


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
    assert sorted(zone.origin_fetches) == list(range(20))


def test_late_joiner_fetches_from_peers_only():
    zone = Zone(agents=3, chunks=20)
    zone.run()
    origin_bytes_before = zone.origin_bytes
    zone.agents['9'] = type(zone.agents['0'])('9')
    zone.run()
    assert zone.origin_bytes == origin_bytes_before


def test_changed_origin_stops_the_release_with_a_reason():
    zone = Zone(agents=3, chunks=20)
    zone.run(until=lambda: len(zone.origin_fetches) >= 5)
    zone.origin_fault = lambda _fetch: FetchOutcome.changed
    for _ in range(100):
        zone.step()
    assert zone.tracker.failed_releases() == {'quill-2': 'test'}
    assert len(zone.origin_fetches) <= 5 + 2 * 3


def test_corrupt_origin_stops_the_release_after_few_fetches():
    zone = Zone(agents=3, chunks=20)
    zone.origin_fault = lambda _fetch: FetchOutcome.corrupt
    for _ in range(200):
        zone.step()
    assert zone.tracker.failed_releases()['quill-2'].startswith('chunk ')
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / 3


def test_origin_sending_a_different_wrong_digest_each_time_does_not_stop_the_release():
    zone = Zone(agents=3, chunks=20)
    zone.remote_held = {3, 4, 5}
    zone.reason = lambda: f'wrong digest {zone.rng.random()}'
    zone.origin_fault = lambda fetch: (
        FetchOutcome.corrupt if fetch.chunk in {3, 4} else FetchOutcome.done
    )
    zone.run()
    assert zone.tracker.failed_releases() == {}
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / 3


def test_busy_origin_is_retried_after_a_backoff():
    zone = Zone(agents=3, chunks=20)
    zone.origin_fault = lambda _fetch: FetchOutcome.busy
    for _ in range(50):
        zone.step()
    assert len(zone.origin_fetches) <= 12
    zone.origin_fault = None
    zone.run()


def test_later_zones_fetch_from_earlier_ones():
    zones = tuple('abcdefghijkl')
    zone = Zone(agents=3, chunks=60, zones=zones)
    zone.remote_held = set(range(60))
    zone.run(steps=900)
    assert zone.copies_from_origin() <= ORIGIN_COPIES_MAX / len(zones)
    assert zone.remote_served >= 40


def test_unchanged_holders_are_shared_rarely_and_complete_ones_without_a_bitmap():
    zone = Zone(agents=3, chunks=20)
    zone.run()
    (share,) = zone.tracker.zone_updates(zone.now)
    assert [holder.bitmap for holder in share.message.holders] == [b'', b'', b'']
    assert not list(zone.tracker.zone_updates(zone.now + SHARE_REPEAT_SECONDS - 1))
    assert list(zone.tracker.zone_updates(zone.now + SHARE_REPEAT_SECONDS))
    zone.tracker.record_zone_chunks(share.message, zone.now)
    assert len(_swarm(zone).remote_addresses(7, 'a', zone.now)) == 3


def test_switch_permits_respect_the_maximum_share():
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
    """Any mix of faults; at the end every live agent holds all chunks within the budget."""

    def __init__(self):
        super().__init__()
        self.zone = Zone(agents=5, chunks=16)
        self.faults = 0

    @rule(steps=st.integers(1, 10))
    def run_steps(self, steps):
        for _ in range(steps):
            self.zone.step()

    @rule(name=st.sampled_from('01234'), closes_link=st.booleans())
    def kill(self, name, closes_link):
        if len(self.zone.live_agents()) > 1 and self.zone.agents[name].alive:
            self.faults += 1
            self.zone.agents[name].alive = False
            self.zone.agents[name].in_flight.clear()
            if closes_link:
                self.zone.tracker.remove_agent(name)

    @rule(name=st.sampled_from('01234'))
    def restart(self, name):
        agent = self.zone.agents[name]
        if not agent.alive:
            agent.alive, agent.held = True, set()

    @rule(name=st.sampled_from('01234'))
    def freeze_or_thaw(self, name):
        agent = self.zone.agents[name]
        if agent.frozen or len(self.zone.live_agents()) > 1:
            self.faults += 1
            agent.frozen = not agent.frozen

    @rule(name=st.sampled_from('0123'))
    def turn_corrupt(self, name):
        self.faults += 1
        self.zone.agents[name].corrupt = True

    @rule()
    def replace_tracker(self):
        self.zone.new_tracker()

    @invariant()
    def no_chunk_is_fetched_twice_without_faults(self):
        assert self.faults or max(Counter(self.zone.origin_fetches).values(), default=1) == 1

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
