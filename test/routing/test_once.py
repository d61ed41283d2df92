"""Request dispatch, agent schedulers and claims under loss, delay, duplication and crashes.

For any order of messages: a request that may not be repeated never runs twice, ``not-run``
is never reported for one that ran, and a complete answer belongs to its own request.
"""

import hashlib
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jackdawsail.routing.agent_scheduler import AgentScheduler, Reply, StartWork
from jackdawsail.routing.answers import AnswerBuilder
from jackdawsail.routing.dispatch_effects import (
    BeginAnswer,
    FinishRequest,
    ForwardPart,
    NeedCandidates,
    RequestSpec,
    SendTo,
)
from jackdawsail.routing.request_dispatch import RequestDispatch, deliver
from jackdawsail.routing.window import StartupWindow, WindowSettings
from jackdawsail.state.ledger import Ledger
from jackdawsail.wire.claim_messages import ClaimRequest, ClaimVerdict, SettleRequest, StoredAnswer
from jackdawsail.wire.work_messages import (
    AnswerFailed,
    AnswerHead,
    CancelReserve,
    CancelWork,
    Granted,
    Outcome,
    Priority,
    Reserve,
    Work,
)

AGENTS = ('a1', 'a2', 'a3')


def answer_of(request_id):
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return [digest[:5].encode(), digest[5:9].encode(), digest[9:].encode()]


class Agent:
    """One agent with a fake upstream that records what it runs."""

    def __init__(self, name, incarnation, runs):
        self.name, self.runs, self.incarnation = name, runs, incarnation
        self.blocked = ''
        window = StartupWindow(WindowSettings(2, 2))
        self.scheduler = AgentScheduler(
            incarnation, window, lambda customer: 1.0, lambda now: self.blocked, lambda: 'r1', 2
        )
        self.jobs = {}


class Once(RuleBasedStateMachine):
    """Three agents, any number of requests, and a network that reorders messages."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.runs, self.dispatches, self.ends, self.bodies, self.bookings = [], {}, {}, {}, {}
        self.wire, self.ledger, self.count, self.placed = [], Ledger(), 0, {}
        self.agents = {name: Agent(name, 1, self.runs) for name in AGENTS}
        self.rng = random.Random(1)

    # -- requests -----------------------------------------------------------

    @rule(key=st.integers(0, 3), entry=st.sampled_from(['e1', 'e2']))
    def book(self, key, entry):
        self.count += 1
        request_id = f'q{self.count}'
        claim = ClaimRequest(request_id, 'label', f'k{key}', 'body', entry, 1)
        reply = self.ledger.claim(claim)
        if reply.verdict is ClaimVerdict.settled:
            assert reply.answer.body == b''.join(answer_of(f'k{key}'))
        if reply.verdict is ClaimVerdict.granted:
            self.bookings[request_id] = (claim, reply.claim_number)
            self.start(request_id, f'k{key}', False, reply.claim_number)

    @rule(resumable=st.booleans())
    def call(self, resumable):
        self.count += 1
        self.start(f'q{self.count}', f'q{self.count}', resumable, 0)

    def start(self, request_id, subject, resumable, claim):
        spec = RequestSpec(
            request_id, 'label', 'b', 10, Priority.live, self.now + 30, 'POST', '/x', '',
            subject.encode(), False, resumable, claim,
        )  # fmt: skip
        self.dispatches[request_id] = RequestDispatch(spec)
        self.bodies[request_id] = []
        self.perform(request_id, self.dispatches[request_id].start())

    def perform(self, request_id, effects):
        dispatch = self.dispatches[request_id]
        for effect in effects:
            if isinstance(effect, SendTo):
                self.wire.append((effect.candidate, effect.message))
                self.placed[effect.message.attempt_id] = effect.candidate
            elif isinstance(effect, NeedCandidates):
                names = [name for name in AGENTS if name not in effect.avoid]
                self.perform(request_id, dispatch.offer_candidates(names, self.now))
            elif isinstance(effect, ForwardPart):
                self.bodies[request_id].append(effect.body)
            elif isinstance(effect, FinishRequest):
                assert request_id not in self.ends
                self.ends[request_id] = effect
                self.settle(request_id, effect)
            else:
                assert isinstance(effect, BeginAnswer)

    def settle(self, request_id, finish):
        dispatch = self.dispatches[request_id]
        body = b''.join(self.bodies[request_id])
        if finish.outcome is Outcome.done:
            assert body == b''.join(answer_of(dispatch.spec.body.decode()))
        if request_id in self.bookings:
            claim, number = self.bookings[request_id]
            answer = StoredAnswer(200, '', body) if finish.outcome is Outcome.done else None
            self.ledger.settle(
                SettleRequest(request_id, 'label', claim.key, number, str(finish.outcome), answer)
            )

    # -- network ------------------------------------------------------------

    @rule(seed=st.integers(0, 10_000), count=st.integers(1, 20), dice=st.sampled_from([0, 0, 4]))
    def move(self, seed, count, dice):
        """Delivers messages in any order, some of them twice."""
        rng = random.Random(seed)
        for _ in range(count):
            if not self.wire:
                return
            # Mostly in order, so that requests make progress; sometimes a random message first.
            index = rng.randrange(len(self.wire)) if rng.random() < 0.3 else 0
            target, message = self.wire.pop(index)
            if dice and rng.randrange(dice) == 0:
                self.wire.append((target, message))
            self.arrive(target, message)

    def arrive(self, target, message):
        if target in self.agents:
            self.at_agent(self.agents[target], message)
            return
        request_id = message.attempt_id.rpartition('.')[0]
        dispatch = self.dispatches[request_id]
        self.perform(request_id, deliver(message, dispatch, self.now))

    def at_agent(self, agent, message):
        scheduler = agent.scheduler
        if isinstance(message, Reserve):
            effects = scheduler.reserve('entry', message, self.now)
        elif isinstance(message, CancelReserve):
            effects = scheduler.cancel(message.attempt_id, self.now)
        elif isinstance(message, Work):
            effects = scheduler.accept_work('entry', message, self.now)
        else:
            assert isinstance(message, CancelWork)
            effects = scheduler.cancel_work(message.attempt_id, self.now)
        self.agent_effects(agent, effects)

    def agent_effects(self, agent, effects):
        for effect in effects:
            if isinstance(effect, Reply):
                self.wire.append(('entry', effect.message))
            elif isinstance(effect, StartWork):
                self.runs.append((effect.reserve.request_id, effect.work.body.decode()))
                agent.jobs[effect.work.attempt_id] = effect.work
            else:
                agent.jobs.pop(effect.attempt_id)
                self.agent_effects(
                    agent, agent.scheduler.work_ended(effect.attempt_id, 1, self.now)
                )

    # -- upstreams and faults ---------------------------------------------------

    @rule(name=st.sampled_from(AGENTS), ending=st.sampled_from(['whole', 'cut', 'refused']))
    def upstream_ends(self, name, ending):
        agent = self.agents[name]
        if not agent.jobs:
            return
        attempt_id, work = agent.jobs.popitem()
        builder = AnswerBuilder(attempt_id)
        messages = [AnswerHead(attempt_id, 200, '', 'r1')]
        if ending == 'refused':
            self.runs.remove((attempt_id.rpartition('.')[0], work.body.decode()))
            messages = [AnswerFailed(attempt_id, Outcome.not_run, 'engine-refused-503')]
        else:
            parts = answer_of(work.body.decode())[work.resume_from :]
            messages += [builder.part(body, 1) for body in parts[: 1 if ending == 'cut' else None]]
            cut = AnswerFailed(attempt_id, Outcome.unknown, 'stream-cut-off')
            messages.append(cut if ending == 'cut' else builder.end())
        self.wire += [('entry', message) for message in messages]
        self.agent_effects(agent, agent.scheduler.work_ended(attempt_id, 1, self.now))

    @rule(name=st.sampled_from(AGENTS))
    def agent_dies(self, name):
        dead = self.agents[name]
        self.agents[name] = Agent(name, dead.incarnation + 1, self.runs)
        self.wire = [
            held for held in self.wire if held[0] != name and not self.sent_by(name, held)
        ]
        for request_id, dispatch in self.dispatches.items():
            self.perform(request_id, dispatch.candidate_lost(name, self.now))

    def sent_by(self, name, held):
        attempt_id = held[1].attempt_id
        return held[0] == 'entry' and self.placed[attempt_id] == name

    @rule(name=st.sampled_from(AGENTS), reason=st.sampled_from(['', '', 'no-lease']))
    def set_blocked(self, name, reason):
        self.agents[name].blocked = reason

    @rule(pick=st.integers(0, 100))
    def caller_leaves(self, pick):
        if self.dispatches:
            request_id = sorted(self.dispatches)[pick % len(self.dispatches)]
            self.perform(request_id, self.dispatches[request_id].abandon('caller-left'))

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 40.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for agent in self.agents.values():
            self.agent_effects(agent, agent.scheduler.tick(self.now))
        for request_id, dispatch in self.dispatches.items():
            self.perform(request_id, dispatch.tick(self.now))

    # -- invariants -------------------------------------------------------------

    @invariant()
    def no_request_runs_twice(self):
        single_runs = [run for run in self.runs if not self.dispatches[run[0]].spec.resumable]
        subjects = [subject for _, subject in single_runs]
        assert len(subjects) == len(set(subjects))

    @invariant()
    def not_run_is_never_reported_for_a_request_that_ran(self):
        ran = {request_id for request_id, _ in self.runs}
        for request_id, finish in self.ends.items():
            assert finish.outcome is not Outcome.not_run or request_id not in ran

    @invariant()
    def agents_respect_their_limit(self):
        for agent in self.agents.values():
            assert agent.scheduler.slots.held <= 4
            assert agent.scheduler.slots.running <= 2
            assert agent.scheduler.slots.running == len(agent.jobs)


TestOnce = Once.TestCase
TestOnce.settings = settings(
    max_examples=120, stateful_step_count=50, derandomize=True, deadline=None
)


def test_duplicate_work_is_not_refused():
    agent = Agent('a1', 1, [])
    granted = agent.scheduler.reserve('e', reserve('q.1'), 0.0)[0].message
    assert isinstance(granted, Granted)
    work = Work('q.1', granted.grant_number, 1, 'POST', '/', '', b'', 0)
    assert [type(effect) for effect in agent.scheduler.accept_work('e', work, 0.0)] == [StartWork]
    assert agent.scheduler.accept_work('e', work, 0.0) == []
    agent.scheduler.work_ended('q.1', 1, 0.1)
    assert agent.scheduler.accept_work('e', work, 0.2) == []


def reserve(attempt_id, customer='label', wait_seconds=10.0):
    return Reserve(attempt_id, 'q', customer, 'b', '', 10, Priority.live, wait_seconds, '')
