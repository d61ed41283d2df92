"""Lightweight stand-ins for agents and entries, used by ``bench slopes``.

A stand-in only opens a link and sends messages. One process runs about a hundred of them.
They use the real wire protocol, so a real entry or control process does its full work for
each.

Example::

    python -m bench.standins agents --address 127.0.0.1:9000 --count 100 --seconds 20
"""

import random
import sys
from dataclasses import dataclass
from typing import Any

from cyclopts import App

from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import Link, LinkSettings
from jackdawsail.wire.membership_messages import (
    Announce,
    BackendSummary,
    Heartbeat,
    LeaseRequest,
    Subscribe,
    UpstreamKind,
    UpstreamLoad,
    UpstreamState,
)

AGENT_PERIOD_SECONDS = 1.0
ENTRY_PERIOD_SECONDS = 0.5

app = App(help='Stand-ins for the slopes bench.')


@dataclass(frozen=True, slots=True)
class StandinPlan:
    """Role, address to dial, number and run time of the stand-ins of one process."""

    role: Role
    address: str
    count: int
    seconds: float
    secret: bytes
    zone: str


class Standin:
    """Owns one link; announces itself and sends the periodic message of its role."""

    def __init__(self, reactor: Any, plan: StandinPlan, number: int) -> None:
        self._reactor = reactor
        self._plan = plan
        self._number = number
        self._sequence = 0
        self._link: Link | None = None
        identity = Identity(plan.role, f'standin-{number}', plan.zone, 'r', number + 1)
        self._dialer = Dialer(
            reactor,
            plan.address,
            LinkSettings(identity, plan.secret),
            self,
            random.Random(number),
        )

    def start(self) -> None:
        """Starts to dial the address."""
        self._dialer.start()

    def link_opened(self, link: Link) -> None:
        """Sends the first message; starts the periodic one after a delay of its own, below 1 s."""
        self._link = link
        if self._plan.role is Role.agent:
            link.send(Announce(UpstreamKind.engine, 'quill', '127.0.0.1:1', 8, True))
        else:
            link.send(Subscribe(0))
        self._reactor.callLater(random.Random(self._number).random(), self._send_periodic)

    def link_received(self, link: Link, received: Any) -> None:
        """Ignores every message."""

    def link_closed(self, link: Link, reason: str) -> None:
        """Drops the link; the dialer opens another."""
        self._link = None

    def _send_periodic(self) -> None:
        if self._link is None:
            return
        self._sequence += 1
        if self._plan.role is Role.agent:
            self._link.send(self._heartbeat())
            period_seconds = AGENT_PERIOD_SECONDS
        else:
            self._link.send(self._lease_request())
            period_seconds = ENTRY_PERIOD_SECONDS
        self._reactor.callLater(period_seconds, self._send_periodic)

    def _heartbeat(self) -> Heartbeat:
        load = UpstreamLoad(UpstreamState.serving, 'release-2026-12', 4, 2, 8, 900, 400.0)
        return Heartbeat(self._sequence, load, 1)

    def _lease_request(self) -> LeaseRequest:
        # Only the tracker, the first entry of a zone, sends the summary: one stand-in in 20.
        summary = BackendSummary(8, 8, 30, 10, 64, {'release-2026-12': 8}, {})
        backends = {'quill': summary} if self._number % 20 == 0 else {}
        return LeaseRequest(
            zone=self._plan.zone,
            sequence=self._sequence,
            in_force_revision=1,
            lacking_agents=0,
            caller_address=f'127.0.0.1:{20000 + self._number}',
            link_address=f'127.0.0.1:{30000 + self._number}',
            leaving=False,
            backends=backends,
        )


def run(plan: StandinPlan) -> None:
    """Runs the stand-ins of one plan until their run time ends."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    for number in range(plan.count):
        reactor.callLater(number * 0.005, Standin(reactor, plan, number).start)
    reactor.callLater(plan.seconds, reactor.stop)
    reactor.run()


@app.command
def agents(
    address: str, count: int = 50, seconds: float = 20, secret: str = '', zone: str = 'z'
) -> None:
    """Runs stand-in agents against one entry."""
    run(StandinPlan(Role.agent, address, count, seconds, secret.encode(), zone))


@app.command
def entries(
    address: str, count: int = 50, seconds: float = 20, secret: str = '', zone: str = 'z'
) -> None:
    """Runs stand-in entries against one control host."""
    run(StandinPlan(Role.entry, address, count, seconds, secret.encode(), zone))


if __name__ == '__main__':
    sys.exit(app())
