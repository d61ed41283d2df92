"""Moves a stream to another engine without giving up the one that it has.

A stream may leave an engine that has not failed: one that is silent, which may go on at any
moment, or one that is about to load other weights. The other engine may refuse the rest, get
it too late, break it off or fall silent itself. So the stream stays where it is until the
other engine has sent an event. For a while an engine that still sends is not read, so that the
rest begins after the last event that the caller has received. After that both are read, and the
first event of either one decides.
"""

from typing import Protocol

from jackdawsail.error_handling import ending_on_error
from jackdawsail.http1.event_frames import MAX_EVENT_BYTES, EventFrames
from jackdawsail.http1.messages import Framing
from jackdawsail.proxy.attempt import SUCCESS, Attempt, AttemptEnd, ReceivedHead
from jackdawsail.proxy.dispatching import (
    DispatchedCall,
    find_alternative,
    make_attempt,
    record_sent,
    start_attempt,
)
from jackdawsail.proxy.outgoing import make_selection
from jackdawsail.routing.placement import Choice

# An engine that changes over still sends, so its caller waits no longer than for a silent one.
PAUSE_TIMEOUT_SECONDS = 0.8


class HandoverCall(DispatchedCall, Protocol):
    """The task of a stream, as a handover uses it.

    ``attempt`` is the one whose answer is forwarded, ``handover`` the one that may replace it.
    ``left`` is why the last engine was left that had not failed.
    """

    attempt: Attempt | None
    handover: 'Handover | None'
    left: str

    def end_after_error(self) -> None:
        """Ends the call with an answer after an error in its handling."""

    def adopt(self, attempt: Attempt, received: bytes) -> None:
        """Continues with the answer of another attempt, of which some was received already."""


class Handover:
    """One try to continue a stream at another engine; owns the attempt there until it is ready.

    ``end`` is why the stream is to leave its engine, ``details`` says more for the log, and
    ``received`` is what the other engine has sent of its answer.
    """

    def __init__(self, call: HandoverCall, choice: Choice, end: AttemptEnd, details: str) -> None:
        self.end = end
        self.details = details
        self.started_seconds = call.context.clock.seconds()
        self.received = bytearray()
        self._call = call
        self._frames = EventFrames()
        self._reads_both = False
        self.attempt = make_attempt(call, choice, make_selection(call), self)

    @property
    def pauses_engine(self) -> bool:
        """Returns whether the engine that the stream has is not read meanwhile."""
        return self.end is AttemptEnd.changing and not self._reads_both

    def pauses_too_long(self, now_seconds: float) -> bool:
        """Returns whether the engine that the stream has must be read again."""
        paused_seconds = now_seconds - self.started_seconds
        return self.pauses_engine and paused_seconds >= PAUSE_TIMEOUT_SECONDS

    def read_both(self) -> None:
        """Reads the engine that the stream has again; the first event of either one decides."""
        self._reads_both = True
        if self._call.attempt is not None:
            self._call.attempt.set_paused(self._call.exchange.is_full)

    def attempt_sent(self, attempt: Attempt) -> None:
        """Records that the call may run at the other engine too."""
        record_sent(self._call, attempt)

    def attempt_head(self, attempt: Attempt, head: ReceivedHead) -> None:
        """Waits for the first event, or for the end of a refusal."""
        if head.decoded.not_run:
            self._call.sends.record_not_run(attempt.upstream.name)

    def attempt_body(self, attempt: Attempt, body: bytes) -> None:
        """Keeps what the other engine sends until its first event is complete."""
        self.received += body
        events = self._frames.feed(body)
        if attempt.head is not None and attempt.head.decoded.status in SUCCESS:
            if any(frame.has_fields for frame in events):
                complete_handover(self._call)
                return
        if len(self.received) > MAX_EVENT_BYTES:
            give_up_handover(self._call, AttemptEnd.broken, 'event is too long')

    def attempt_completed(self, attempt: Attempt) -> None:
        """Takes an answer without any event for the end of the stream if its framing says so."""
        head = attempt.head
        if head is None:
            return
        status = head.decoded.status
        is_whole = head.raw.framing is not Framing.connection and not self._frames.remainder
        if status in SUCCESS and is_whole:
            complete_handover(self._call)
        else:
            give_up_handover(self._call, AttemptEnd.answered, f'status {status}')

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Keeps the stream at its engine, as the other one was not reached or has broken off."""
        if self._call.handover is self:
            give_up_handover(self._call, end, reason)
        else:
            # An error has kept the call from taking over this attempt.
            self._call.end_after_error()

    def end_after_error(self) -> None:
        """Keeps the stream at its engine, or ends the call if it has left that already."""
        if self._call.handover is self:
            give_up_handover(self._call, AttemptEnd.broken, 'internal error')
        else:
            self._call.end_after_error()


def start_handover(call: HandoverCall, choice: Choice, end: AttemptEnd, details: str) -> None:
    """Offers the rest of a stream to the chosen engine."""
    handover = Handover(call, choice, end, details)
    call.handover = handover
    call.log.handover_started(handover.attempt, details)
    if call.attempt is not None and handover.pauses_engine:
        call.attempt.set_paused(True)
    with ending_on_error(handover.end_after_error):
        start_attempt(call, handover.attempt)


def take_retry(call: HandoverCall) -> bool:
    """Returns whether another upstream has the call already, or may get it.

    A call that may go to a further upstream takes that from the retry budget.
    """
    if call.handover is not None:
        return True
    return find_alternative(call) is not None and call.sends.take_further_upstream()


def complete_handover(call: HandoverCall) -> bool:
    """Continues a stream with the engine that it was offered to, and leaves the one it had.

    Returns False if it was offered to none.
    """
    handover, left = call.handover, call.attempt
    if handover is None:
        return False
    call.handover = None
    if left is not None and not left.ended:
        left.cancel()
        call.left = str(handover.end)
        call.log.attempt_ended(left, handover.details, call.relay)
    call.adopt(handover.attempt, bytes(handover.received))
    return True


def give_up_handover(call: HandoverCall, end: AttemptEnd, reason: str) -> None:
    """Keeps a stream at the engine that it has, and abandons the attempt at the other one."""
    handover = call.handover
    if handover is None:
        return
    call.handover = None
    handover.attempt.cancel()
    call.log.attempt_ended(handover.attempt, f'handover {end} {reason}', None)
    if call.attempt is not None:
        call.attempt.set_paused(call.exchange.is_full)
    call.sends.decline(handover.attempt.upstream.name)
    if end is AttemptEnd.broken and call.sends.ran_at(handover.attempt.upstream.name):
        call.sends.awaits_cause = True
        call.context.traits.answer_broken(call.identity, handover.attempt, call.sends.record_risk)
