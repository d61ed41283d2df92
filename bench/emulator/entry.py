"""An entry in simulated time: the product's own upstream selection, without sockets."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bench.emulator.deployment import Deployment, RequestKind, Zone
from bench.emulator.engine import EmulatedEngine, EmulatedService, EngineStream
from bench.emulator.policies import Policy
from bench.emulator.simulation import Simulation
from jackdawsail.proxy.calls import CallerCall, UpstreamHead
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.selection import (
    Selection,
    call_size,
    likely_events,
    place_call,
    select_upstream,
)
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.proxy.upstream_signals import record_signals
from jackdawsail.proxy.watch import FIRST_EVENT_TIMEOUT_SECONDS, NEXT_EVENT_TIMEOUT_SECONDS
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
DEFAULT_RETRY_AFTER_SECONDS = 1.0  # as in the task that handles a call in the product
Host = EmulatedEngine | EmulatedService


@dataclass(slots=True, eq=False)
class EmulatedCall:
    """One attempt of a caller at an entry.

    ``on_event`` gets the number of events so far, ``on_end`` whether the answer is
    complete, and ``on_refused`` the seconds after which to retry. ``weight_version`` is the
    one on which the answer has begun, 0 before that.
    """

    kind: RequestKind
    route: Route
    prompt_tokens: float
    answer_tokens: int
    work_seconds: float
    patience_seconds: float
    on_event: Callable[[int], None]
    on_end: Callable[[bool], None]
    on_refused: Callable[[float], None]
    fingerprint: bytes
    estimated_tokens: int = 0
    late: bool = False
    urgency: int | None = None
    events: int = 0
    weight_version: int = 0


@dataclass(slots=True, eq=False)
class EmulatedEntry:
    """Dispatches calls by the load reports it has received, each after the link delay."""

    simulation: Simulation
    deployment: Deployment
    zone: Zone
    context: ProxyContext
    policy: Policy
    hosts: dict[str, Host]
    refused: int = 0
    is_cut_off: bool = False
    sends: list[tuple[float, str]] = field(default_factory=list)
    heads: list[tuple[float, str, UpstreamHead]] = field(default_factory=list)
    streams: list['_DispatchedCall'] = field(default_factory=list)

    def receive_call(self, call: EmulatedCall) -> None:
        """Dispatches a call, or refuses it at once."""
        now_seconds = self.simulation.seconds()
        elapsed_seconds = self.context.refused_calls.seconds_since_refusal(
            call.fingerprint, now_seconds
        )
        call.late = is_late(elapsed_seconds, call.route.target_seconds)
        if call.prompt_tokens and self.policy.uses_ranks:
            service = call.route.shares[0].service
            call.urgency = self.context.ranks.urgency_of(service, call.route, None)
        history = SendHistory(self.context, call.route, call.route.shares[0].service)
        self._dispatch(call, history)

    def apply_load(self, load: EngineLoad) -> None:
        """Applies a load report of an engine."""
        self.context.upstreams.apply_load(load, self.simulation.seconds())

    def check_streams(self) -> None:
        """Moves streams away from engines, as the product's watch does."""
        now_seconds = self.simulation.seconds()
        for dispatched in list(self.streams):
            if not dispatched.events and self._seconds_until_recall(dispatched) <= 0:
                self._recall(dispatched)
            elif self._should_move(dispatched) and self._take_alternative(dispatched, moving=True):
                self._abandon(dispatched)
            elif dispatched.is_stalled(now_seconds) and self._take_alternative(dispatched):
                dispatched.upstream.call_failed(now_seconds)
                self._abandon(dispatched)

    def _recall(self, dispatched: '_DispatchedCall') -> None:
        if dispatched.history.take_further_upstream():
            self._abandon(dispatched)
        else:
            dispatched.cancel()
            dispatched.call.on_end(False)

    def _seconds_until_recall(self, dispatched: '_DispatchedCall') -> float:
        selection = self._selection(dispatched.call, dispatched.history)
        return selection.seconds_until_recall(self.context, dispatched.weight_version)

    def _should_move(self, dispatched: '_DispatchedCall') -> bool:
        if not self.policy.moves_streams:
            return False
        if not dispatched.upstream.is_switching(self.simulation.seconds()):
            return False
        call = dispatched.call
        expected = likely_events(self.context, dispatched.history.service, call.estimated_tokens)
        return should_move(call.events, expected, self._seconds_until_recall(dispatched))

    def _take_alternative(self, dispatched: '_DispatchedCall', *, moving: bool = False) -> bool:
        history = dispatched.history
        with self.policy.installed():
            chosen = select_upstream(self.context, self._selection(dispatched.call, history))
        if not isinstance(chosen, Choice):
            return False
        if moving and not self.context.take_move(history.service):
            return False
        return history.take_further_upstream()

    def _abandon(self, dispatched: '_DispatchedCall') -> None:
        dispatched.cancel()
        self._dispatch(dispatched.call, dispatched.history)

    def _selection(self, call: EmulatedCall, history: SendHistory) -> Selection:
        return Selection(
            service=history.service,
            route=call.route,
            customer=None,
            call=_to_caller_call(call),
            tried=tuple(history.tried),
            pinned_version=call.weight_version,
            is_late=call.late,
            urgency=call.urgency,
        )

    def _dispatch(self, call: EmulatedCall, history: SendHistory) -> None:
        selection = replace(self._selection(call, history), is_begun=bool(call.events))
        with self.policy.installed():
            chosen = place_call(self.context, selection)
        if isinstance(chosen, Choice):
            self._send(call, history, chosen.upstream, selection)
        elif history.may_have_run:
            call.on_end(False)
        else:
            self._refuse(call, chosen.retry_after_seconds)

    def _refuse(self, call: EmulatedCall, retry_after_seconds: float) -> None:
        self.refused += 1
        if call.prompt_tokens and self.policy.remembers_refusals:
            self.context.refused_calls.record_local(call.fingerprint, self.simulation.seconds())
        call.on_refused(retry_after_seconds)

    def _send(
        self, call: EmulatedCall, history: SendHistory, upstream: Upstream, selection: Selection
    ) -> None:
        now_seconds = self.simulation.seconds()
        history.tried.append(upstream.name)
        upstream.call_sent(now_seconds)
        size = call_size(self.context, history.service, selection.call)
        if size is not None:
            upstream.sent_sizes.record(size, now_seconds)
        history.record_send(upstream.name)
        host = self.hosts.get(upstream.name)
        delay_seconds = self.deployment.delay_seconds(self.zone.region, upstream.region)
        dispatched = _DispatchedCall(self, call, history, upstream, delay_seconds)
        dispatched.progress_seconds = now_seconds
        dispatched.weight_version = upstream.version_of(MODEL, now_seconds)
        if call.prompt_tokens:
            self.streams.append(dispatched)
        self.sends.append((now_seconds, upstream.name))
        if host is not None:
            rank = selection.engine_rank or 0
            expected_version = selection.expected_version(self.context, upstream)
            arguments = (host, rank, expected_version)
            self.simulation.call_later(delay_seconds, dispatched.arrive, *arguments)

    def handle_head(self, upstream: Upstream, host: Host | None, *, is_refusal: bool) -> None:
        """Records what the head of an answer says of its upstream, if that is an engine."""
        if not isinstance(host, EmulatedEngine):
            return
        rest = host.rest if is_refusal else None
        head = UpstreamHead(200, '', is_refusal, 0, 0, host.limit, rest, host.leaving)
        self.heads.append((self.simulation.seconds(), upstream.name, head))
        record_signals(self.context, upstream, head)

    def handle_not_run(self, dispatched: '_DispatchedCall', is_misdirected: bool) -> None:
        """Repeats a call that an upstream reported as not run, or refuses it."""
        upstream, history = dispatched.upstream, dispatched.history
        upstream.calls -= 1
        self.handle_head(upstream, dispatched.host, is_refusal=True)
        if is_misdirected:
            upstream.call_failed(self.simulation.seconds())
        history.record_not_run(upstream.name)
        if history.take_repeat():
            self._dispatch(dispatched.call, history)
        else:
            self._refuse(dispatched.call, DEFAULT_RETRY_AFTER_SECONDS)


@dataclass(slots=True, eq=False)
class _DispatchedCall:
    """One dispatch of a call to an upstream; messages take ``delay_seconds`` each way."""

    entry: EmulatedEntry
    call: EmulatedCall
    history: SendHistory
    upstream: Upstream
    delay_seconds: float
    sent_seconds: float = 0
    progress_seconds: float = 0
    weight_version: int = 0
    events: int = 0
    stream: EngineStream | None = None
    host: EmulatedEngine | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels the stream at the engine; events that are still on their way are dropped."""
        self._remove_stream()
        self.cancelled = True
        self.upstream.calls -= 1
        if self.stream is not None and self.host is not None:
            arguments = (self.stream,)
            self.entry.simulation.call_later(self.delay_seconds, self.host.cancel, *arguments)

    def is_stalled(self, now_seconds: float) -> bool:
        """Returns whether the stream has had no event for longer than an engine takes."""
        begun = bool(self.call.events)
        timeout_seconds = NEXT_EVENT_TIMEOUT_SECONDS if begun else FIRST_EVENT_TIMEOUT_SECONDS
        return now_seconds - self.progress_seconds >= timeout_seconds

    def arrive(self, host: Host, rank: int, expected_version: int) -> None:
        self.sent_seconds = self.entry.simulation.seconds() - self.delay_seconds
        if self.cancelled:
            return
        if isinstance(host, EmulatedEngine):
            generated_tokens = self.call.events * host.model.steps_per_pass
            stream = EngineStream(
                self.call.prompt_tokens + generated_tokens,
                max(1, self.call.answer_tokens - generated_tokens),
                rank,
                self._delayed(self._handle_event),
                self._delayed(self._handle_end),
                self._handle_refusal,
                expected_version,
                continues=bool(self.call.events),
            )
            self.stream = stream
            self.host = host
            host.receive(stream)
        else:
            accepted = host.accept(
                self.call.work_seconds, lambda: self._delayed(self._handle_end)(True)
            )
            if not accepted:
                self._handle_refusal()

    def _handle_refusal(self, is_misdirected: bool = False) -> None:
        if self.cancelled:
            return
        self._remove_stream()
        self.entry.simulation.call_later(
            self.delay_seconds, self.entry.handle_not_run, self, is_misdirected
        )

    def _delayed(self, receive: Callable[..., None]) -> Callable[..., None]:
        return lambda argument: self.entry.simulation.call_later(
            self.delay_seconds, receive, argument
        )

    def _handle_event(self, events: int) -> None:
        if self.cancelled:
            return
        now_seconds = self.entry.simulation.seconds()
        if events == 1 and self.host is not None:
            self.entry.context.limits.record(self.upstream, self.host.limit)
            self.entry.handle_head(self.upstream, self.host, is_refusal=False)
        if events == 1:
            self.upstream.record_first_event(now_seconds - self.sent_seconds, now_seconds)
        if not self.call.weight_version and self.stream is not None:
            self.call.weight_version = self.stream.version
        self.progress_seconds = now_seconds
        self.events = events
        self.call.events += 1
        self.call.on_event(self.call.events)

    def _remove_stream(self) -> None:
        if self in self.entry.streams:
            self.entry.streams.remove(self)

    def _handle_end(self, is_complete: bool) -> None:
        if self.cancelled:
            return
        self._remove_stream()
        now_seconds = self.entry.simulation.seconds()
        self.upstream.calls -= 1
        if is_complete:
            took_seconds = now_seconds - self.sent_seconds
            self.upstream.call_answered(took_seconds, now_seconds, failed=False)
        else:
            self.upstream.call_failed(now_seconds)
        self.call.on_end(is_complete)


def _to_caller_call(call: EmulatedCall) -> CallerCall:
    return CallerCall(
        attempt='',
        host='',
        key='',
        patience_seconds=call.patience_seconds,
        model=MODEL if call.prompt_tokens else '',
        prompt_tokens=int(call.prompt_tokens),
        answer_tokens=call.answer_tokens,
        likely_answer_tokens=call.estimated_tokens,
    )


def make_entry(
    simulation: Simulation,
    deployment: Deployment,
    zone: Zone,
    address: str,
    view: SiteView,
    policy: Policy,
    hosts: dict[str, Host],
    seed: int,
    started_seconds: float = -math.inf,
) -> EmulatedEntry:
    """Creates an entry with its own table of upstreams."""
    regions = {each.name: each.region for each in deployment.zones}
    bounds = NodeBounds(
        weights_seconds=deployment.weights_seconds, retry_slack=100, cold_ratio=1.5, cold_slack=5
    )
    settings = NodeSettings('e', address, zone.name, zone.region, regions, bounds=bounds)
    context = ProxyContext(
        clock=simulation,
        settings=settings,
        codec=None,  # type: ignore[arg-type]
        view=view,
        upstreams=UpstreamTable(1.2, regions),
        pool=None,  # type: ignore[arg-type]
        rng=random.Random(seed),
        started_seconds=started_seconds,
    )
    return EmulatedEntry(simulation, deployment, zone, context, policy, hosts)


def registration_of(
    host: Host, service: str, deployment: Deployment, sequence: int
) -> Registration:
    """Returns the registration that an upstream sends as its heartbeat."""
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
        places=deployment.engine.places if is_engine else deployment.service.places,
        leaving=False,
        cold_seconds=cold_seconds,
        born_milliseconds=1,
        sequence=sequence,
        models=(ModelVersion(MODEL, version),) if version else (),
    )
