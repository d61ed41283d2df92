"""Figures of a burst: what each machine moved, live latency, memory and messages."""

import re
from dataclasses import dataclass
from typing import Any

from bench.harness.callers import summarise_latency
from bench.harness.fleet import Fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind, ProcessSpec

STATUS_OK = 200
_METRIC = re.compile(r'^(\w+)(\{[^}]*\})? ([0-9.e+]+)$', re.MULTILINE)
CHUNK_METRICS = ('jackdawsail_chunk_drawn_bytes_total', 'jackdawsail_chunk_sent_bytes_total')
MESSAGE_METRIC = 'jackdawsail_link_messages_total'
TRACKER_TAGS = ('chunk-report', 'fetch-order', 'fetch-result', 'switch-ask', 'switch-permit')


@dataclass(frozen=True)
class Windows:
    """Wall times: the load before begins, the release starts, every engine has it."""

    before: float
    began: float
    ended: float


@dataclass(frozen=True)
class LoadFigures:
    """How live requests fared."""

    requests: int
    failed: int
    wrong: int
    p95_before_seconds: float
    p95_during_seconds: float

    @property
    def p95_ratio(self) -> float:
        return self.p95_during_seconds / self.p95_before_seconds if self.p95_before_seconds else 0


def judge_load(lines: list[dict[str, Any]], windows: Windows) -> LoadFigures:
    """Sums up the callers' records by window; a request counts by its scheduled time."""
    before = [line for line in lines if windows.before <= _at(line) < windows.began]
    during = [line for line in lines if windows.began <= _at(line) < windows.ended]
    answered = [line for line in lines if line['status'] == STATUS_OK]
    return LoadFigures(
        requests=len(lines),
        failed=len(lines) - len(answered),
        wrong=sum(not line['correct'] for line in answered),
        p95_before_seconds=_p95(before),
        p95_during_seconds=_p95(during),
    )


def _at(line: dict[str, Any]) -> float:
    return float(line['scheduled_seconds'])


def _p95(lines: list[dict[str, Any]]) -> float:
    answered = [line for line in lines if line['status'] == STATUS_OK]
    return summarise_latency(line['end_seconds'] - _at(line) for line in answered).p95_seconds


class Meter:
    """Reads the agents' metrics and the proxy's counts before, during and after."""

    def __init__(self, fleet: Fleet) -> None:
        self.machine_bytes_max: float = 0
        self.inter_region_bytes: float = 0
        self.memory_max_bytes = 0
        self.messages_per_agent_second: float = 0
        self._fleet = fleet
        self._agents = [
            place
            for place in fleet.layout.of_kind(ProcessKind.agent)
            if place.backend == fleet.deployment.engine_backend
        ]
        self._begun: dict[str, dict[str, float]] = {}
        self._far_bytes: float = 0

    def begin(self) -> None:
        self._begun = {place.name: self._read(place) for place in self._agents}
        self._far_bytes = self._count_far()

    def sample(self) -> None:
        """Notes the memory of the agents; what is dead or frozen is passed over."""
        for place in self._agents:
            child = self._fleet.children[place.name]
            if child.is_running():
                resident = child.usage().resident_bytes
                self.memory_max_bytes = max(self.memory_max_bytes, resident)

    def end(self, seconds: float) -> None:
        self.inter_region_bytes = self._count_far() - self._far_bytes
        messages: float = 0
        for place in self._agents:
            found = self._read(place)
            begun = self._begun[place.name] if found else {}
            moved = sum(_grown(found, begun, name) for name in CHUNK_METRICS)
            self.machine_bytes_max = max(self.machine_bytes_max, moved)
            messages += _grown(found, begun, MESSAGE_METRIC)
        self.messages_per_agent_second = messages / max(1, len(self._agents)) / seconds

    def _read(self, place: ProcessSpec) -> dict[str, float]:
        reply = call('GET', place.listen_address(0), '/metrics', timeout_seconds=2)
        totals: dict[str, float] = {}
        for name, labels, figure in _METRIC.findall(reply.body.decode()):
            if name != MESSAGE_METRIC or any(f'"{tag}"' in labels for tag in TRACKER_TAGS):
                totals[name] = totals.get(name, 0) + float(figure)
        return totals

    def _count_far(self) -> float:
        if self._fleet.proxy is None:
            return 0
        regions = {**self._fleet.deployment.zones, 'origin': 'origin'}
        total: float = 0
        for pair, passed in self._fleet.proxy.counts().items():
            source, _, target = pair.partition('>')
            known = source in regions and target in regions
            if known and regions[source] != regions[target]:
                total += passed
        return total


def _grown(found: dict[str, float], begun: dict[str, float], name: str) -> float:
    """A restarted process counts from zero again."""
    now = found.get(name, 0)
    before = begun.get(name, 0)
    return now - before if now >= before else now
