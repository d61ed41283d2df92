"""All entries together keep the limit on its calls that an upstream names in its answers."""

import math
import random

import pytest

from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeBounds
from test.http1.ends import Reactor
from test.proxy.world import World, answer, sent_on, status_of

BOUNDS = NodeBounds(retry_slack=220, cold_ratio=1.5, cold_slack=5)
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5  # an entry counts from so long after it has heard the limit
STEP_SECONDS = 0.05


def most_allowed(calls_per_second):
    return 1.5 * calls_per_second * WINDOW_SECONDS + 5


class Site:
    """Entries on one clock that share two upstreams; the first names ``limit`` in its answers."""

    def __init__(self, entries, limit, seed=1):
        self.clock = Reactor()
        self.clock.advance(100)
        self.rng = random.Random(seed)
        self.limit = limit
        self.sent = []
        self.heard_seconds = {}
        self.callers = []
        self.addresses = [f'10.9.0.{number}' for number in range(1, entries + 1)]
        self.worlds = [self.make_world(address) for address in self.addresses]

    def make_world(self, address, started_seconds=-math.inf):
        return World(
            2,
            Service('s'),
            BOUNDS,
            address=address,
            clock=self.clock,
            entries=self.addresses,
            started_seconds=started_seconds,
        )

    def offer(self, seconds, calls_per_second=20):
        """Offers calls to the entries in turn at random; each one sent is answered at once."""
        for _ in range(round(seconds / STEP_SECONDS)):
            for world in self.worlds:
                if self.rng.random() < calls_per_second / len(self.worlds) * STEP_SECONDS:
                    self.call(world)
            self.step()

    def call(self, world):
        self.callers.append(world.call())
        while self.clock.pending_connects:
            self.answer_oldest(world)

    def answer_oldest(self, world):
        address = self.clock.pending_connects[0][0]
        headers = 'Connection: close\r\n'
        if address == '10.0.0.1:80':
            self.sent.append((self.clock.seconds(), world))
            if self.limit is not None:
                headers += f'Server-Limit: {self.limit}\r\n'
                self.heard_seconds.setdefault(world, self.clock.seconds())
        channel = self.clock.accept()
        assert b'i-' in sent_on(channel)
        answer(channel, headers=headers)

    def step(self):
        self.clock.advance(STEP_SECONDS)

    def most_in_a_window(self, from_seconds=0):
        """Returns the most calls in any window, of entries that had heard the limit before."""
        sent_seconds = [
            seconds
            for seconds, world in self.sent
            if seconds >= max(from_seconds, self.heard_seconds.get(world, seconds) + TOLD_SECONDS)
        ]
        return max(
            (
                sum(start <= sent < start + WINDOW_SECONDS for sent in sent_seconds)
                for start in sent_seconds
            ),
            default=0,
        )


@pytest.mark.parametrize('entries', [1, 9, 48])
@pytest.mark.parametrize('limit', [0, 0.4, 1, 1.6, 5])
def test_upstream_that_names_a_limit_does_not_get_more_calls_from_all_entries(entries, limit):
    site = Site(entries, limit)
    site.offer(20, 40)
    assert site.most_in_a_window() <= most_allowed(limit)
    assert {status_of(caller) for caller in site.callers} == {200}
