"""Runs a request through parse, authenticate, validate, admit, claim, dispatch and settle."""

from dataclasses import dataclass
from typing import Any

from returns.result import Result, Success

from jackdawsail.entry.call import Call, Problem, WholeAnswer
from jackdawsail.entry.http_answers import HttpAnswer
from jackdawsail.entry.metrics import REFUSED
from jackdawsail.entry.stages.admit import Admission
from jackdawsail.entry.stages.authenticate import Authenticator
from jackdawsail.entry.stages.claim import Claimer, ClaimOutcome
from jackdawsail.entry.stages.dispatch import Dispatcher
from jackdawsail.entry.stages.parse import RawRequest, parse_request
from jackdawsail.entry.stages.relay import StreamRelay, WholeRelay
from jackdawsail.entry.stages.settle import Settler
from jackdawsail.entry.stages.validate import Validator
from jackdawsail.routing.dispatch_effects import RequestSpec
from jackdawsail.wire.work_messages import Outcome

DEADLINE_GRACE_SECONDS = 0.1
DEADLINE_PROBLEM = Problem(
    504, 'deadline', Outcome.unknown, 'the call goes on; ask for it by its key', 1
)


@dataclass(frozen=True, slots=True)
class Stages:
    """The stages that hold state, one object each."""

    reactor: Any
    authenticate: Authenticator
    validate: Validator
    admission: Admission
    claimer: Claimer
    dispatcher: Dispatcher
    settler: Settler


class Pipeline:
    """Runs each request through the stages, up to the answer to the caller."""

    def __init__(self, stages: Stages) -> None:
        self._stages = stages

    def run(self, raw: RawRequest, http: HttpAnswer) -> None:
        """Starts a request; the answer or a problem is written to ``http``, now or later."""
        checked = self._parse_and_admit(raw)
        if not isinstance(checked, Success):
            problem = checked.failure()
            REFUSED.labels(problem.code).inc()
            http.send_problem(problem)
            return
        call = checked.unwrap()
        claimed: Any = self._stages.claimer.claim(call)
        claimed.addCallback(self._on_claimed, call, http)

    def caller_left(self, request_id: str) -> None:
        """Cancels the request of a caller that disconnected; a claimed call runs to its end."""
        self._stages.dispatcher.cancel(request_id, 'caller-left', spare_claimed=True)

    def _parse_and_admit(self, raw: RawRequest) -> Result[Call, Problem]:
        stages = self._stages
        now_seconds = stages.reactor.seconds()
        parsed = parse_request(raw, now_seconds)
        checked = parsed.bind(stages.authenticate).bind(stages.validate)
        return checked.bind(lambda call: stages.admission.admit(call, now_seconds))

    def _on_claimed(self, outcome: ClaimOutcome, call: Call, http: HttpAnswer) -> None:
        if not isinstance(outcome, Success):
            self._stages.admission.release(call)
            http.send_problem(outcome.failure())
            return
        claim_result = outcome.unwrap()
        if isinstance(claim_result, WholeAnswer):
            self._stages.admission.release(call)
            http.send_whole(claim_result)
            return
        self._dispatch(claim_result, http)

    def _dispatch(self, call: Call, http: HttpAnswer) -> None:
        settle = self._stages.settler.settle
        dispatcher = self._stages.dispatcher
        if http.is_closed:
            settle(call, Outcome.not_run, None)
            return
        if call.stream and not call.key:
            relay: Any = StreamRelay(call, http, settle, dispatcher.cancel)
        else:
            relay = WholeRelay(call, http, settle)
            self._schedule_deadline_answer(call, http)
        dispatcher.submit(make_request_spec(call), relay)

    def _schedule_deadline_answer(self, call: Call, http: HttpAnswer) -> None:
        """Answers the caller at its deadline even if the claimed call is still running."""
        if not call.claim_number:
            return
        reactor = self._stages.reactor
        wait_seconds = call.deadline_seconds - reactor.seconds() + DEADLINE_GRACE_SECONDS
        timeout = reactor.callLater(max(0, wait_seconds), http.send_problem, DEADLINE_PROBLEM)
        http.cancel_when_ended(timeout)


def make_request_spec(call: Call) -> RequestSpec:
    """Returns the fields of a call that routing needs."""
    return RequestSpec(
        request_id=call.request_id,
        customer=call.customer,
        backend=call.backend,
        tokens_estimate=call.tokens_estimate,
        priority=call.priority,
        deadline_seconds=call.deadline_seconds,
        method=call.method,
        path=call.path,
        content_type=call.content_type,
        body=call.body,
        repeatable=call.repeatable,
        resumable=call.repeatable and call.kind == 'generate',
        claim_number=call.claim_number,
        prefix_marks=call.prefix_marks,
        release=call.release,
        resume_from=call.resume_from,
        idempotency_key=call.key,
    )
