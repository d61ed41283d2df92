"""A model engine with continuous batching, in simulated time.

Its passes follow the published description: each step makes one token for every
stream that is writing, prompts are read in pieces between the steps, and a pass
with writers lasts a fixed number of steps. A stream's events leave at the end of
a pass.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bench.emulator.deployment import EngineModel
from bench.emulator.simulation import Simulation


@dataclass(slots=True, eq=False)
class Work:
    """One stream at an engine; ``on_event`` gets the number of events made so far.

    ``on_end`` is told whether the stream was made whole.
    """

    prompt_tokens: float
    answer_tokens: int
    rank: int
    on_event: Callable[[int], None]
    on_end: Callable[[bool], None]
    unread_tokens: float = 0
    made_tokens: int = 0
    events: int = 0
    cancelled: bool = False

    @property
    def context_tokens(self) -> float:
        """Returns the tokens that each further one depends on."""
        return self.prompt_tokens + self.made_tokens


@dataclass(slots=True, eq=False)
class EmulatedEngine:
    """Owns its queue and its batch; ``version`` 0 means that it holds no weights."""

    simulation: Simulation
    model: EngineModel
    name: str
    zone: str
    region: str
    version: int = 1
    pace: float = 1.0
    alive: bool = True
    switching_to: int = 0
    cold_until_seconds: float = 0
    busy_seconds: float = 0
    waiting: list[Work] = field(default_factory=list)
    reading: list[Work] = field(default_factory=list)
    writing: list[Work] = field(default_factory=list)
    _passing: bool = False

    @property
    def running(self) -> int:
        """Counts the streams that hold a place."""
        return len(self.reading) + len(self.writing)

    @property
    def unread_tokens(self) -> float:
        """Counts the prompt tokens that are still to be read."""
        unread = [*self.waiting, *self.reading]
        return sum(work.unread_tokens for work in unread)

    def take(self, work: Work) -> bool:
        """Takes a stream; False when the queue is full or nothing is accepted."""
        closed = self.switching_to or not self.version or not self.alive
        if closed or len(self.waiting) >= self.model.queue:
            return False
        work.unread_tokens = work.prompt_tokens
        self.waiting.append(work)
        self.waiting.sort(key=lambda one: one.rank)
        if not self._passing:
            self._begin_pass()
        return True

    def cancel(self, work: Work) -> None:
        """Drops a stream whose caller has left."""
        work.cancelled = True
        for held in (self.waiting, self.reading, self.writing):
            if work in held:
                held.remove(work)

    def switch(self, version: int) -> None:
        """Finishes what runs, then loads a version; nothing new is taken meanwhile."""
        self.switching_to = version
        if not self._passing:
            self._begin_pass()

    def die(self) -> None:
        """Ends at once; every stream breaks off."""
        self.alive = False
        held = [*self.waiting, *self.reading, *self.writing]
        for queue in (self.waiting, self.reading, self.writing):
            queue.clear()
        for work in held:
            work.on_end(False)

    def _begin_pass(self) -> None:
        while self.waiting and self.running < self.model.places:
            self.reading.append(self.waiting.pop(0))
        if not self.running or not self.alive:
            self._passing = False
            if self.switching_to and self.alive:
                self.simulation.after(self.model.load_seconds, self._loaded)
            return
        self._passing = True
        seconds = self._play_pass() * self.pace
        self.busy_seconds += seconds
        self.simulation.after(seconds, self._end_pass)

    def _play_pass(self) -> float:
        """Lets a pass do its work and returns how long it takes."""
        model = self.model
        steps = model.steps_per_pass if self.writing else 1
        took_ms: float = 0
        for _ in range(steps):
            context = sum(work.context_tokens for work in self.writing) / 1000
            took_ms += model.step_ms + model.step_per_stream_ms * len(self.writing)
            took_ms += model.context_per_thousand_ms * context + self._read_piece()
            for work in list(self.writing):
                work.made_tokens += work.made_tokens < work.answer_tokens
            self._begin_writing()
        return took_ms / 1000

    def _read_piece(self) -> float:
        budget: float = self.model.chunk_tokens
        took_ms: float = 0
        for work in self.reading:
            piece = min(budget, work.unread_tokens)
            if piece <= 0:
                continue
            read = work.prompt_tokens - work.unread_tokens
            pairs = piece * (read + piece / 2) / 1e6
            took_ms += piece / self.model.prompt_tokens_per_ms
            took_ms += pairs * self.model.pairs_per_million_ms
            work.unread_tokens -= piece
            budget -= piece
        return took_ms

    def _begin_writing(self) -> None:
        read = [one for one in self.reading if one.unread_tokens <= 0]
        for work in read:
            self.reading.remove(work)
            # The last step of reading makes the first token.
            work.made_tokens = max(1, work.made_tokens)
            self.writing.append(work)

    def _end_pass(self) -> None:
        if not self.alive:
            return
        for work in list(self.writing):
            work.events += 1
            self.simulation.after(self.model.first_ms / 1000, work.on_event, work.events)
            if work.made_tokens >= work.answer_tokens:
                self.writing.remove(work)
                self.simulation.after(self.model.first_ms / 1000, work.on_end, True)
        self._begin_pass()

    def _loaded(self) -> None:
        if self.alive:
            self.version = self.switching_to
            self.switching_to = 0


@dataclass(slots=True, eq=False)
class EmulatedService:
    """A plain service: a few places and a short queue in the order of arrival."""

    simulation: Simulation
    name: str
    zone: str
    region: str
    places: int
    queue: int
    pace: float = 1.0
    running: int = 0
    waiting: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    def take(self, work_seconds: float, on_end: Callable[[], None]) -> bool:
        """Takes a call; False when the queue is full."""
        if self.running < self.places:
            self._begin(work_seconds, on_end)
        elif len(self.waiting) < self.queue:
            self.waiting.append((work_seconds, on_end))
        else:
            return False
        return True

    def _begin(self, work_seconds: float, on_end: Callable[[], None]) -> None:
        self.running += 1
        self.simulation.after(work_seconds * self.pace, self._end, on_end)

    def _end(self, on_end: Callable[[], None]) -> None:
        self.running -= 1
        if self.waiting:
            self._begin(*self.waiting.pop(0))
        on_end()
