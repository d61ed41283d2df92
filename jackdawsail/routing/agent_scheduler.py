"""Reservations at an agent: which waiting request gets the next free place.

The desk is a pure decision object. Messages, completions and ticks go in with
the time; effects come out. It keeps these promises: work is handed over only
for a live grant of this run of the agent, once, while the gate is open and the
lease holds; an attempt id is never served twice; a refusal is final.

The upstream never has more than the window's limit. A few grants ahead of it
let work wait here, ready for the next free place, so that a place is not empty
for the time that a grant and its work need on the way.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace

from jackdawsail.routing.fairness import FairQueue, Waiting
from jackdawsail.routing.pace import CompletionPace
from jackdawsail.routing.places import Places
from jackdawsail.routing.recent import RecentIds
from jackdawsail.routing.window import StartupWindow
from jackdawsail.wire.work_messages import Granted, Priority, Refused, Reserve, Work, WorkRefused

HOLD_SECONDS = 2.0
MAX_QUEUED = 2048
CUSTOMER_QUEUE_PER_PLACE = 8
SEEN_ATTEMPTS = 20_000
IDLE_ACCOUNTS = 1000
CLOSED_RETRY_SECONDS = 0.5

Peer = Hashable


@dataclass(frozen=True, slots=True)
class Reply:
    """Send a message to the entry that the attempt came from."""

    peer: Peer
    message: Granted | Refused | WorkRefused


@dataclass(frozen=True, slots=True)
class StartWork:
    """Give the request to the upstream now."""

    peer: Peer
    work: Work
    reserve: Reserve


@dataclass(frozen=True, slots=True)
class StopWork:
    """Cancel what the upstream is doing for an attempt."""

    attempt_id: str


Effect = Reply | StartWork | StopWork
Effects = list[Effect]


@dataclass(frozen=True, slots=True)
class _Attempt:
    peer: Peer
    reserve: Reserve
    waiting: Waiting
    deadline_seconds: float
    start_by_seconds: float
    grant_number: int = 0
    work: Work | None = None
    running: bool = False


class AgentScheduler:
    """Decides grants at one agent.

    ``blocked`` returns why nothing may be handed over now (no lease, the gate
    is closed, the agent is leaving), or an empty string.
    """

    def __init__(
        self,
        incarnation: int,
        window: StartupWindow,
        weight_of: Callable[[str], float],
        blocked: Callable[[float], str],
        release_of: Callable[[], str],
        slots_per_extra_grant: int = 0,
    ) -> None:
        self.queue = FairQueue(weight_of)
        self.pace = CompletionPace()
        self._incarnation = incarnation
        self._window = window
        self._blocked = blocked
        self._release_of = release_of
        self._attempts: dict[str, _Attempt] = {}
        self._seen = RecentIds(SEEN_ATTEMPTS)
        self._handed_over = RecentIds(SEEN_ATTEMPTS)
        self._places_per_ahead = slots_per_extra_grant
        self._grants = 0
        self.slots = Places(weight_of)

    def reserve(self, peer: Peer, asked: Reserve, now_seconds: float) -> Effects:
        """Takes a reservation: grants it, queues it, or refuses it at once."""
        if asked.attempt_id in self._seen:
            return []
        self._seen.add(asked.attempt_id)
        refusal = self._refusal(asked, now_seconds)
        if refusal is not None:
            return [Reply(peer, refusal)]
        live = asked.priority is Priority.live
        waiting = Waiting(asked.attempt_id, asked.customer, max(1, asked.tokens_estimate), live)
        deadline_seconds = now_seconds + asked.wait_seconds
        self._attempts[asked.attempt_id] = _Attempt(
            peer, asked, waiting, deadline_seconds, deadline_seconds
        )
        self.queue.push(waiting)
        return self.grant_ready(now_seconds)

    def cancel(self, attempt_id: str, now_seconds: float) -> Effects:
        """Gives a waiting or granted reservation up; its work is left alone."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.work is not None:
            return []
        self._drop(attempt)
        return self.grant_ready(now_seconds)

    def work(self, peer: Peer, work: Work, now_seconds: float) -> Effects:
        """Hands work over when it matches a live grant; else refuses it for good.

        Work that was handed over already is passed over in silence: a refusal
        would tell the entry that it never ran.
        """
        if work.attempt_id in self._handed_over:
            return []
        attempt = self._attempts.get(work.attempt_id)
        problem = self._work_problem(attempt, work, now_seconds)
        if problem or attempt is None:
            return self._refuse_work(peer, work, attempt, problem)
        self._handed_over.add(work.attempt_id)
        self._attempts[work.attempt_id] = replace(attempt, work=work)
        self.slots.make_ready(attempt.waiting)
        return self._hand_over_ready(now_seconds)

    def cancel_work(self, attempt_id: str, now_seconds: float) -> Effects:
        """Gives work up: drops it while it is only ready, else stops the upstream."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.work is None:
            return []
        if attempt.running:
            return [StopWork(attempt_id)]
        self._drop(attempt)
        return self.grant_ready(now_seconds)

    def ended(self, attempt_id: str, used_tokens: int, now_seconds: float) -> Effects:
        """Counts the end of running work, however it ended."""
        attempt = self._attempts.pop(attempt_id)
        self.slots.end(attempt.waiting)
        self.queue.settle(attempt.waiting, used_tokens)
        self.pace.completed(now_seconds, busy=len(self.queue) > 0)
        return self._hand_over_ready(now_seconds) + self.grant_ready(now_seconds)

    def peer_lost(self, peer: Peer, now_seconds: float) -> Effects:
        """Drops everything of an entry whose link has ended."""
        effects: Effects = []
        lost = [kept for kept in self._attempts.values() if kept.peer == peer]
        for attempt in lost:
            if attempt.running:
                effects.append(StopWork(attempt.reserve.attempt_id))
            else:
                self._drop(attempt)
        return effects + self.grant_ready(now_seconds)

    def tick(self, now_seconds: float) -> Effects:
        """Ends unused grants and late reservations; refuses all while blocked."""
        reason = self._blocked(now_seconds)
        effects: Effects = []
        unused = [kept for kept in self._attempts.values() if not kept.running]
        for attempt in unused:
            effects += self._lapse(attempt, reason, now_seconds)
        self.queue.forget_idle(IDLE_ACCOUNTS)
        return effects + self._hand_over_ready(now_seconds) + self.grant_ready(now_seconds)

    def grant_ready(self, now_seconds: float) -> Effects:
        """Grants waiting requests while there are free places."""
        effects: Effects = []
        if self._blocked(now_seconds):
            return effects
        waiting = self.queue.pop(self._may_hold)
        while waiting is not None:
            effects.append(self._grant(waiting, now_seconds))
            waiting = self.queue.pop(self._may_hold)
        return effects

    def _may_hold(self, customer: str) -> bool:
        """Bounds the grants ahead; who is back from idle may have its first beyond them."""
        limit, held = self._window.limit, self.slots.held
        if not self._places_per_ahead:
            return held < limit
        if held < limit + limit // self._places_per_ahead:
            return True
        return held < 2 * limit and self.queue.is_back_from_idle(customer)

    def _hand_over_ready(self, now_seconds: float) -> Effects:
        effects: Effects = []
        if self._blocked(now_seconds):
            return effects
        while self.slots.any_ready and self.slots.running < self._window.limit:
            attempt_id = self.slots.start_next()
            attempt = replace(self._attempts[attempt_id], running=True)
            self._attempts[attempt_id] = attempt
            if attempt.work is None:
                raise AssertionError(f'{attempt_id} is ready without its work')
            effects.append(StartWork(attempt.peer, attempt.work, attempt.reserve))
        return effects

    def _lapse(self, attempt: _Attempt, reason: str, now_seconds: float) -> Effects:
        attempt_id = attempt.reserve.attempt_id
        late = attempt.deadline_seconds <= now_seconds
        if attempt.work is not None:
            if not reason and now_seconds < attempt.start_by_seconds:
                return []
            return self._refuse_work(attempt.peer, attempt.work, attempt, reason or 'deadline')
        if attempt.grant_number:
            return self.cancel(attempt_id, now_seconds) if late else []
        if not reason and not late:
            return []
        self._drop(attempt)
        return [self._refuse(attempt, reason or 'deadline', now_seconds)]

    def _grant(self, waiting: Waiting, now_seconds: float) -> Reply:
        self._grants += 1
        self.slots.grant()
        attempt = replace(
            self._attempts[waiting.attempt_id],
            grant_number=self._grants,
            deadline_seconds=now_seconds + HOLD_SECONDS,
        )
        self._attempts[waiting.attempt_id] = attempt
        granted = Granted(
            waiting.attempt_id,
            self._grants,
            self._incarnation,
            self._release_of(),
            HOLD_SECONDS,
        )
        return Reply(attempt.peer, granted)

    def _refusal(self, asked: Reserve, now_seconds: float) -> Refused | None:
        reason = self._blocked(now_seconds)
        if reason:
            return Refused(asked.attempt_id, reason, CLOSED_RETRY_SECONDS)
        if asked.release and asked.release != self._release_of():
            return Refused(asked.attempt_id, 'other-release', CLOSED_RETRY_SECONDS)
        queued = self.queue.queued_of(asked.customer)
        wait_seconds = self._predicted_wait_seconds(queued)
        if queued >= CUSTOMER_QUEUE_PER_PLACE * self._window.limit:
            return Refused(asked.attempt_id, 'customer-queue-full', wait_seconds)
        if len(self.queue) >= MAX_QUEUED:
            return Refused(asked.attempt_id, 'queue-full', wait_seconds)
        if wait_seconds > asked.wait_seconds:
            return Refused(asked.attempt_id, 'cannot-start-in-time', wait_seconds)
        return None

    def _predicted_wait_seconds(self, queued: int) -> float:
        if self.slots.held < self._window.limit:
            return 0
        sharers = max(1, self.queue.waiting_customers())
        return (queued + 1) * sharers * self.pace.seconds_between

    def _work_problem(self, attempt: _Attempt | None, work: Work, now_seconds: float) -> str:
        if work.incarnation != self._incarnation:
            return 'other-incarnation'
        if attempt is None or attempt.grant_number != work.grant_number or not work.grant_number:
            return 'no-such-grant'
        if attempt.deadline_seconds <= now_seconds:
            return 'grant-expired'
        return self._blocked(now_seconds)

    def _refuse(self, attempt: _Attempt, reason: str, now_seconds: float) -> Reply:
        queued = self.queue.queued_of(attempt.reserve.customer)
        retry_seconds = max(CLOSED_RETRY_SECONDS, self._predicted_wait_seconds(queued))
        return Reply(attempt.peer, Refused(attempt.reserve.attempt_id, reason, retry_seconds))

    def _drop(self, attempt: _Attempt) -> None:
        del self._attempts[attempt.reserve.attempt_id]
        if attempt.grant_number:
            self.slots.drop(attempt.waiting)
            self.queue.settle(attempt.waiting, 0)
        else:
            self.queue.remove(attempt.waiting)

    def _refuse_work(
        self, peer: Peer, work: Work, attempt: _Attempt | None, problem: str
    ) -> Effects:
        self._seen.add(work.attempt_id)
        if attempt is not None:
            self._drop(attempt)
        return [Reply(peer, WorkRefused(work.attempt_id, problem))]
