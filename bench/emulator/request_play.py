"""Plays calls of a plain service at engines that end, by bad requests, by chance, or both.

Callers repeat a lookup that failed, and a bad request comes again and again. The evidence
reaches the decision after DELAY_SECONDS. The figures are the ends under each bad request, its
sends after the third, and what sound calls lost.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from operator import attrgetter
from typing import Any

from bench.emulator.ending_engine import EndingEngine
from bench.emulator.simulation import Simulation
from jackdawsail.routing.request_suspicion import request_trait
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.wire.trait_messages import SuspectCall

DELAY_SECONDS = 0.04
DOWN_SECONDS = 3.0
CHECK_SECONDS = 0.1
STABLE_SECONDS = 3.0  # after the third end of a bad request
MAX_ATTEMPTS = 2
POPULAR = 'popular'


@dataclass(frozen=True, slots=True)
class RequestScenario:
    """Engines, traffic and disruptions of one play; a rate of 0 means none.

    ``crashers`` bad requests come ``bad_per_second`` times each; before ``bad_from_seconds`` they
    are answered. ``popular_per_second`` lookups
    are all the same. ``chance_ends`` times ``together`` engines end, ``gap_seconds`` apart.
    Callers repeat a failed lookup ``caller_retries`` times, after ``retry_seconds`` at most.
    """

    name: str
    engines: int = 3
    lookups_per_second: float = 3
    popular_per_second: float = 2
    bookings_per_second: float = 7.5
    crashers: int = 0
    bad_per_second: float = 2
    bad_is_booking: bool = False
    bad_from_seconds: float = 0
    chance_ends: int = 0
    together: int = 1
    gap_seconds: float = 0
    caller_retries: int = 1
    retry_seconds: float = 0.5
    work_seconds: tuple[float, float] = (0.03, 0.12)
    crash_seconds: tuple[float, float] = (0.03, 0.1)
    length_seconds: float = 40


@dataclass(slots=True)
class RequestFigures:
    """What one play cost.

    ``ends`` and ``sends_after`` are by bad request, the latter from STABLE_SECONDS after its
    third end on. ``blocked`` are sound requests that were blocked.
    """

    ends: dict[str, int] = field(default_factory=dict)
    sends_after: dict[str, int] = field(default_factory=dict)
    sound_calls: int = 0
    sound_refused: int = 0
    withheld: int = 0
    blocked: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Call:
    name: str
    is_bad: bool = False
    is_booking: bool = False
    retries: int = 0
    attempts: int = 0
    sent_seconds: float = 0

    @property
    def trait(self) -> str:
        """Returns the trait of the request."""
        return request_trait(self.name)


@dataclass(slots=True, eq=False)
class RequestPlay:
    """One play of a scenario; all decisions are those of the product."""

    scenario: RequestScenario
    rng: random.Random
    simulation: Simulation = field(default_factory=Simulation)
    blame: TraitBlame = field(default_factory=TraitBlame)
    figures: RequestFigures = field(default_factory=RequestFigures)
    engines: list[EndingEngine[_Call]] = field(default_factory=list)
    numbers: Any = field(default_factory=itertools.count)
    third_seconds: dict[str, float] = field(default_factory=dict)
    answered: set[str] = field(default_factory=set)

    def run(self) -> RequestFigures:
        """Plays the scenario."""
        scenario = self.scenario
        self.engines = [EndingEngine(number) for number in range(scenario.engines)]
        self._offer(scenario.lookups_per_second, lambda: _Call(f'lookup{next(self.numbers)}'))
        self._offer(scenario.popular_per_second, lambda: _Call(POPULAR))
        self._offer(
            scenario.bookings_per_second,
            lambda: _Call(f'booking{next(self.numbers)}', is_booking=True),
        )
        for name in self.bad_names:
            self._offer(scenario.bad_per_second, partial(self._bad_call, name))
        for _ in range(scenario.chance_ends):
            self.simulation.call_later(self.rng.uniform(3, 30), self._end_by_chance)
        self._check()
        self.simulation.run(scenario.length_seconds)
        bad = {request_trait(bad_name) for bad_name in self.bad_names}
        self.figures.blocked = [trait for trait in self.blame.blocked if trait not in bad]
        return self.figures

    @property
    def bad_names(self) -> list[str]:
        """Returns the names of the bad requests."""
        return [f'bad{number}' for number in range(self.scenario.crashers)]

    def _offer(self, calls_per_second: float, make_call: Callable[[], _Call]) -> None:
        def offer() -> None:
            call = make_call()
            self.figures.sound_calls += not call.is_bad
            self._place(call)

        self.simulation.call_at_random(calls_per_second, self.rng, offer)

    def _bad_call(self, name: str) -> _Call:
        return _Call(name, is_bad=True, is_booking=self.scenario.bad_is_booking)

    def _place(self, call: _Call) -> None:
        if self.blame.blocked_among([call.trait]):
            self.figures.sound_refused += not call.is_bad
            return
        alive = [engine for engine in self.engines if engine.alive]
        if not alive or call.attempts >= MAX_ATTEMPTS:
            self._retry(call)
            return
        now_seconds = self.simulation.seconds()
        if now_seconds > self.third_seconds.get(call.name, now_seconds) + STABLE_SECONDS:
            after = self.figures.sends_after
            after[call.name] = after.get(call.name, 0) + 1
        call.attempts += 1
        call.sent_seconds = now_seconds
        engine = min(self.rng.sample(alive, min(2, len(alive))), key=attrgetter('load'))
        engine.calls.append(call)
        if call.is_bad and now_seconds >= self.scenario.bad_from_seconds:
            crash_seconds = self.rng.uniform(*self.scenario.crash_seconds)
            self.simulation.call_later(crash_seconds, self._crash, engine, call)
        else:
            work_seconds = self.rng.uniform(*self.scenario.work_seconds)
            self.simulation.call_later(work_seconds, self._answer, engine, call)

    def _retry(self, call: _Call) -> None:
        """Lets the caller repeat a call that failed, as a call of its own."""
        if call.is_booking or call.retries >= self.scenario.caller_retries:
            return
        again = _Call(call.name, call.is_bad, retries=call.retries + 1)
        retry_seconds = self.rng.uniform(0, self.scenario.retry_seconds)
        self.simulation.call_later(retry_seconds, self._place, again)

    def _answer(self, engine: EndingEngine[_Call], call: _Call) -> None:
        if call in engine.calls:
            engine.calls.remove(call)
            self.answered.add(call.name)
            head_seconds = self.simulation.seconds()
            if call.trait in self.blame.suspected:
                self.simulation.call_later(
                    DELAY_SECONDS, self.blame.record_sound, call.trait, head_seconds
                )

    def _crash(self, engine: EndingEngine[_Call], call: _Call) -> None:
        if call in engine.calls:
            ends = self.figures.ends
            ends[call.name] = ends.get(call.name, 0) + 1
            if ends[call.name] == 3:
                self.third_seconds[call.name] = self.simulation.seconds()
            self._end(engine)

    def _end_by_chance(self) -> None:
        alive = [engine for engine in self.engines if engine.alive]
        ending = self.rng.sample(alive, min(len(alive), self.scenario.together))
        for number, engine in enumerate(ending):
            self.simulation.call_later(number * self.scenario.gap_seconds, self._end, engine)

    def _end(self, engine: EndingEngine[_Call]) -> None:
        if not engine.alive:
            return
        calls = engine.end()
        now_seconds = self.simulation.seconds()
        suspects = {id(call): self._suspect(call, now_seconds) for call in calls}
        self.simulation.call_later(
            DELAY_SECONDS, self._learn, engine.name, now_seconds, list(suspects.values())
        )
        self.simulation.call_later(DOWN_SECONDS, engine.restart)
        for call in calls:
            self.simulation.call_later(
                DELAY_SECONDS + 0.001, self._continue, call, suspects[id(call)]
            )

    def _suspect(self, call: _Call, now_seconds: float) -> SuspectCall:
        sent_age_seconds = now_seconds - call.sent_seconds
        was_answered = call.name in self.answered
        return SuspectCall(call.name, [call.trait], False, sent_age_seconds, was_answered)

    def _continue(self, call: _Call, suspect: SuspectCall) -> None:
        if call.is_booking:
            return
        if self.blame.is_risky(suspect):
            self.figures.withheld += not call.is_bad
            self._retry(call)
        else:
            self._place(call)

    def _learn(self, name: str, ended_seconds: float, calls: list[SuspectCall]) -> None:
        self.blame.record_end(name, ended_seconds, calls, self.simulation.seconds())
        self.blame.find_bad(self.simulation.seconds())

    def _check(self) -> None:
        self.blame.find_bad(self.simulation.seconds())
        self.simulation.call_later(CHECK_SECONDS, self._check)


REQUEST_SCENARIOS = (
    RequestScenario('one bad lookup, 0.5 a second', crashers=1, bad_per_second=0.5),
    RequestScenario('one bad lookup, 2 a second', crashers=1),
    RequestScenario('one bad lookup, 8 a second', crashers=1, bad_per_second=8),
    RequestScenario('one bad booking, 2 a second', crashers=1, bad_is_booking=True),
    RequestScenario('three bad lookups, 2 a second', crashers=3),
    RequestScenario('three, 12 engines', engines=12, crashers=3, lookups_per_second=12),
    RequestScenario('six, 40 engines', engines=40, crashers=6, lookups_per_second=40),
    RequestScenario('one turns bad, 2 a second', crashers=1, bad_from_seconds=5),
    RequestScenario('bad and 6 ends by chance', crashers=1, chance_ends=6),
    RequestScenario('bad, callers repeat at once', crashers=1, caller_retries=4, retry_seconds=0.05),
    RequestScenario('chance, 10 ends', chance_ends=10),
    RequestScenario('chance, 30 ends', chance_ends=30),
    RequestScenario('chance, 8 times 3 together', chance_ends=8, together=3),
    RequestScenario('chance, 8 times 3, 0.1 s apart', chance_ends=8, together=3, gap_seconds=0.1),
    RequestScenario('the same, popular 10 a second', chance_ends=8, together=3, gap_seconds=0.1,
                    popular_per_second=10),
    RequestScenario('chance, callers repeat at once', chance_ends=20, popular_per_second=10,
                    caller_retries=4, retry_seconds=0.05),
)  # fmt: skip


def play_requests(scenario: RequestScenario, seed: int) -> RequestFigures:
    """Plays a scenario with a seed."""
    return RequestPlay(scenario, random.Random(f'{scenario.name}/{seed}')).run()
