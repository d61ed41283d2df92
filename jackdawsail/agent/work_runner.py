"""The agent's requests: reservations, dispatch to the upstream and answers to the entry.

Implements ``agent.gate.WorkGate`` for the release switcher.
"""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.agent.answer_batcher import AnswerBatcher
from jackdawsail.agent.service_permit import ServicePermit
from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.upstream import WITHDRAWN, Job, UpstreamClient, UpstreamRun
from jackdawsail.loops import make_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.routing.agent_scheduler import AgentScheduler, Effects, Reply, StartWork, StopWork
from jackdawsail.routing.answers import AnswerBuilder
from jackdawsail.routing.read_speed import ReadSpeed
from jackdawsail.routing.window import StartupWindow
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import UpstreamKind, UpstreamLoad, UpstreamState
from jackdawsail.wire.work_messages import (
    AnswerFailed,
    AnswerHead,
    CancelReserve,
    CancelWork,
    Outcome,
    Reserve,
    Work,
)

TICK_SECONDS = 0.1
BYTES_PER_TOKEN = 4

GATE_OPENED = events.define(400, 'info', 'dispatching work to the upstream for a release')
GATE_CLOSED = events.define(401, 'info', 'stopped dispatching new work to the upstream')
WORK_FAILED = events.define(402, 'warning', 'upstream did not complete an answer')


@dataclass(frozen=True, slots=True)
class WorkDependencies:
    """The components that run the agent's work."""

    reactor: Any
    router: MessageRouter
    scheduler: AgentScheduler
    window: StartupWindow
    permit: ServicePermit
    status: AgentStatus
    client: UpstreamClient
    kind: UpstreamKind


class WorkRunner:
    """The I/O layer of the scheduler: passes messages and time in, performs effects."""

    def __init__(self, deps: WorkDependencies) -> None:
        self._deps = deps
        self._scheduler = deps.scheduler
        self._runs: dict[str, _RunningJob] = {}
        self._drain_waiters: list[Deferred[None]] = []
        self.batcher = AnswerBatcher(deps.reactor)
        self.read_speed = ReadSpeed()
        self._loop = make_loop(deps.reactor, self.tick)
        deps.router.register_handler(Reserve, self._on_reserve)
        deps.router.register_handler(CancelReserve, self._on_cancel_reserve)
        deps.router.register_handler(Work, self._on_work)
        deps.router.register_handler(CancelWork, self._on_cancel_work)
        deps.router.watch_links(_ignore_opened, self._on_closed)

    def start(self) -> None:
        """Starts the timer that expires late reservations and unused grants."""
        self._loop.start(TICK_SECONDS)

    def stop(self) -> None:
        """Stops the timer."""
        if self._loop.running:
            self._loop.stop()

    def close(self, reason: str) -> 'Deferred[None]':
        """Stops dispatching; fires when the running work has ended."""
        self._deps.permit.gate.closed_reason = reason
        events.log(GATE_CLOSED, reason=reason)
        self.tick()
        return self.when_drained()

    def open(self, release: str) -> None:
        """Starts dispatching for a release that the upstream confirmed, from the cold limit up."""
        gate = self._deps.permit.gate
        gate.release = release
        gate.closed_reason = ''
        self._deps.status.release = release
        self._deps.status.state = UpstreamState.serving
        self._deps.window.reset()
        events.log(GATE_OPENED, release=release)
        self.tick()

    def when_drained(self) -> 'Deferred[None]':
        """Fires once no request is running at the upstream."""
        drained: Deferred[None] = Deferred()
        self._drain_waiters.append(drained)
        self._check_drained()
        return drained

    def load(self) -> UpstreamLoad:
        """Returns the upstream's load for a heartbeat."""
        queue = self._scheduler.queue
        status = self._deps.status
        return UpstreamLoad(
            self._reported_state(),
            status.release,
            len(self._runs),
            len(queue),
            self._deps.window.limit,
            queue.queued_tokens(),
            0,
            self.read_speed.tokens_per_second,
            self._scheduler.wait_seconds,
        )

    def tick(self) -> None:
        """Passes the current time to the scheduler."""
        self._perform(self._scheduler.tick(self._now()))

    def run_ended(self, attempt_id: str, used_tokens: int) -> None:
        """Removes a finished job and reports its tokens to the scheduler."""
        del self._runs[attempt_id]
        self._perform(self._scheduler.work_ended(attempt_id, used_tokens, self._now()))
        self._check_drained()

    def _reported_state(self) -> UpstreamState:
        permit = self._deps.permit
        if permit.leaving:
            return UpstreamState.draining
        if permit.gate.closed_reason:
            return self._deps.status.state
        return UpstreamState.serving

    def _now(self) -> float:
        return float(self._deps.reactor.seconds())

    def _on_reserve(self, link: Link, reserve: Reserve) -> None:
        self._perform(self._scheduler.reserve(link, reserve, self._now()))

    def _on_cancel_reserve(self, _link: Link, cancel: CancelReserve) -> None:
        self._perform(self._scheduler.cancel(cancel.attempt_id, self._now()))

    def _on_work(self, link: Link, work: Work) -> None:
        self._perform(self._scheduler.accept_work(link, work, self._now()))

    def _on_cancel_work(self, _link: Link, cancel: CancelWork) -> None:
        self._perform(self._scheduler.cancel_work(cancel.attempt_id, self._now()))

    def _on_closed(self, link: Link) -> None:
        self._perform(self._scheduler.peer_lost(link, self._now()))

    def _perform(self, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, Reply):
                effect.peer.send(effect.message)  # type: ignore[attr-defined]
            elif isinstance(effect, StartWork):
                self._dispatch(effect)
            elif isinstance(effect, StopWork):
                self._stop_work(effect.attempt_id)

    def _dispatch(self, effect: StartWork) -> None:
        attempt_id = effect.work.attempt_id
        job = Job(effect.work, effect.reserve, self._deps.permit.gate.release)
        running = _RunningJob(self, job, effect.peer, self._deps)
        self._runs[attempt_id] = running
        running.begin()

    def _stop_work(self, attempt_id: str) -> None:
        running = self._runs.get(attempt_id)
        if running is not None and self._deps.kind is UpstreamKind.engine:
            running.cancel()

    def _check_drained(self) -> None:
        if self._runs:
            return
        waiters = self._drain_waiters
        self._drain_waiters = []
        for drained in waiters:
            drained.callback(None)


class _RunningJob:
    """One job at the upstream; sends its answer to the entry, with part numbers and a digest."""

    def __init__(self, runner: WorkRunner, job: Job, peer: Any, deps: WorkDependencies) -> None:
        self._runner = runner
        self._job = job
        self._peer = peer
        self._deps = deps
        self._answer = AnswerBuilder(job.work.attempt_id)
        self._last_progress_seconds = deps.reactor.seconds()
        self._concurrency = deps.scheduler.slots.running
        self._tokens = 0
        self._run: UpstreamRun | None = None

    def begin(self) -> None:
        """Starts the request at the upstream."""
        client = self._deps.client
        is_engine = self._deps.kind is UpstreamKind.engine
        start = client.generate if is_engine else client.call
        self._run = start(self._job, self)

    def cancel(self) -> None:
        """Ends the job as cancelled, which closes the connection to the upstream."""
        if self._run is not None:
            self._run.failed(Outcome.unknown, 'cancelled')

    def answer_head(self, status: int, content_type: str) -> None:
        """Sends the head of the answer."""
        attempt_id = self._job.work.attempt_id
        self._send(AnswerHead(attempt_id, status, content_type, self._job.release))

    def answer_part(self, body: bytes, tokens: int) -> None:
        """Sends the next part and, after the first tokens, records the latency per token."""
        if self._tokens and tokens:
            self._record_progress(tokens)
        elif tokens and not self._job.work.resume_from:
            self._record_read()
        self._last_progress_seconds = self._deps.reactor.seconds()
        self._tokens += tokens
        self._runner.batcher.add(self._peer, self._answer.part(body, tokens))

    def answer_complete(self) -> None:
        """Sends the end of the answer and counts a success in the window.

        The latency of an answer without tokens is that of the whole call.
        """
        if not self._tokens:
            self._record_progress(1)
        self._deps.window.record_success(self._concurrency)
        self._send(self._answer.end())
        self._finish()

    def answer_failed(self, outcome: Outcome, reason: str) -> None:
        """Sends the failure, and counts it in the window if it is one of the upstream."""
        attempt_id = self._job.work.attempt_id
        if reason.startswith('engine-refused'):
            self._deps.window.record_refusal()
        elif not reason.startswith(('cancelled', WITHDRAWN)):
            self._deps.window.record_failure()
            events.log(WORK_FAILED, attempt=attempt_id, reason=reason, outcome=str(outcome))
        self._send(AnswerFailed(attempt_id, outcome, reason))
        self._finish()

    def _send(self, message: Any) -> None:
        self._runner.batcher.send(self._peer, message)

    def _record_progress(self, units: int) -> None:
        elapsed_seconds = self._deps.reactor.seconds() - self._last_progress_seconds
        self._deps.window.record_progress(elapsed_seconds / units)

    def _record_read(self) -> None:
        elapsed_seconds = self._deps.reactor.seconds() - self._last_progress_seconds
        self._runner.read_speed.record(self._prompt_tokens, elapsed_seconds)

    @property
    def _prompt_tokens(self) -> int:
        return len(self._job.work.body) // BYTES_PER_TOKEN

    def _finish(self) -> None:
        prompt_tokens = self._prompt_tokens
        self._runner.run_ended(self._job.work.attempt_id, 1 + prompt_tokens + self._tokens)


def _ignore_opened(_link: Link) -> None:
    """Does nothing: a link has no state here before its first reservation."""
