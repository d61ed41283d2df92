"""Models of an engine with continuous batching and of a plain service.

The engine's passes follow the published description: each step generates one token
for every decoding stream, prompts are prefilled in chunks between the steps, and a
pass with decoding streams lasts a fixed number of steps. Events of a stream are sent
at the end of a pass.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bench.emulator.deployment import EngineModel
from bench.emulator.simulation import Simulation
from jackdawsail.routing.named_limits import NamedLimit
from jackdawsail.routing.rest import RequestedRest

SAME_CHANNEL_SECONDS = 0.08  # between reading a call and what is behind it on its channel


@dataclass(slots=True, eq=False)
class EngineStream:
    """One stream at an engine.

    ``on_event`` gets the number of events so far, ``on_end`` whether the stream is
    complete, and ``on_refused`` whether the engine has other weights than ``expected_version``.
    It starts once it gets a slot, on ``version``; a stream that is cancelled before its first
    token has none.
    """

    prompt_tokens: float
    answer_tokens: int
    rank: int
    on_event: Callable[[int], None]
    on_end: Callable[[bool], None]
    on_refused: Callable[[bool], None]
    expected_version: int = 0
    continues: bool = False
    remaining_prompt_tokens: float = 0
    generated_tokens: int = 0
    events: int = 0
    cancelled: bool = False
    version: int = 0
    started_seconds: float = math.inf
    first_token_seconds: float = math.inf

    @property
    def context_tokens(self) -> float:
        """Returns the number of prompt tokens and of tokens generated so far."""
        return self.prompt_tokens + self.generated_tokens


@dataclass(slots=True, eq=False)
class EmulatedEngine:
    """An engine with a queue and a batch; ``version`` 0 means that it has no weights.

    ``limit`` is what it names in its answers, and ``arrived_seconds`` lists all its calls. With
    ``rest`` it turns calls away and asks for it; ``leaving`` is what it says in its answers.
    While it is draining its agent reports that it takes no calls, so that it can load soon.
    While it is silent no pass advances, and what arrives waits unread. ``started`` lists the
    streams that got a slot.
    """

    simulation: Simulation
    model: EngineModel
    name: str
    zone: str
    region: str
    version: int = 1
    pace: float = 1.0
    alive: bool = True
    switching_to: int = 0
    is_draining: bool = False
    cold_until_seconds: float = 0
    busy_seconds: float = 0
    limit: NamedLimit | None = None
    rest: RequestedRest | None = None
    leaving: bool = False
    arrived_seconds: list[float] = field(default_factory=list)
    waiting: list[EngineStream] = field(default_factory=list)
    prefilling: list[EngineStream] = field(default_factory=list)
    decoding: list[EngineStream] = field(default_factory=list)
    started: list[EngineStream] = field(default_factory=list)
    _in_pass: bool = False
    _silence_seconds: float = 0
    _silent_until_seconds: float = 0
    _reads_first: bool = False
    _passes_before_reading: int = 0
    _unread: list[tuple[Callable[[Any], None], Any]] | None = None

    @property
    def running(self) -> int:
        """Returns the number of streams that occupy a slot."""
        return len(self.prefilling) + len(self.decoding)

    @property
    def remaining_prompt_tokens(self) -> float:
        """Returns the number of prompt tokens that are still to be prefilled."""
        unfinished = [*self.waiting, *self.prefilling]
        return sum(stream.remaining_prompt_tokens for stream in unfinished)

    @property
    def is_silent(self) -> bool:
        """Returns whether the engine neither works nor reads nor answers."""
        return self.simulation.seconds() < self._silent_until_seconds

    def receive(self, stream: EngineStream) -> None:
        """Queues or refuses a stream.

        An engine refuses streams while its queue is full, while it changes over or has no
        weights, or other weights than the stream expects, and after a crash.
        """
        self.arrived_seconds.append(self.simulation.seconds())
        self._handle(self._accept, stream)

    def _accept(self, stream: EngineStream) -> None:
        if stream.cancelled and not self._reads_first:
            return
        closed = self.switching_to or not self.version or not self.alive or self.rest
        is_misdirected = stream.expected_version not in {0, self.version}
        if closed or is_misdirected or len(self.waiting) >= self.model.queue:
            stream.on_refused(is_misdirected)
            return
        stream.remaining_prompt_tokens = stream.prompt_tokens
        self.waiting.append(stream)
        self.waiting.sort(key=lambda waiting: waiting.rank)
        if not self._in_pass:
            self._start_pass()

    def cancel(self, stream: EngineStream) -> None:
        """Removes a stream that the entry has cancelled."""
        stream.cancelled = True
        self._handle(self._remove, stream)

    def _remove(self, stream: EngineStream) -> None:
        if stream.first_token_seconds > self.simulation.seconds():
            stream.first_token_seconds = math.inf
        for streams in (self.waiting, self.prefilling, self.decoding):
            if stream in streams:
                streams.remove(stream)

    def start_changeover(self, version: int) -> None:
        """Loads a version once all streams have finished; accepts none until it is loaded."""
        self._handle(self._change_over, version)

    def fall_silent(self, for_seconds: float, *, reads_first: bool) -> None:
        """Stands still for a time, after which the engine goes on with what it held.

        It then ends the pass that it was in and the next one before it reads what has arrived,
        or, with ``reads_first``, reads that at once.
        """
        if not self.alive or self._unread is not None:
            return
        now_seconds = self.simulation.seconds()
        self._silence_seconds = for_seconds
        self._silent_until_seconds = now_seconds + for_seconds
        self._reads_first = reads_first
        self._unread = []
        for stream in self.decoding:
            if stream.first_token_seconds > now_seconds:
                stream.first_token_seconds += for_seconds
        self.simulation.call_later(for_seconds, self._wake)

    def _wake(self) -> None:
        if self._in_pass and not self._reads_first:
            self._passes_before_reading = 2
        else:
            self._read()

    def _read(self) -> None:
        """Reads all that has arrived; what is behind a call on its channel comes later."""
        self._passes_before_reading = 0
        unread = self._unread or []
        self._unread = None
        calls = [message for handle, message in unread if handle == self._accept]
        for handle, message in unread:
            if self._reads_first and handle == self._remove and message in calls:
                self.simulation.call_later(SAME_CHANNEL_SECONDS, self._handle, handle, message)
            else:
                handle(message)
        self._reads_first = False

    def _handle(self, handle: Callable[[Any], None], message: Any) -> None:
        """Handles a message that has arrived, or keeps it unread."""
        if self._unread is None:
            handle(message)
        else:
            self._unread.append((handle, message))

    def _schedule(
        self, delay_seconds: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules something that the engine does after a delay, and later by any silence."""
        self.simulation.call_later(delay_seconds, self._do, function, arguments)

    def _do(self, function: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if self.is_silent:
            self._schedule(self._silence_seconds, function, *arguments)
        else:
            function(*arguments)

    def _change_over(self, version: int) -> None:
        self.switching_to = version
        self.is_draining = False
        if not self._in_pass:
            self._start_pass()

    def crash(self) -> None:
        """Stops the engine at once; every stream ends incomplete."""
        self.alive = False
        streams = [*self.waiting, *self.prefilling, *self.decoding]
        unread = self._unread or []
        self._unread = None
        streams.extend(message for handle, message in unread if handle == self._accept)
        for queue in (self.waiting, self.prefilling, self.decoding):
            queue.clear()
        for stream in streams:
            stream.on_end(False)

    def _start_pass(self) -> None:
        while self.waiting and self.running < self.model.places:
            self._start(self.waiting.pop(0))
        if not self.running or not self.alive:
            self._in_pass = False
            if self.switching_to and self.alive:
                self._schedule(self.model.load_seconds, self._loaded)
            if self._passes_before_reading:
                self._read()
            return
        self._in_pass = True
        pass_seconds = self._run_pass() * self.pace
        self.busy_seconds += pass_seconds
        self._schedule(pass_seconds, self._end_pass)

    def _start(self, stream: EngineStream) -> None:
        stream.version = self.version
        stream.started_seconds = self.simulation.seconds()
        self.prefilling.append(stream)
        self.started.append(stream)

    def _run_pass(self) -> float:
        """Runs the steps of a pass and returns its duration in seconds."""
        model = self.model
        steps = model.steps_per_pass if self.decoding else 1
        duration_ms: float = 0
        for _ in range(steps):
            context = sum(stream.context_tokens for stream in self.decoding) / 1000
            duration_ms += model.step_ms + model.step_per_stream_ms * len(self.decoding)
            duration_ms += model.context_per_thousand_ms * context + self._prefill_chunks()
            for stream in list(self.decoding):
                stream.generated_tokens += stream.generated_tokens < stream.answer_tokens
            self._start_decoding(duration_ms * self.pace / 1000)
        return duration_ms / 1000

    def _prefill_chunks(self) -> float:
        budget: float = self.model.chunk_tokens
        duration_ms: float = 0
        for stream in self.prefilling:
            chunk_tokens = min(budget, stream.remaining_prompt_tokens)
            if chunk_tokens <= 0:
                continue
            prefilled_tokens = stream.prompt_tokens - stream.remaining_prompt_tokens
            pairs = chunk_tokens * (prefilled_tokens + chunk_tokens / 2) / 1e6
            duration_ms += chunk_tokens / self.model.prompt_tokens_per_ms
            duration_ms += pairs * self.model.pairs_per_million_ms
            stream.remaining_prompt_tokens -= chunk_tokens
            budget -= chunk_tokens
        return duration_ms

    def _start_decoding(self, since_pass_seconds: float) -> None:
        prefilled = [each for each in self.prefilling if each.remaining_prompt_tokens <= 0]
        for stream in prefilled:
            self.prefilling.remove(stream)
            # The last step of the prefill generates the first token.
            stream.generated_tokens = max(1, stream.generated_tokens)
            stream.first_token_seconds = self.simulation.seconds() + since_pass_seconds
            self.decoding.append(stream)

    def _end_pass(self) -> None:
        if not self.alive:
            return
        for stream in list(self.decoding):
            stream.events += 1
            self._schedule(self.model.first_ms / 1000, stream.on_event, stream.events)
            if stream.generated_tokens >= stream.answer_tokens:
                self.decoding.remove(stream)
                self._schedule(self.model.first_ms / 1000, stream.on_end, True)
        if self._passes_before_reading == 1:
            self._read()
        self._passes_before_reading = max(0, self._passes_before_reading - 1)
        self._start_pass()

    def _loaded(self) -> None:
        if self.alive:
            self.version = self.switching_to
            self.switching_to = 0


@dataclass(slots=True, eq=False)
class EmulatedService:
    """A plain service with a few slots and a short FIFO queue."""

    simulation: Simulation
    name: str
    zone: str
    region: str
    slots: int
    queue: int
    pace: float = 1.0
    running: int = 0
    waiting: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    def accept(self, work_seconds: float, on_end: Callable[[], None]) -> bool:
        """Accepts a call; False if the queue is full."""
        if self.running < self.slots:
            self._start(work_seconds, on_end)
        elif len(self.waiting) < self.queue:
            self.waiting.append((work_seconds, on_end))
        else:
            return False
        return True

    def _start(self, work_seconds: float, on_end: Callable[[], None]) -> None:
        self.running += 1
        self.simulation.call_later(work_seconds * self.pace, self._end, on_end)

    def _end(self, on_end: Callable[[], None]) -> None:
        self.running -= 1
        if self.waiting:
            self._start(*self.waiting.pop(0))
        on_end()
