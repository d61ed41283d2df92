"""Opens outgoing channels and keeps idle ones for the next request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol

from jackdawsail.clocks import Clock
from jackdawsail.http1.client import ClientChannel

UNKNOWN_KEEP_SECONDS = 2.0  # assumed of upstreams that do not say how long they keep channels
KEEP_MARGIN_SECONDS = 0.7  # a channel is not used in the last moments before it is closed
CONNECT_SECONDS = 0.3  # a hundred times the delay between regions, under one SYN retransmission

Opened = Callable[[ClientChannel | None], None]


class _Connecting(protocol.ClientFactory):
    """One attempt to connect; ``opened`` is called once, with None on failure."""

    noisy = False

    def __init__(self, peer: str, opened: Opened) -> None:
        self._peer = peer
        self._opened: Opened | None = opened

    def buildProtocol(self, addr: Any) -> ClientChannel:  # noqa: N802 - Twisted's name
        channel = _AnnouncedChannel(self._peer)
        channel.on_made = self._finish
        return channel

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._finish(None)

    def _finish(self, channel: ClientChannel | None) -> None:
        opened = self._opened
        self._opened = None
        if opened is not None:
            opened(channel)


class _AnnouncedChannel(ClientChannel):
    """A channel that tells when it is connected."""

    on_made: Opened = staticmethod(lambda channel: None)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        super().connectionMade()
        self.on_made(self)


@dataclass(slots=True)
class _Idle:
    channel: ClientChannel
    since_seconds: float


@dataclass(slots=True)
class ChannelPool:
    """Channels by address; idle ones are used again, the latest first."""

    reactor: Any
    clock: Clock
    bind_address: str = ''
    connect_seconds: float = CONNECT_SECONDS
    opened_count: int = 0
    _idle: dict[str, list[_Idle]] = field(default_factory=dict)

    def acquire_idle(self, address: str) -> ClientChannel | None:
        """Returns a kept channel that the other side should still keep open, or None."""
        idle = self._idle.get(address, [])
        while idle:
            found = idle.pop()
            if not found.channel.lost and self._is_fresh(found):
                return found.channel
            found.channel.close()
        return None

    def connect(self, address: str, opened: Opened) -> Any:
        """Opens a channel; ``opened`` gets it, or None if that fails in time."""
        host, _, port = address.rpartition(':')
        bind = (self.bind_address, 0) if self.bind_address else None
        self.opened_count += 1
        return self.reactor.connectTCP(
            host, int(port), _Connecting(address, opened), self.connect_seconds, bind
        )

    def release(self, channel: ClientChannel) -> None:
        """Keeps a channel for another request if it can carry one."""
        if channel.reusable and not channel.lost:
            kept = _Idle(channel, self.clock.seconds())
            self._idle.setdefault(channel.peer, []).append(kept)

    def drop(self, address: str) -> None:
        """Closes the idle channels to an address."""
        for idle in self._idle.pop(address, []):
            idle.channel.close()

    def close_expired(self) -> None:
        """Closes idle channels that would not be used any more."""
        for address, idle in list(self._idle.items()):
            fresh = [one for one in idle if self._is_fresh(one) and not one.channel.lost]
            for one in idle:
                if one not in fresh:
                    one.channel.close()
            self._idle[address] = fresh

    def _is_fresh(self, idle: _Idle) -> bool:
        keep_seconds = idle.channel.keep.seconds or UNKNOWN_KEEP_SECONDS
        idle_seconds = self.clock.seconds() - idle.since_seconds
        return idle_seconds < keep_seconds - KEEP_MARGIN_SECONDS
