"""A fake model engine: continuous batching, a prefix cache, cold starts and fences.

It implements the engine interface that ``docs/reference`` describes. It does not verify
weights, but records the digest of each file that it loads and each request that it
runs, so that wrong weights and requests that ran twice can be detected.

Each event carries ``position``, the number of tokens generated up to the end of the
event; ``resume_from`` takes the same number.
"""

import hashlib
import json
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter
from twisted.internet import reactor as installed_reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from bench.fakes.answers import answer_text
from bench.fakes.web import (
    JsonResource,
    RecordFile,
    answer_json,
    finish_json,
    read_json,
    read_options,
    serve,
)

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
PREFILL_CHARACTERS_PER_SECOND = 20000
MAX_KEPT_STARTS = 50000


@dataclass(frozen=True)
class EngineOptions:
    """Settings of a fake engine.

    A cold engine runs ``cold_limit`` requests; this grows to ``capacity`` within
    ``warm_seconds``, or at once if that is 0. More requests slow all steps by
    ``collapse_factor`` for ``collapse_seconds``.
    """

    name: str = 'engine'
    address: str = '127.0.0.1'
    port: int = 0
    capacity: int = 8
    step_seconds: float = 0.02
    tokens_per_step: int = 4
    slowdown_per_request: float = 0.05
    prefix_entries: int = 64
    prefix_characters: int = 64
    load_seconds: float = 0.3
    cold_limit: int = 8
    warm_seconds: float = 0
    collapse_factor: float = 20
    collapse_seconds: float = 3
    cold_refuses: bool = False
    checks_fence: bool = True
    record_path: str = ''
    seed: int = 0


@dataclass
class Stream:
    """One running or waiting request."""

    request: Request
    request_id: str
    prompt: str
    max_tokens: int
    batch: bool
    position: int
    ready_seconds: float = 0
    done: bool = False


@dataclass
class Engine:
    """The state of the fake engine, all of which is lost at a restart."""

    options: EngineOptions
    reactor: Any
    record: RecordFile
    generation: int
    release: str = ''
    digest: str = ''
    fence: int = 0
    loading: bool = False
    cold_since_seconds: float = 0
    collapsed_until_seconds: float = 0
    running: list[Stream] = field(default_factory=list)
    waiting: list[Stream] = field(default_factory=list)
    prefixes: OrderedDict[str, bool] = field(default_factory=OrderedDict)
    starts: list[list[Any]] = field(default_factory=list)
    loads: list[dict[str, Any]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    ticking: bool = False

    def count(self, name: str, at_least: int = 0) -> None:
        """Increments a counter, or raises it to ``at_least`` if that is given."""
        seen = self.counts.get(name, 0)
        self.counts[name] = max(seen, at_least) if at_least else seen + 1

    def current_limit(self) -> int:
        """Returns how many requests the engine can run now without a collapse."""
        options = self.options
        if not options.warm_seconds:
            return options.capacity
        warm_share = (self.reactor.seconds() - self.cold_since_seconds) / options.warm_seconds
        added = (options.capacity - options.cold_limit) * min(1, warm_share)
        return options.cold_limit + int(added)

    def is_cold(self) -> bool:
        return self.current_limit() < self.options.capacity

    def turn_cold(self) -> None:
        self.cold_since_seconds = self.reactor.seconds()
        self.prefixes.clear()

    def add(self, stream: Stream) -> None:
        if len(self.running) >= self.options.capacity:
            self.waiting.append(stream)
            self.waiting.sort(key=lambda waiting: waiting.batch)
            return
        self._start(stream)

    def remove(self, stream: Stream) -> None:
        stream.done = True
        if stream in self.running:
            self.running.remove(stream)
        if stream in self.waiting:
            self.waiting.remove(stream)
        while self.waiting and len(self.running) < self.options.capacity:
            self._start(self.waiting.pop(0))

    def _start(self, stream: Stream) -> None:
        self.running.append(stream)
        stream.ready_seconds = self.reactor.seconds() + self._prefill_seconds(stream.prompt)
        self.starts.append([stream.request_id, self.release])
        del self.starts[:-MAX_KEPT_STARTS]
        self.record.add('run', id=stream.request_id, release=self.release, digest=self.digest)
        self.count('max_running', len(self.running))
        if len(self.running) > self.current_limit():
            self.count('collapses')
            self.record.add('collapse', running=len(self.running), bears=self.current_limit())
            self.collapsed_until_seconds = self.reactor.seconds() + self.options.collapse_seconds
        if not self.ticking:
            self.ticking = True
            self.reactor.callLater(self._step_seconds(), self._tick)

    def _prefill_seconds(self, prompt: str) -> float:
        prefix = prompt[: self.options.prefix_characters]
        cached = prefix in self.prefixes
        self.prefixes[prefix] = True
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.options.prefix_entries:
            self.prefixes.popitem(last=False)
        self.count('prefix_hits' if cached else 'prefix_misses')
        uncached = max(0, len(prompt) - self.options.prefix_characters) if cached else len(prompt)
        return uncached / PREFILL_CHARACTERS_PER_SECOND

    def _step_seconds(self) -> float:
        slowdown = 1 + self.options.slowdown_per_request * len(self.running)
        if self.reactor.seconds() < self.collapsed_until_seconds:
            slowdown *= self.options.collapse_factor
        return self.options.step_seconds * slowdown

    def _tick(self) -> None:
        now = self.reactor.seconds()
        for stream in list(self.running):
            if stream.ready_seconds <= now and not stream.done:
                self._emit(stream)
        self.ticking = bool(self.running)
        if self.ticking:
            self.reactor.callLater(self._step_seconds(), self._tick)

    def _emit(self, stream: Stream) -> None:
        until = min(stream.max_tokens, stream.position + self.options.tokens_per_step)
        text = answer_text(stream.prompt, self.digest, until, stream.position)
        stream.position = until
        write_event(stream.request, {'text': text, 'position': until})
        if until >= stream.max_tokens:
            self.remove(stream)
            last = {'done': True, 'tokens': until, 'release': self.release}
            write_event(stream.request, last)
            stream.request.finish()


def write_event(request: Request, content: dict[str, Any]) -> None:
    """Writes one server-sent event."""
    request.write(b'data: ' + json.dumps(content).encode() + b'\n\n')


class Generate(Resource):
    """``POST /v1/generate``."""

    isLeaf = True

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def render_POST(self, request: Request) -> Any:
        engine = self._engine
        body = read_json(request)
        if not engine.release or engine.loading or body.get('release') != engine.release:
            engine.count('wrong_release')
            return answer_json(request, {'release': engine.release}, HTTP_CONFLICT)
        if engine.options.cold_refuses and len(engine.running) >= engine.current_limit():
            engine.count('refused')
            return answer_json(request, {'problem': 'cold'}, HTTP_UNAVAILABLE)
        request.setHeader('Content-Type', 'text/event-stream')
        stream = Stream(
            request=request,
            request_id=str(body.get('request_id', '')),
            prompt=str(body.get('prompt', '')),
            max_tokens=int(body.get('max_tokens', 16)),
            batch=body.get('priority') == 'batch',
            position=int(body.get('resume_from', 0)),
        )
        request.notifyFinish().addErrback(lambda _reason: engine.remove(stream))
        engine.add(stream)
        return NOT_DONE_YET


class Load(Resource):
    """``POST /admin/load``: loads a model file; 409 if the fence is older than the last one."""

    isLeaf = True

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def render_POST(self, request: Request) -> Any:
        engine = self._engine
        order = read_json(request)
        fence = int(order.get('fence', 0))
        if engine.options.checks_fence and fence < engine.fence:
            engine.count('old_fences')
            return answer_json(request, {'fence': engine.fence}, HTTP_CONFLICT)
        engine.fence = fence
        engine.loading = True
        if engine.running:
            engine.count('loads_while_running')
        engine.reactor.callLater(engine.options.load_seconds, self._loaded, request, order)
        return NOT_DONE_YET

    def _loaded(self, request: Request, order: dict[str, Any]) -> None:
        engine = self._engine
        engine.digest = hash_file(Path(order['path']))
        engine.release = str(order['release'])
        engine.loading = False
        engine.turn_cold()
        declared = order.get('digest', '')
        load = {'release': engine.release, 'digest': engine.digest, 'declared': declared}
        engine.loads.append(load)
        engine.record.add('load', fence=order.get('fence', 0), **load)
        finish_json(request, {'release': engine.release})


class Unload(JsonResource):
    """``POST /admin/unload``."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def on_post(self, _request: Request) -> Any:
        self._engine.release = ''
        self._engine.digest = ''
        return {}


class Cold(JsonResource):
    """``POST /admin/cold``: makes the engine cold and clears its prefix cache."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def on_post(self, _request: Request) -> Any:
        self._engine.turn_cold()
        return {}


class State(JsonResource):
    """``GET /admin/state``."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def on_get(self, _request: Request) -> Any:
        engine = self._engine
        return {
            'generation': engine.generation,
            'release': engine.release,
            'loaded': bool(engine.release) and not engine.loading,
            'running': len(engine.running),
            'cold': engine.is_cold(),
        }


class RunRecord(JsonResource):
    """``GET /admin/record``: the loads and latest runs since the process started."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def on_get(self, _request: Request) -> Any:
        engine = self._engine
        return {
            'generation': engine.generation,
            'loads': engine.loads,
            'runs': engine.starts,
            'counts': engine.counts,
            'fence': engine.fence,
        }


def hash_file(path: Path) -> str:
    """Returns the SHA-256 of a file."""
    with path.open('rb') as opened:
        return hashlib.file_digest(opened, 'sha256').hexdigest()


def make_root(engine: Engine) -> Resource:
    """Returns the root of the web resources of an engine."""
    root = Resource()
    public = Resource()
    public.putChild(b'generate', Generate(engine))
    root.putChild(b'v1', public)
    admin = Resource()
    admin.putChild(b'load', Load(engine))
    admin.putChild(b'unload', Unload(engine))
    admin.putChild(b'cold', Cold(engine))
    admin.putChild(b'state', State(engine))
    admin.putChild(b'record', RunRecord(engine))
    root.putChild(b'admin', admin)
    return root


DEFAULTS = EngineOptions()
app = App(help='A fake model engine.')


@app.default
def main(
    *,
    settings: Path | None = None,
    options: Annotated[EngineOptions, Parameter(name='*')] = DEFAULTS,
) -> None:
    """Runs the fake engine."""
    chosen = read_options(EngineOptions, options, settings)
    generation = random.SystemRandom().getrandbits(52)
    record = RecordFile(chosen.record_path)
    engine = Engine(chosen, installed_reactor, record, generation)
    record.add('start', generation=generation)
    serve('fake-engine', chosen, make_root(engine))


if __name__ == '__main__':
    app()
