"""All entries together keep the limit on the calls that a cold upstream gets in a second."""

import math

import pytest

from jackdawsail.routing.upstreams import MAX_SUSPENSION_SECONDS
from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeBounds
from jackdawsail.wire.site_messages import MemberHost, Members
from test.proxy.world import Reactor, World, answer

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

    def restart_all(self, entries):
        """Restarts all entries; a control host that has just restarted sees one entry each."""
        now_seconds = self.clock.seconds()
        self.worlds = [
            self.make_world(address, entries, now_seconds) for address in self.addresses
        ]
        for world, address in zip(self.worlds, self.addresses, strict=True):
            linked = [MemberHost(address, 'z', 'r')]
            world.context.view.apply_members('c', Members(['c'], linked, []))

    def offer(self, seconds):
        """Offers calls to all entries for a time; each one sent is answered at once."""
        for _ in range(int(seconds * OFFERED_PER_SECOND)):
            for world in self.worlds:
                world.call()
                self.answer_sent()
            self.clock.advance(1 / OFFERED_PER_SECOND)

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
    site.offer(3)
    assert 0 < site.most_in_a_second() <= LIMIT


def test_entries_that_restart_together_do_not_flood_a_cold_upstream():
    site = Site(38)
    site.restart_all(())
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
    site.restart_all(site.addresses)
    site.offer(2)
    assert 0 < site.most_in_a_second() <= LIMIT
    assert site.sent_seconds[-1] > site.sent_seconds[0] + WINDOW_SECONDS
