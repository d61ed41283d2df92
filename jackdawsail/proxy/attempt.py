"""One attempt of a call at one upstream: connects, sends and reads the answer.

The task that owns the attempt is called with the head, with parts of the body, and once
with the end. Until the request is written nothing can have run. Afterwards only the
upstream itself can confirm that the call did not run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import Any, Protocol

from returns.result import Failure, Result

from jackdawsail.clocks import Timeout
from jackdawsail.error_handling import ending_on_error
from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest
from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import UpstreamHead
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.prefix_placement import PrefixTrial
from jackdawsail.proxy.upstream_signals import record_signals
from jackdawsail.routing.upstreams import Upstream

SUCCESS = range(200, 300)

# The head of a refusal says all; its body is read only so that the channel can be reused.
REFUSAL_BODY_SECONDS = 0.1
REFUSAL_BODY_BYTES = 65_536
CONNECTION_ENDS = frozenset((BreakReason.closed, BreakReason.reset))
PROGRESS_BYTES = 512  # of an event; an engine that sends less within the time-out has stalled


MakeRequest = Callable[[], Result[HttpRequest, str]]


class AttemptEnd(StrEnum):
    """How an attempt failed, or why it was left.

    It got no connection, was broken off, was answered with a failure, was silent for too long or
    was recalled, or its engine is changing over to other weights.
    """

    unreached = 'unreached'
    broken = 'broken'
    answered = 'answered'
    silent = 'silent'
    recalled = 'recalled'
    changing = 'changing'


@dataclass(frozen=True, slots=True)
class ReceivedHead:
    """The head of an answer: ``raw`` as received, ``decoded`` by the codec of the site."""

    raw: HttpAnswerHead
    decoded: UpstreamHead


class AttemptOwner(Protocol):
    """The task that owns the attempts of a call and is called on their progress."""

    def attempt_sent(self, attempt: 'Attempt') -> None:
        """Called before the request is written; from now on it may run."""

    def attempt_head(self, attempt: 'Attempt', head: ReceivedHead) -> None:
        """Called with the head of the answer."""

    def attempt_body(self, attempt: 'Attempt', body: bytes) -> None:
        """Called with the next part of the answer's body, but not with that of a refusal."""

    def attempt_completed(self, attempt: 'Attempt') -> None:
        """Called at the end of a complete answer."""

    def attempt_failed(self, attempt: 'Attempt', end: AttemptEnd, reason: str) -> None:
        """Called once it is known that no complete answer will arrive."""

    def end_after_error(self) -> None:
        """Called after an error in the handling of the attempt or of its end."""


class Attempt:
    """One attempt; owns its channel to the upstream until the answer ends.

    ``sent_seconds`` is when the request was written, ``head_seconds`` when the head of an answer
    arrived that says that the request ran, ``begun_seconds`` the same of a success; both are None
    before that. ``received_events`` is the number of complete events since then.
    ``last_progress_seconds`` is when the answer last advanced, by its head, a complete event or
    PROGRESS_BYTES of one. ``prefix_trial`` is what its first event shows of kept prefixes.
    """

    prefix_trial: PrefixTrial | None = None

    def __init__(
        self, context: ProxyContext, owner: AttemptOwner, upstream: Upstream, attempt_id: str
    ) -> None:
        self.upstream = upstream
        self.weight_version = 0
        self.sent = False
        self.ended = False
        self.is_paused = False
        self.received_events = 0
        self.head: ReceivedHead | None = None
        self.started_seconds = context.clock.seconds()
        self.sent_seconds = self.started_seconds
        self.head_seconds: float | None = None
        self.begun_seconds: float | None = None
        self.last_progress_seconds = self.started_seconds
        self._context = context
        self._owner = owner
        self._attempt_id = attempt_id
        self._channel: ClientChannel | None = None
        self._connector: Any = None
        self._reused_channel = False
        self._refusal_bytes = 0
        self._unfinished_bytes = 0
        self._is_silent = False
        self._refusal_timeout = Timeout(context.clock, self._end_refusal)

    def start(self, make_request: MakeRequest, *, fresh_channel: bool) -> None:
        """Sends the request on an idle channel, or on a new one if ``fresh_channel`` is set.

        ``make_request`` is called right before the request is written; it returns why it must
        not be sent if its permission was withdrawn.
        """
        self.upstream.sends.pending += 1
        address = self.upstream.registration.address
        channel = None if fresh_channel else self._context.pool.acquire_idle(address)
        if channel is None:
            self._connect(make_request)
        else:
            self._reused_channel = True
            self._send(make_request, channel)

    def change_owner(self, owner: AttemptOwner) -> None:
        """Makes another task the owner, which is called from now on."""
        self._owner = owner

    def set_paused(self, is_paused: bool) -> None:
        """Stops or continues reading the answer, which the caller reads more slowly."""
        if is_paused == self.is_paused or self.ended:
            return
        self.is_paused = is_paused
        self.last_progress_seconds = self._context.clock.seconds()
        if self._channel is not None:
            if is_paused:
                self._channel.pause()
            else:
                self._channel.resume()

    def record_silence(self) -> None:
        """Counts a silent upstream as failed, until its answer advances again."""
        if not self._is_silent:
            self._is_silent = True
            self.upstream.call_failed(self._context.clock.seconds())

    def record_progress(self) -> None:
        """Records that the answer advances; the owner calls it for each complete event."""
        self.last_progress_seconds = self._context.clock.seconds()
        if self._is_silent:
            self._is_silent = False
            self.upstream.end_suspension(self.last_progress_seconds)
        self._unfinished_bytes = 0

    def cancel(self) -> None:
        """Abandons the attempt; closes the channel so that a running upstream notices at once."""
        if self.ended:
            return
        self._finish()
        if self._channel is not None:
            self._channel.cancel()
        elif self._connector is not None:
            self._connector.disconnect()

    @property
    def framing(self) -> str:
        """Returns what tells the end of the answer; empty before its head."""
        return '' if self.head is None else str(self.head.raw.framing)

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Handles the head; returns False if the answer belongs to another call.

        That can be an earlier call on this channel. A success that does not carry the id
        of the attempt is rejected as well.
        """
        decoded = self._context.codec.decode_head(head)
        is_other_call = bool(decoded.attempt) and decoded.attempt != self._attempt_id
        lacks_attempt_id = not decoded.attempt and head.status in SUCCESS
        if is_other_call or lacks_attempt_id:
            return False
        self.record_progress()
        self.head = ReceivedHead(head, decoded)
        if not self._reused_channel:
            self._context.channels.channel_answered(self.upstream)
        if not decoded.not_run:
            self.head_seconds = self.last_progress_seconds
            self.begun_seconds = self.head_seconds if head.status in SUCCESS else None
        if decoded.limit is not None or head.status in SUCCESS:
            self._context.limits.record(self.upstream, decoded.limit)
        record_signals(self._context, self.upstream, decoded)
        self._owner.attempt_head(self, self.head)
        if decoded.not_run and not self.ended:
            self._refusal_timeout.start(REFUSAL_BODY_SECONDS)
        return True

    def answer_body(self, body: bytes) -> None:
        """Handles the next part of the body."""
        if self.ended or self.head is None:
            return
        self._unfinished_bytes += len(body)
        if self._unfinished_bytes >= PROGRESS_BYTES:
            self.record_progress()
        if not self.head.decoded.not_run:
            self._owner.attempt_body(self, body)
            return
        self._refusal_bytes += len(body)
        if self._refusal_bytes > REFUSAL_BODY_BYTES:
            self._end_refusal()

    def answer_complete(self) -> None:
        """Handles the end of a complete answer and returns the channel to the pool."""
        channel = self._channel
        if self.ended:
            return
        self.set_paused(False)
        self._finish()
        with ending_on_error(self._owner.end_after_error):
            if channel is not None:
                self._context.pool.release(channel)
            self._owner.attempt_completed(self)

    def answer_failed(self, reason: BreakReason) -> None:
        """Handles the end of an incomplete answer.

        A reused channel that ends before the head may have been closed while idle, so the
        upstream is not blamed for it. It is for an answer that is garbled.
        """
        if self.ended:
            return
        self._finish()
        with ending_on_error(self._owner.end_after_error):
            if self.head is not None:
                metrics.ANSWERS.labels(self.framing, str(reason)).inc()
            if reason is BreakReason.reset:
                self._record_reset()
            may_have_been_closed = reason in CONNECTION_ENDS and self.head is None
            if not (self._reused_channel and may_have_been_closed):
                self.upstream.call_failed(self._context.clock.seconds())
            self._owner.attempt_failed(self, AttemptEnd.broken, str(reason))

    def _connect(self, make_request: MakeRequest) -> None:
        if self._context.channels.make_room(self.upstream):
            address = self.upstream.registration.address
            opened = partial(self._on_connected, make_request)
            self._connector = self._context.pool.connect(address, opened)
        else:
            self._finish()
            self._owner.attempt_failed(self, AttemptEnd.unreached, 'channels are in use')

    def _on_connected(self, make_request: MakeRequest, channel: ClientChannel | None) -> None:
        with ending_on_error(self._owner.end_after_error):
            self._handle_connected(make_request, channel)

    def _handle_connected(self, make_request: MakeRequest, channel: ClientChannel | None) -> None:
        if self.ended:
            if channel is not None:
                channel.close()
        elif channel is None:
            self._finish()
            self.upstream.call_failed(self._context.clock.seconds())
            self._owner.attempt_failed(self, AttemptEnd.unreached, 'no connection')
        else:
            self._send(make_request, channel)

    def _send(self, make_request: MakeRequest, channel: ClientChannel) -> None:
        request = make_request()
        if isinstance(request, Failure):
            channel.close()
            self._finish()
            self._owner.attempt_failed(self, AttemptEnd.unreached, request.failure())
            return
        self._channel = channel
        self.upstream.sends.pending -= 1
        self.sent = True
        self.sent_seconds = self._context.clock.seconds()
        self.last_progress_seconds = self.sent_seconds
        self.upstream.call_sent(self.sent_seconds)
        self._owner.attempt_sent(self)
        channel.send(request.unwrap(), self)
        if self.is_paused:
            channel.pause()

    def _record_reset(self) -> None:
        """Reports the reset of a new channel, on which nothing was received."""
        if not self._reused_channel and self.head is None:
            open_seconds = self._context.clock.seconds() - self.sent_seconds
            self._context.channels.channel_reset(self.upstream, open_seconds)

    def _end_refusal(self) -> None:
        """Abandons a refusal whose body does not end."""
        self.cancel()
        with ending_on_error(self._owner.end_after_error):
            self._owner.attempt_failed(self, AttemptEnd.broken, 'refusal without an end')

    def _finish(self) -> None:
        self.ended = True
        self._refusal_timeout.stop()
        if self.sent:
            self.upstream.calls -= 1
        else:
            self.upstream.sends.pending -= 1
