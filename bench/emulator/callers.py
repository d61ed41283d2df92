"""Callers in simulated time: when they send, when they retry, and what they get."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench.emulator.deployment import Deployment, RequestKind, Zone
from bench.emulator.entry import EmulatedCall, EmulatedEntry
from bench.emulator.simulation import Simulation
from jackdawsail.site.document import Route

PATIENCE_DIVISOR = 3  # callers wait at most a third of their remaining time before a retry
HINT_SPREAD = 0.5  # std deviation of the logarithm of a caller's estimate of the answer length


@dataclass(slots=True, eq=False)
class CallerRequest:
    """One request of a caller, with its result over all attempts.

    ``size`` is its prompt length relative to the mean of its kind.
    """

    kind: RequestKind
    zone: str
    start_seconds: float
    size: float
    prompt_tokens: float = 0
    answer_tokens: int = 0
    estimated_tokens: int = 0
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
        """Returns whether it was answered within its objective, without too long a pause."""
        if not self.answered:
            return False
        took_seconds = self.first_seconds - self.start_seconds
        has_short_pauses = self.longest_pause_seconds * 1000 <= self.kind.longest_pause_ms
        return took_seconds * 1000 <= self.kind.target_ms and has_short_pauses

    @property
    def full_worth(self) -> float:
        """Returns its worth if it is answered in time."""
        return self.kind.worth * min(4.0, 0.3 + 0.7 * self.size)

    @property
    def earned_worth(self) -> float:
        """Returns the worth of the answer it got: full in time, less if late, else 0."""
        if not self.answered:
            return 0
        worth = self.kind.worth if self.in_time else self.kind.late_worth
        return worth * min(4.0, 0.3 + 0.7 * self.size)


@dataclass(slots=True, eq=False)
class EmulatedCallers:
    """All callers of a data centre; ``requests`` collects every request they send."""

    simulation: Simulation
    deployment: Deployment
    zone: Zone
    entries: Sequence[EmulatedEntry]
    routes: dict[str, Route]
    rng: random.Random
    requests: list[CallerRequest]

    def start(self) -> None:
        """Schedules the first request of each kind."""
        for kind in self.deployment.kinds:
            self._schedule_next(kind)

    def _schedule_next(self, kind: RequestKind) -> None:
        factor = self.deployment.load_factor_at(self.simulation.seconds())
        rate = kind.per_second * self.zone.callers_share * factor
        self.simulation.call_later(self.rng.expovariate(rate), self._send_new, kind)

    def _send_new(self, kind: RequestKind) -> None:
        self._schedule_next(kind)
        request = self._make_request(kind)
        self.requests.append(request)
        self._attempt(request)

    def _make_request(self, kind: RequestKind) -> CallerRequest:
        now_seconds = self.simulation.seconds()
        mean_ms = self.deployment.service.mean_ms
        work_seconds = self._sample(mean_ms, 0.5, mean_ms * 6) / 1000
        if not kind.prompt_tokens:
            return CallerRequest(kind, self.zone.name, now_seconds, 1.0, work_seconds=work_seconds)
        prompt = self._sample(kind.prompt_tokens, kind.prompt_spread, kind.prompt_most)
        events = self._sample(kind.events, kind.events_spread, kind.events_most)
        answer = max(1, round(events)) * self.deployment.engine.steps_per_pass
        size = prompt / kind.prompt_tokens
        # The estimate is right at the median, but often far off.
        estimated = max(1, round(answer * math.exp(self.rng.gauss(0, HINT_SPREAD))))
        return CallerRequest(kind, self.zone.name, now_seconds, size, prompt, answer, estimated)

    def _sample(self, mean: float, spread: float, maximum: float) -> float:
        """Samples a gamma distribution; ``spread`` is relative to the mean, ``maximum`` a cap."""
        shape = 1 / spread**2
        return min(maximum, self.rng.gammavariate(shape, mean / shape))

    def _attempt(self, request: CallerRequest) -> None:
        request.attempts += 1
        one_way_seconds = self.deployment.caller_one_way_seconds
        now_seconds = self.simulation.seconds()
        patience_seconds = request.kind.patience_ms / 1000 - (now_seconds - request.start_seconds)
        call = EmulatedCall(
            kind=request.kind,
            route=self.routes[request.kind.name],
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            work_seconds=request.work_seconds,
            patience_seconds=patience_seconds,
            estimated_tokens=request.estimated_tokens,
            fingerprint=id(request).to_bytes(8, 'big'),
            on_event=self._delayed(lambda events: self._handle_event(request, events)),
            on_end=self._delayed(lambda is_complete: self._handle_end(request, is_complete)),
            on_refused=self._delayed(lambda wait: self._handle_refusal(request, wait)),
        )
        entry = self.rng.choice(self.entries)
        self.simulation.call_later(one_way_seconds, entry.receive_call, call)

    def _delayed(self, receive: Callable[..., None]) -> Callable[..., None]:
        one_way_seconds = self.deployment.caller_one_way_seconds
        return lambda argument: self.simulation.call_later(one_way_seconds, receive, argument)

    def _handle_event(self, request: CallerRequest, events: int) -> None:
        now_seconds = self.simulation.seconds()
        if events == 1:
            request.first_seconds = now_seconds
        else:
            pause_seconds = now_seconds - request.last_event_seconds
            request.longest_pause_seconds = max(request.longest_pause_seconds, pause_seconds)
        request.last_event_seconds = now_seconds

    def _handle_end(self, request: CallerRequest, is_complete: bool) -> None:
        if not is_complete and request.attempts <= self.deployment.returns:
            self._attempt(request)
            return
        request.answered = is_complete
        request.ended = True
        if is_complete and not request.prompt_tokens:
            request.first_seconds = self.simulation.seconds()

    def _handle_refusal(self, request: CallerRequest, wait_seconds: float) -> None:
        request.refusals += 1
        now_seconds = self.simulation.seconds()
        remaining_seconds = request.kind.patience_ms / 1000 - (now_seconds - request.start_seconds)
        if request.attempts > self.deployment.returns or remaining_seconds <= 0:
            request.ended = True
            return
        wait_seconds = min(wait_seconds, remaining_seconds / PATIENCE_DIVISOR)
        self.simulation.call_later(wait_seconds, self._attempt, request)
