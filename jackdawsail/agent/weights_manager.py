"""The agent's weights: fetches and verifies the target release, then switches the engine.

``set_tracker`` sets the link to the entry that set ``is_tracker`` in its last
heartbeat acknowledgement (None: no tracker).
"""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
from twisted.internet.threads import deferToThreadPool

from jackdawsail.agent.chunk_server import listen_for_chunks
from jackdawsail.agent.engine_admin import make_engine_admin
from jackdawsail.agent.engine_task import EngineTask, EngineWatcher
from jackdawsail.agent.gate import WorkGate
from jackdawsail.agent.release_task import ReleaseTask
from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.switcher import Authority, Phase, ReadyRelease, RequestPermit, Switcher
from jackdawsail.loops import make_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section
from jackdawsail.weights.chunk_client import ChunkClient
from jackdawsail.weights.chunk_store import make_chunk_store
from jackdawsail.weights.target import Records, Target, adoptable_releases, choose_target
from jackdawsail.wire.link import Link
from jackdawsail.wire.weight_messages import (
    FetchOrder,
    SwitchAsk,
    SwitchPermit,
)

STEP_SECONDS = 0.1
ENGINE_POLL_SECONDS = 0.25
REPORT_SECONDS = 1.0


class WeightsManager:
    """Connects the links, the chunk store, the transfers and the engine."""

    chunk_port = 0

    def __init__(
        self,
        context: ProcessContext,
        replica: Records,
        status: AgentStatus,
        engine: EngineTask,
    ) -> None:
        self._context = context
        self._settings = require_section(context.settings.agent, 'agent')
        self._replica = replica
        self._status = status
        self._engine = engine
        self._store = make_chunk_store(self._settings)
        self._chunk_client = ChunkClient(context.make_channel_pool, context.secret)
        self._release_task: ReleaseTask | None = None
        self._tracker: Link | None = None
        self._loops: list[LoopingCall] = []
        self._listener: Any = None
        self._reported_stage = ''
        engine.on_progress = self._step

    @property
    def chunk_address(self) -> str:
        """Returns the chunk server's address for other agents; valid after ``start``."""
        return self._context.host.advertised_endpoint(self.chunk_port)

    def start(self) -> None:
        """Starts the chunk server, which sets ``chunk_port``, and the timers."""
        self._listener = listen_for_chunks(self._context, self._settings.chunk_port, self._store)
        self.chunk_port = self._listener.getHost().port
        self._repeat(self._step, STEP_SECONDS)
        self._repeat(self._engine.poll, ENGINE_POLL_SECONDS)
        self._repeat(self._send_report, REPORT_SECONDS)

    def stop(self) -> Deferred[None]:
        """Stops the timers, the release task and the chunk server, and closes the chunk store."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()
        if self._release_task is not None:
            self._release_task.stop()
        self._store.close()
        if self._listener is None:
            return succeed(None)
        stopped: Deferred[Any] = self._listener.stopListening() or succeed(None)
        return stopped

    def watch_engine(self, callback: EngineWatcher) -> None:
        """Sets the callback for each engine state that is read."""
        self._engine.on_state = callback

    def set_tracker(self, link: Link | None) -> None:
        """Sets the link to the tracker; a new tracker gets a report at once."""
        if link is not self._tracker:
            self._tracker = link
            self._send_report()

    def handle_order(self, link: Link, order: FetchOrder) -> None:
        """Starts the transfers of an order, unless it comes from another entry than the tracker."""
        if link is self._tracker and self._release_task is not None:
            self._release_task.order(order)

    def handle_permit(self, link: Link, permit: SwitchPermit) -> None:
        """Records a switch permit, unless it comes from another entry than the tracker."""
        if link is self._tracker:
            until_seconds = self._context.reactor.seconds() + permit.valid_seconds
            self._engine.switcher.record_permit(permit.release, until_seconds)
            self._step()

    def handle_state_change(self, keys: set[str]) -> None:
        """Runs a step at once if a release, back end or weights record changed."""
        if any(key.startswith(('release/', 'backend/', 'weights/')) for key in keys):
            self._step()

    def _repeat(self, action: Any, seconds: float) -> None:
        loop = make_loop(self._context.reactor, action)
        loop.start(seconds)
        self._loops.append(loop)

    def _step(self) -> None:
        origin = self._replica.get('weights', 'origin') or {}
        self._chunk_client.origin_url = str(origin.get('url') or '')
        target = choose_target(self._replica, self._settings.backend)
        self._set_target(target)
        adoptable = adoptable_releases(self._replica, self._settings.backend)
        self._engine.switcher.set_target(self._ready_release(target), adoptable)
        now = self._context.reactor.seconds()
        authority = Authority(now < self._status.lease_until_seconds, self._status.fence_number)
        for effect in self._engine.step(authority):
            if isinstance(effect, RequestPermit):
                self._send_to_tracker(SwitchAsk(effect.release))
        self._report_stage()

    def _ready_release(self, target: Target | None) -> ReadyRelease | None:
        if self._release_task is None or target is None or not target.is_active:
            return None
        return self._release_task.ready()

    def _set_target(self, target: Target | None) -> None:
        if target is None:
            return
        task = self._release_task
        if task is None or task.manifest.digest != target.manifest.digest:
            if task is not None:
                task.stop()
            task = ReleaseTask(
                target.manifest,
                self._store,
                self._chunk_client,
                self._context.reactor,
                self._run_in_thread,
            )
            task.on_fetch_ended = self._send_to_tracker
            task.on_verification_ended = self._step
            self._release_task = task
            self._send_report()
        if target.is_active:
            task.open(self._kept_releases(target))
            task.advance()

    def _kept_releases(self, target: Target) -> set[str]:
        names = {target.manifest.release, self._engine.switcher.served}
        if target.previous:
            names.add(target.previous.release)
        return names - {''}

    def _run_in_thread(self, action: Any, *args: Any) -> Any:
        reactor = self._context.reactor
        return deferToThreadPool(reactor, reactor.getThreadPool(), action, *args)

    def _send_to_tracker(self, message: object) -> None:
        if self._tracker is not None:
            self._tracker.send(message)

    def _report_stage(self) -> None:
        """Reports a new stage at once, so that the next engine can switch without delay."""
        if self._release_task is None:
            return
        stage = self._stage(self._release_task)
        if stage != self._reported_stage:
            self._reported_stage = stage
            self._send_report()

    def _send_report(self) -> None:
        task = self._release_task
        if task is None or self._tracker is None:
            return
        problem = task.problem or self._engine.switcher.problem
        self._send_to_tracker(task.report(self._stage(task), problem, self.chunk_address))

    def _stage(self, task: ReleaseTask) -> str:
        switcher = self._engine.switcher
        if switcher.phase is Phase.serving and switcher.served == task.manifest.release:
            return 'serving'
        if task.problem or switcher.problem:
            return 'failed'
        if task.ready() is None:
            return 'fetching'
        return 'verified' if switcher.phase is Phase.serving else 'switching'


def make_weights_manager(
    context: ProcessContext,
    router: MessageRouter,
    replica: Any,
    status: AgentStatus,
    gate: WorkGate,
) -> WeightsManager:
    """Builds the manager and registers its message handlers; ``start`` starts it."""
    settings = require_section(context.settings.agent, 'agent')
    clock = context.reactor
    switcher = Switcher(checks_fence=settings.checks_fence, now=clock.seconds())
    admin = make_engine_admin(context.make_channel_pool, settings.upstream_url)
    engine = EngineTask(switcher, admin, gate, status, clock)
    manager = WeightsManager(context, replica, status, engine)
    router.register_handler(FetchOrder, manager.handle_order)
    router.register_handler(SwitchPermit, manager.handle_permit)
    replica.watch(manager.handle_state_change)
    return manager
