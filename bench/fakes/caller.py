"""Callers of a deployment: open-loop load whose every answer is checked.

Requests are sent at times drawn in advance from a seeded generator, whatever the
system does; latency counts from the scheduled time. Each caller asks an entry
which address to use, keeps the answer while it is valid and connects there. One
JSON line is written for each request.
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

CONNECT_SECONDS = 2.0
ADDRESS_RETRY_SECONDS = 0.2
RESEND_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 2.0
DONE = 'done'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


@dataclass(frozen=True)
class CallerOptions:
    """One customer's load; ``kind`` is ``generate`` or ``book``.

    With ``pinned_entry`` the caller uses that address alone, and never asks.
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
    """All callers of one process."""

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
class Job:
    """One request from its scheduled time to its final answer."""

    request_id: str
    scheduled_seconds: float
    tries: int = 0
    told: list[list[Any]] = field(default_factory=list)
    entry: str = ''


class Digests:
    """The digests of the releases, read again when an unknown one is met."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._known: dict[str, str] = {}

    def find(self, release: str) -> str:
        if release not in self._known and self._path.exists():
            self._known = json.loads(self._path.read_text('utf8'))
        return self._known.get(release, '')


class World:
    """What all callers of the process share."""

    def __init__(self, options: CallersOptions, reactor: Any) -> None:
        self.options = options
        self.reactor = reactor
        self.digests = Digests(options.digests_path)
        pool = HTTPConnectionPool(reactor, persistent=options.persistent)
        bind = (options.source_address, 0) if options.source_address else None
        self.agent = Agent(reactor, connectTimeout=CONNECT_SECONDS, bindAddress=bind, pool=pool)
        self.stopping = False
        self.open_jobs = 0
        self.epoch_seconds = time.time() - reactor.seconds()
        self._result = Path(options.result_path).open('w', buffering=1, encoding='utf8')

    def now(self) -> float:
        """Returns wall time that never steps within a run."""
        return float(self.reactor.seconds()) + self.epoch_seconds

    def sleep(self, seconds: float) -> 'Deferred[None]':
        return deferLater(self.reactor, seconds, lambda: None)  # type: ignore[no-any-return]

    def write(self, line: dict[str, Any]) -> None:
        self._result.write(json.dumps(line) + '\n')


class AddressBook:
    """The entries that one caller was told to use, while that is valid."""

    def __init__(self, world: World, options: CallerOptions, rng: random.Random) -> None:
        self._world = world
        self._headers = {'Authorization': f'Bearer {options.token}'}
        self._known = list(world.options.entries)
        rng.shuffle(self._known)
        near = options.entries or []
        self._known.sort(key=lambda address: address not in near)
        self._answer: list[str] = []
        self._valid_until_seconds: float = 0

    @inlineCallbacks
    def choose(self) -> Any:
        """Returns the address to use now."""
        if not self._answer or self._world.reactor.seconds() > self._valid_until_seconds:
            yield self._ask()
        return self._answer[0] if self._answer else self._known[0]

    def avoid(self, address: str) -> None:
        """Moves an address that did not answer to the end."""
        for listed in (self._answer, self._known):
            if address in listed:
                listed.remove(address)
                listed.append(address)

    @inlineCallbacks
    def _ask(self) -> Any:
        asked_seconds = self._world.reactor.seconds()
        for address in list(self._known):
            answer = yield ask(self._world, 'GET', address, '/v1/entries', None, self._headers)
            if answer.status == 200:
                content = json.loads(answer.body)
                self._answer = [entry['address'] for entry in content['entries']]
                self._valid_until_seconds = asked_seconds + content['valid_seconds']
                return
            self.avoid(address)


def ask(
    world: World, method: str, address: str, path: str, content: Any, headers: dict[str, str]
) -> 'Deferred[Answer]':
    """Makes one HTTP exchange; failures are answers of status 0."""
    url = f'http://{address}{path}'
    body = None if content is None else json.dumps(content).encode()
    limit_seconds = CONNECT_SECONDS if method == 'GET' else 0
    return exchange(world.agent, world.reactor, method, url, body, headers, limit_seconds)


class Caller:
    """One customer's stream of requests."""

    def __init__(self, world: World, options: CallerOptions, rng: random.Random) -> None:
        self._world = world
        self._options = options
        self._rng = rng
        self._book = AddressBook(world, options, rng)
        self._next_seconds = world.reactor.seconds()
        self._until_seconds = self._next_seconds + world.options.duration_seconds
        self._number = 0

    def schedule(self) -> None:
        """Plans the next request."""
        self._next_seconds += self._rng.expovariate(self._options.requests_per_second)
        if self._next_seconds > self._until_seconds:
            return
        self._world.open_jobs += 1
        wait = max(0, self._next_seconds - self._world.reactor.seconds())
        self._world.reactor.callLater(wait, self._begin, self._next_seconds)

    def _begin(self, scheduled_seconds: float) -> None:
        if self._world.stopping:
            self._world.open_jobs -= 1
            return
        self.schedule()
        self._number += 1
        request_id = f'{self._options.name}-{self._world.options.seed}-{self._number}'
        job = Job(request_id, scheduled_seconds + self._world.epoch_seconds)
        run = self._book_slot if self._options.kind == 'book' else self._generate
        finished: Any = run(job)
        finished.addErrback(self._broken, job)
        finished.addBoth(self._end)

    def _end(self, _outcome: Any) -> None:
        self._world.open_jobs -= 1

    def _broken(self, failure: Any, job: Job) -> None:
        answer = Answer(0, b'', {}, failure.getTraceback())
        self._write(job, answer, correct=False)

    @inlineCallbacks
    def _generate(self, job: Job) -> Any:
        options = self._options
        prompt = self._make_prompt(job)
        content = {'prompt': prompt, 'max_tokens': options.max_tokens, 'stream': options.stream}
        path = f'/v1/backends/{options.backend}/generate'
        answer = yield self._try(job, path, content, {}, self._may_repeat_generate)
        self._write(job, answer, self._is_whole(answer, prompt))

    @inlineCallbacks
    def _book_slot(self, job: Job) -> Any:
        options = self._options
        content = {'slot': job.request_id, 'customer': options.name}
        path = f'/v1/backends/{options.backend}/call/book'
        headers = {'Idempotency-Key': job.request_id}
        answer = yield self._try(job, path, content, headers, self._may_resend_booking)
        self._write(job, answer, answer.status == 200 and job.request_id.encode() in answer.body)

    @inlineCallbacks
    def _try(
        self,
        job: Job,
        path: str,
        content: Any,
        headers: dict[str, str],
        may_repeat: Callable[[Answer], bool],
    ) -> Any:
        sent = self._headers(headers)
        deadline = job.scheduled_seconds + self._options.deadline_seconds
        while True:
            job.entry = self._options.pinned_entry or (yield self._book.choose())
            job.tries += 1
            answer = yield ask(self._world, 'POST', job.entry, path, content, sent)
            job.told.append([self._world.now(), answer.outcome, answer.code or answer.reason])
            if not answer.status:
                self._book.avoid(job.entry)
            if not may_repeat(answer) or self._world.now() >= deadline:
                return answer
            yield self._world.sleep(self._pause_seconds(answer))

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

    def _pause_seconds(self, answer: Answer) -> float:
        told = float(answer.headers.get('retry-after', RESEND_SECONDS))
        return min(MAX_RETRY_AFTER_SECONDS, told) * self._rng.uniform(0.5, 1.0)

    def _make_prompt(self, job: Job) -> str:
        options = self._options
        shared = f'{options.name} asks: '.ljust(options.shared_characters, '.')
        return f'{shared}{job.request_id}'.ljust(options.prompt_characters, '.')

    def _is_whole(self, answer: Answer, prompt: str) -> bool:
        digest = self._world.digests.find(answer.release)
        expected = answer_text(prompt, digest, self._options.max_tokens)
        return answer.status == 200 and bool(digest) and answer.text == expected

    def _write(self, job: Job, answer: Answer, correct: bool) -> None:
        first_seconds = answer.first_seconds
        epoch_seconds = self._world.epoch_seconds
        line = {
            'kind': self._options.kind,
            'customer': self._options.name,
            'id': job.request_id,
            'entry': job.entry,
            'scheduled_seconds': job.scheduled_seconds,
            'first_seconds': first_seconds + epoch_seconds if first_seconds else 0,
            'end_seconds': self._world.now(),
            'status': answer.status,
            'outcome': answer.outcome,
            'request_id': answer.headers.get('jackdawsail-request-id', ''),
            'code': answer.code,
            'reason': answer.reason,
            'release': answer.release,
            'correct': correct,
            'tries': job.tries,
            'told': job.told,
        }
        self._world.write(line)


class Ending:
    """Ends the process when all requests have ended, or late ones have had their time."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._until_seconds = world.reactor.seconds() + world.options.duration_seconds

    def watch(self) -> None:
        """Looks again and again."""
        world = self._world
        late_seconds = world.reactor.seconds() - self._until_seconds
        over = late_seconds > 0 or world.stopping
        if over and (not world.open_jobs or late_seconds > world.options.drain_seconds):
            world.reactor.stop()
        else:
            world.reactor.callLater(0.1, self.watch)

    def stop(self, _number: int, _frame: Any) -> None:
        """Plans no more requests; those under way may end."""
        self._world.stopping = True
        self._until_seconds = self._world.reactor.seconds()


app = App(help='Open-loop callers.')


@app.default
def main(*, settings: Path) -> None:
    """Runs the callers of a settings file."""
    options = CallersOptions(**yaml.safe_load(settings.read_text('utf8')))
    events.configure_logging('callers', settings.stem)
    reactor: Any = installed_reactor
    world = World(options, reactor)
    ending = Ending(world)
    for number, described in enumerate(options.callers):
        rng = random.Random(f'{options.seed}/{number}')
        Caller(world, CallerOptions(**described), rng).schedule()
    reactor.callWhenRunning(events.log, events.PROCESS_READY)
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, ending.stop)
    reactor.callLater(0, ending.watch)
    reactor.run()


if __name__ == '__main__':
    app()
