"""HTTP client of the upstream on this host: engine streams and plain calls.

A run reports the progress and result of one job to its sink. It reports
``not-run`` only if no byte of the request can have reached the upstream, or the
upstream refused the request before doing anything.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Success

from jackdawsail.agent.sse import DoneEvent, SseParser, StreamEvent
from jackdawsail.clocks import Timeout
from jackdawsail.http1.base_url import BaseUrl
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import CLOSE, JSON_BODY, Headers, HttpAnswerHead, HttpRequest
from jackdawsail.wire.work_messages import Outcome, Reserve, Work

STALL_SECONDS = 20.0
ANSWER_SECONDS = 600.0  # of a whole answer, far above the deadline of any request
MAX_ANSWER_BYTES = 4 * 1024 * 1024
WITHDRAWN = 'withdrawn'  # begins the reason of a job that may not be dispatched any more
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


# Returns the reason why no work may be dispatched at a time, or an empty string.
BlockedReason = Callable[[float], str]


def _never_blocked(_now_seconds: float) -> str:
    return ''


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
    """One running job: owns its connection and its timers, and receives its answer."""

    def __init__(self, clock: Any, sink: JobSink, body: 'AnswerBody') -> None:
        self._sink = sink
        self._body = body
        self._connector: Any = None
        self._channel: ClientChannel | None = None
        self._begun = False
        self._ended = False
        self._stall = Timeout(clock, self._on_stall)
        self._end_limit = Timeout(clock, self._on_too_long)
        self._stall.start(STALL_SECONDS)
        self._end_limit.start(ANSWER_SECONDS)

    def begin(
        self,
        pool: ChannelPool,
        address: str,
        request: HttpRequest,
        blocked: BlockedReason = _never_blocked,
    ) -> None:
        """Sends the request on a new connection, unless work is blocked once it is open."""

        def opened(channel: ClientChannel | None) -> None:
            self._on_connected(channel, request, blocked(pool.clock.seconds()))

        self._connector = pool.connect(address, opened)

    def cancel(self) -> None:
        """Closes the connection, which cancels the stream at the upstream."""
        if self._channel is not None:
            self._channel.cancel()
        elif self._connector is not None:
            self._connector.disconnect()

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Passes the head to the body; every answer on this connection is that of the job."""
        self._begun = True
        self.reset_stall_timer()
        content_type = head.header(b'content-type') or b'application/octet-stream'
        self._body.begin(self, head.status, content_type.decode('latin-1'))
        return True

    def answer_body(self, piece: bytes) -> None:
        """Passes a piece to the body, unless the job has ended."""
        self.reset_stall_timer()
        if not self._ended:
            self._body.receive(piece)

    def answer_complete(self) -> None:
        """Tells the body that the answer is complete by its framing."""
        self._body.complete()

    def answer_failed(self, reason: BreakReason) -> None:
        """Ends the job after a broken answer; ``reason`` tells how it broke."""
        if reason is BreakReason.unsendable:
            self.failed(Outcome.not_run, 'request-invalid')
        elif self._begun:
            self._body.cut_off()
        else:
            self.failed(Outcome.unknown, 'upstream-broke-off')

    def reset_stall_timer(self) -> None:
        """Restarts the stall timeout, as the upstream has sent something."""
        if not self._ended:
            self._stall.start(STALL_SECONDS)

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
        self._stall.stop()
        self._end_limit.stop()
        return True

    def _on_stall(self) -> None:
        self.failed(Outcome.unknown, 'upstream-stalled')

    def _on_too_long(self) -> None:
        self.failed(Outcome.unknown, 'answer-without-end')

    def _on_connected(
        self, channel: ClientChannel | None, request: HttpRequest, blocked_reason: str
    ) -> None:
        if channel is None:
            self.failed(Outcome.not_run, 'upstream-unreachable')
        elif self._ended:
            channel.close()
        elif blocked_reason:
            channel.close()
            self.failed(Outcome.not_run, f'{WITHDRAWN}-{blocked_reason}')
        else:
            self._channel = channel
            channel.send(request, self)


class AnswerBody:
    """Receives the body of an answer for a run; the answer of a plain service by default.

    That is the answer whatever its status, and complete when its framing says so. With
    neither a length nor chunks that is when the upstream closes the connection.
    """

    run: UpstreamRun
    _received_bytes = 0

    def begin(self, run: UpstreamRun, status: int, content_type: str) -> None:
        """Passes the head of the answer to the run."""
        self.run = run
        run.head(status, content_type)

    def receive(self, received: bytes) -> None:
        """Passes received bytes on, up to ``MAX_ANSWER_BYTES``."""
        self._received_bytes += len(received)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self.run.failed(Outcome.unknown, 'answer-too-large')
            return
        self.run.part(received, 0)

    def complete(self) -> None:
        """Ends the run with a complete answer."""
        self.run.whole()

    def cut_off(self) -> None:
        """Ends the run after a broken answer."""
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

    def receive(self, received: bytes) -> None:
        """Parses the stream; the body of a status other than 200 is passed on unchanged."""
        if self._status != HTTP_OK:
            super().receive(received)
            return
        outcome = self._parser.feed(received)
        if not isinstance(outcome, Success):
            self.run.failed(Outcome.unknown, outcome.failure())
            return
        for event in outcome.unwrap():
            self._handle_event(event)

    def complete(self) -> None:
        """Ends the run; a stream without its ``done`` event was cut off, whatever its framing."""
        if self._status == HTTP_OK:
            self.cut_off()
        else:
            self.run.whole()

    def cut_off(self) -> None:
        """Ends the run after a broken stream."""
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

    def __init__(self, pool: ChannelPool, base_url: BaseUrl, blocked: BlockedReason) -> None:
        self._pool = pool
        self._base_url = base_url
        self._blocked = blocked

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
        encoded = json.dumps(document).encode()
        return self._run('POST', '/v1/generate', (JSON_BODY,), encoded, body, sink)

    def call(self, job: Job, sink: JobSink) -> UpstreamRun:
        """Starts a call to the plain service."""
        work = job.work
        headers: Headers = ((b'X-Request-Id', job.reserve.request_id.encode()),)
        if work.content_type:
            headers += ((b'Content-Type', work.content_type.encode()),)
        if work.idempotency_key:
            headers += ((b'Idempotency-Key', work.idempotency_key.encode()),)
        return self._run(work.method, work.path, headers, work.body, AnswerBody(), sink)

    def _run(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        answer: AnswerBody,
        sink: JobSink,
    ) -> UpstreamRun:
        run = UpstreamRun(self._pool.clock, sink, answer)
        request = self._base_url.make_request(method, path, (CLOSE, *headers), body)
        run.begin(self._pool, self._base_url.address, request, self._blocked)
        return run
