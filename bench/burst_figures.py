"""Figures of a burst: bytes moved by each machine, live latency, memory and messages."""

import re
from dataclasses import dataclass
from typing import Any

from bench.harness.callers import summarise_latency
from bench.harness.fleet import Fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind, ProcessSpec

STATUS_OK = 200
_METRIC_LINE = re.compile(r'^(\w+)(\{[^}]*\})? ([0-9.e+]+)$', re.MULTILINE)
CHUNK_METRICS = ('jackdawsail_chunk_drawn_bytes_total', 'jackdawsail_chunk_sent_bytes_total')
MESSAGE_METRIC = 'jackdawsail_link_messages_total'
TRACKER_TAGS = ('chunk-report', 'fetch-order', 'fetch-result', 'switch-ask', 'switch-permit')


@dataclass(frozen=True)
class Windows:
    """Unix times: start of the load, start of the release, end of the rollout."""

    load_start: float
    release_start: float
    rollout_end: float


@dataclass(frozen=True)
class LoadFigures:
    """Counts and latencies of the live requests."""

    requests: int
    failed: int
    wrong: int
    p95_before_seconds: float
    p95_during_seconds: float

    @property
    def p95_ratio(self) -> float:
        return self.p95_during_seconds / self.p95_before_seconds if self.p95_before_seconds else 0


def summarise_load(records: list[dict[str, Any]], windows: Windows) -> LoadFigures:
    """Summarises the callers' records; a request belongs to the window of its scheduled time."""
    before = [
        record
        for record in records
        if windows.load_start <= _scheduled_seconds(record) < windows.release_start
    ]
    during = [
        record
        for record in records
        if windows.release_start <= _scheduled_seconds(record) < windows.rollout_end
    ]
    answered = [record for record in records if record['status'] == STATUS_OK]
    return LoadFigures(
        requests=len(records),
        failed=len(records) - len(answered),
        wrong=sum(not record['correct'] for record in answered),
        p95_before_seconds=_p95(before),
        p95_during_seconds=_p95(during),
    )


def _scheduled_seconds(record: dict[str, Any]) -> float:
    return float(record['scheduled_seconds'])


def _p95(records: list[dict[str, Any]]) -> float:
    answered = [record for record in records if record['status'] == STATUS_OK]
    return summarise_latency(
        record['end_seconds'] - _scheduled_seconds(record) for record in answered
    ).p95_seconds


class Meter:
    """Reads the agents' metrics and the proxy's byte counts before and after a burst.

    The agents' memory is sampled during the burst.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.machine_bytes_max: float = 0
        self.inter_region_bytes: float = 0
        self.memory_max_bytes = 0
        self.messages_per_agent_second: float = 0
        self._fleet = fleet
        self._agents = [
            agent
            for agent in fleet.layout.of_kind(ProcessKind.agent)
            if agent.backend == fleet.deployment.engine_backend
        ]
        self._start_totals: dict[str, dict[str, float]] = {}
        self._start_inter_region_bytes: float = 0

    def begin(self) -> None:
        self._start_totals = {agent.name: self._read(agent) for agent in self._agents}
        self._start_inter_region_bytes = self._read_inter_region_bytes()

    def sample(self) -> None:
        """Records the peak memory of the agents; skips those that are not running."""
        for agent in self._agents:
            child = self._fleet.children[agent.name]
            if child.is_running():
                resident = child.usage().resident_bytes
                self.memory_max_bytes = max(self.memory_max_bytes, resident)

    def end(self, seconds: float) -> None:
        self.inter_region_bytes = self._read_inter_region_bytes() - self._start_inter_region_bytes
        messages: float = 0
        for agent in self._agents:
            totals = self._read(agent)
            start_totals = self._start_totals[agent.name] if totals else {}
            moved = sum(_counter_increase(totals, start_totals, name) for name in CHUNK_METRICS)
            self.machine_bytes_max = max(self.machine_bytes_max, moved)
            messages += _counter_increase(totals, start_totals, MESSAGE_METRIC)
        self.messages_per_agent_second = messages / max(1, len(self._agents)) / seconds

    def _read(self, agent: ProcessSpec) -> dict[str, float]:
        reply = call('GET', agent.listen_address(0), '/metrics', timeout_seconds=2)
        totals: dict[str, float] = {}
        for name, labels, figure in _METRIC_LINE.findall(reply.body.decode()):
            if name != MESSAGE_METRIC or any(f'"{tag}"' in labels for tag in TRACKER_TAGS):
                totals[name] = totals.get(name, 0) + float(figure)
        return totals

    def _read_inter_region_bytes(self) -> float:
        if self._fleet.proxy is None:
            return 0
        regions = {**self._fleet.deployment.zones, 'origin': 'origin'}
        total: float = 0
        for pair, sent_bytes in self._fleet.proxy.counts().items():
            source, _, target = pair.partition('>')
            is_known = source in regions and target in regions
            if is_known and regions[source] != regions[target]:
                total += sent_bytes
        return total


def _counter_increase(
    totals: dict[str, float], start_totals: dict[str, float], name: str
) -> float:
    """Returns the increase of a counter; after a restart it counts from zero again."""
    now = totals.get(name, 0)
    before = start_totals.get(name, 0)
    return now - before if now >= before else now
