"""Datagrams to an entry: agents' reports of their engines, and other entries' refusals.

A lost one is replaced by the next report, or lets a caller that comes back count as
one that asks for the first time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success
from twisted.internet import protocol

from jackdawsail.proxy.context import ProxyContext
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.site_messages import EngineLoad, RefusedCallsTold

REFUSALS_INTERVAL_SECONDS = (
    0.05  # a tenth of the shortest time after which callers are asked to come back
)
MOST_TOLD = 100  # fingerprints of one datagram, which then fits into one packet

Take = Callable[[Any], None]


class DatagramListener(protocol.DatagramProtocol):
    """Hands messages on; a datagram that cannot be read is dropped, as a lost one would be."""

    noisy = False

    def __init__(self, takes: dict[type, Take]) -> None:
        self._takes = takes

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802 - Twisted's name
        """Takes one message."""
        outcome = decode(datagram)
        if isinstance(outcome, Success):
            found = outcome.unwrap()
            take = self._takes.get(type(found))
            if take is not None:
                take(found)


@dataclass(slots=True)
class EntryDatagrams:
    """Owns the entry's port for datagrams."""

    parts: ProxyContext
    _port: Any = field(default=None)

    def listen(self, reactor: Any) -> None:
        """Begins to take reports and refusals."""
        settings = self.parts.settings
        listener = DatagramListener(
            {EngineLoad: self._take_load, RefusedCallsTold: self._take_refused}
        )
        self._port = reactor.listenUDP(settings.link_port, listener, settings.address)

    def tell_refused(self) -> None:
        """Tells the other entries which calls were refused here since the last time."""
        refused = self.parts.refused_calls.take_unsent()
        settings = self.parts.settings
        others = [one for one in self.parts.view.entries() if one.address != settings.address]
        for first in range(0, len(refused), MOST_TOLD):
            datagram = encode(RefusedCallsTold(refused[first : first + MOST_TOLD]))
            for entry in others:
                self._port.write(datagram, (entry.address, settings.link_port))

    def _take_load(self, load: EngineLoad) -> None:
        self.parts.upstreams.apply_load(load, self.parts.clock.seconds())

    def _take_refused(self, told: RefusedCallsTold) -> None:
        now_seconds = self.parts.clock.seconds()
        for fingerprint in told.fingerprints:
            self.parts.refused_calls.record(fingerprint, now_seconds)
