"""Datagrams to an entry: load reports of agents, and refusals of other entries.

Loss is tolerated. The next report replaces a lost one. After a lost refusal the caller's
retry counts as a first attempt.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success
from twisted.internet import protocol

from jackdawsail.proxy.context import ProxyContext
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.site_messages import EngineLoad, RefusedCallsTold

REFUSALS_INTERVAL_SECONDS = 0.05  # a tenth of the shortest retry time given to callers
MAX_FINGERPRINTS = 100  # per datagram, so that it fits into one packet

Handler = Callable[[Any], None]


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
        """Starts to receive load reports and refusals."""
        settings = self.context.settings
        listener = DatagramListener(
            {EngineLoad: self._on_load, RefusedCallsTold: self._on_refused}
        )
        self._port = reactor.listenUDP(settings.link_port, listener, settings.address)

    def send_refused(self) -> None:
        """Sends the other entries the fingerprints of calls refused here since the last sending."""
        fingerprints = self.context.refused_calls.take_unsent()
        settings = self.context.settings
        other_entries = [
            host for host in self.context.view.entries() if host.address != settings.address
        ]
        for start in range(0, len(fingerprints), MAX_FINGERPRINTS):
            datagram = encode(RefusedCallsTold(fingerprints[start : start + MAX_FINGERPRINTS]))
            for entry in other_entries:
                self._port.write(datagram, (entry.address, settings.link_port))

    def _on_load(self, load: EngineLoad) -> None:
        self.context.upstreams.apply_load(load, self.context.clock.seconds())

    def _on_refused(self, message: RefusedCallsTold) -> None:
        now_seconds = self.context.clock.seconds()
        for fingerprint in message.fingerprints:
            self.context.refused_calls.record(fingerprint, now_seconds)
