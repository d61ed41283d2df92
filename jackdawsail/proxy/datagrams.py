"""Receives the agents' reports of their engines, one a datagram."""

from collections.abc import Callable
from typing import Any

from returns.result import Success
from twisted.internet import protocol

from jackdawsail.wire.codec import decode
from jackdawsail.wire.site_messages import EngineLoad


class LoadListener(protocol.DatagramProtocol):
    """Hands reports on; a datagram that cannot be read is dropped, as a lost one would be."""

    noisy = False

    def __init__(self, take: Callable[[EngineLoad], None]) -> None:
        self._take = take

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802 - Twisted's name
        """Takes one report."""
        outcome = decode(datagram)
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), EngineLoad):
            self._take(outcome.unwrap())
