"""Passes an upstream's answer on to the caller, whole or not at all.

A plain answer is passed on once it is whole, unless it is long. Of a stream only
whole events are passed on, each at once; the head goes with the first of them, so
that an upstream which fails before leaves the caller untouched.
"""

from typing import Protocol

from jackdawsail.http1.messages import Headers, end_to_end_headers
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy.attempt import SUCCESS, ReceivedHead
from jackdawsail.proxy.event_frames import EventFrames
from jackdawsail.site.document import CallKind, Route

HELD_BYTES = 262_144  # longer plain answers are passed on as they come
_LENGTH = b'content-length'


class AnswerRelay(Protocol):
    """The way of one answer to the caller."""

    started: bool
    last_event: int
    weight_version: int
    can_resume: bool

    def take(self, piece: bytes) -> None:
        """Takes a piece of the body."""

    def finish(self) -> None:
        """Ends the answer as a whole one."""

    def go_on(self, head: ReceivedHead) -> None:
        """Goes on with the answer of another upstream."""


def make_relay(exchange: Exchange, route: Route, head: ReceivedHead) -> AnswerRelay:
    """Makes the relay that fits an answer."""
    if route.kind is CallKind.stream and head.meaning.status in SUCCESS:
        return StreamRelay(exchange, head, can_resume=route.resumable)
    return PlainRelay(exchange, head)


def cannot_continue(relay: AnswerRelay | None, head: ReceivedHead) -> bool:
    """Tells whether a stream that has begun got a failure from the upstream that goes on."""
    begun = relay is not None and relay.started and relay.can_resume
    return begun and head.meaning.status not in SUCCESS


class PlainRelay:
    """Holds an answer until it is whole."""

    def __init__(self, exchange: Exchange, head: ReceivedHead) -> None:
        self.started = False
        self.last_event = 0
        self.weight_version = head.meaning.weight_version
        self.can_resume = False
        self._exchange = exchange
        self._head = head
        self._held: list[bytes] = []
        self._held_bytes = 0

    def take(self, piece: bytes) -> None:
        """Holds a piece, or passes it on if the answer is long."""
        if self.started:
            self._exchange.write(piece)
            return
        self._held.append(piece)
        self._held_bytes += len(piece)
        if self._held_bytes > HELD_BYTES:
            self._start()

    def finish(self) -> None:
        """Passes the whole answer on."""
        if not self.started:
            self._start()
        self._exchange.finish()

    def go_on(self, head: ReceivedHead) -> None:
        """Cannot be: an answer that has begun is not continued."""
        raise AssertionError('a plain answer is not continued')

    def _start(self) -> None:
        self.started = True
        raw = self._head.raw
        self._exchange.start(raw.status, raw.reason, end_to_end_headers(raw.headers))
        self._exchange.write(b''.join(self._held))
        self._held.clear()


class StreamRelay:
    """Passes whole events on; goes on with another upstream after the last one."""

    def __init__(self, exchange: Exchange, head: ReceivedHead, *, can_resume: bool) -> None:
        self.started = False
        self.last_event = 0
        self.weight_version = head.meaning.weight_version
        self.can_resume = can_resume
        self._exchange = exchange
        self._head = head
        self._frames = EventFrames()

    def take(self, piece: bytes) -> None:
        """Passes the events on that are whole now; one that was passed on before is dropped."""
        passed = []
        for frame in self._frames.feed(piece):
            if frame.number and frame.number <= self.last_event:
                continue
            self.last_event = frame.number or self.last_event
            passed.append(frame.body)
        if passed:
            self._start()
            self._exchange.write(b''.join(passed))

    def finish(self) -> None:
        """Ends the stream as a whole one."""
        self._start()
        self._exchange.write(self._frames.rest)
        self._exchange.finish()

    def go_on(self, head: ReceivedHead) -> None:
        """Takes the events of another upstream; the caller keeps the first head."""
        self._frames = EventFrames()

    def _start(self) -> None:
        if self.started:
            return
        self.started = True
        raw = self._head.raw
        self._exchange.start(raw.status, raw.reason, _without_length(raw.headers))


def _without_length(headers: Headers) -> Headers:
    """Drops the length: a resumed stream need not have the length of its first upstream."""
    return tuple(pair for pair in end_to_end_headers(headers) if pair[0].lower() != _LENGTH)
