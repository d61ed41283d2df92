"""Prefers engines that still hold the beginning of a prompt, where observation shows they do."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.routing.affinity import (
    HintResult,
    PrefixAffinity,
    PrefixEngine,
    PrefixMark,
    PrefixRun,
    expected_saving_seconds,
)
from jackdawsail.routing.prefix_evidence import MIN_SAVING_SECONDS, PrefixEvidence
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import SiteDocument

RECENT_SECONDS = 10.0  # since the last run of a prefix, for calls that may show that it is kept


@dataclass(frozen=True, slots=True)
class PrefixTrial:
    """A call that was sent and has not answered; ``read_seconds`` is for its whole prompt."""

    service: str
    is_recent: bool
    read_seconds: float


@dataclass(slots=True)
class PrefixPlacement:
    """The last runs of prefixes by service, and what shows that engines keep them.

    Calls whose shared part is read within MIN_SAVING_SECONDS are left out of all of it.
    """

    _speeds: dict[str, float] = field(default_factory=dict)
    _affinity: PrefixAffinity = field(default_factory=PrefixAffinity)
    _evidence: defaultdict[str, PrefixEvidence] = field(
        default_factory=lambda: defaultdict(PrefixEvidence)
    )

    def document_applied(self, document: SiteDocument) -> None:
        """Replaces the reading speeds of the services' engines."""
        self._speeds = {
            service.name: service.engine.prompt_tokens_per_second
            for service in document.services
            if service.engine is not None and service.engine.prompt_tokens_per_second > 0
        }

    def savings(
        self, service: str, call: CallerCall, candidates: Sequence[Upstream], now_seconds: float
    ) -> Mapping[str, float] | None:
        """Returns the time that an engine is expected to save, by its id; None if none does."""
        if not self._is_long(service, call) or not self._evidence[service].saving_seconds:
            return None
        hint = self._affinity.find(service, _marks_of(call))
        if hint is None:
            return None
        held = [candidate for candidate in candidates if candidate.name == hint.run.engine]
        if not held:
            _reject(HintResult.gone)
            return None
        engine = self._engine_of(service, call, held[0], now_seconds)
        if engine.generation != hint.run.generation:
            _reject(HintResult.restarted)
            return None
        expected_seconds = expected_saving_seconds(hint, engine, now_seconds)
        if expected_seconds <= 0:
            _reject(HintResult.wait)
            return None
        return {engine.name: min(self._evidence[service].saving_seconds, expected_seconds)}

    def call_sent(
        self, service: str, call: CallerCall, upstream: Upstream, now_seconds: float
    ) -> PrefixTrial | None:
        """Records where a prefix runs; returns the trial that its first event ends."""
        if not self._is_long(service, call):
            return None
        marks = _marks_of(call)
        hint = self._affinity.find(service, marks)
        generation = _generation_of(upstream, call, now_seconds)
        run = PrefixRun(upstream.name, generation, now_seconds)
        self._affinity.record_run(service, marks, run)
        is_recent = (
            hint is not None
            and (hint.run.engine, hint.run.generation) == (run.engine, generation)
            and now_seconds - hint.run.at_seconds <= RECENT_SECONDS
        )
        return PrefixTrial(service, is_recent, call.prompt_tokens / self._speeds[service])

    def first_event(self, trial: PrefixTrial | None, took_seconds: float) -> None:
        """Records the time from the send to the first event of a call."""
        if trial is not None:
            excess_seconds = took_seconds - trial.read_seconds
            evidence = self._evidence[trial.service]
            evidence.record(excess_seconds, is_recent=trial.is_recent)

    def _is_long(self, service: str, call: CallerCall) -> bool:
        """Returns whether reading the shared part of a prompt takes long enough to matter."""
        return call.shared_tokens > MIN_SAVING_SECONDS * self._speeds.get(service, float('inf'))

    def _engine_of(
        self, service: str, call: CallerCall, upstream: Upstream, now_seconds: float
    ) -> PrefixEngine:
        load = upstream.load_at(now_seconds)
        slots = max(1, upstream.registration.places)
        return PrefixEngine(
            upstream.name,
            _generation_of(upstream, call, now_seconds),
            busy_share=upstream.active_calls(now_seconds) / slots,
            read_tokens_per_second=self._speeds[service],
            memory_share=None if load is None else load.memory_share,
        )


def record_choice(savings: Mapping[str, float] | None, chosen: str) -> None:
    """Counts whether a hint that was weighed has decided a choice."""
    if savings:
        result = HintResult.used if chosen in savings else HintResult.wait
        metrics.PREFIX_HINTS.labels(str(result)).inc()


def _reject(result: HintResult) -> None:
    metrics.PREFIX_HINTS.labels(str(result)).inc()


def _marks_of(call: CallerCall) -> tuple[PrefixMark, ...]:
    return (PrefixMark(','.join(call.shared_parts), call.shared_tokens),)


def _generation_of(upstream: Upstream, call: CallerCall, now_seconds: float) -> str:
    return f'{upstream.incarnation}/{upstream.version_of(call.model, now_seconds)}'
