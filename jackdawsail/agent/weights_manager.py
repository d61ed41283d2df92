"""The agent's weights: fetches the wanted release, proves it, changes the engine to it.

``set_tracker`` names the link to the entry that said ``is_tracker`` in its last
heartbeat acknowledgement (None: no tracker).
"""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import LoopingCall
from twisted.internet.threads import deferToThreadPool

from jackdawsail.agent.chunk_server import listen_for_chunks
from jackdawsail.agent.engine_orders import EngineOrders
from jackdawsail.agent.engine_task import EngineTask, EngineWatcher
from jackdawsail.agent.gate import WorkGate
from jackdawsail.agent.release_task import ReleaseTask
from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.switcher import AskPermit, Authority, Phase, ReadyRelease, Switcher
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section
from jackdawsail.switchboard import Switchboard
from jackdawsail.weights.chunk_client import ChunkClient
from jackdawsail.weights.chunk_store import make_chunk_store
from jackdawsail.weights.http_read import make_pool
from jackdawsail.weights.target import Records, Target, adoptable_releases, choose_target
from jackdawsail.wire.link import Link
from jackdawsail.wire.weight_messages import (
    FetchOrder,
    SwitchAsk,
    SwitchPermit,
)

STEP_SECONDS = 0.1
LOOK_SECONDS = 0.25
REPORT_SECONDS = 1.0


class WeightsManager:
    """Glue between the links, the chunk store, the transfers and the engine."""

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
        http_agent = context.make_http_agent(make_pool(context.reactor))
        self._drawer = ChunkClient(http_agent, context.reactor, context.secret)
        self._task: ReleaseTask | None = None
        self._tracker: Link | None = None
        self._loops: list[LoopingCall] = []
        self._listener: Any = None
        self._reported_stage = ''
        engine.on_progress = self._step

    @property
    def chunk_address(self) -> str:
        """Returns where other agents reach the chunk server, once it listens."""
        return self._context.host.reached_at(self.chunk_port)

    def start(self) -> None:
        """Listens for chunk requests and begins to work; ``chunk_port`` is then set."""
        self._listener = listen_for_chunks(self._context, self._settings.chunk_port, self._store)
        self.chunk_port = self._listener.getHost().port
        self._repeat(self._step, STEP_SECONDS)
        self._repeat(self._engine.poll, LOOK_SECONDS)
        self._repeat(self._report, REPORT_SECONDS)

    def stop(self) -> Deferred[None]:
        """Ends every timer and the chunk server."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()
        if self._task is not None:
            self._task.stop()
        self._store.close()
        if self._listener is None:
            return succeed(None)
        stopped: Deferred[Any] = self._listener.stopListening() or succeed(None)
        return stopped

    def watch_engine(self, callback: EngineWatcher) -> None:
        """Calls back with each state that the engine tells of itself."""
        self._engine.on_seen = callback

    def set_tracker(self, link: Link | None) -> None:
        """Names the link to the tracker; a new one gets a report at once."""
        if link is not self._tracker:
            self._tracker = link
            self._report()

    def take_order(self, link: Link, order: FetchOrder) -> None:
        """Carries out an order of the present tracker."""
        if link is self._tracker and self._task is not None:
            self._task.order(order)

    def take_permit(self, link: Link, permit: SwitchPermit) -> None:
        """Takes a permit of the present tracker."""
        if link is self._tracker:
            until_seconds = self._context.reactor.seconds() + permit.valid_seconds
            self._engine.switcher.permit(permit.release, until_seconds)
            self._step()

    def changed(self, keys: set[str]) -> None:
        """Reacts to a change of the replicated state at once."""
        if any(key.startswith(('release/', 'backend/', 'weights/')) for key in keys):
            self._step()

    def _repeat(self, action: Any, seconds: float) -> None:
        loop = LoopingCall(action)
        loop.clock = self._context.reactor
        loop.start(seconds)
        self._loops.append(loop)

    def _step(self) -> None:
        origin = self._replica.get('weights', 'origin') or {}
        self._drawer.origin_url = str(origin.get('url') or '')
        target = choose_target(self._replica, self._settings.backend)
        self._follow(target)
        adoptable = adoptable_releases(self._replica, self._settings.backend)
        self._engine.switcher.want(self._ready(target), adoptable)
        now = self._context.reactor.seconds()
        authority = Authority(now < self._status.lease_until_seconds, self._status.fence_number)
        for effect in self._engine.step(authority):
            if isinstance(effect, AskPermit):
                self._send(SwitchAsk(effect.release))
        self._report_stage()

    def _ready(self, target: Target | None) -> ReadyRelease | None:
        if self._task is None or target is None or not target.is_active:
            return None
        return self._task.ready()

    def _follow(self, target: Target | None) -> None:
        if target is None:
            return
        task = self._task
        if task is None or task.manifest.digest != target.manifest.digest:
            if task is not None:
                task.stop()
            task = ReleaseTask(
                target.manifest,
                self._store,
                self._drawer,
                self._context.reactor,
                self._run,
            )
            task.tell = self._send
            task.on_verified = self._step
            self._task = task
            self._report()
        if target.is_active:
            task.open(self._kept(target))
            task.advance()

    def _kept(self, target: Target) -> set[str]:
        kept = {target.manifest.release, self._engine.switcher.served}
        if target.previous:
            kept.add(target.previous.release)
        return kept - {''}

    def _run(self, action: Any, *args: Any) -> Any:
        reactor = self._context.reactor
        return deferToThreadPool(reactor, reactor.getThreadPool(), action, *args)

    def _send(self, sent: object) -> None:
        if self._tracker is not None:
            self._tracker.send(sent)

    def _report_stage(self) -> None:
        """Reports a new stage at once, so that the next engine need not wait."""
        if self._task is None:
            return
        stage = self._stage(self._task)
        if stage != self._reported_stage:
            self._reported_stage = stage
            self._report()

    def _report(self) -> None:
        task = self._task
        if task is None or self._tracker is None:
            return
        problem = task.problem or self._engine.switcher.problem
        self._send(task.report(self._stage(task), problem, self.chunk_address))

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
    switchboard: Switchboard,
    replica: Any,
    status: AgentStatus,
    gate: WorkGate,
) -> WeightsManager:
    """Builds the part and registers its messages; ``start`` sets it to work."""
    settings = require_section(context.settings.agent, 'agent')
    clock = context.reactor
    switcher = Switcher(checks_fence=settings.checks_fence, now=clock.seconds())
    orders = EngineOrders(context.make_http_agent(), clock, settings.upstream_url)
    engine = EngineTask(switcher, orders, gate, status, clock)
    part = WeightsManager(context, replica, status, engine)
    switchboard.on(FetchOrder, part.take_order)
    switchboard.on(SwitchPermit, part.take_permit)
    replica.watch(part.changed)
    return part
