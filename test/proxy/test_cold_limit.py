"""All entries together keep the limit on the calls that a cold upstream gets in a second."""

import math
import random

import pytest

from jackdawsail.routing.upstreams import MAX_SUSPENSION_SECONDS
from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeBounds
from jackdawsail.wire.site_messages import MemberHost, Members
from test.http1.ends import Reactor
from test.proxy.world import World, answer

BOUNDS = NodeBounds(retry_slack=220, cold_ratio=1.5, cold_slack=5)
COLD_RATE = 17
LIMIT = COLD_RATE * BOUNDS.cold_ratio + BOUNDS.cold_slack
WINDOW_SECONDS = 1.0
OFFERED_PER_SECOND = 20  # to each entry, far above its share


class Site:
    """Entries on one clock that share one upstream; ``sent_seconds`` lists all calls it gets."""

    def __init__(self, entries):
        self.clock = Reactor()
        self.clock.advance(100)
        self.sent_seconds = []
        self.addresses = [f'10.9.0.{number}' for number in range(1, entries + 1)]
        self.worlds = [self.make_world(address, self.addresses) for address in self.addresses]

    def make_world(self, address, entries, started_seconds=-math.inf):
        return World(
            1,
            Service('s', cold_requests_per_second=COLD_RATE),
            BOUNDS,
            address=address,
            clock=self.clock,
            entries=entries,
            started_seconds=started_seconds,
        )

    def restart(self, numbers, entries):
        """Restarts some entries; a control host that has just restarted sees one entry each."""
        for number in numbers:
            address = self.addresses[number]
            world = self.make_world(address, entries, self.clock.seconds())
            linked = [MemberHost(address, 'z', 'r')]
            world.context.view.apply_members('c', Members(['c'], linked, []))
            self.worlds[number] = world

    def add(self, count):
        """Adds entries; all entries learn the new list at once."""
        added = [f'10.9.0.{len(self.addresses) + number}' for number in range(1, count + 1)]
        self.worlds.extend(
            self.make_world(address, self.addresses, self.clock.seconds()) for address in added
        )
        self.addresses = [*self.addresses, *added]
        for world in self.worlds:
            world.know_entries(self.addresses)

    def offer(self, seconds):
        """Offers calls to all entries for a time; each one sent is answered at once."""
        for _ in range(int(seconds * OFFERED_PER_SECOND)):
            self.offer_once()
            self.answer_sent()
            self.clock.advance(1 / OFFERED_PER_SECOND)

    def offer_once(self):
        """Offers one call to each entry; the connections stay closed."""
        for world in self.worlds:
            world.call()

    def answer_sent(self):
        while self.clock.pending_connects:
            answer(self.worlds[0].accept(), headers='Connection: close\r\n')
            self.sent_seconds.append(self.clock.seconds())

    def most_in_a_second(self):
        return max(
            sum(start <= sent < start + WINDOW_SECONDS for sent in self.sent_seconds)
            for start in self.sent_seconds
        )


@pytest.mark.parametrize('entries', [1, 7, 30, 38, 97])
def test_more_entries_than_the_limit_do_not_flood_a_cold_upstream(entries):
    site = Site(entries)
    site.offer(2)
    assert 0 < site.most_in_a_second() <= LIMIT


def test_entries_that_restart_together_do_not_flood_a_cold_upstream():
    site = Site(38)
    site.restart(range(38), ())
    site.offer(1)
    for world in site.worlds:
        world.know_entries(site.addresses)
    site.offer(3)
    assert 0 < site.most_in_a_second() <= LIMIT


def test_calls_that_wait_for_connections_do_not_flood_a_cold_upstream_when_these_open():
    site = Site(1)
    [world] = site.worlds
    for _ in range(100):
        world.call()
    site.answer_sent()
    assert 0 < site.most_in_a_second() <= LIMIT


def test_a_connection_that_fails_gives_its_part_of_the_limit_back():
    site = Site(1)
    [world] = site.worlds
    for _ in range(100):
        world.call()
    while world.reactor.pending_connects:
        world.refuse()
    site.clock.advance(MAX_SUSPENSION_SECONDS)
    site.offer(1)
    assert site.sent_seconds


def test_an_upstream_that_starts_again_under_its_id_does_not_get_the_limit_twice_in_a_second():
    site = Site(38)
    site.offer(0.5)
    for world in site.worlds:
        world.register(1, born_milliseconds=2)
    site.offer(2)
    assert 0 < site.most_in_a_second() <= LIMIT


def test_entries_that_restart_at_once_do_not_use_their_parts_twice_in_a_second():
    site = Site(38)
    site.offer(0.2)
    site.restart(range(38), site.addresses)
    site.offer(2)
    assert 0 < site.most_in_a_second() <= LIMIT
    assert site.sent_seconds[-1] > site.sent_seconds[0] + WINDOW_SECONDS


@pytest.mark.parametrize('seed', range(3))
def test_no_order_of_restarts_joins_and_slow_connections_floods_a_cold_upstream(seed):
    rng = random.Random(seed)
    site = Site(rng.choice([5, 24, 38]))
    for step in range(1, 60):
        site.offer_once()
        if rng.random() < 0.3:
            site.answer_sent()
        if rng.random() < 0.1:
            site.answer_sent()
            restarted = rng.sample(range(len(site.worlds)), len(site.worlds) // 3)
            site.restart(restarted, site.addresses)
        if rng.random() < 0.05:
            site.add(rng.randint(1, 4))
        if rng.random() < 0.05:
            for world in site.worlds:
                world.register(1, born_milliseconds=step + 1)
        site.clock.advance(rng.choice([0.01, 0.03, 0.1]))
    assert 0 < site.most_in_a_second() <= LIMIT


def test_upstream_that_says_it_is_cold_in_an_answer_is_limited_as_a_cold_one():
    world = World(1, Service('s', cold_requests_per_second=COLD_RATE), BOUNDS)
    world.call()
    answer(world.accept(), headers='Cold-Ms: 2000\r\n')
    upstream = world.context.upstreams.get('i-1')
    now_seconds = world.reactor.seconds()
    assert upstream.is_cold(now_seconds + 1.9)
    assert not upstream.is_cold(now_seconds + 2.1)
