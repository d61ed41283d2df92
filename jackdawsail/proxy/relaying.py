"""Forwards an upstream's answer to the caller, never a part of it as if it were complete.

A plain answer is buffered and forwarded once it is complete, unless it is long. Of a
stream only complete events are forwarded, each at once. The head is sent with the first
event, so that the caller receives nothing from an upstream that fails before it.

A stream that ends inside an event was broken off, whatever its framing says: with neither
a length nor chunks, a connection that closes ends a whole stream and a truncated one alike.
"""

from typing import Protocol, TypeGuard

from jackdawsail.http1.event_frames import EventFrames
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import Framing, Headers, end_to_end_headers
from jackdawsail.proxy.attempt import SUCCESS, ReceivedHead
from jackdawsail.site.document import CallKind, Route

MAX_BUFFERED_BYTES = 262_144  # longer plain answers are forwarded as they arrive
_LENGTH = b'content-length'


class AnswerRelay(Protocol):
    """Forwards one answer to the caller.

    ``started`` is true once the caller has been sent a part of it. ``last_event`` is the id
    of the last forwarded event, 0 if there is none. ``unfinished_bytes`` is the size of what
    the upstream has sent after the last complete event, 0 for a plain answer.
    ``received_events`` is the number of complete events that all its upstreams have sent.
    """

    started: bool
    last_event: int
    weight_version: int
    can_resume: bool
    received_events: int

    @property
    def unfinished_bytes(self) -> int:
        """Returns the size of an incomplete event at the end of what was received."""

    def is_whole(self) -> bool:
        """Returns whether an answer that ends here is complete, as far as its content shows."""

    def forward(self, body: bytes) -> bool:
        """Handles the next part of the body; returns False if the answer must be given up."""

    def finish(self) -> None:
        """Ends the answer as complete."""

    def continue_from(self, head: ReceivedHead) -> None:
        """Continues with the answer of another upstream."""


def make_relay(exchange: Exchange, route: Route, head: ReceivedHead) -> AnswerRelay:
    """Returns the relay for the kind of an answer."""
    if route.kind is CallKind.stream and head.decoded.status in SUCCESS:
        return StreamRelay(exchange, head, can_resume=route.resumable)
    return PlainRelay(exchange, head)


def has_begun(relay: AnswerRelay | None) -> TypeGuard[AnswerRelay]:
    """Returns whether the caller has been sent a part of the answer."""
    return relay is not None and relay.started


def may_continue(route: Route, relay: AnswerRelay | None) -> bool:
    """Returns whether another upstream can continue what the caller has received."""
    if not route.may_repeat:
        return False
    return not has_begun(relay) or relay.can_resume


def cannot_continue(relay: AnswerRelay | None, head: ReceivedHead) -> bool:
    """Returns whether a begun stream got a failure from the upstream that should continue it."""
    is_resumed = has_begun(relay) and relay.can_resume
    return is_resumed and head.decoded.status not in SUCCESS


def is_cut_off(relay: AnswerRelay | None, head: ReceivedHead) -> bool:
    """Returns whether an answer has ended before its content was complete."""
    return relay is not None and _is_forwarded(head) and not relay.is_whole()


def unfinished_bytes(relay: AnswerRelay | None, head: ReceivedHead | None) -> int:
    """Returns the size of an incomplete event at the end of the answer with this head."""
    if relay is None or head is None or not _is_forwarded(head):
        return 0
    return relay.unfinished_bytes


def _is_forwarded(head: ReceivedHead) -> bool:
    return head.decoded.status in SUCCESS and not head.decoded.not_run


class PlainRelay:
    """Buffers an answer until it is complete, or longer than MAX_BUFFERED_BYTES."""

    def __init__(self, exchange: Exchange, head: ReceivedHead) -> None:
        self.started = False
        self.last_event = 0
        self.weight_version = head.decoded.weight_version
        self.can_resume = False
        self.received_events = 0
        self._exchange = exchange
        self._head = head
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def unfinished_bytes(self) -> int:
        """Returns 0, as a plain answer has no events."""
        return 0

    def is_whole(self) -> bool:
        """Returns True: only the framing of a plain answer shows its end."""
        return True

    def forward(self, body: bytes) -> bool:
        """Buffers a part, or forwards it once the answer is too long to be buffered."""
        if self.started:
            self._exchange.write(body)
            return True
        self._buffered.append(body)
        self._exchange.count_buffered(len(body))
        self._buffered_bytes += len(body)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._start()
        return True

    def finish(self) -> None:
        """Forwards what is buffered and ends the answer."""
        if not self.started:
            self._start()
        self._exchange.finish()

    def continue_from(self, head: ReceivedHead) -> None:
        """Fails, as a plain answer that has begun is never continued."""
        raise AssertionError('a plain answer cannot be continued by another upstream')

    def _start(self) -> None:
        self.started = True
        raw = self._head.raw
        self._exchange.start(raw.status, raw.reason, end_to_end_headers(raw.headers))
        self._exchange.write(b''.join(self._buffered))
        self._buffered.clear()


class StreamRelay:
    """Forwards complete events; can continue with another upstream after the last one."""

    def __init__(self, exchange: Exchange, head: ReceivedHead, *, can_resume: bool) -> None:
        self.started = False
        self.last_event = 0
        self.weight_version = head.decoded.weight_version
        self.can_resume = can_resume
        self.received_events = 0
        self._exchange = exchange
        self._head = head
        self._framing = head.raw.framing
        self._has_events = False
        self._frames = EventFrames()

    @property
    def unfinished_bytes(self) -> int:
        """Returns the size of an incomplete event after the last complete one."""
        return self._frames.unfinished_bytes

    def is_whole(self) -> bool:
        """Returns whether the last event is complete.

        An answer without any event is whole only if its framing says so. One that ends with
        its connection may have been broken off before its first event.
        """
        if self.unfinished_bytes:
            return False
        return self._has_events or self._framing is not Framing.connection

    def forward(self, body: bytes) -> bool:
        """Forwards the events that are now complete, except those forwarded before.

        Returns False once the next event is too long to be buffered.
        """
        forwarded = []
        for frame in self._frames.feed(body):
            self._has_events = self._has_events or frame.has_fields
            self.received_events += frame.has_fields
            if frame.number and frame.number <= self.last_event:
                continue
            self.last_event = frame.number or self.last_event
            forwarded.append(frame.body)
        # Comments before the first event are dropped, so that they do not begin the answer.
        if forwarded and (self.started or self._has_events):
            self._start()
            self._exchange.write(b''.join(forwarded))
        return not self._frames.is_too_long

    def finish(self) -> None:
        """Forwards blank lines after the last event and ends the stream as complete."""
        self._start()
        self._exchange.write(self._frames.remainder)
        self._exchange.finish()

    def continue_from(self, head: ReceivedHead) -> None:
        """Continues with the events of another upstream; the caller has the first head already."""
        self._framing = head.raw.framing
        self._has_events = False
        self._frames = EventFrames()

    def _start(self) -> None:
        if self.started:
            return
        self.started = True
        raw = self._head.raw
        self._exchange.start(raw.status, raw.reason, _without_length(raw.headers))


def _without_length(headers: Headers) -> Headers:
    """Drops the length, as a resumed stream may differ from its first upstream's length."""
    return tuple(pair for pair in end_to_end_headers(headers) if pair[0].lower() != _LENGTH)
