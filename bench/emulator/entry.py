"""An entry in simulated time: the product's own choice of an upstream, without sockets."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.emulator.deployment import Deployment, Kind, Zone
from bench.emulator.engine import EmulatedEngine, EmulatedService, Work
from bench.emulator.policies import Policy
from bench.emulator.simulation import Simulation
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.selection import Selection, likely_events, place_call, select_upstream
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.registry.registration import ModelVersion, Registration
from jackdawsail.routing.late_calls import is_late
from jackdawsail.routing.moving import should_move
from jackdawsail.routing.placement import Choice
from jackdawsail.routing.upstreams import Upstream, UpstreamTable
from jackdawsail.site.document import Route
from jackdawsail.site.node import NodeBounds, NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import EngineLoad

MODEL = 'm'
ENGINES = 'engines'
SERVICES = 'services'
MISSING_RETURN_SECONDS = 1.0  # as in the product's task of a call
Host = EmulatedEngine | EmulatedService


@dataclass(slots=True, eq=False)
class EmulatedCall:
    """One attempt of a caller at an entry.

    ``on_event`` gets the number of events, ``on_end`` whether it was answered, and
    ``on_refused`` when to come back.
    """

    kind: Kind
    route: Route
    prompt_tokens: float
    answer_tokens: int
    work_seconds: float
    patience_seconds: float
    on_event: Callable[[int], None]
    on_end: Callable[[bool], None]
    on_refused: Callable[[float], None]
    fingerprint: bytes
    likely_tokens: int = 0
    late: bool = False
    events: int = 0


@dataclass(slots=True, eq=False)
class EmulatedEntry:
    """Places calls by what has reached it; reports arrive with the delay of its links."""

    simulation: Simulation
    deployment: Deployment
    zone: Zone
    parts: ProxyContext
    policy: Policy
    hosts: dict[str, Host]
    refused: int = 0
    streams: list['_Sent'] = field(default_factory=list)

    def take(self, call: EmulatedCall) -> None:
        """Places a call, or refuses it at once."""
        now_seconds = self.simulation.seconds()
        used_seconds = self.parts.refused_calls.seconds_since_refusal(
            call.fingerprint, now_seconds
        )
        call.late = is_late(used_seconds, call.route.target_seconds)
        sends = SendHistory(self.parts, call.route, call.route.shares[0].service)
        self._place(call, sends)

    def take_load(self, load: EngineLoad) -> None:
        """Takes a report of an engine."""
        self.parts.upstreams.apply_load(load, self.simulation.seconds())

    def look(self) -> None:
        """Moves streams away from engines that are about to load other weights."""
        now_seconds = self.simulation.seconds()
        for sent in list(self.streams):
            if sent.upstream.is_switching(now_seconds) and self.policy.moves_streams:
                self._move(sent)

    def _move(self, sent: '_Sent') -> None:
        expected = likely_events(self.parts, sent.sends.service, sent.call.likely_tokens)
        if not should_move(sent.call.events, expected):
            return
        selection = self._selection(sent.call, sent.sends, sent.weight_version)
        with self.policy.in_force():
            chosen = select_upstream(self.parts, selection)
        if not isinstance(chosen, Choice) or not self.parts.take_move(sent.sends.service):
            return
        if sent.sends.may_run_again():
            sent.cancel()
            self._send(sent.call, sent.sends, chosen.upstream, selection.engine_rank or 0)

    def _selection(
        self, call: EmulatedCall, sends: SendHistory, pinned_version: int = 0
    ) -> Selection:
        return Selection(
            service=sends.service,
            route=call.route,
            customer=None,
            call=_as_caller_call(call),
            tried=tuple(sends.tried),
            pinned_version=pinned_version,
            is_late=call.late,
        )

    def _place(self, call: EmulatedCall, sends: SendHistory) -> None:
        selection = self._selection(call, sends)
        with self.policy.in_force():
            chosen = place_call(self.parts, selection)
        if isinstance(chosen, Choice):
            self._send(call, sends, chosen.upstream, selection.engine_rank or 0)
            return
        self._refuse(call, chosen.retry_after_seconds)

    def _refuse(self, call: EmulatedCall, return_seconds: float) -> None:
        self.refused += 1
        if call.prompt_tokens and self.policy.remembers_refusals:
            self.parts.refused_calls.record_local(call.fingerprint, self.simulation.seconds())
        call.on_refused(return_seconds)

    def _send(self, call: EmulatedCall, sends: SendHistory, upstream: Upstream, rank: int) -> None:
        sends.tried.append(upstream.name)
        upstream.call_sent(self.simulation.seconds())
        sends.sent(upstream.name)
        host = self.hosts.get(upstream.name)
        delay_seconds = self.deployment.delay_seconds(self.zone.region, upstream.region)
        sent = _Sent(self, call, sends, upstream, delay_seconds)
        sent.weight_version = upstream.version_of(MODEL, self.simulation.seconds())
        if call.prompt_tokens:
            self.streams.append(sent)
        if host is not None:
            self.simulation.after(delay_seconds, sent.arrive, host, rank)

    def not_run(self, call: EmulatedCall, sends: SendHistory, upstream: Upstream) -> None:
        """Takes an upstream's word that it did not run a call."""
        upstream.calls -= 1
        sends.not_run(upstream.name)
        if sends.take_repeat():
            self._place(call, sends)
        else:
            self._refuse(call, MISSING_RETURN_SECONDS)


@dataclass(slots=True, eq=False)
class _Sent:
    """A call on its way to an upstream and its answer on the way back."""

    entry: EmulatedEntry
    call: EmulatedCall
    sends: SendHistory
    upstream: Upstream
    delay_seconds: float
    sent_seconds: float = 0
    weight_version: int = 0
    work: Work | None = None
    host: EmulatedEngine | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Leaves the engine; what is still on its way back is dropped."""
        self._ended()
        self.cancelled = True
        self.upstream.calls -= 1
        if self.work is not None and self.host is not None:
            again = (self.work,)
            self.entry.simulation.after(self.delay_seconds, self.host.cancel, *again)

    def arrive(self, host: Host, rank: int) -> None:
        self.sent_seconds = self.entry.simulation.seconds() - self.delay_seconds
        if self.cancelled:
            return
        if isinstance(host, EmulatedEngine):
            done_tokens = self.call.events * host.model.steps_per_pass
            made = Work(
                self.call.prompt_tokens + done_tokens,
                max(1, self.call.answer_tokens - done_tokens),
                rank,
                self._later(self._event),
                self._later(self._end),
            )
            self.work = made
            self.host = host
            taken = host.take(made)
        else:
            taken = host.take(self.call.work_seconds, lambda: self._later(self._end)(True))
        if not taken:
            self._ended()
            again = (self.call, self.sends, self.upstream)
            self.entry.simulation.after(self.delay_seconds, self.entry.not_run, *again)

    def _later(self, call: Callable[..., None]) -> Callable[..., None]:
        return lambda given: self.entry.simulation.after(self.delay_seconds, call, given)

    def _event(self, events: int) -> None:
        if self.cancelled:
            return
        now_seconds = self.entry.simulation.seconds()
        if events == 1:
            self.upstream.first_event(now_seconds - self.sent_seconds, now_seconds)
        self.call.events += 1
        self.call.on_event(self.call.events)

    def _ended(self) -> None:
        if self in self.entry.streams:
            self.entry.streams.remove(self)

    def _end(self, whole: bool) -> None:
        if self.cancelled:
            return
        self._ended()
        now_seconds = self.entry.simulation.seconds()
        self.upstream.calls -= 1
        if whole:
            took_seconds = now_seconds - self.sent_seconds
            self.upstream.call_answered(took_seconds, now_seconds, failed=False)
        else:
            self.upstream.call_failed(now_seconds)
        self.call.on_end(whole)


def _as_caller_call(call: EmulatedCall) -> CallerCall:
    return CallerCall(
        attempt='',
        host='',
        key='',
        patience_seconds=call.patience_seconds,
        model=MODEL if call.prompt_tokens else '',
        prompt_tokens=int(call.prompt_tokens),
        answer_tokens=call.answer_tokens,
    )


def make_entry(
    simulation: Simulation,
    deployment: Deployment,
    zone: Zone,
    view: SiteView,
    policy: Policy,
    hosts: dict[str, Host],
    seed: int,
) -> EmulatedEntry:
    """Makes an entry with its own view of the upstreams."""
    regions = {one.name: one.region for one in deployment.zones}
    bounds = NodeBounds(
        weights_seconds=deployment.weights_seconds, retry_slack=100, cold_ratio=1.5, cold_slack=5
    )
    settings = NodeSettings('e', '10.0.0.1', zone.name, zone.region, regions, bounds=bounds)
    parts = ProxyContext(
        clock=simulation,
        settings=settings,
        codec=None,  # type: ignore[arg-type]
        view=view,
        upstreams=UpstreamTable(1.2, regions),
        pool=None,  # type: ignore[arg-type]
        rng=random.Random(seed),
    )
    return EmulatedEntry(simulation, deployment, zone, parts, policy, hosts)


def registration_of(host: Host, service: str, model: Deployment, sequence: int) -> Registration:
    """Returns the heartbeat of an upstream."""
    is_engine = isinstance(host, EmulatedEngine)
    version = host.version if is_engine else 0
    cold_seconds: float = 0
    if isinstance(host, EmulatedEngine):
        cold_seconds = max(0, host.cold_until_seconds - host.simulation.seconds())
    return Registration(
        upstream=host.name,
        service=service,
        address=f'{host.name}:1',
        zone=host.zone,
        places=model.engine.places if is_engine else model.service.places,
        leaving=False,
        cold_seconds=cold_seconds,
        born_milliseconds=1,
        sequence=sequence,
        models=(ModelVersion(MODEL, version),) if version else (),
    )
