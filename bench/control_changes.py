"""Sends configuration changes at a steady rate and records when the sites hold them.

A change is resent until it is answered; a watcher at each entry records revisions.
"""

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

ANSWER_TIMEOUT_SECONDS = 2.0
GIVE_UP_SECONDS = 30.0
RESEND_INTERVAL_SECONDS = 0.1
CUSTOMERS = 20


def _do_nothing() -> None:
    """Does nothing after a change, for a run that injects no faults."""


@dataclass
class Change:
    """One change of a customer's weight and its outcome.

    An accepted change has the ``revision`` that it made, a rejected one the ``refusal``.
    """

    number: int
    sent_seconds: float
    answered_seconds: float = 0
    revision: int = 0
    refusal: str = ''
    attempts: int = 0

    @property
    def request_id(self) -> str:
        return f'bench-control-{self.number}'

    @property
    def customer(self) -> str:
        return f'load-{self.number % CUSTOMERS}'

    @property
    def weight(self) -> float:
        return round(1 + self.number / 100, 2)


class ChangeSender:
    """Sends each change from its own thread, again under the same request id until answered."""

    def __init__(self, addresses: list[str]) -> None:
        self.started: list[Change] = []
        self._addresses = addresses
        self._leader_index = 0
        self._threads: list[threading.Thread] = []

    def run(
        self, rate: float, seconds: float, after_each: Callable[[], None] = _do_nothing
    ) -> None:
        """Starts ``rate`` changes per second; returns after ``seconds``, without their answers.

        Calls ``after_each`` in this thread after the start of each change.
        """
        start = time.monotonic()
        for position in range(round(rate * seconds)):
            time.sleep(max(0, start + position / rate - time.monotonic()))
            change = Change(len(self.started), time.monotonic())
            self.started.append(change)
            thread = threading.Thread(target=self._send, args=(change,), daemon=True)
            self._threads.append(thread)
            thread.start()
            after_each()

    def wait_finished(self) -> None:
        """Waits until every change is answered or has reached its time limit."""
        for thread in self._threads:
            thread.join(GIVE_UP_SECONDS + ANSWER_TIMEOUT_SECONDS)
        self._threads.clear()

    def accepted(self) -> list[Change]:
        """Returns the accepted changes."""
        return [change for change in self.started if change.revision]

    def _send(self, change: Change) -> None:
        command = {
            'request_id': change.request_id,
            'kind': 'customer-put',
            'name': change.customer,
            'weight': change.weight,
        }
        headers = {'Authorization': f'Bearer {BOOTSTRAP_TOKEN}'}
        while time.monotonic() < change.sent_seconds + GIVE_UP_SECONDS:
            leader_index = self._leader_index
            change.attempts += 1
            address = self._addresses[leader_index % len(self._addresses)]
            reply = call('POST', address, '/v1/commands', command, headers, ANSWER_TIMEOUT_SECONDS)
            if reply.status == 200:
                change.answered_seconds = time.monotonic()
                change.revision = reply.content['revision']
                return
            if reply.status in {400, 404, 409, 422}:
                change.refusal = reply.body.decode()
                return
            if self._leader_index == leader_index:
                self._leader_index = leader_index + 1
            time.sleep(RESEND_INTERVAL_SECONDS / len(self._addresses))


@dataclass
class RevisionWatcher:
    """Subscribes to one entry as an agent does and records the time of every revision.

    ``regressions`` counts updates after which the revision was lower than before.
    """

    name: str
    replica: StateReplica = field(default_factory=StateReplica)
    held_revisions: list[tuple[float, int]] = field(default_factory=list)
    regressions: int = 0

    def link_opened(self, link: Link) -> None:
        link.send(self.replica.subscription())

    def link_received(self, link: Link, received: Any) -> None:
        revision = getattr(received, 'to_revision', getattr(received, 'revision', None))
        before = self.replica.revision
        self.replica.apply_update(received)
        if self.replica.revision < before:
            self.regressions += 1
        if revision is not None:
            self.held_revisions.append((time.monotonic(), self.replica.revision))

    def link_closed(self, link: Link, reason: str) -> None:
        """Does nothing: the dialer reconnects."""

    def reached_seconds(self, revision: int) -> float:
        """Returns the time at which the revision or a later one was first held, else infinity."""
        times = (seconds for seconds, held in self.held_revisions if held >= revision)
        return next(times, float('inf'))


def start_watchers(fleet: Fleet) -> list[RevisionWatcher]:
    """Starts one watcher for each entry; they share a reactor in a background thread."""
    import random

    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    reactor.seconds = time.monotonic
    watchers = []
    for number, process in enumerate(fleet.layout.of_kind(ProcessKind.entry)):
        watcher = RevisionWatcher(process.name)
        identity = Identity(
            Role.agent, f'watcher-{number}', process.zone, process.region, number + 1
        )
        settings = LinkSettings(identity, SITE_SECRET.encode())
        address = process.public_address(1)
        dialer = Dialer(reactor, address, settings, watcher, random.Random(number))
        reactor.callWhenRunning(dialer.start)
        watchers.append(watcher)
    threading.Thread(
        target=reactor.run, kwargs={'installSignalHandlers': False}, daemon=True
    ).start()
    return watchers
