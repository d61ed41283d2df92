"""Tells whether the origins of weights answer, and finds out soon when they do again.

A fetch from an origin that is unreachable hangs until its limits on time end it, and keeps all
that wait for it. After one such failure a process therefore fetches nothing from the origin
until a connection to it opens again. Connections are tried at most every ``PROBE_SECONDS``, a
bounded number at a time, and only while something is wanted from the origin. No request is sent
on them, so that a probe costs the origin's link nothing.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from prometheus_client import Counter, Gauge

from jackdawsail import events, metrics_registry
from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import ClientChannel
from jackdawsail.http1.fetch import NO_CONNECTION

PROBE_SECONDS = 0.12  # the callers' own checks are 0.15 s apart; together under 0.2 s
LATE_PROBE_SECONDS = 1.0  # between probes of an origin that has long been unreachable
LATE_AFTER_SECONDS = 120.0
MAX_PROBES = 6  # at a time; each ends within the timeout of a connection, 0.6 s
SETTLED_SECONDS = 1.0  # by then the relays have noticed that the origin answers, too

ORIGIN_SILENT = events.define(577, 'warning', 'origin of weights does not answer; probing it')
ORIGIN_RETURNED = events.define(578, 'info', 'origin of weights answers connections again')
ORIGIN_FETCHES = Counter(
    'jackdawsail_weights_origin_fetches',
    'Fetches of weights from an origin, by outcome',
    ['outcome'],
    registry=metrics_registry.REGISTRY,
)
ORIGIN_SILENT_SECONDS = Gauge(
    'jackdawsail_weights_origin_silent_seconds',
    'Time since the origin of weights stopped answering this process; 0 while it answers',
    registry=metrics_registry.REGISTRY,
)

Probe = Callable[[str, Callable[[bool], None]], None]


@dataclass(slots=True)
class OriginOutage:
    """The probes of an origin that does not answer (pure).

    Example::

        outage = OriginOutage(since_seconds=20.0)
        outage.start_probe(20.1) is True
        outage.start_probe(20.15) is False
    """

    since_seconds: float
    running: int = 0
    last_probe_seconds: float = -math.inf

    def start_probe(self, now_seconds: float) -> bool:
        """Returns whether a probe is due now, and records its start."""
        is_late = now_seconds - self.since_seconds > LATE_AFTER_SECONDS
        interval_seconds = LATE_PROBE_SECONDS if is_late else PROBE_SECONDS
        is_due = now_seconds - self.last_probe_seconds >= interval_seconds
        if not is_due or self.running >= MAX_PROBES:
            return False
        self.last_probe_seconds = now_seconds
        self.running += 1
        return True


@dataclass(slots=True)
class OriginWatch:
    """The origins that do not answer one process.

    ``probe`` passes on whether a connection to an address opens; without it no origin is ever
    held back. ``on_silent`` is called when an origin stops answering, ``on_return`` when it
    answers again.
    """

    clock: Clock
    probe: Probe | None = None
    on_silent: list[Callable[[], None]] = field(default_factory=list)
    on_return: list[Callable[[], None]] = field(default_factory=list)
    _outages: dict[str, OriginOutage] = field(default_factory=dict)
    _answers_since_seconds: dict[str, float] = field(default_factory=dict)

    def holds_back(self, address: str) -> bool:
        """Returns whether nothing is to be fetched from an origin now; starts a due probe."""
        outage = self._outages.get(address)
        if outage is None:
            return False
        now_seconds = self.clock.seconds()
        ORIGIN_SILENT_SECONDS.set(now_seconds - outage.since_seconds)
        if self.probe is not None and outage.start_probe(now_seconds):
            self.probe(address, partial(self._probed, address, outage))
        return address in self._outages

    def has_settled(self, address: str) -> bool:
        """Returns whether an origin has answered this process for ``SETTLED_SECONDS``.

        What is not known yet is found out by probes.
        """
        if self.probe is None:
            return True
        if self.holds_back(address):
            return False
        now_seconds = self.clock.seconds()
        if address not in self._answers_since_seconds:
            self._outages[address] = OriginOutage(now_seconds)
            self.holds_back(address)
            return False
        return now_seconds - self._answers_since_seconds[address] >= SETTLED_SECONDS

    def record_failure(self, address: str, reason: str) -> None:
        """Records a failed fetch from an origin."""
        ORIGIN_FETCHES.labels(outcome='failed').inc()
        if self.probe is None or address in self._outages or not _is_silence(reason):
            return
        now_seconds = self.clock.seconds()
        self._outages[address] = OriginOutage(now_seconds)
        self._answers_since_seconds.pop(address, None)
        events.log(ORIGIN_SILENT, source=address, reason=reason)
        for listener in list(self.on_silent):
            listener()

    def record_success(self, address: str) -> None:
        """Records a fetch from an origin that succeeded."""
        ORIGIN_FETCHES.labels(outcome='succeeded').inc()
        self._returned(address)

    def _probed(self, address: str, outage: OriginOutage, answers: bool) -> None:
        outage.running -= 1
        if answers and self._outages.get(address) is outage:
            self._returned(address)

    def _returned(self, address: str) -> None:
        now_seconds = self.clock.seconds()
        self._answers_since_seconds.setdefault(address, now_seconds)
        outage = self._outages.pop(address, None)
        if outage is None:
            return
        ORIGIN_SILENT_SECONDS.set(0)
        silent_seconds = round(now_seconds - outage.since_seconds, 3)
        events.log(ORIGIN_RETURNED, source=address, silent_seconds=silent_seconds)
        for listener in list(self.on_return):
            listener()


def make_origin_watch(pool: ChannelPool) -> OriginWatch:
    """Creates the watch of a process that connects through a pool."""

    def probe(address: str, on_probed: Callable[[bool], None]) -> None:
        # An idle channel would be taken for an answer though the origin is unreachable.
        pool.connect(address, partial(_end_probe, pool, on_probed))

    return OriginWatch(pool.clock, probe)


def _end_probe(
    pool: ChannelPool, on_probed: Callable[[bool], None], channel: ClientChannel | None
) -> None:
    if channel is not None:
        # Channels from before the outage may hang.
        pool.drop(channel.peer)
        channel.close()
    on_probed(channel is not None)


def _is_silence(reason: Any) -> bool:
    return str(reason).startswith((NO_CONNECTION, 'silent', 'not complete within'))
