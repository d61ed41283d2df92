"""Links: websocket connections that carry typed messages between our processes.

A link wraps the sans-I/O core of the ``websockets`` library in a Twisted
protocol, so that one reactor drives everything and tests may pass in a clock.
The handshake is bounded in time, frames are bounded in size, the outbound queue
is bounded in bytes, and an idle link is probed and closed when it stays silent.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Success
from twisted.internet import protocol
from twisted.internet.task import LoopingCall
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from jackdawsail.clocks import Clock
from jackdawsail.wire.backlog import Backlog
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.handshake import Handshake
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.traffic import count_received, count_sent

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_QUEUE_BYTES = 32 * 1024 * 1024
HANDSHAKE_SECONDS = 5.0
KEEPALIVE_SECONDS = 2.0
SILENCE_SECONDS = 7.0
CONNECT_SECONDS = 2.0
REDIAL_MAX_SECONDS = 2.0


class LinkOwner(Protocol):
    """The task that owns a link and receives its events."""

    def link_opened(self, link: 'Link') -> None:
        """Called once, when both sides have proved themselves."""

    def link_received(self, link: 'Link', received: Any) -> None:
        """Called for every message, in order."""

    def link_closed(self, link: 'Link', reason: str) -> None:
        """Called once after ``link_opened``, when the link has ended."""


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """What every link of a process shares: its identity, the site secret, the TLS context.

    Links are dialled from ``bind_address``; empty lets the kernel choose. ``tls``
    is None without certificates. A peer that stays silent is probed after
    ``keepalive_seconds`` and given up after ``silence_seconds``; a lost link is
    dialled again after at most ``redial_max_seconds``.
    """

    identity: Identity
    secret: bytes
    bind_address: str = ''
    tls: Any = None
    keepalive_seconds: float = KEEPALIVE_SECONDS
    silence_seconds: float = SILENCE_SECONDS
    connect_seconds: float = CONNECT_SECONDS
    redial_max_seconds: float = REDIAL_MAX_SECONDS


class Link(protocol.Protocol):
    """One authenticated connection; ``peer`` is set before ``link_opened``."""

    transport: Any

    def __init__(
        self,
        core: ClientProtocol | ServerProtocol,
        settings: LinkSettings,
        owner: LinkOwner,
        clock: Clock,
    ) -> None:
        self.peer: Identity | None = None
        self.received_bytes = 0
        self.backlog = Backlog()
        self._core = core
        self._settings = settings
        self._owner = owner
        self._clock = clock
        self._handshake = Handshake(settings.identity, settings.secret)
        self._silent_since_seconds = clock.seconds()
        self._deadline: Any = None
        self._keepalive: Any = None
        self._fragments: list[bytes] = []
        self._close_reason = 'connection lost'

    @property
    def is_open(self) -> bool:
        """Tells whether messages can be sent now."""
        return self.peer is not None and self._core.state is State.OPEN

    def send(self, sent: object) -> bool:
        """Queues a message; returns False when the link is closed or overfull."""
        if not self.is_open:
            return False
        frame = encode(sent)
        count_sent(type(sent), len(frame))
        return self._send_frame(frame)

    def close(self, reason: str) -> None:
        """Closes the link; the owner is told the reason."""
        self._close_reason = reason
        if self.transport is not None:
            if self._core.state is State.OPEN:
                self._core.send_close(1000, reason[:100])
                self._flush()
            self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """Drops the connection at once, without sending what is queued."""
        self._close_reason = reason
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Starts the websocket handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self.backlog, True)
        self._silent_since_seconds = self._clock.seconds()
        self._deadline = self._clock.callLater(HANDSHAKE_SECONDS, self._handshake_late)
        if isinstance(self._core, ClientProtocol):
            self._core.send_request(self._core.connect())
        self._flush()

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Feeds the websocket core and handles what it understood."""
        self._silent_since_seconds = self._clock.seconds()
        self.received_bytes += len(received)
        self._core.receive_data(received)
        for event in self._core.events_received():
            self._handle_event(event)
        self._flush()
        if self._core.parser_exc is not None or self._core.close_expected():
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Tells the owner that the link has ended."""
        self._stop_timers()
        was_open = self.peer is not None
        self._core.receive_eof()
        if was_open:
            self._owner.link_closed(self, self._close_reason)

    def _handle_event(self, event: Request | Response | Frame) -> None:
        if isinstance(event, Request):
            self._accept(event)
        elif isinstance(event, Frame):
            self._handle_frame(event)

    def _accept(self, request: Request) -> None:
        server = self._core
        if not isinstance(server, ServerProtocol):
            return
        server.send_response(server.accept(request))
        self._flush()
        if server.state is State.OPEN:
            self._send_frame(encode(self._handshake.challenge()))

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode not in {Opcode.BINARY, Opcode.CONT}:
            return
        self._fragments.append(bytes(frame.data))
        if not frame.fin:
            return
        whole = b''.join(self._fragments)
        self._fragments.clear()
        self._handle_message(whole)

    def _handle_message(self, whole: bytes) -> None:
        outcome = decode(whole)
        if not isinstance(outcome, Success):
            self.close(outcome.failure().reason)
            return
        received = outcome.unwrap()
        count_received(type(received), len(whole))
        if self.peer is None:
            self._shake_hands(received)
        else:
            self._owner.link_received(self, received)

    def _shake_hands(self, received: object) -> None:
        outcome = self._handshake.step(received)
        if not isinstance(outcome, Success):
            self.close(outcome.failure().reason)
            return
        step = outcome.unwrap()
        if step.reply is not None:
            self._send_frame(encode(step.reply))
        if step.peer is None:
            return
        if self._settings.tls is not None and not _certificate_names(
            self.transport, step.peer.name
        ):
            self.close('certificate is of another host')
            return
        self._open(step.peer)

    def _open(self, peer: Identity) -> None:
        self.peer = peer
        self._deadline.cancel()
        self._keepalive = LoopingCall(self._probe)
        self._keepalive.clock = self._clock
        self._keepalive.start(self._settings.keepalive_seconds, now=False)
        self._owner.link_opened(self)

    def _probe(self) -> None:
        silent_seconds = self._clock.seconds() - self._silent_since_seconds
        if silent_seconds > self._settings.silence_seconds:
            self.abort('peer is silent')
        elif silent_seconds > self._settings.keepalive_seconds and self._core.state is State.OPEN:
            self._core.send_ping(b'')
            self._flush()

    def _handshake_late(self) -> None:
        self.abort('handshake timed out')

    def _send_frame(self, body: bytes) -> bool:
        if self._core.state is not State.OPEN:
            return False
        if self.backlog.unsent_bytes > MAX_QUEUE_BYTES:
            self.abort('outbound queue is full')
            return False
        self._core.send_binary(body)
        self._flush()
        return True

    def _flush(self) -> None:
        for chunk in self._core.data_to_send():
            if chunk:
                self.backlog.count(len(chunk))
                self.transport.write(chunk)
            else:
                self.transport.loseConnection()

    def _stop_timers(self) -> None:
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        if self._keepalive is not None and self._keepalive.running:
            self._keepalive.stop()


def _certificate_names(transport: Any, name: str) -> bool:
    # Imported late: the TLS libraries cost a process without certificates 100 ms and 15 MB.
    from jackdawsail.wire.tls import peer_common_name

    return peer_common_name(transport) == name


class LinkServerFactory(protocol.Factory):
    """Accepts links on a listening port."""

    def __init__(self, settings: LinkSettings, owner: LinkOwner, clock: Clock) -> None:
        self._settings = settings
        self._owner = owner
        self._clock = clock

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        """Makes the accepting end of a link."""
        core = ServerProtocol(max_size=MAX_FRAME_BYTES)
        return Link(core, self._settings, self._owner, self._clock)


class LinkClientFactory(protocol.Factory):
    """Makes the connecting end of links."""

    def __init__(self, settings: LinkSettings, owner: LinkOwner, clock: Clock) -> None:
        self._settings = settings
        self._owner = owner
        self._clock = clock

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        """Makes the connecting end of a link."""
        core = ClientProtocol(parse_uri('ws://jackdawsail/link'), max_size=MAX_FRAME_BYTES)
        return Link(core, self._settings, self._owner, self._clock)
