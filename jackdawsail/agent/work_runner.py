"""The agent's work: reservations, hand-over to the upstream, answers back.

Implements ``agent.gate.WorkGate`` for the release switcher.
"""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.agent.part_batches import PartBatches
from jackdawsail.agent.service_permit import ServicePermit
from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.upstream import Job, UpstreamClient, UpstreamRun
from jackdawsail.routing.agent_scheduler import AgentScheduler, Effects, Reply, StartWork, StopWork
from jackdawsail.routing.answers import AnswerBuilder
from jackdawsail.routing.window import StartupWindow
from jackdawsail.switchboard import Switchboard
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

GATE_OPENED = events.define(400, 'info', 'upstream serves a release')
GATE_CLOSED = events.define(401, 'info', 'no new work is handed to the upstream')
WORK_FAILED = events.define(402, 'warning', 'upstream did not give a whole answer')


@dataclass(frozen=True, slots=True)
class WorkTools:
    """What the work part needs of its program."""

    reactor: Any
    switchboard: Switchboard
    desk: AgentScheduler
    window: StartupWindow
    permit: ServicePermit
    status: AgentStatus
    client: UpstreamClient
    kind: UpstreamKind


class WorkRunner:
    """Performs what the desk decides."""

    def __init__(self, tools: WorkTools) -> None:
        self._tools = tools
        self._desk = tools.desk
        self._runs: dict[str, _Running] = {}
        self._drained: list[Deferred[None]] = []
        self.batches = PartBatches(tools.reactor)
        self._loop = LoopingCall(self.tick)
        self._loop.clock = tools.reactor
        tools.switchboard.on(Reserve, self._on_reserve)
        tools.switchboard.on(CancelReserve, self._on_cancel_reserve)
        tools.switchboard.on(Work, self._on_work)
        tools.switchboard.on(CancelWork, self._on_cancel_work)
        tools.switchboard.watch(_ignore, self._on_closed)

    def start(self) -> None:
        """Begins to end late reservations and unused grants."""
        self._loop.start(TICK_SECONDS)

    def stop(self) -> None:
        """Ends the ticks."""
        if self._loop.running:
            self._loop.stop()

    def close(self, reason: str) -> 'Deferred[None]':
        """Hands nothing more over; fires when the running work has ended."""
        self._tools.permit.gate.closed_reason = reason
        events.log(GATE_CLOSED, reason=reason)
        self.tick()
        return self.when_drained()

    def open(self, release: str) -> None:
        """Serves under a release that the upstream has confirmed, from the cold limit up."""
        gate = self._tools.permit.gate
        gate.release = release
        gate.closed_reason = ''
        self._tools.status.release = release
        self._tools.status.state = UpstreamState.serving
        self._tools.window.reset()
        events.log(GATE_OPENED, release=release)
        self.tick()

    def when_drained(self) -> 'Deferred[None]':
        """Fires when no request runs at the upstream."""
        drained: Deferred[None] = Deferred()
        self._drained.append(drained)
        self._check_drained()
        return drained

    def load(self) -> UpstreamLoad:
        """Reports the upstream's load for a heartbeat."""
        queue = self._desk.queue
        status = self._tools.status
        return UpstreamLoad(
            self._reported_state(),
            status.release,
            len(self._runs),
            len(queue),
            self._tools.window.limit,
            queue.queued_tokens(),
            0,
        )

    def tick(self) -> None:
        """Lets time pass at the desk."""
        self._perform(self._desk.tick(self._now()))

    def run_ended(self, attempt_id: str, used_tokens: int) -> None:
        """Takes a finished job out."""
        del self._runs[attempt_id]
        self._perform(self._desk.ended(attempt_id, used_tokens, self._now()))
        self._check_drained()

    def _reported_state(self) -> UpstreamState:
        permit = self._tools.permit
        if permit.leaving:
            return UpstreamState.draining
        if permit.gate.closed_reason:
            return self._tools.status.state
        return UpstreamState.serving

    def _now(self) -> float:
        return float(self._tools.reactor.seconds())

    def _on_reserve(self, link: Link, asked: Reserve) -> None:
        self._perform(self._desk.reserve(link, asked, self._now()))

    def _on_cancel_reserve(self, _link: Link, cancel: CancelReserve) -> None:
        self._perform(self._desk.cancel(cancel.attempt_id, self._now()))

    def _on_work(self, link: Link, work: Work) -> None:
        self._perform(self._desk.work(link, work, self._now()))

    def _on_cancel_work(self, _link: Link, cancel: CancelWork) -> None:
        self._perform(self._desk.cancel_work(cancel.attempt_id, self._now()))

    def _on_closed(self, link: Link) -> None:
        self._perform(self._desk.peer_lost(link, self._now()))

    def _perform(self, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, Reply):
                effect.peer.send(effect.message)  # type: ignore[attr-defined]
            elif isinstance(effect, StartWork):
                self._hand_over(effect)
            elif isinstance(effect, StopWork):
                self._stop_work(effect.attempt_id)

    def _hand_over(self, effect: StartWork) -> None:
        attempt_id = effect.work.attempt_id
        job = Job(effect.work, effect.reserve, self._tools.permit.gate.release)
        running = _Running(self, job, effect.peer, self._tools)
        self._runs[attempt_id] = running
        running.begin()

    def _stop_work(self, attempt_id: str) -> None:
        running = self._runs.get(attempt_id)
        if running is not None and self._tools.kind is UpstreamKind.engine:
            running.cancel()

    def _check_drained(self) -> None:
        if self._runs:
            return
        waiting = self._drained
        self._drained = []
        for drained in waiting:
            drained.callback(None)


class _Running:
    """One job at the upstream: seals its answer and sends it to the entry."""

    def __init__(self, part: WorkRunner, job: Job, peer: Any, tools: WorkTools) -> None:
        self._part = part
        self._job = job
        self._peer = peer
        self._tools = tools
        self._seal = AnswerBuilder(job.work.attempt_id)
        self._last_seconds = tools.reactor.seconds()
        self._concurrency = tools.desk.slots.running
        self._tokens = 0
        self._run: UpstreamRun | None = None

    def begin(self) -> None:
        """Hands the job to the upstream."""
        client = self._tools.client
        is_engine = self._tools.kind is UpstreamKind.engine
        start = client.generate if is_engine else client.call
        self._run = start(self._job, self)

    def cancel(self) -> None:
        """Stops the upstream's stream."""
        if self._run is not None:
            self._run.failed(Outcome.unknown, 'cancelled')

    def head(self, status: int, content_type: str) -> None:
        """Sends the head."""
        attempt_id = self._job.work.attempt_id
        self._send(AnswerHead(attempt_id, status, content_type, self._job.release))

    def part(self, body: bytes, tokens: int) -> None:
        """Sends the next part."""
        if self._tokens and tokens:
            self._progressed(tokens)
        self._last_seconds = self._tools.reactor.seconds()
        self._tokens += tokens
        self._part.batches.add(self._peer, self._seal.part(body, tokens))

    def whole(self) -> None:
        """Sends the end and counts a success."""
        if not self._tokens:
            self._progressed(1)
        self._tools.window.succeeded(self._concurrency)
        self._send(self._seal.end())
        self._finish()

    def failed(self, outcome: Outcome, reason: str) -> None:
        """Sends the failure and counts it, unless the caller cancelled."""
        attempt_id = self._job.work.attempt_id
        if reason.startswith('engine-refused'):
            self._tools.window.refused()
        elif reason != 'cancelled':
            self._tools.window.failed()
            events.log(WORK_FAILED, attempt=attempt_id, reason=reason, outcome=str(outcome))
        self._send(AnswerFailed(attempt_id, outcome, reason))
        self._finish()

    def _send(self, sent: Any) -> None:
        self._part.batches.send(self._peer, sent)

    def _progressed(self, units: int) -> None:
        elapsed_seconds = self._tools.reactor.seconds() - self._last_seconds
        self._tools.window.progressed(elapsed_seconds / units)

    def _finish(self) -> None:
        prompt_tokens = len(self._job.work.body) // BYTES_PER_TOKEN
        self._part.run_ended(self._job.work.attempt_id, 1 + prompt_tokens + self._tokens)


def _ignore(_link: Link) -> None:
    """Opened links matter only once they ask for something."""
