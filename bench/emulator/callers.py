"""Callers in simulated time: when they ask, when they come back, and what they get."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench.emulator.deployment import Deployment, Kind, Zone
from bench.emulator.entry import EmulatedCall, EmulatedEntry
from bench.emulator.simulation import Simulation
from jackdawsail.site.document import Route

PATIENCE_PART = 3  # callers wait for at most a third of the time that they have left
TOKENS_AN_EVENT = 6
HINT_SPREAD = 0.5  # of the logarithm of a caller's guess at the length of an answer


@dataclass(slots=True, eq=False)
class Asked:
    """What became of one request of a caller, over all of its attempts."""

    kind: Kind
    zone: str
    asked_seconds: float
    size: float
    prompt_tokens: float = 0
    answer_tokens: int = 0
    likely_tokens: int = 0
    work_seconds: float = 0
    attempts: int = 0
    refusals: int = 0
    first_seconds: float = 0
    last_event_seconds: float = 0
    longest_pause_seconds: float = 0
    answered: bool = False
    ended: bool = False

    @property
    def in_time(self) -> bool:
        """Tells whether it was answered within its objective."""
        if not self.answered:
            return False
        took_seconds = self.first_seconds - self.asked_seconds
        pauses = self.longest_pause_seconds * 1000 <= self.kind.longest_pause_ms
        return took_seconds * 1000 <= self.kind.target_ms and pauses

    @property
    def owed(self) -> float:
        """Returns what it is worth in time."""
        return self.kind.worth * min(4.0, 0.3 + 0.7 * self.size)

    @property
    def earned(self) -> float:
        """Returns what its answer is worth."""
        if not self.answered:
            return 0
        worth = self.kind.worth if self.in_time else self.kind.late_worth
        return worth * min(4.0, 0.3 + 0.7 * self.size)


@dataclass(slots=True, eq=False)
class Callers:
    """All callers of a data centre."""

    simulation: Simulation
    deployment: Deployment
    zone: Zone
    entries: Sequence[EmulatedEntry]
    routes: dict[str, Route]
    rng: random.Random
    asked: list[Asked]

    def start(self) -> None:
        """Begins to ask, each kind at its own rate."""
        for kind in self.deployment.kinds:
            self._plan(kind)

    def _plan(self, kind: Kind) -> None:
        factor = self.deployment.factor_at(self.simulation.seconds())
        rate = kind.per_second * self.zone.callers_share * factor
        self.simulation.after(self.rng.expovariate(rate), self._ask, kind)

    def _ask(self, kind: Kind) -> None:
        self._plan(kind)
        made = self._make(kind)
        self.asked.append(made)
        self._attempt(made)

    def _make(self, kind: Kind) -> Asked:
        now_seconds = self.simulation.seconds()
        mean_ms = self.deployment.service.mean_ms
        work_seconds = self._draw(mean_ms, 0.5, mean_ms * 6) / 1000
        if not kind.prompt_tokens:
            return Asked(kind, self.zone.name, now_seconds, 1.0, work_seconds=work_seconds)
        prompt = self._draw(kind.prompt_tokens, kind.prompt_spread, kind.prompt_most)
        events = self._draw(kind.events, kind.events_spread, kind.events_most)
        answer = max(1, round(events)) * TOKENS_AN_EVENT
        size = prompt / kind.prompt_tokens
        # Accurate at the median, but often far off.
        likely = max(1, round(answer * math.exp(self.rng.gauss(0, HINT_SPREAD))))
        return Asked(kind, self.zone.name, now_seconds, size, prompt, answer, likely)

    def _draw(self, mean: float, spread: float, most: float) -> float:
        """Draws from a gamma distribution with a mean and a relative spread, cut at a most."""
        shape = 1 / spread**2
        return min(most, self.rng.gammavariate(shape, mean / shape))

    def _attempt(self, asked: Asked) -> None:
        asked.attempts += 1
        way_seconds = self.deployment.caller_way_seconds
        now_seconds = self.simulation.seconds()
        patience_seconds = asked.kind.patience_ms / 1000 - (now_seconds - asked.asked_seconds)
        call = EmulatedCall(
            kind=asked.kind,
            route=self.routes[asked.kind.name],
            prompt_tokens=asked.prompt_tokens,
            answer_tokens=asked.answer_tokens,
            work_seconds=asked.work_seconds,
            patience_seconds=patience_seconds,
            likely_tokens=asked.likely_tokens,
            fingerprint=id(asked).to_bytes(8, 'big'),
            on_event=self._back(lambda events: self._event(asked, events)),
            on_end=self._back(lambda whole: self._end(asked, whole)),
            on_refused=self._back(lambda wait: self._refused(asked, wait)),
        )
        entry = self.rng.choice(self.entries)
        self.simulation.after(way_seconds, entry.take, call)

    def _back(self, take: Callable[..., None]) -> Callable[..., None]:
        way_seconds = self.deployment.caller_way_seconds
        return lambda given: self.simulation.after(way_seconds, take, given)

    def _event(self, asked: Asked, events: int) -> None:
        now_seconds = self.simulation.seconds()
        if events == 1:
            asked.first_seconds = now_seconds
        else:
            pause_seconds = now_seconds - asked.last_event_seconds
            asked.longest_pause_seconds = max(asked.longest_pause_seconds, pause_seconds)
        asked.last_event_seconds = now_seconds

    def _end(self, asked: Asked, whole: bool) -> None:
        if not whole and asked.attempts <= self.deployment.returns:
            self._attempt(asked)
            return
        asked.answered = whole
        asked.ended = True
        if whole and not asked.prompt_tokens:
            asked.first_seconds = self.simulation.seconds()

    def _refused(self, asked: Asked, wait_seconds: float) -> None:
        asked.refusals += 1
        now_seconds = self.simulation.seconds()
        left_seconds = asked.kind.patience_ms / 1000 - (now_seconds - asked.asked_seconds)
        if asked.attempts > self.deployment.returns or left_seconds <= 0:
            asked.ended = True
            return
        wait_seconds = min(wait_seconds, left_seconds / PATIENCE_PART)
        self.simulation.after(wait_seconds, self._attempt, asked)
