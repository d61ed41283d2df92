"""Datagrams to an entry: load reports of agents; refusals, limits and demand of other entries.

Loss is tolerated. The next report replaces a lost one. After a lost refusal the caller's
retry counts as a first attempt. Named limits and the demand by urgency are repeated.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success
from twisted.internet import protocol

from jackdawsail.proxy.context import ProxyContext
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.site_messages import (
    EngineLoad,
    NamedLimitsReported,
    RankDemandReported,
    RefusedCallsReported,
)

SEND_INTERVAL_SECONDS = 0.05  # a tenth of the shortest retry time given to callers
MAX_FINGERPRINTS = 100  # per datagram, so that it fits into one packet
MAX_LIMITS = 12  # per datagram, so that it fits into one packet

Handler = Callable[[Any], None]
EntryMessage = RefusedCallsReported | NamedLimitsReported | RankDemandReported


class DatagramListener(protocol.DatagramProtocol):
    """Passes decoded messages to their handlers; drops undecodable and unexpected ones."""

    noisy = False

    def __init__(self, handlers: dict[type, Handler]) -> None:
        self._handlers = handlers

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802 - Twisted's name
        """Decodes one datagram and calls the handler of its type, if there is one."""
        outcome = decode(datagram)
        if isinstance(outcome, Success):
            message = outcome.unwrap()
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message)


@dataclass(slots=True)
class EntryDatagrams:
    """Owns the UDP port of an entry."""

    context: ProxyContext
    _port: Any = field(default=None)

    def listen(self, reactor: Any) -> None:
        """Starts to receive load reports, refusals and named limits."""
        settings = self.context.settings
        listener = DatagramListener(
            {
                EngineLoad: self._on_load,
                RefusedCallsReported: self._on_refused,
                NamedLimitsReported: self.context.limits.receive,
                RankDemandReported: self.context.ranks.receive,
            }
        )
        self._port = reactor.listenUDP(settings.link_port, listener, settings.address)

    def send_pending(self) -> None:
        """Tells the other entries what this entry has learned since the last sending.

        That is the fingerprints of calls refused here, limits that upstreams named, and the
        demand by urgency while calls are refused.
        """
        fingerprints = self.context.refused_calls.take_unsent()
        for refused in _batches(fingerprints, MAX_FINGERPRINTS):
            self._send_to_entries(RefusedCallsReported(refused))
        for limits in _batches(self.context.limits.take_pending(), MAX_LIMITS):
            self._send_to_entries(NamedLimitsReported(limits))
        for demand in self.context.ranks.take_reports():
            self._send_to_entries(demand)

    def _send_to_entries(self, message: EntryMessage) -> None:
        datagram = encode(message)
        settings = self.context.settings
        for entry in self.context.view.entries():
            if entry.address != settings.address:
                self._port.write(datagram, (entry.address, settings.link_port))

    def _on_load(self, load: EngineLoad) -> None:
        self.context.upstreams.apply_load(load, self.context.clock.seconds())

    def _on_refused(self, message: RefusedCallsReported) -> None:
        now_seconds = self.context.clock.seconds()
        for fingerprint in message.fingerprints:
            self.context.refused_calls.record(fingerprint, now_seconds)


def _batches(items: list[Any], most: int) -> list[list[Any]]:
    return [items[start : start + most] for start in range(0, len(items), most)]
