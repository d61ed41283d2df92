"""Links: authenticated websocket connections that carry messages between our processes.

A link wraps the sans-I/O core of the ``websockets`` library in a Twisted
protocol, so that one reactor drives all I/O and tests can pass in a clock. The
handshake has a time limit, frames and the outbound queue have size limits, and a
link without traffic is pinged, and closed when the peer stays silent.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Success
from twisted.internet import protocol
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from jackdawsail.clocks import Clock
from jackdawsail.loops import make_loop
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
    """Receives the events of a link."""

    def link_opened(self, link: 'Link') -> None:
        """Called once, when the handshake has authenticated both sides."""

    def link_received(self, link: 'Link', received: Any) -> None:
        """Called for every message, in the order in which the peer sent them."""

    def link_closed(self, link: 'Link', reason: str) -> None:
        """Called once when an opened link has ended."""


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of all links of a process: its identity, the site secret, the TLS context.

    Outgoing connections are bound to ``bind_address``; if it is empty, the kernel
    chooses the address. ``tls`` is None without certificates. A silent peer is
    pinged after ``keepalive_seconds``, and its link is dropped after
    ``silence_seconds``. After a lost link or a failed attempt the dialer waits at
    most ``redial_max_seconds`` before it connects again.
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
    """One end of a link; ``peer`` is None until the peer is authenticated."""

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
        self._received_seconds = clock.seconds()
        self._handshake_timer: Any = None
        self._keepalive_loop: Any = None
        self._fragments: list[bytes] = []
        self._close_reason = 'connection lost'

    @property
    def is_open(self) -> bool:
        """Returns whether the handshake is complete and messages can be sent."""
        return self.peer is not None and self._core.state is State.OPEN

    def send(self, sent: object) -> bool:
        """Queues a message; returns False if the link is not open or its queue is full.

        A full queue also aborts the link.
        """
        if not self.is_open:
            return False
        frame = encode(sent)
        count_sent(type(sent), len(frame))
        return self._send_frame(frame)

    def close(self, reason: str) -> None:
        """Sends what is queued, then closes the link.

        ``reason`` is reported to the owner and, cut to 100 characters, sent in the close frame.
        """
        self._close_reason = reason
        if self.transport is not None:
            if self._core.state is State.OPEN:
                self._core.send_close(1000, reason[:100])
                self._flush()
            self.transport.loseConnection()

    def abort(self, reason: str) -> None:
        """Drops the connection at once and discards what is queued."""
        self._close_reason = reason
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Starts the websocket handshake and its timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self.backlog, True)
        self._received_seconds = self._clock.seconds()
        self._handshake_timer = self._clock.callLater(HANDSHAKE_SECONDS, self._abort_handshake)
        if isinstance(self._core, ClientProtocol):
            self._core.send_request(self._core.connect())
        self._flush()

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Feeds the websocket core and handles the events that it returns."""
        self._received_seconds = self._clock.seconds()
        self.received_bytes += len(received)
        self._core.receive_data(received)
        for event in self._core.events_received():
            self._handle_event(event)
        self._flush()
        if self._core.parser_exc is not None or self._core.close_expected():
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Stops the timers and reports the end of an open link to the owner."""
        self._stop_timers()
        was_open = self.peer is not None
        self._core.receive_eof()
        if was_open:
            self._owner.link_closed(self, self._close_reason)

    def _handle_event(self, event: Request | Response | Frame) -> None:
        if isinstance(event, Request):
            self._accept_upgrade(event)
        elif isinstance(event, Frame):
            self._handle_frame(event)

    def _accept_upgrade(self, request: Request) -> None:
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
        body = b''.join(self._fragments)
        self._fragments.clear()
        self._handle_message(body)

    def _handle_message(self, body: bytes) -> None:
        outcome = decode(body)
        if not isinstance(outcome, Success):
            self.close(outcome.failure().reason)
            return
        received = outcome.unwrap()
        count_received(type(received), len(body))
        if self.peer is None:
            self._advance_handshake(received)
        else:
            self._owner.link_received(self, received)

    def _advance_handshake(self, received: object) -> None:
        outcome = self._handshake.step(received)
        if not isinstance(outcome, Success):
            self.close(outcome.failure().reason)
            return
        step = outcome.unwrap()
        if step.reply is not None:
            self._send_frame(encode(step.reply))
        if step.peer is None:
            return
        if self._settings.tls is not None and not _is_certificate_of(
            self.transport, step.peer.name
        ):
            self.close('certificate is of another host')
            return
        self._finish_handshake(step.peer)

    def _finish_handshake(self, peer: Identity) -> None:
        self.peer = peer
        self._handshake_timer.cancel()
        self._keepalive_loop = make_loop(self._clock, self._check_silence)
        self._keepalive_loop.start(self._settings.keepalive_seconds, now=False)
        self._owner.link_opened(self)

    def _check_silence(self) -> None:
        silent_seconds = self._clock.seconds() - self._received_seconds
        if silent_seconds > self._settings.silence_seconds:
            self.abort('peer is silent')
        elif silent_seconds > self._settings.keepalive_seconds and self._core.state is State.OPEN:
            self._core.send_ping(b'')
            self._flush()

    def _abort_handshake(self) -> None:
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
        if self._handshake_timer is not None and self._handshake_timer.active():
            self._handshake_timer.cancel()
        if self._keepalive_loop is not None and self._keepalive_loop.running:
            self._keepalive_loop.stop()


def _is_certificate_of(transport: Any, name: str) -> bool:
    # Imported only with certificates: the TLS libraries cost a process 100 ms and 15 MB.
    from jackdawsail.wire.tls import peer_common_name

    return peer_common_name(transport) == name


class LinkServerFactory(protocol.Factory):
    """Makes the accepting ends of links on a listening port."""

    def __init__(self, settings: LinkSettings, owner: LinkOwner, clock: Clock) -> None:
        self._settings = settings
        self._owner = owner
        self._clock = clock

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        """Returns the link of an accepted connection."""
        core = ServerProtocol(max_size=MAX_FRAME_BYTES)
        return Link(core, self._settings, self._owner, self._clock)


class LinkClientFactory(protocol.Factory):
    """Makes the connecting ends of links, for a dialer."""

    def __init__(self, settings: LinkSettings, owner: LinkOwner, clock: Clock) -> None:
        self._settings = settings
        self._owner = owner
        self._clock = clock

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        """Returns the link of an outgoing connection."""
        core = ClientProtocol(parse_uri('ws://jackdawsail/link'), max_size=MAX_FRAME_BYTES)
        return Link(core, self._settings, self._owner, self._clock)
