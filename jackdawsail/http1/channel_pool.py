"""A pool of client channels: opens connections and reuses idle ones."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol
from twisted.internet.error import ConnectionRefusedError as PeerRefusedError

from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_ledger import ChannelLedger
from jackdawsail.http1.client import ClientChannel

DEFAULT_KEEP_ALIVE_SECONDS = 2.0  # for upstreams that send no Keep-Alive timeout
KEEP_ALIVE_MARGIN_SECONDS = 0.7  # an idle channel is not reused this close to its timeout
CONNECT_SECONDS = 0.3  # 100 times the delay between regions, less than one SYN retransmission

OnOpened = Callable[[ClientChannel | None], None]
MakeChannelPool = Callable[..., 'ChannelPool']


class _ConnectAttempt(protocol.ClientFactory):
    """One attempt to connect; ``on_opened`` is called once, with None if it fails."""

    noisy = False

    def __init__(self, peer: str, on_opened: OnOpened, ledger: ChannelLedger) -> None:
        self._peer = peer
        self._on_opened: OnOpened | None = on_opened
        self._ledger = ledger
        ledger.connect_started(peer)

    def buildProtocol(self, addr: Any) -> ClientChannel:  # noqa: N802 - Twisted's name
        channel = _NotifyingChannel(self._peer)
        channel.on_connected = self._finish
        channel.on_lost = self._ledger.channel_ended
        return channel

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._finish(None)

    def _finish(self, channel: ClientChannel | None) -> None:
        on_opened = self._on_opened
        self._on_opened = None
        if on_opened is not None:
            self._ledger.connect_ended(self._peer, channel)
            on_opened(channel)


class _NotifyingChannel(ClientChannel):
    """A channel that calls ``on_connected`` once it is connected, and ``on_lost`` at its end."""

    on_connected: OnOpened = staticmethod(lambda channel: None)
    on_lost: Callable[[ClientChannel], None] = staticmethod(lambda channel: None)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        super().connectionMade()
        self.on_connected(self)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        self.on_lost(self)
        super().connectionLost(reason)


class RefusalCheck(protocol.ClientFactory):
    """One attempt to connect that only shows whether anything listens at the address."""

    noisy = False

    def __init__(self, on_checked: Callable[[bool], None]) -> None:
        self._on_checked = on_checked

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802 - Twisted's name
        """Returns the connection, which is closed once it is open."""
        return _CheckConnection(self._on_checked)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reports whether the host has refused the connection."""
        self._on_checked(reason is not None and reason.check(PeerRefusedError) is not None)


class _CheckConnection(protocol.Protocol):
    transport: Any

    def __init__(self, on_checked: Callable[[bool], None]) -> None:
        self._on_checked = on_checked

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self.transport.loseConnection()
        self._on_checked(False)


@dataclass(slots=True)
class _IdleChannel:
    channel: ClientChannel
    since_seconds: float


@dataclass(slots=True)
class ChannelPool:
    """Channels by address; the most recently used idle channel is reused first.

    ``connect_seconds`` is the timeout of one attempt to connect, and
    ``opened_count`` the number of attempts. With ``uses_tls`` the certificate of each
    server must be valid for its host.
    """

    reactor: Any
    clock: Clock
    bind_address: str = ''
    connect_seconds: float = CONNECT_SECONDS
    opened_count: int = 0
    uses_tls: bool = False
    _idle: dict[str, list[_IdleChannel]] = field(default_factory=dict)
    _ledger: ChannelLedger = field(default_factory=ChannelLedger)

    def acquire_idle(self, address: str) -> ClientChannel | None:
        """Returns an idle channel that the upstream should still hold open, or None."""
        idle = self._idle.get(address, [])
        while idle:
            latest = idle.pop()
            if not latest.channel.is_closed and self._is_usable(latest):
                return latest.channel
            latest.channel.close()
        return None

    def acquire(self, address: str, on_opened: OnOpened) -> None:
        """Passes an idle channel to ``on_opened`` at once, or a new one once it is open."""
        channel = self.acquire_idle(address)
        if channel is None:
            self.connect(address, on_opened)
        else:
            on_opened(channel)

    def connect(self, address: str, on_opened: OnOpened) -> Any:
        """Opens a channel; ``on_opened`` gets it, or None on an error or a timeout.

        Returns the Twisted connector, by which the attempt can be stopped.
        """
        host, _, port = address.rpartition(':')
        bind = (self.bind_address, 0) if self.bind_address else None
        self.opened_count += 1
        attempt = _ConnectAttempt(address, on_opened, self._ledger)
        if self.uses_tls:
            return self._connect_tls(host, int(port), attempt, bind)
        return self.reactor.connectTCP(host, int(port), attempt, self.connect_seconds, bind)

    def check_refused(self, address: str, on_checked: Callable[[bool], None]) -> None:
        """Passes to ``on_checked`` whether the host of an address refuses connections to it.

        It does so once no process listens there. A host that does not answer refuses nothing.
        """
        host, _, port = address.rpartition(':')
        bind = (self.bind_address, 0) if self.bind_address else None
        check = RefusalCheck(on_checked)
        self.reactor.connectTCP(host, int(port), check, self.connect_seconds, bind)

    def release(self, channel: ClientChannel) -> None:
        """Keeps a channel for another request if it is reusable."""
        if channel.reusable and not channel.is_closed:
            idle_channel = _IdleChannel(channel, self.clock.seconds())
            self._idle.setdefault(channel.peer, []).append(idle_channel)

    def open_count(self, address: str) -> int:
        """Returns the number of connecting, used and idle channels to an address."""
        return self._ledger.count(address)

    def idle_count(self, address: str) -> int:
        """Returns the number of idle channels to an address that are still open."""
        return sum(not idle.channel.is_closed for idle in self._idle.get(address, ()))

    def has_idle(self, address: str) -> bool:
        """Returns whether ``acquire_idle`` would return a channel."""
        return any(
            not idle.channel.is_closed and self._is_usable(idle)
            for idle in reversed(self._idle.get(address, ()))
        )

    def counts(self) -> dict[str, int]:
        """Returns the number of channels to all addresses by state."""
        idle_total = sum(map(self.idle_count, self._idle))
        used_total = self._ledger.open_total - idle_total
        return {
            'connecting': self._ledger.connecting_total,
            'used': used_total,
            'idle': idle_total,
        }

    def close_oldest(self, address: str, count: int) -> int:
        """Closes up to ``count`` of the idle channels unused for longest; returns how many.

        They are aborted, as a normal close is sent only after a new connection is begun, and the
        upstream would count both.
        """
        idle = self._idle.get(address, [])
        closed = 0
        while idle and closed < count:
            channel = idle.pop(0).channel
            if not channel.is_closed:
                closed += 1
                self._ledger.channel_ended(channel)
                channel.cancel()
        return closed

    def drop(self, address: str) -> None:
        """Closes all idle channels to an address."""
        for idle in self._idle.pop(address, []):
            idle.channel.close()

    def close_expired(self) -> None:
        """Closes idle channels that are too old for reuse."""
        for address, idle in list(self._idle.items()):
            usable = [
                idle_channel
                for idle_channel in idle
                if self._is_usable(idle_channel) and not idle_channel.channel.is_closed
            ]
            for idle_channel in idle:
                if idle_channel not in usable:
                    idle_channel.channel.close()
            self._idle[address] = usable

    def _connect_tls(self, host: str, port: int, attempt: _ConnectAttempt, bind: Any) -> Any:
        # Imported here, as the programs of the platform never use it and start faster without.
        from twisted.internet.ssl import optionsForClientTLS

        options = optionsForClientTLS(host)
        return self.reactor.connectSSL(host, port, attempt, options, self.connect_seconds, bind)

    def _is_usable(self, idle: _IdleChannel) -> bool:
        keep_alive_seconds = idle.channel.keep_alive.seconds or DEFAULT_KEEP_ALIVE_SECONDS
        idle_seconds = self.clock.seconds() - idle.since_seconds
        return idle_seconds < keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
