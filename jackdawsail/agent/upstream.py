"""HTTP client of the upstream on this host: engine streams and plain calls.

A run reports the progress and result of one job to its sink. It reports
``not-run`` only if no byte of the request can have reached the upstream, or the
upstream refused the request before doing anything.
"""

import json
from dataclasses import dataclass
from io import BytesIO
from typing import Any, Protocol

from returns.result import Success
from twisted.internet import error
from twisted.internet.defer import CancelledError
from twisted.internet.protocol import Protocol as BodyProtocol
from twisted.web.client import Agent, FileBodyProducer, ResponseDone
from twisted.web.http_headers import Headers

from jackdawsail.agent.sse import DoneEvent, SseParser, StreamEvent
from jackdawsail.wire.work_messages import Outcome, Reserve, Work

STALL_SECONDS = 20.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
_NOT_SENT_ERRORS = (error.ConnectError, error.DNSLookupError, error.ConnectingCancelledError)


@dataclass(frozen=True, slots=True)
class Job:
    """One dispatched request: the work, its reservation and the release to run it on."""

    work: Work
    reserve: Reserve
    release: str


class JobSink(Protocol):
    """Receives the answer of a job.

    The last call is ``answer_complete`` or ``answer_failed``, exactly once.
    """

    def answer_head(self, status: int, content_type: str) -> None:
        """Receives the head of the answer."""

    def answer_part(self, body: bytes, tokens: int) -> None:
        """Receives the next part of the answer."""

    def answer_complete(self) -> None:
        """Receives the end of a complete answer."""

    def answer_failed(self, outcome: Outcome, reason: str) -> None:
        """Receives the failure of a job without a complete answer."""


class UpstreamRun:
    """One running job: owns its connection and its stall timer."""

    def __init__(self, reactor: Any, sink: JobSink) -> None:
        self._reactor = reactor
        self._sink = sink
        self._request: Any = None
        self._body: Any = None
        self._ended = False
        self._cancelled = False
        self._timer = reactor.callLater(STALL_SECONDS, self._on_stall)

    def begin(self, request: Any, body: 'AnswerBody') -> None:
        """Waits for the response of a request; ``request`` is its Deferred."""
        self._request = request
        self._body = body
        request.addCallbacks(self._on_response, self._on_request_failed)

    def cancel(self) -> None:
        """Closes the connection, which cancels the stream at the upstream."""
        self._cancelled = True
        if self._body is not None and self._body.transport is not None:
            self._body.transport.loseConnection()
        elif self._request is not None:
            self._request.cancel()

    def reset_stall_timer(self) -> None:
        """Restarts the stall timeout, as the upstream has sent something."""
        if not self._ended:
            self._timer.reset(STALL_SECONDS)

    def head(self, status: int, content_type: str) -> None:
        """Passes the head to the sink, unless the job has ended."""
        if not self._ended:
            self._sink.answer_head(status, content_type)

    def part(self, body: bytes, tokens: int) -> None:
        """Passes a part to the sink, unless the job has ended."""
        if not self._ended:
            self._sink.answer_part(body, tokens)

    def whole(self) -> None:
        """Ends the job with a complete answer."""
        if self._end():
            self._sink.answer_complete()

    def failed(self, outcome: Outcome, reason: str) -> None:
        """Ends the job without a complete answer and closes the connection."""
        if self._end():
            self._sink.answer_failed(outcome, reason)
            self.cancel()

    def _end(self) -> bool:
        if self._ended:
            return False
        self._ended = True
        if self._timer.active():
            self._timer.cancel()
        return True

    def _on_stall(self) -> None:
        self.failed(Outcome.unknown, 'upstream-stalled')

    def _on_response(self, response: Any) -> None:
        self.reset_stall_timer()
        content_type = _content_type(response)
        self._body.begin(self, response.code, content_type)
        response.deliverBody(self._body)
        if self._cancelled:
            self.cancel()

    def _on_request_failed(self, failure: Any) -> None:
        if failure.check(*_NOT_SENT_ERRORS):
            self.failed(Outcome.not_run, 'upstream-unreachable')
        elif failure.check(CancelledError):
            self.failed(Outcome.unknown, 'cancelled')
        else:
            self.failed(Outcome.unknown, 'upstream-broke-off')


class AnswerBody(BodyProtocol):
    """Receives the body of a response for a run."""

    run: UpstreamRun

    def begin(self, run: UpstreamRun, status: int, content_type: str) -> None:
        """Passes the head of the response to the run."""
        self.run = run
        run.head(status, content_type)


class ServiceBody(AnswerBody):
    """The body of a plain service's response, which is the answer whatever its status."""

    _received_bytes = 0

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Passes received bytes on, up to ``MAX_ANSWER_BYTES``."""
        self.run.reset_stall_timer()
        self._received_bytes += len(received)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self.run.failed(Outcome.unknown, 'answer-too-large')
            return
        self.run.part(received, 0)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the run; a body that did not end with ``ResponseDone`` was cut off."""
        if reason is not None and reason.check(ResponseDone):
            self.run.whole()
        else:
            self.run.failed(Outcome.unknown, 'answer-cut-off')


class EngineBody(AnswerBody):
    """The event stream of an engine; complete only with the engine's ``done`` event."""

    def __init__(self, release: str) -> None:
        self._release = release
        self._parser = SseParser()
        self._status = 0
        self._tokens = 0

    def resume_from(self, position: int) -> None:
        """Starts the token count at a position, for a resumed stream."""
        self._tokens = position

    def begin(self, run: UpstreamRun, status: int, content_type: str) -> None:
        """Passes the head on; a refusal (409 or 503) ends the run as not run instead."""
        self.run = run
        self._status = status
        if status == HTTP_OK:
            run.head(status, content_type)
        elif status in {HTTP_CONFLICT, HTTP_UNAVAILABLE}:
            run.failed(Outcome.not_run, f'engine-refused-{status}')
        else:
            run.head(status, content_type)

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Parses the stream; the body of a status other than 200 is passed on unchanged."""
        self.run.reset_stall_timer()
        if self._status != HTTP_OK:
            self.run.part(received, 0)
            return
        outcome = self._parser.feed(received)
        if not isinstance(outcome, Success):
            self.run.failed(Outcome.unknown, outcome.failure())
            return
        for event in outcome.unwrap():
            self._handle_event(event)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the run; a stream without its ``done`` event was cut off.

        The body of a status other than 200 is complete if it ended with ``ResponseDone``.
        """
        if self._status != HTTP_OK and reason is not None and reason.check(ResponseDone):
            self.run.whole()
        else:
            self.run.failed(Outcome.unknown, 'stream-cut-off')

    def _handle_event(self, event: StreamEvent) -> None:
        if isinstance(event, DoneEvent):
            self._finish(event)
            return
        tokens = event.position - self._tokens
        if tokens <= 0:
            self.run.failed(Outcome.unknown, 'position-goes-back')
            return
        self._tokens = event.position
        self.run.part(event.text.encode(), tokens)

    def _finish(self, event: DoneEvent) -> None:
        if event.release != self._release:
            self.run.failed(Outcome.unknown, 'other-release')
        elif event.tokens != self._tokens:
            self.run.failed(Outcome.unknown, 'tokens-missing')
        else:
            self.run.whole()


class UpstreamClient:
    """Starts jobs at one upstream over HTTP."""

    def __init__(self, reactor: Any, http_agent: Agent, base_url: str) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip('/')
        self._http_agent = http_agent

    def generate(self, job: Job, sink: JobSink) -> UpstreamRun:
        """Starts a generation on the engine."""
        work = job.work
        document = json.loads(work.body)
        document['release'] = job.release
        document['priority'] = str(job.reserve.priority)
        document['request_id'] = job.reserve.request_id
        document['resume_from'] = work.resume_from
        body = EngineBody(job.release)
        body.resume_from(work.resume_from)
        headers = Headers({'Content-Type': ['application/json']})
        return self._run(
            'POST', '/v1/generate', headers, json.dumps(document).encode(), body, sink
        )

    def call(self, job: Job, sink: JobSink) -> UpstreamRun:
        """Starts a call to the plain service."""
        work = job.work
        headers = Headers({'X-Request-Id': [job.reserve.request_id]})
        if work.content_type:
            headers.addRawHeader('Content-Type', work.content_type)
        if work.idempotency_key:
            headers.addRawHeader('Idempotency-Key', work.idempotency_key)
        return self._run(work.method, work.path, headers, work.body, ServiceBody(), sink)

    def _run(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        answer: AnswerBody,
        sink: JobSink,
    ) -> UpstreamRun:
        run = UpstreamRun(self._reactor, sink)
        producer: Any = FileBodyProducer(BytesIO(body)) if body else None
        url = f'{self._base_url}{path}'.encode()
        run.begin(self._http_agent.request(method.encode(), url, headers, producer), answer)
        return run


def _content_type(response: Any) -> str:
    values = response.headers.getRawHeaders('Content-Type', ['application/octet-stream'])
    return str(values[0])
