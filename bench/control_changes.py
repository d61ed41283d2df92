"""Changes of configuration at a steady rate, resent until answered, and who holds them when."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bench.harness.fleet import Fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind
from bench.harness.settings_files import BOOTSTRAP_TOKEN, SITE_SECRET
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import Link, LinkSettings

ANSWER_SECONDS = 2.0
GIVE_UP_SECONDS = 30.0
RESEND_SECONDS = 0.1
CUSTOMERS = 20


def _nothing() -> None:
    """Accompanies changes without faults."""


@dataclass
class Change:
    """One change of a customer's weight and what became of it."""

    number: int
    sent_seconds: float
    answered_seconds: float = 0
    revision: int = 0
    refusal: str = ''
    sendings: int = 0

    @property
    def request_id(self) -> str:
        return f'bench-control-{self.number}'

    @property
    def customer(self) -> str:
        return f'load-{self.number % CUSTOMERS}'

    @property
    def weight(self) -> float:
        return round(1 + self.number / 100, 2)


class Changes:
    """Sends changes from threads, each resent under its request id until it is answered."""

    def __init__(self, addresses: list[str]) -> None:
        self.made: list[Change] = []
        self._addresses = addresses
        self._leader = 0
        self._threads: list[threading.Thread] = []

    def run(self, rate: float, seconds: float, then: Callable[[], None] = _nothing) -> None:
        """Starts ``rate`` changes a second for a time; returns when the time is over."""
        start = time.monotonic()
        for position in range(round(rate * seconds)):
            time.sleep(max(0, start + position / rate - time.monotonic()))
            change = Change(len(self.made), time.monotonic())
            self.made.append(change)
            thread = threading.Thread(target=self._send, args=(change,), daemon=True)
            self._threads.append(thread)
            thread.start()
            then()

    def finish(self) -> None:
        """Waits until every change is answered or given up."""
        for thread in self._threads:
            thread.join(GIVE_UP_SECONDS + ANSWER_SECONDS)
        self._threads.clear()

    def accepted(self) -> list[Change]:
        """Returns the changes that were answered as accepted."""
        return [change for change in self.made if change.revision]

    def _send(self, change: Change) -> None:
        content = {
            'request_id': change.request_id,
            'kind': 'customer-put',
            'name': change.customer,
            'weight': change.weight,
        }
        headers = {'Authorization': f'Bearer {BOOTSTRAP_TOKEN}'}
        while time.monotonic() < change.sent_seconds + GIVE_UP_SECONDS:
            position = self._leader
            change.sendings += 1
            address = self._addresses[position % len(self._addresses)]
            reply = call('POST', address, '/v1/commands', content, headers, ANSWER_SECONDS)
            if reply.status == 200:
                change.answered_seconds = time.monotonic()
                change.revision = reply.content['revision']
                return
            if reply.status in {400, 404, 409, 422}:
                change.refusal = reply.body.decode()
                return
            if self._leader == position:
                self._leader = position + 1
            time.sleep(RESEND_SECONDS / len(self._addresses))


@dataclass
class Watcher:
    """Subscribes at one entry as an agent does, and notes when it held which revision."""

    name: str
    replica: StateReplica = field(default_factory=StateReplica)
    held: list[tuple[float, int]] = field(default_factory=list)
    went_back: int = 0

    def link_opened(self, link: Link) -> None:
        link.send(self.replica.subscription())

    def link_received(self, link: Link, received: Any) -> None:
        revision = getattr(received, 'to_revision', getattr(received, 'revision', None))
        before = self.replica.revision
        self.replica.apply_update(received)
        if self.replica.revision < before:
            self.went_back += 1
        if revision is not None:
            self.held.append((time.monotonic(), self.replica.revision))

    def link_closed(self, link: Link, reason: str) -> None:
        """The dialer makes another link."""

    def seconds_at(self, revision: int) -> float:
        """Returns when the revision, or a later one, was first held; infinite if never."""
        times = (seconds for seconds, held in self.held if held >= revision)
        return next(times, float('inf'))


def start_watchers(fleet: Fleet) -> list[Watcher]:
    """Runs one watcher for each entry on a reactor in a thread of its own."""
    import random

    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    reactor.seconds = time.monotonic
    watchers = []
    for number, place in enumerate(fleet.layout.of_kind(ProcessKind.entry)):
        watcher = Watcher(place.name)
        identity = Identity(Role.agent, f'watcher-{number}', place.zone, place.region, number + 1)
        settings = LinkSettings(identity, SITE_SECRET.encode())
        address = place.public_address(1)
        dialer = Dialer(reactor, address, settings, watcher, random.Random(number))
        reactor.callWhenRunning(dialer.start)
        watchers.append(watcher)
    threading.Thread(
        target=reactor.run, kwargs={'installSignalHandlers': False}, daemon=True
    ).start()
    return watchers
