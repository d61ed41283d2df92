"""Writes one HTTP answer to a caller: whole, streamed, or a problem document."""

import json
import math
from collections.abc import Callable
from typing import Any

from jackdawsail.entry.call import Problem, WholeAnswer
from jackdawsail.wire.work_messages import Outcome

PROBLEM_TYPE = 'application/problem+json'
PROBLEM_BASE = 'urn:jackdawsail:problem:'


class HttpAnswer:
    """Owns the caller's request object until it is answered or gone.

    ``left`` is called once if the caller leaves before its answer has ended.
    """

    def __init__(self, request: Any, request_id: str, left: Callable[[], None]) -> None:
        self._request = request
        self.request_id = request_id
        self._left = left
        self._begun = False
        self._ended = False
        self._unread: list[bytes] = []
        self._paused = False
        self._late: Any = None
        self.unread_bytes = 0
        request.notifyFinish().addBoth(self._finished)

    @property
    def gone(self) -> bool:
        """Tells whether the caller has its answer or has left."""
        return self._ended

    def when_ended(self, late: Any) -> None:
        """Cancels a delayed call once the caller has its answer."""
        self._late = late

    def send_whole(self, answer: WholeAnswer) -> None:
        """Sends a checked answer with its length."""
        if self._ended:
            return
        request = self._request
        self._set_headers(answer.status, Outcome.done, answer.release)
        request.setHeader('Content-Type', answer.content_type)
        request.setHeader('Content-Length', str(len(answer.body)))
        self._end(answer.body)

    def send_json(self, document: Any) -> None:
        """Sends an answer of the entry itself."""
        if self._ended:
            return
        body = json.dumps(document).encode()
        self._request.setHeader('Content-Type', 'application/json')
        self._request.setHeader('Content-Length', str(len(body)))
        self._end(body)

    def send_problem(self, problem: Problem) -> None:
        """Sends a problem document; on a begun stream the stream is broken instead."""
        if self._begun:
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
        """Sends the headers of a stream; its outcome is not known yet."""
        if self._ended:
            return
        self._begun = True
        request = self._request
        request.setResponseCode(status)
        request.setHeader('Content-Type', content_type)
        request.setHeader('Cache-Control', 'no-store')
        request.setHeader('Jackdawsail-Release', release)
        request.setHeader('Jackdawsail-Request-Id', self.request_id)
        request.registerProducer(self, True)

    def write(self, piece: bytes) -> None:
        """Sends a piece of a stream, or keeps it while the caller does not read."""
        if self._ended:
            return
        if self._paused:
            self._unread.append(piece)
            self.unread_bytes += len(piece)
        else:
            self._request.write(piece)

    def end_stream(self, last: bytes) -> None:
        """Ends a whole stream."""
        if self._ended:
            return
        self._drain()
        self._request.unregisterProducer()
        self._end(last)

    def break_stream(self, problem: Problem) -> None:
        """Tells the caller that the stream is not whole and drops the connection."""
        if self._ended:
            return
        if not self._begun:
            self.send_problem(problem)
            return
        self._ended = True
        body = problem_body(problem, self.request_id)
        self._request.write(b'event: error\ndata: ' + body + b'\n\n')
        self._request.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """The caller's socket is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """The caller reads again."""
        self._paused = False
        self._drain()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection has ended; ``notifyFinish`` tells."""

    def _drain(self) -> None:
        unread = b''.join(self._unread)
        self._unread.clear()
        self.unread_bytes = 0
        if unread and not self._ended:
            self._request.write(unread)

    def _end(self, last: bytes) -> None:
        self._ended = True
        self._request.write(last)
        self._request.finish()

    def _set_headers(self, status: int, outcome: Outcome, release: str) -> None:
        request = self._request
        request.setResponseCode(status)
        request.setHeader('Jackdawsail-Outcome', str(outcome))
        request.setHeader('Jackdawsail-Request-Id', self.request_id)
        if release:
            request.setHeader('Jackdawsail-Release', release)

    def _finished(self, _outcome: Any) -> None:
        if self._late is not None and self._late.active():
            self._late.cancel()
        if not self._ended:
            self._ended = True
            self._left()


def problem_body(problem: Problem, request_id: str) -> bytes:
    """Renders a problem as RFC 9457 has it."""
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
