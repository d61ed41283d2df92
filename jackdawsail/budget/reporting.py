"""Metrics and log events of a process's budget."""

import resource
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from prometheus_client import Counter, Gauge

from jackdawsail import events
from jackdawsail.budget.allocator import map_large_blocks
from jackdawsail.budget.limits import DEFAULT_MAX_DESCRIPTORS, BudgetLimits, make_limits
from jackdawsail.budget.process_budget import (
    CloseReason,
    HoldReason,
    ProcessBudget,
)
from jackdawsail.metrics_registry import REGISTRY

LOG_INTERVAL_SECONDS = 1.0

CALLERS_CLOSED = events.define(
    120, 'warning', 'connections closed, as callers took too much memory or too many descriptors'
)
CALLERS_REFUSED = events.define(
    121, 'warning', 'callers refused, as others take all memory or descriptors for them'
)

HELD_BYTES = Gauge(
    'jackdawsail_budget_held_bytes',
    'Bytes that are held for callers and upstreams, by reason.',
    ['reason'],
    registry=REGISTRY,
)
LIMIT_BYTES = Gauge('jackdawsail_budget_limit_bytes', 'Bytes that may be held.', registry=REGISTRY)
CONNECTIONS = Gauge(
    'jackdawsail_budget_connections', 'Connections that callers have open.', registry=REGISTRY
)
CLOSED = Counter(
    'jackdawsail_budget_closed',
    'Connections that were closed to make room for others, by what was short.',
    ['short'],
    registry=REGISTRY,
)
REFUSED = Counter(
    'jackdawsail_budget_refused',
    'Requests and connections that were refused, by what was short.',
    ['short'],
    registry=REGISTRY,
)


@dataclass(slots=True)
class PressureLog:
    """Counts closed and refused callers; logs the first of each kind in a second."""

    budget: ProcessBudget
    _logged_seconds: dict[tuple[CloseReason, bool], float] = field(default_factory=dict)

    def record(self, reason: CloseReason, is_refused: bool) -> None:
        """Records one connection or request that was closed or refused."""
        (REFUSED if is_refused else CLOSED).labels(reason.value).inc()
        now_seconds = self.budget.seconds()
        last_seconds = self._logged_seconds.get((reason, is_refused))
        if last_seconds is not None and now_seconds - last_seconds < LOG_INTERVAL_SECONDS:
            return
        self._logged_seconds[reason, is_refused] = now_seconds
        events.log(
            CALLERS_REFUSED if is_refused else CALLERS_CLOSED,
            short=reason.value,
            held_bytes=self.budget.held_bytes,
            limit_bytes=self.budget.limits.held_bytes,
            connections=self.budget.connections,
        )


def process_limits(memory_megabytes: float, max_descriptors: int) -> BudgetLimits:
    """Returns the limits by the settings and the descriptors that the system allows."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors or DEFAULT_MAX_DESCRIPTORS, allowed)
    return make_limits(memory_megabytes, max_descriptors)


def make_reporting_budget(
    memory_megabytes: float, max_descriptors: int, seconds: Callable[[], float]
) -> ProcessBudget:
    """Makes the budget of a process, with its metrics and its log events."""
    map_large_blocks()
    budget = ProcessBudget(process_limits(memory_megabytes, max_descriptors), seconds)
    budget.on_pressure = PressureLog(budget).record
    for reason in HoldReason:
        HELD_BYTES.labels(reason.value).set_function(partial(_held, budget, reason))
    LIMIT_BYTES.set_function(lambda: budget.limits.held_bytes)
    CONNECTIONS.set_function(lambda: budget.connections)
    return budget


def _held(budget: ProcessBudget, reason: HoldReason) -> int:
    return budget.held_by_reason[reason]
