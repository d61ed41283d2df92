"""The fair queue shares by weight, puts live work first and gives no credit for idle time."""

import random

from jackdawsail.routing.agent_scheduler import AgentScheduler
from jackdawsail.routing.fairness import FairQueue, WaitingRequest
from jackdawsail.routing.limits import Allowance, CustomerLimits
from jackdawsail.routing.retries import BUDGET_MAX, RetryBudget
from jackdawsail.routing.window import StartupWindow, WindowSettings
from jackdawsail.wire.work_messages import Priority, Reserve, Work

LIVE = Priority.live


def serve(queue, rounds, refill, slots=4):
    """Keeps ``slots`` requests running while each customer always has some waiting."""
    served, running, number = {}, [], 0
    for _ in range(rounds):
        for customer, tokens in refill.items():
            while queue.queued_of(customer) < 5:
                number += 1
                queue.push(WaitingRequest(f'{customer}{number}', customer, tokens, live=True))
        while len(running) < slots:
            running.append(queue.pop())
        done = running.pop(0)
        queue.settle(done, done.tokens)
        served[done.customer] = served.get(done.customer, 0) + done.tokens
    return served


def test_backlogged_customers_share_tokens_by_weight_whatever_the_size_of_requests():
    weights = {'one': 1.0, 'two': 2.0, 'four': 4.0}
    queue = FairQueue(weights.__getitem__)
    served = serve(queue, 7000, {'one': 10, 'two': 300, 'four': 40})
    shares = [served[name] / weight for name, weight in weights.items()]
    assert max(shares) / min(shares) < 1.02


def test_small_customer_is_next_despite_a_long_queue_of_another():
    queue = FairQueue(lambda customer: 1.0)
    for number in range(1000):
        queue.push(WaitingRequest(f'flood{number}', 'flood', 50, live=True))
    for _ in range(10):
        queue.pop()
    queue.push(WaitingRequest('small', 'small', 50, live=True))
    assert queue.pop().customer == 'small'


def test_idle_time_gives_no_credit():
    queue = FairQueue(lambda customer: 1.0)
    queue.push(WaitingRequest('early', 'idle', 1, live=True))
    queue.settle(queue.pop(), 1)
    serve(queue, 500, {'busy': 100})
    for number in range(20):
        queue.push(WaitingRequest(f'idle{number}', 'idle', 100, live=True))
        queue.push(WaitingRequest(f'busy{number}', 'busy', 100, live=True))
    first = [queue.pop().customer for _ in range(10)]
    assert 4 <= first.count('idle') <= 6


def test_live_work_precedes_batch_work_of_any_customer():
    queue = FairQueue(lambda customer: 1.0)
    queue.push(WaitingRequest('b', 'small', 1, live=False))
    queue.push(WaitingRequest('l', 'large', 1000, live=True))
    assert [queue.pop().attempt_id, queue.pop().attempt_id] == ['l', 'b']


def test_limits_refuse_at_once_with_a_retry_time():
    limits, allowance = CustomerLimits(), Allowance(10.0, 3)
    assert all(limits.admit('c', allowance, 0.0).admitted for _ in range(3))
    assert limits.admit('c', allowance, 0.0).reason == 'too-many-concurrent'
    for _ in range(3):
        limits.release('c')
    verdicts = []
    for _ in range(10):
        verdicts.append(limits.admit('c', allowance, 0.0))
        limits.release('c') if verdicts[-1].admitted else None
    assert [verdict.admitted for verdict in verdicts] == [True] * 7 + [False] * 3
    late = verdicts[-1]
    assert late.reason == 'rate-exceeded'
    assert limits.admit('c', allowance, late.retry_after_seconds + 0.001).admitted


def test_retries_stay_within_a_share_of_first_attempts():
    budget = RetryBudget(random.Random(1))
    while budget.take_retry():
        pass
    for _ in range(1000):
        budget.record_first_try()
    assert sum(budget.take_retry() for _ in range(1000)) <= BUDGET_MAX
    assert max(budget.backoff_seconds(20) for _ in range(100)) <= 1.0


def test_small_customer_gets_the_next_slot_before_work_granted_earlier():
    window = StartupWindow(WindowSettings(4, 4))
    scheduler = AgentScheduler(1, window, lambda customer: 1.0, lambda now: '', lambda: 'r1', 2)
    grants = []

    def reserve(number, customer):
        request = Reserve(f'{customer}.{number}', 'q', customer, 'b', '', 10, LIVE, 60.0, '')
        return [effect.message for effect in scheduler.reserve('e', request, 0.0)]

    for number in range(20):
        grants += reserve(number, 'flood')
    assert len(grants) == 4 + 2
    grants += reserve(0, 'small')
    assert len(grants) == 4 + 2 + 1
    for grant in grants:
        work = Work(grant.attempt_id, grant.grant_number, 1, 'POST', '/', '', b'', 0)
        scheduler.accept_work('e', work, 0.0)
    assert scheduler.slots.running == 4
    started = [effect.work.attempt_id for effect in scheduler.work_ended('flood.0', 10, 0.1)[:1]]
    assert started == ['small.0']
