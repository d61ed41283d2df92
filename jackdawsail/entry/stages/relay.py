"""Ninth stage: relays the answer to the caller, streamed or whole, never silently truncated.

A whole answer is sent only after its check. A stream ends with a ``done`` event,
or with an ``error`` event and a dropped connection. A caller that reads too
slowly is dropped once its buffer is full, and its stream is cancelled.
"""

import json
from collections.abc import Callable
from typing import Any

from jackdawsail.entry.call import AnswerBuffer, Call, CallKind, Problem, WholeAnswer
from jackdawsail.entry.http_answers import HttpAnswer
from jackdawsail.entry.metrics import TOKENS
from jackdawsail.routing.dispatch_effects import BeginAnswer, FinishRequest, ForwardPart
from jackdawsail.wire.work_messages import Outcome

UNAVAILABLE = 503
BAD_GATEWAY = 502
TOO_MANY_REQUESTS = 429
MAX_UNREAD_BYTES = 256 * 1024
MIN_RETRY_AFTER_SECONDS = 0.2
_OVERLOAD_REASONS = frozenset(('customer-queue-full',))

OnEnded = Callable[[Call, Outcome, WholeAnswer | None], None]


def problem_of(finish: FinishRequest) -> Problem:
    """Returns the problem of a request without a whole answer.

    A request that was not run gets a Retry-After time.
    """
    if finish.outcome is Outcome.unknown:
        detail = 'the request may have run; it has no whole answer'
        return Problem(BAD_GATEWAY, finish.reason, Outcome.unknown, detail)
    status = TOO_MANY_REQUESTS if finish.reason in _OVERLOAD_REASONS else UNAVAILABLE
    retry_seconds = max(MIN_RETRY_AFTER_SECONDS, finish.retry_after_seconds)
    detail = 'the request was not run'
    return Problem(status, finish.reason, Outcome.not_run, detail, retry_seconds)


class WholeRelay:
    """Buffers the answer and sends it only if it is complete and checked."""

    def __init__(self, call: Call, http: HttpAnswer, on_ended: OnEnded) -> None:
        self._call = call
        self._http = http
        self._on_ended = on_ended
        self._tokens = TOKENS.labels(call.backend, call.customer)
        self._buffer = AnswerBuffer()
        self._status = 0
        self._content_type = ''
        self._release = ''

    def begin(self, begun: BeginAnswer) -> None:
        """Stores the head of the answer."""
        self._status = begun.head.status
        self._content_type = begun.head.content_type
        self._release = begun.head.release

    def send_part(self, part: ForwardPart) -> None:
        """Buffers a part and counts its tokens."""
        self._tokens.inc(part.tokens)
        self._buffer.add(part.body)

    def finish(self, finish: FinishRequest) -> None:
        """Settles the call, then sends the answer or the problem."""
        if finish.outcome is not Outcome.done:
            self._on_ended(self._call, finish.outcome, None)
            self._http.send_problem(problem_of(finish))
            return
        answer = self._whole_answer(finish)
        self._on_ended(self._call, Outcome.done, answer)
        self._http.send_whole(answer)

    def _whole_answer(self, finish: FinishRequest) -> WholeAnswer:
        body = self._buffer.joined()
        content_type = self._content_type
        if self._call.kind is CallKind.generate and content_type == 'text/event-stream':
            content_type = 'application/json'
            text = body.decode('utf8', 'replace')
            document = {'text': text, 'tokens': finish.tokens, 'release': self._release}
            body = json.dumps(document).encode()
        return WholeAnswer(self._status, content_type, body, self._release, finish.tokens)


class StreamRelay:
    """Sends server-sent events as tokens arrive; a part without tokens is sent unchanged."""

    def __init__(self, call: Call, http: HttpAnswer, on_ended: OnEnded, cancel: Any) -> None:
        self._call = call
        self._http = http
        self._on_ended = on_ended
        self._cancel = cancel
        self._tokens = TOKENS.labels(call.backend, call.customer)
        self._position = call.resume_from
        self._release = ''
        self._status = 0

    def begin(self, begun: BeginAnswer) -> None:
        """Sends the headers of the stream."""
        self._release = begun.head.release
        self._status = begun.head.status
        self._http.begin_stream(begun.head.content_type, begun.head.status, self._release)

    def send_part(self, part: ForwardPart) -> None:
        """Sends one event, and cancels the request if too many bytes are unread."""
        self._position += part.tokens
        self._tokens.inc(part.tokens)
        if not part.tokens:
            self._http.write(part.body)
            return
        document = {'text': part.body.decode('utf8', 'replace'), 'position': self._position}
        self._http.write(b'data: ' + json.dumps(document).encode() + b'\n\n')
        if self._http.unread_bytes > MAX_UNREAD_BYTES:
            self._cancel(self._call.request_id, 'reader-too-slow')

    def finish(self, finish: FinishRequest) -> None:
        """Settles the call, then sends the ``done`` event or breaks the stream off."""
        self._on_ended(self._call, finish.outcome, None)
        if finish.outcome is Outcome.done:
            document = {'done': True, 'tokens': self._position, 'release': self._release}
            self._http.end_stream(b'data: ' + json.dumps(document).encode() + b'\n\n')
            return
        self._http.break_stream(problem_of(finish))
