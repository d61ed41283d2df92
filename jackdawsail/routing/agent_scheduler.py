"""Schedules the reservations at one agent onto the slots of its upstream.

The scheduler does no I/O: it is called with messages, completions and ticks and the
time of each, and returns effects. It guarantees that

- work is started only once, for a live grant of this incarnation of the agent, while
  the gate is open and the lease is valid;
- an attempt id is never served twice;
- a refusal is final.

The upstream never runs more requests than the window's limit. A few more grants than
that are given out, so that work already waits here when a slot becomes free. Otherwise
the slot would stay empty while a grant and its work are in transit.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace

from jackdawsail.routing.completion_interval import CompletionInterval
from jackdawsail.routing.fairness import FairQueue, WaitingRequest
from jackdawsail.routing.recent import RecentIds
from jackdawsail.routing.slots import Slots
from jackdawsail.routing.window import StartupWindow
from jackdawsail.wire.work_messages import Granted, Priority, Refused, Reserve, Work, WorkRefused

GRANT_HOLD_SECONDS = 2.0  # until a grant without its work expires
MAX_QUEUED = 2048  # waiting requests of all customers
CUSTOMER_QUEUE_PER_SLOT = 8  # waiting requests of one customer for each slot
REMEMBERED_ATTEMPTS = 20_000
MAX_IDLE_ACCOUNTS = 1000
# Retry time while work is blocked or the release differs, and the least for a queued request.
BLOCKED_RETRY_SECONDS = 0.5

Peer = Hashable  # the link of the entry that an attempt came from


@dataclass(frozen=True, slots=True)
class Reply:
    """Effect: sends a message to the entry that the attempt came from."""

    peer: Peer
    message: Granted | Refused | WorkRefused


@dataclass(frozen=True, slots=True)
class StartWork:
    """Effect: sends the request to the upstream."""

    peer: Peer
    work: Work
    reserve: Reserve


@dataclass(frozen=True, slots=True)
class StopWork:
    """Effect: cancels the request that the upstream runs for an attempt."""

    attempt_id: str


Effect = Reply | StartWork | StopWork
Effects = list[Effect]


@dataclass(frozen=True, slots=True)
class _Attempt:
    """A reservation and, once it is granted, its grant and its work.

    ``deadline_seconds`` is when the reservation expires, or the grant once there is one.
    ``start_by_seconds`` is the time by which its work must have started.
    """

    peer: Peer
    reserve: Reserve
    waiting: WaitingRequest
    deadline_seconds: float
    start_by_seconds: float
    grant_number: int = 0
    work: Work | None = None
    running: bool = False


class AgentScheduler:
    """Decides which waiting requests are granted a slot and when their work starts.

    ``blocked`` returns the reason why no work may start now (no lease, the gate is
    closed, the agent is leaving), or an empty string. One grant beyond the window's
    limit is allowed for each ``slots_per_extra_grant`` slots; 0 allows none.
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
        self.completion_interval = CompletionInterval()
        self._incarnation = incarnation
        self._window = window
        self._blocked = blocked
        self._release_of = release_of
        self._attempts: dict[str, _Attempt] = {}
        self._used_ids = RecentIds(REMEMBERED_ATTEMPTS)
        self._accepted_work_ids = RecentIds(REMEMBERED_ATTEMPTS)
        self._slots_per_extra_grant = slots_per_extra_grant
        self._last_grant_number = 0
        self.slots = Slots(weight_of)

    def reserve(self, peer: Peer, request: Reserve, now_seconds: float) -> Effects:
        """Grants, queues or refuses a reservation; a repeated attempt id has no effect."""
        if request.attempt_id in self._used_ids:
            return []
        self._used_ids.add(request.attempt_id)
        refusal = self._refusal(request, now_seconds)
        if refusal is not None:
            return [Reply(peer, refusal)]
        live = request.priority is Priority.live
        waiting = WaitingRequest(
            request.attempt_id, request.customer, max(1, request.tokens_estimate), live
        )
        deadline_seconds = now_seconds + request.wait_seconds
        self._attempts[request.attempt_id] = _Attempt(
            peer, request, waiting, deadline_seconds, deadline_seconds
        )
        self.queue.push(waiting)
        return self.grant_ready(now_seconds)

    def cancel(self, attempt_id: str, now_seconds: float) -> Effects:
        """Drops a waiting or granted reservation, unless its work has arrived already."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.work is not None:
            return []
        self._drop(attempt)
        return self.grant_ready(now_seconds)

    def accept_work(self, peer: Peer, work: Work, now_seconds: float) -> Effects:
        """Accepts work that matches a live grant, and refuses other work permanently.

        A duplicate of accepted work is ignored without a reply: a refusal would report
        to the entry that the work never ran.
        """
        if work.attempt_id in self._accepted_work_ids:
            return []
        attempt = self._attempts.get(work.attempt_id)
        problem = self._work_problem(attempt, work, now_seconds)
        if problem or attempt is None:
            return self._refuse_work(peer, work, attempt, problem)
        self._accepted_work_ids.add(work.attempt_id)
        self._attempts[work.attempt_id] = replace(attempt, work=work)
        self.slots.make_ready(attempt.waiting)
        return self._start_ready(now_seconds)

    def cancel_work(self, attempt_id: str, now_seconds: float) -> Effects:
        """Drops work that has not started; stops the upstream if it has."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.work is None:
            return []
        if attempt.running:
            return [StopWork(attempt_id)]
        self._drop(attempt)
        return self.grant_ready(now_seconds)

    def work_ended(self, attempt_id: str, used_tokens: int, now_seconds: float) -> Effects:
        """Frees the slot of work that has ended, successful or not, and settles its tokens."""
        attempt = self._attempts.pop(attempt_id)
        self.slots.end(attempt.waiting)
        self.queue.settle(attempt.waiting, used_tokens)
        self.completion_interval.completed(now_seconds, busy=len(self.queue) > 0)
        return self._start_ready(now_seconds) + self.grant_ready(now_seconds)

    def peer_lost(self, peer: Peer, now_seconds: float) -> Effects:
        """Drops or stops all attempts of an entry whose link has closed."""
        effects: Effects = []
        peer_attempts = [held for held in self._attempts.values() if held.peer == peer]
        for attempt in peer_attempts:
            if attempt.running:
                effects.append(StopWork(attempt.reserve.attempt_id))
            else:
                self._drop(attempt)
        return effects + self.grant_ready(now_seconds)

    def tick(self, now_seconds: float) -> Effects:
        """Expires grants without work, and refuses what cannot start any more.

        These are waiting reservations and waiting work, once their deadline has passed or
        while work is blocked.
        """
        reason = self._blocked(now_seconds)
        effects: Effects = []
        not_running = [held for held in self._attempts.values() if not held.running]
        for attempt in not_running:
            effects += self._expire(attempt, reason, now_seconds)
        self.queue.forget_idle(MAX_IDLE_ACCOUNTS)
        return effects + self._start_ready(now_seconds) + self.grant_ready(now_seconds)

    def grant_ready(self, now_seconds: float) -> Effects:
        """Grants waiting requests while slots are free."""
        effects: Effects = []
        if self._blocked(now_seconds):
            return effects
        waiting = self.queue.pop(self._may_grant)
        while waiting is not None:
            effects.append(self._grant(waiting, now_seconds))
            waiting = self.queue.pop(self._may_grant)
        return effects

    def _may_grant(self, customer: str) -> bool:
        """Returns whether a customer may be granted one more slot.

        Grants beyond the window's limit are bounded by ``slots_per_extra_grant``. A customer
        that was idle may get its first grant beyond that bound, up to twice the limit.
        """
        limit, held = self._window.limit, self.slots.held
        if not self._slots_per_extra_grant:
            return held < limit
        if held < limit + limit // self._slots_per_extra_grant:
            return True
        return held < 2 * limit and self.queue.is_back_from_idle(customer)

    def _start_ready(self, now_seconds: float) -> Effects:
        effects: Effects = []
        if self._blocked(now_seconds):
            return effects
        while self.slots.any_ready and self.slots.running < self._window.limit:
            attempt_id = self.slots.start_next()
            attempt = replace(self._attempts[attempt_id], running=True)
            self._attempts[attempt_id] = attempt
            if attempt.work is None:
                raise AssertionError(f'attempt {attempt_id} is ready but its work is missing')
            effects.append(StartWork(attempt.peer, attempt.work, attempt.reserve))
        return effects

    def _expire(self, attempt: _Attempt, reason: str, now_seconds: float) -> Effects:
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

    def _grant(self, waiting: WaitingRequest, now_seconds: float) -> Reply:
        self._last_grant_number += 1
        self.slots.grant()
        attempt = replace(
            self._attempts[waiting.attempt_id],
            grant_number=self._last_grant_number,
            deadline_seconds=now_seconds + GRANT_HOLD_SECONDS,
        )
        self._attempts[waiting.attempt_id] = attempt
        granted = Granted(
            waiting.attempt_id,
            self._last_grant_number,
            self._incarnation,
            self._release_of(),
            GRANT_HOLD_SECONDS,
        )
        return Reply(attempt.peer, granted)

    def _refusal(self, request: Reserve, now_seconds: float) -> Refused | None:
        reason = self._blocked(now_seconds)
        if reason:
            return Refused(request.attempt_id, reason, BLOCKED_RETRY_SECONDS)
        if request.release and request.release != self._release_of():
            return Refused(request.attempt_id, 'other-release', BLOCKED_RETRY_SECONDS)
        queued = self.queue.queued_of(request.customer)
        wait_seconds = self._predicted_wait_seconds(queued)
        if queued >= CUSTOMER_QUEUE_PER_SLOT * self._window.limit:
            return Refused(request.attempt_id, 'customer-queue-full', wait_seconds)
        if len(self.queue) >= MAX_QUEUED:
            return Refused(request.attempt_id, 'queue-full', wait_seconds)
        if wait_seconds > request.wait_seconds:
            return Refused(request.attempt_id, 'cannot-start-in-time', wait_seconds)
        return None

    @property
    def wait_seconds(self) -> float:
        """Returns the predicted wait of a new request."""
        return self._predicted_wait_seconds(len(self.queue))

    def _predicted_wait_seconds(self, queued: int) -> float:
        if self.slots.held < self._window.limit:
            return 0
        customers = max(1, self.queue.waiting_customers())
        return (queued + 1) * customers * self.completion_interval.mean_seconds

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
        retry_seconds = max(BLOCKED_RETRY_SECONDS, self._predicted_wait_seconds(queued))
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
        self._used_ids.add(work.attempt_id)
        if attempt is not None:
            self._drop(attempt)
        return [Reply(peer, WorkRefused(work.attempt_id, problem))]
