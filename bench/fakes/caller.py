"""Callers of a deployment: open-loop load that verifies every answer.

Send times come from a seeded random generator and do not depend on how the system
responds; latency is measured from the scheduled time. Each caller requests the list
of entry addresses from an entry, caches it while it is valid and connects to the
first address. One JSON line is written for each request.
"""

import json
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from cyclopts import App
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool

from bench.fakes.answers import answer_text
from bench.fakes.exchange import Answer, exchange
from jackdawsail import events

CONNECT_TIMEOUT_SECONDS = 2.0
ADDRESS_RETRY_SECONDS = 0.2
RESEND_DELAY_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 2.0
DONE = 'done'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


@dataclass(frozen=True)
class CallerOptions:
    """The load of one customer; ``kind`` is ``generate`` or ``book``.

    With ``pinned_entry`` the caller sends to that address only, and never requests the
    list of entries. ``entries`` are the addresses to try first.
    """

    name: str
    token: str
    backend: str
    kind: str = 'generate'
    requests_per_second: float = 1
    prompt_characters: int = 200
    shared_characters: int = 64
    max_tokens: int = 32
    stream: bool = True
    priority: str = 'live'
    deadline_seconds: float = 20
    retry_refused: bool = True
    resend_lost: bool = True
    pinned_entry: str = ''
    entries: list[str] | None = None


@dataclass(frozen=True)
class CallersOptions:
    """Settings of one process of callers; ``callers`` holds ``CallerOptions``."""

    entries: list[str]
    callers: list[dict[str, Any]]
    duration_seconds: float
    digests_path: str
    result_path: str
    source_address: str = ''
    seed: int = 0
    persistent: bool = False
    drain_seconds: float = 30


@dataclass
class TrackedRequest:
    """One request, from its scheduled time to its final answer over all tries."""

    request_id: str
    scheduled_seconds: float
    tries: int = 0
    try_results: list[list[Any]] = field(default_factory=list)
    entry: str = ''


class ReleaseDigests:
    """The digests of the releases; the file is reread when a release is unknown."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._known: dict[str, str] = {}

    def find(self, release: str) -> str:
        if release not in self._known and self._path.exists():
            self._known = json.loads(self._path.read_text('utf8'))
        return self._known.get(release, '')


class CallersContext:
    """State that all callers of the process share."""

    def __init__(self, options: CallersOptions, reactor: Any) -> None:
        self.options = options
        self.reactor = reactor
        self.digests = ReleaseDigests(options.digests_path)
        pool = HTTPConnectionPool(reactor, persistent=options.persistent)
        bind = (options.source_address, 0) if options.source_address else None
        self.agent = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, bindAddress=bind, pool=pool
        )
        self.stopping = False
        self.open_requests = 0
        self.wall_offset_seconds = time.time() - reactor.seconds()
        self._result_file = Path(options.result_path).open('w', buffering=1, encoding='utf8')

    def now(self) -> float:
        """Returns wall clock time in seconds, without clock adjustments during a run."""
        return float(self.reactor.seconds()) + self.wall_offset_seconds

    def sleep(self, seconds: float) -> 'Deferred[None]':
        return deferLater(self.reactor, seconds, lambda: None)  # type: ignore[no-any-return]

    def write(self, line: dict[str, Any]) -> None:
        self._result_file.write(json.dumps(line) + '\n')


class EntryAddresses:
    """Entry addresses for one caller: those configured, and a list cached while it is valid."""

    def __init__(
        self, context: CallersContext, options: CallerOptions, rng: random.Random
    ) -> None:
        self._context = context
        self._headers = {'Authorization': f'Bearer {options.token}'}
        self._known = list(context.options.entries)
        rng.shuffle(self._known)
        preferred = options.entries or []
        self._known.sort(key=lambda address: address not in preferred)
        self._received: list[str] = []
        self._valid_until_seconds: float = 0

    @inlineCallbacks
    def choose(self) -> Any:
        """Returns the address to use now, after requesting a new list if needed."""
        if not self._received or self._context.reactor.seconds() > self._valid_until_seconds:
            yield self._refresh()
        return self._received[0] if self._received else self._known[0]

    def avoid(self, address: str) -> None:
        """Moves an address that did not answer to the end of the lists."""
        for addresses in (self._received, self._known):
            if address in addresses:
                addresses.remove(address)
                addresses.append(address)

    @inlineCallbacks
    def _refresh(self) -> Any:
        request_seconds = self._context.reactor.seconds()
        for address in list(self._known):
            answer = yield send_request(
                self._context, 'GET', address, '/v1/entries', None, self._headers
            )
            if answer.status == 200:
                content = json.loads(answer.body)
                self._received = [entry['address'] for entry in content['entries']]
                self._valid_until_seconds = request_seconds + content['valid_seconds']
                return
            self.avoid(address)


def send_request(
    context: CallersContext,
    method: str,
    address: str,
    path: str,
    content: Any,
    headers: dict[str, str],
) -> 'Deferred[Answer]':
    """Makes one HTTP exchange; a failure is an answer with status 0.

    Only GET requests have a time limit.
    """
    url = f'http://{address}{path}'
    body = None if content is None else json.dumps(content).encode()
    limit_seconds = CONNECT_TIMEOUT_SECONDS if method == 'GET' else 0
    return exchange(context.agent, context.reactor, method, url, body, headers, limit_seconds)


class Caller:
    """Sends the requests of one customer."""

    def __init__(
        self, context: CallersContext, options: CallerOptions, rng: random.Random
    ) -> None:
        self._context = context
        self._options = options
        self._rng = rng
        self._addresses = EntryAddresses(context, options, rng)
        self._next_seconds = context.reactor.seconds()
        self._end_seconds = self._next_seconds + context.options.duration_seconds
        self._number = 0

    def schedule(self) -> None:
        """Schedules the next request, unless that is after the end of the run."""
        self._next_seconds += self._rng.expovariate(self._options.requests_per_second)
        if self._next_seconds > self._end_seconds:
            return
        self._context.open_requests += 1
        delay_seconds = max(0, self._next_seconds - self._context.reactor.seconds())
        self._context.reactor.callLater(delay_seconds, self._start_request, self._next_seconds)

    def _start_request(self, scheduled_seconds: float) -> None:
        if self._context.stopping:
            self._context.open_requests -= 1
            return
        self.schedule()
        self._number += 1
        request_id = f'{self._options.name}-{self._context.options.seed}-{self._number}'
        request = TrackedRequest(request_id, scheduled_seconds + self._context.wall_offset_seconds)
        run = self._book_slot if self._options.kind == 'book' else self._generate
        finished: Any = run(request)
        finished.addErrback(self._record_failure, request)
        finished.addBoth(self._request_ended)

    def _request_ended(self, _outcome: Any) -> None:
        self._context.open_requests -= 1

    def _record_failure(self, failure: Any, request: TrackedRequest) -> None:
        answer = Answer(0, b'', {}, failure.getTraceback())
        self._write_record(request, answer, correct=False)

    @inlineCallbacks
    def _generate(self, request: TrackedRequest) -> Any:
        options = self._options
        prompt = self._make_prompt(request)
        content = {'prompt': prompt, 'max_tokens': options.max_tokens, 'stream': options.stream}
        path = f'/v1/backends/{options.backend}/generate'
        answer = yield self._send_with_retries(
            request, path, content, {}, self._may_repeat_generate
        )
        self._write_record(request, answer, self._is_expected(answer, prompt))

    @inlineCallbacks
    def _book_slot(self, request: TrackedRequest) -> Any:
        options = self._options
        content = {'slot': request.request_id, 'customer': options.name}
        path = f'/v1/backends/{options.backend}/call/book'
        headers = {'Idempotency-Key': request.request_id}
        answer = yield self._send_with_retries(
            request, path, content, headers, self._may_resend_booking
        )
        self._write_record(
            request, answer, answer.status == 200 and request.request_id.encode() in answer.body
        )

    @inlineCallbacks
    def _send_with_retries(
        self,
        request: TrackedRequest,
        path: str,
        content: Any,
        headers: dict[str, str],
        may_repeat: Callable[[Answer], bool],
    ) -> Any:
        all_headers = self._headers(headers)
        deadline = request.scheduled_seconds + self._options.deadline_seconds
        while True:
            request.entry = self._options.pinned_entry or (yield self._addresses.choose())
            request.tries += 1
            answer = yield send_request(
                self._context, 'POST', request.entry, path, content, all_headers
            )
            request.try_results.append(
                [self._context.now(), answer.outcome, answer.code or answer.reason]
            )
            if not answer.status:
                self._addresses.avoid(request.entry)
            if not may_repeat(answer) or self._context.now() >= deadline:
                return answer
            yield self._context.sleep(self._retry_delay_seconds(answer))

    def _headers(self, more: dict[str, str]) -> dict[str, str]:
        options = self._options
        return {
            'Authorization': f'Bearer {options.token}',
            'Content-Type': 'application/json',
            'Jackdawsail-Priority': options.priority,
            'Jackdawsail-Deadline-Seconds': str(options.deadline_seconds),
            **more,
        }

    def _may_repeat_generate(self, answer: Answer) -> bool:
        if answer.never_sent:
            return True
        return self._options.retry_refused and answer.outcome == NOT_RUN

    def _may_resend_booking(self, answer: Answer) -> bool:
        if answer.outcome == DONE or answer.status == 200:
            return False
        return self._options.resend_lost

    def _retry_delay_seconds(self, answer: Answer) -> float:
        retry_after_seconds = float(answer.headers.get('retry-after', RESEND_DELAY_SECONDS))
        return min(MAX_RETRY_AFTER_SECONDS, retry_after_seconds) * self._rng.uniform(0.5, 1.0)

    def _make_prompt(self, request: TrackedRequest) -> str:
        options = self._options
        shared = f'{options.name} asks: '.ljust(options.shared_characters, '.')
        return f'{shared}{request.request_id}'.ljust(options.prompt_characters, '.')

    def _is_expected(self, answer: Answer, prompt: str) -> bool:
        digest = self._context.digests.find(answer.release)
        expected = answer_text(prompt, digest, self._options.max_tokens)
        return answer.status == 200 and bool(digest) and answer.text == expected

    def _write_record(self, request: TrackedRequest, answer: Answer, correct: bool) -> None:
        first_seconds = answer.first_seconds
        wall_offset_seconds = self._context.wall_offset_seconds
        line = {
            'kind': self._options.kind,
            'customer': self._options.name,
            'id': request.request_id,
            'entry': request.entry,
            'scheduled_seconds': request.scheduled_seconds,
            'first_seconds': first_seconds + wall_offset_seconds if first_seconds else 0,
            'end_seconds': self._context.now(),
            'status': answer.status,
            'outcome': answer.outcome,
            'request_id': answer.headers.get('jackdawsail-request-id', ''),
            'code': answer.code,
            'reason': answer.reason,
            'release': answer.release,
            'correct': correct,
            'tries': request.tries,
            'told': request.try_results,
        }
        self._context.write(line)


class ShutdownCheck:
    """Stops the reactor when all requests have ended, or at the end of the drain time."""

    def __init__(self, context: CallersContext) -> None:
        self._context = context
        self._end_seconds = context.reactor.seconds() + context.options.duration_seconds

    def watch(self) -> None:
        """Stops the reactor if the run is over, else checks again in 0.1 s."""
        context = self._context
        late_seconds = context.reactor.seconds() - self._end_seconds
        is_over = late_seconds > 0 or context.stopping
        if is_over and (not context.open_requests or late_seconds > context.options.drain_seconds):
            context.reactor.stop()
        else:
            context.reactor.callLater(0.1, self.watch)

    def stop(self, _number: int, _frame: Any) -> None:
        """Handles SIGTERM: sends no new requests and lets those in flight finish."""
        self._context.stopping = True
        self._end_seconds = self._context.reactor.seconds()


app = App(help='Open-loop callers.')


@app.default
def main(*, settings: Path) -> None:
    """Runs the callers that a settings file describes."""
    options = CallersOptions(**yaml.safe_load(settings.read_text('utf8')))
    events.configure_logging('callers', settings.stem)
    reactor: Any = installed_reactor
    context = CallersContext(options, reactor)
    shutdown = ShutdownCheck(context)
    for number, fields in enumerate(options.callers):
        rng = random.Random(f'{options.seed}/{number}')
        Caller(context, CallerOptions(**fields), rng).schedule()
    reactor.callWhenRunning(events.log, events.PROCESS_READY)
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, shutdown.stop)
    reactor.callLater(0, shutdown.watch)
    reactor.run()


if __name__ == '__main__':
    app()
