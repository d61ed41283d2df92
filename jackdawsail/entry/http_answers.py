"""Writes one HTTP answer to a caller: whole, streamed or a problem document."""

import json
import math
from collections.abc import Callable
from typing import Any

from jackdawsail.entry.call import Problem, WholeAnswer
from jackdawsail.wire.work_messages import Outcome

PROBLEM_TYPE = 'application/problem+json'
PROBLEM_BASE = 'urn:jackdawsail:problem:'


class HttpAnswer:
    """Owns the caller's request object until it is answered or disconnected.

    ``on_left`` is called once if the caller disconnects before the end of its answer.
    """

    def __init__(self, request: Any, request_id: str, on_left: Callable[[], None]) -> None:
        self._request = request
        self.request_id = request_id
        self._on_left = on_left
        self._stream_started = False
        self._ended = False
        self._unread_parts: list[bytes] = []
        self._is_paused = False
        self._delayed_call: Any = None
        self.unread_bytes = 0
        request.notifyFinish().addBoth(self._on_finished)

    @property
    def is_closed(self) -> bool:
        """Returns whether the answer was sent or the caller has disconnected."""
        return self._ended

    def cancel_when_ended(self, delayed_call: Any) -> None:
        """Registers a delayed call that is cancelled when the request ends."""
        self._delayed_call = delayed_call

    def send_whole(self, answer: WholeAnswer) -> None:
        """Sends a complete answer, with a Content-Length header."""
        if self._ended:
            return
        request = self._request
        self._set_headers(answer.status, Outcome.done, answer.release)
        request.setHeader('Content-Type', answer.content_type)
        request.setHeader('Content-Length', str(len(answer.body)))
        self._end(answer.body)

    def send_json(self, document: Any) -> None:
        """Sends a JSON document produced by the entry itself."""
        if self._ended:
            return
        body = json.dumps(document).encode()
        self._request.setHeader('Content-Type', 'application/json')
        self._request.setHeader('Content-Length', str(len(body)))
        self._end(body)

    def send_problem(self, problem: Problem) -> None:
        """Sends a problem document; a stream that has started is broken off instead."""
        if self._stream_started:
            self.break_stream(problem)
            return
        if self._ended:
            return
        self._set_headers(problem.status, problem.outcome, '')
        body = problem_body(problem, self.request_id)
        request = self._request
        request.setHeader('Content-Type', PROBLEM_TYPE)
        request.setHeader('Content-Length', str(len(body)))
        if problem.retry_after_seconds:
            request.setHeader('Retry-After', str(math.ceil(problem.retry_after_seconds)))
        self._end(body)

    def begin_stream(self, content_type: str, status: int, release: str) -> None:
        """Sends the headers of a stream; they have no outcome, which is not known yet."""
        if self._ended:
            return
        self._stream_started = True
        request = self._request
        request.setResponseCode(status)
        request.setHeader('Content-Type', content_type)
        request.setHeader('Cache-Control', 'no-store')
        request.setHeader('Jackdawsail-Release', release)
        request.setHeader('Jackdawsail-Request-Id', self.request_id)
        request.registerProducer(self, True)

    def write(self, body: bytes) -> None:
        """Sends a part of a stream, or buffers it while the caller does not read."""
        if self._ended:
            return
        if self._is_paused:
            self._unread_parts.append(body)
            self.unread_bytes += len(body)
        else:
            self._request.write(body)

    def end_stream(self, last_part: bytes) -> None:
        """Sends the last part of a complete stream and finishes the response."""
        if self._ended:
            return
        self._drain()
        self._request.unregisterProducer()
        self._end(last_part)

    def break_stream(self, problem: Problem) -> None:
        """Sends an ``error`` event and drops the connection, as the stream is incomplete."""
        if self._ended:
            return
        if not self._stream_started:
            self.send_problem(problem)
            return
        self._ended = True
        body = problem_body(problem, self.request_id)
        self._request.write(b'event: error\ndata: ' + body + b'\n\n')
        self._request.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Starts buffering: the socket's send buffer is full."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Writes the buffered parts: the caller reads again."""
        self._is_paused = False
        self._drain()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``notifyFinish`` reports the end of the connection."""

    def _drain(self) -> None:
        unread = b''.join(self._unread_parts)
        self._unread_parts.clear()
        self.unread_bytes = 0
        if unread and not self._ended:
            self._request.write(unread)

    def _end(self, last_part: bytes) -> None:
        self._ended = True
        self._request.write(last_part)
        self._request.finish()

    def _set_headers(self, status: int, outcome: Outcome, release: str) -> None:
        request = self._request
        request.setResponseCode(status)
        request.setHeader('Jackdawsail-Outcome', str(outcome))
        request.setHeader('Jackdawsail-Request-Id', self.request_id)
        if release:
            request.setHeader('Jackdawsail-Release', release)

    def _on_finished(self, _outcome: Any) -> None:
        if self._delayed_call is not None and self._delayed_call.active():
            self._delayed_call.cancel()
        if not self._ended:
            self._ended = True
            self._on_left()


def problem_body(problem: Problem, request_id: str) -> bytes:
    """Encodes a problem as an RFC 9457 document."""
    document: dict[str, Any] = {
        'type': f'{PROBLEM_BASE}{problem.code}',
        'title': problem.code.replace('-', ' '),
        'status': problem.status,
        'code': problem.code,
        'outcome': str(problem.outcome),
        'detail': problem.detail,
        'request_id': request_id,
    }
    if problem.retry_after_seconds:
        document['retry_after_seconds'] = round(problem.retry_after_seconds, 3)
    return json.dumps(document).encode()
