"""The agent program: builds and connects the components, and stops gracefully."""

from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.agent.engine_admin import EngineState
from jackdawsail.agent.entry_links import EntryLinks, make_announce
from jackdawsail.agent.service_permit import GateState, ServicePermit
from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.upstream import UpstreamClient
from jackdawsail.agent.weights_manager import WeightsManager, make_weights_manager
from jackdawsail.agent.work_runner import WorkDependencies, WorkRunner
from jackdawsail.http1.base_url import parse_base_url
from jackdawsail.membership.leases import Lease
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.routing.agent_scheduler import AgentScheduler
from jackdawsail.routing.window import StartupWindow, WindowSettings
from jackdawsail.settings.models import AgentSettings
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.membership_messages import UpstreamKind

LEAVE_GRACE_SECONDS = 0.3
ENGINE_SLOTS_PER_EXTRA_GRANT = 4


class AgentProgram:
    """Builds the components of an agent and connects them."""

    def __init__(self, context: ProcessContext, settings: AgentSettings) -> None:
        self._context = context
        self._settings = settings
        self._reactor = context.reactor
        self.replica = StateReplica()
        self.lease = Lease()
        self.status = AgentStatus()
        self.permit = ServicePermit(context.identity, self.lease, self.replica, GateState())
        self.router = MessageRouter()
        self.work = self._make_work()
        self.links = EntryLinks(
            context, self.router, self.replica, self.lease, self.status, self.work.load
        )
        self.weights: WeightsManager | None = None

    def start(self) -> None:
        """Starts every component; a plain service gets requests at once, without weights."""
        self.work.start()
        chunk_port = 0
        if self._settings.upstream_kind == 'engine':
            chunk_port = self._start_weights()
        else:
            self.work.open('')
        chunk_address = self._context.host.advertised_endpoint(chunk_port) if chunk_port else ''
        self.links.start(make_announce(self._settings, chunk_address))
        events.log(events.PROCESS_READY, role='agent', chunk_port=chunk_port)

    def stop(self) -> 'Deferred[None]':
        """Refuses new work and waits for running work, at most until the drain deadline."""
        self.permit.leaving = True
        self.links.send_leaving()
        self.work.tick()
        drained = self.work.when_drained()
        drained.addTimeout(self._settings.drain_deadline_seconds, self._reactor)
        drained.addErrback(_ignore_failure)
        drained.addCallback(self._wait_for_flush)
        drained.addBoth(self._close)
        return drained

    def _start_weights(self) -> int:
        weights = make_weights_manager(
            self._context, self.router, self.replica, self.status, self.work
        )
        weights.watch_engine(self._engine_state_received)
        weights.start()
        self.links.watch_tracker(weights.set_tracker)
        self.weights = weights
        return weights.chunk_port

    def _wait_for_flush(self, _drained: Any) -> 'Deferred[None]':
        flushed: Deferred[None] = Deferred()
        self._reactor.callLater(LEAVE_GRACE_SECONDS, flushed.callback, None)
        return flushed

    def _close(self, _drained: Any) -> None:
        self.links.stop()
        self.work.stop()
        if self.weights is not None:
            self.weights.stop()

    def _make_work(self) -> WorkRunner:
        settings = self._settings
        window = StartupWindow(WindowSettings(settings.cold_limit, settings.capacity))
        scheduler = AgentScheduler(
            self._context.identity.incarnation,
            window,
            self._weight_of,
            self.permit.blocked_reason,
            self._current_release,
            ENGINE_SLOTS_PER_EXTRA_GRANT if settings.upstream_kind == 'engine' else 0,
        )
        base_url = parse_base_url(settings.upstream_url)
        pool = self._context.make_channel_pool(uses_tls=base_url.uses_tls)
        client = UpstreamClient(pool, base_url, self.permit.blocked_reason)
        self._window = window
        kind = UpstreamKind(settings.upstream_kind)
        deps = WorkDependencies(
            self._reactor,
            self.router,
            scheduler,
            window,
            self.permit,
            self.status,
            client,
            kind,
        )
        return WorkRunner(deps)

    def _engine_state_received(self, engine: EngineState) -> None:
        self._window.observe_state(str(engine.generation), engine.cold)

    def _weight_of(self, customer: str) -> float:
        record = self.replica.get('customer', customer) or {}
        return float(record.get('weight', 1.0))

    def _current_release(self) -> str:
        return self.permit.gate.release


def _ignore_failure(_failure: Any) -> None:
    """Ignores the timeout at the drain deadline; the stop continues with requests running."""
