"""Plays calls with parts of prompts at engines that end, by a bad part, by chance, or both.

Every entry's evidence reaches the decision after DELAY_SECONDS. The figures are the ends
before a bad part is blocked, its sends after the block, and what sound calls lost.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any

from bench.emulator.ending_engine import EndingEngine
from bench.emulator.simulation import Simulation
from jackdawsail.routing.part_suspicion import EARLY_EVENTS, JUST_BEGUN_EVENTS
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.wire.trait_messages import SuspectCall

DELAY_SECONDS = 0.05
EVENT_SECONDS = 0.055
DOWN_SECONDS = 2.5
CHECK_SECONDS = 0.1
MAX_ATTEMPTS = 2
BAD = 'bad'


@dataclass(frozen=True, slots=True)
class Scenario:
    """Engines, traffic and disruptions of one play; a rate of 0 means none.

    ``bad_per_second`` calls carry a bad part from ``bad_from_seconds`` on; before that the
    part is sound. ``chance_ends`` engines end by chance, ``together`` at the same moment.
    """

    name: str
    engines: int = 8
    calls_per_second: float = 80
    bad_per_second: float = 0
    bad_from_seconds: float = 5
    chance_ends: int = 0
    together: int = 1
    chance_span_seconds: float = 20
    crash_seconds: tuple[float, float] = (0.03, 0.13)
    length_seconds: float = 40


@dataclass(slots=True)
class Figures:
    """What one play cost; ``sound_blocked`` are sound parts that were blocked."""

    ends_before: int = 0
    ends_after: int = 0
    sends_after: int = 0
    sound_calls: int = 0
    sound_refused: int = 0
    sound_failed: int = 0
    withheld: int = 0
    blocked_seconds: float | None = None
    sound_blocked: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Call:
    own_part: str
    parts: tuple[str, ...]
    is_bad: bool
    attempts: int = 0
    events: int = 0
    length_events: int = 20
    begun_seconds: float | None = None
    attempt: int = 0


@dataclass(slots=True, eq=False)
class BlamePlay:
    """One play of a scenario; all decisions are those of the product."""

    scenario: Scenario
    rng: random.Random
    simulation: Simulation = field(default_factory=Simulation)
    blame: Any = field(default_factory=TraitBlame)
    figures: Figures = field(default_factory=Figures)
    engines: list[EndingEngine[_Call]] = field(default_factory=list)
    numbers: Any = field(default_factory=itertools.count)

    def run(self) -> Figures:
        """Plays the scenario."""
        scenario = self.scenario
        self.engines = [EndingEngine(number) for number in range(scenario.engines)]
        calls = self.simulation.call_at_random
        calls(scenario.calls_per_second, self.rng, self._sound_call)
        calls(scenario.bad_per_second, self.rng, self._bad_call)
        for _ in range(scenario.chance_ends):
            at_seconds = 3 + self.rng.uniform(0, scenario.chance_span_seconds)
            self.simulation.call_later(at_seconds, self._end_by_chance)
        self._check()
        self.simulation.run(scenario.length_seconds)
        self.figures.sound_blocked = [part for part in self.blame.blocked if part != BAD]
        return self.figures

    def _parts(self) -> list[str]:
        first = self.rng.choice(('first0', 'first0', 'first1'))
        common = f'common{min(int(self.rng.expovariate(0.15)), 40)}'
        return [first, common, f'rare{self.rng.randrange(400)}']

    def _sound_call(self) -> None:
        self.figures.sound_calls += 1
        self._place(self._make_call(tuple(self._parts()), is_bad=False))

    def _bad_call(self) -> None:
        first, common, rare = self._parts()
        self._place(self._make_call((first, common, BAD, rare), is_bad=True))

    def _make_call(self, parts: tuple[str, ...], *, is_bad: bool) -> _Call:
        length = 3 + int(self.rng.expovariate(1 / 18))
        return _Call(f'own{next(self.numbers)}', parts, is_bad, length_events=length)

    def _place(self, call: _Call) -> None:
        if self.blame.blocked_among(call.parts):
            self.figures.sound_refused += not call.is_bad
            return
        alive = [engine for engine in self.engines if engine.alive]
        if not alive or call.attempts >= MAX_ATTEMPTS:
            self.figures.sound_failed += not call.is_bad
            return
        if call.is_bad and self.figures.blocked_seconds is not None:
            self.figures.sends_after += 1
        call.attempts += 1
        call.attempt += 1
        call.events = 0
        call.begun_seconds = None
        engine = min(self.rng.sample(alive, min(2, len(alive))), key=attrgetter('load'))
        engine.calls.append(call)
        wait_seconds = self.rng.uniform(0.05, 0.3)
        self.simulation.call_later(wait_seconds, self._begin, engine, call, call.attempt)

    def _begin(self, engine: EndingEngine[_Call], call: _Call, attempt: int) -> None:
        if call not in engine.calls or call.attempt != attempt:
            return
        now_seconds = self.simulation.seconds()
        call.begun_seconds = now_seconds
        if call.is_bad and now_seconds >= self.scenario.bad_from_seconds:
            crash_seconds = self.rng.uniform(*self.scenario.crash_seconds)
            self.simulation.call_later(crash_seconds, self._crash, engine, call, attempt)
        self.simulation.call_later(EVENT_SECONDS, self._event, engine, call, attempt)

    def _event(self, engine: EndingEngine[_Call], call: _Call, attempt: int) -> None:
        if call not in engine.calls or call.attempt != attempt:
            return
        call.events += 1
        is_complete = call.events >= call.length_events
        if is_complete:
            engine.calls.remove(call)
        if is_complete or call.events == EARLY_EVENTS + 1:
            self.simulation.call_later(DELAY_SECONDS, self._sound, call.parts, call.begun_seconds)
        if not is_complete:
            self.simulation.call_later(EVENT_SECONDS, self._event, engine, call, attempt)

    def _sound(self, parts: tuple[str, ...], begun_seconds: float) -> None:
        for part in self.blame.suspected_among(parts):
            self.blame.record_sound(part, begun_seconds)

    def _crash(self, engine: EndingEngine[_Call], call: _Call, attempt: int) -> None:
        if call in engine.calls and call.attempt == attempt:
            if self.figures.blocked_seconds is None:
                self.figures.ends_before += 1
            else:
                self.figures.ends_after += 1
            self._end(engine)

    def _end_by_chance(self) -> None:
        alive = [engine for engine in self.engines if engine.alive]
        for engine in self.rng.sample(alive, min(len(alive), self.scenario.together)):
            self._end(engine)

    def _end(self, engine: EndingEngine[_Call]) -> None:
        calls = engine.end()
        suspects = [_suspect(call) for call in calls if call.events <= EARLY_EVENTS]
        now_seconds = self.simulation.seconds()
        self.simulation.call_later(DELAY_SECONDS, self._learn, engine.name, now_seconds, suspects)
        self.simulation.call_later(DOWN_SECONDS, engine.restart)
        for call in calls:
            self.simulation.call_later(
                DELAY_SECONDS + 0.001, self._repeat_call, call, _suspect(call), call.events
            )

    def _repeat_call(self, call: _Call, suspect: SuspectCall, events: int) -> None:
        if events <= EARLY_EVENTS and self.blame.is_risky(suspect):
            self.figures.sound_failed += not call.is_bad
            self.figures.withheld += not call.is_bad
            return
        self._place(call)

    def _learn(self, name: str, ended_seconds: float, calls: list[SuspectCall]) -> None:
        self.blame.record_end(name, ended_seconds, calls, self.simulation.seconds())
        self._find_bad()

    def _find_bad(self) -> None:
        now_seconds = self.simulation.seconds()
        if BAD in self.blame.find_bad(now_seconds):
            self.figures.blocked_seconds = now_seconds

    def _check(self) -> None:
        self._find_bad()
        self.simulation.call_later(CHECK_SECONDS, self._check)


SCENARIOS = (
    Scenario('one bad part, 0.3 a second', bad_per_second=0.3),
    Scenario('one bad part, 1 a second', bad_per_second=1),
    Scenario('one bad part, 3 a second', bad_per_second=3),
    Scenario('slow crash', bad_per_second=1, crash_seconds=(0.1, 0.3)),
    Scenario('chance, 6 ends', chance_ends=6),
    Scenario('chance, 6 ends in 2 s', chance_ends=6, chance_span_seconds=2),
    Scenario('chance, 5 times 3 together', chance_ends=5, together=3),
    Scenario('chance, 3 times all together', chance_ends=3, together=8),
    Scenario('chance, 30 ends', chance_ends=30),
    Scenario('both: 1 a second, 10 ends', bad_per_second=1, chance_ends=10),
    Scenario('few engines and calls', engines=3, calls_per_second=8, bad_per_second=0.5),
    Scenario('few engines, 6 ends', engines=3, calls_per_second=8, chance_ends=6),
    Scenario('many engines, 60 ends', engines=60, calls_per_second=600, chance_ends=60),
    Scenario('many engines, 2 a second', engines=60, calls_per_second=600, bad_per_second=2),
)


def play(scenario: Scenario, seed: int, make_blame: Callable[[], Any] = TraitBlame) -> Figures:
    """Plays a scenario with a seed; ``make_blame`` builds the decision."""
    rng = random.Random(f'{scenario.name}/{seed}')
    return BlamePlay(scenario, rng, blame=make_blame()).run()


def _suspect(call: _Call) -> SuspectCall:
    just_begun = call.begun_seconds is not None and call.events <= JUST_BEGUN_EVENTS
    return SuspectCall(call.own_part, list(call.parts), just_begun)
