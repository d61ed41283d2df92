"""A stream is complete only with the engine's last event; truncated and inconsistent ones fail."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success
from twisted.internet.task import Clock

from jackdawsail.agent.sse import SseParser
from jackdawsail.agent.upstream import STALL_SECONDS, AnswerBody, EngineBody, UpstreamRun
from jackdawsail.entry.call import Call, CallKind
from jackdawsail.entry.http_answers import HttpAnswer
from jackdawsail.entry.stages.relay import MAX_UNREAD_BYTES, StreamRelay
from jackdawsail.routing.dispatch_effects import BeginAnswer, FinishRequest, ForwardPart
from jackdawsail.wire.work_messages import AnswerHead, Outcome


class Sink:
    def __init__(self):
        self.calls = []

    def answer_head(self, status, content_type):
        self.calls.append(('head', status))

    def answer_part(self, body, tokens):
        self.calls.append(('part', body, tokens))

    def answer_complete(self):
        self.calls.append(('whole',))

    def answer_failed(self, outcome, reason):
        self.calls.append(('failed', str(outcome), reason))


def event(**fields):
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'


def make_body(body, status=200, resume_from=0):
    clock, sink = Clock(), Sink()
    run = UpstreamRun(clock, sink, body)
    if resume_from:
        body.resume_from(resume_from)
    body.begin(run, status, 'text/event-stream')
    return clock, sink, body


def feed(received, status=200, resume_from=0):
    _clock, sink, body = make_body(EngineBody('r1'), status, resume_from)
    body.receive(received)
    body.complete()
    return sink.calls[-1]


TWO_TOKENS = event(text='a ', position=1) + event(text='b ', position=2)


@pytest.mark.parametrize(
    ('received', 'last'),
    [
        (TWO_TOKENS + event(done=True, tokens=2, release='r1'), ('whole',)),
        (TWO_TOKENS, ('failed', 'unknown', 'stream-cut-off')),
        (
            TWO_TOKENS + event(done=True, tokens=2, release='r2'),
            ('failed', 'unknown', 'other-release'),
        ),
        (
            TWO_TOKENS + event(done=True, tokens=3, release='r1'),
            ('failed', 'unknown', 'tokens-missing'),
        ),
        (TWO_TOKENS + event(text='b ', position=2), ('failed', 'unknown', 'position-goes-back')),
        (b'data: {"text": 3}\n\n', ('failed', 'unknown', 'event is malformed')),
    ],
)
def test_stream_is_complete_only_with_a_matching_done_event(received, last):
    assert feed(received) == last


def test_refusal_status_is_not_run_and_a_resumed_stream_continues_its_token_count():
    assert feed(b'', status=503) == ('failed', 'not-run', 'engine-refused-503')
    assert feed(b'', status=409) == ('failed', 'not-run', 'engine-refused-409')
    rest = event(text='c ', position=6) + event(done=True, tokens=6, release='r1')
    assert feed(rest, resume_from=5) == ('whole',)


def test_stalled_and_truncated_answers_have_an_unknown_outcome():
    clock, sink, body = make_body(AnswerBody())
    body.receive(b'half')
    body.cut_off()
    assert sink.calls[-1] == ('failed', 'unknown', 'answer-cut-off')
    clock, sink, body = make_body(EngineBody('r1'))
    clock.advance(STALL_SECONDS)
    assert sink.calls[-1] == ('failed', 'unknown', 'upstream-stalled')


@settings(max_examples=200, derandomize=True)
@given(st.lists(st.integers(1, 40), max_size=20))
def test_events_do_not_depend_on_how_the_bytes_are_split(cuts):
    whole = TWO_TOKENS + event(done=True, tokens=2, release='r1')
    parser, events, rest = SseParser(), [], whole
    for cut in [*cuts, len(whole)]:
        piece, rest = rest[:cut], rest[cut:]
        events += parser.feed(piece).unwrap()
    assert events == SseParser().feed(whole).unwrap()


@settings(max_examples=300, derandomize=True)
@given(st.lists(st.binary(max_size=60), max_size=5))
def test_sse_parser_never_raises(chunks):
    parser = SseParser()
    for chunk in chunks:
        if not isinstance(parser.feed(b'data:' + chunk + b'\n\n'), Success):
            return


class Request:
    """A caller's request that records what is written and can stop reading."""

    def __init__(self):
        self.written, self.finished, self.dropped, self.headers = b'', False, False, {}
        self.producer = None

    def notifyFinish(self):
        from twisted.internet.defer import Deferred

        return Deferred()

    def setResponseCode(self, status):
        self.status = status

    def setHeader(self, name, text):
        self.headers[name] = text

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def write(self, body):
        self.written += body

    def finish(self):
        self.finished = True

    def loseConnection(self):
        self.dropped = True


def make_relay():
    request, cancelled, ended = Request(), [], []
    call = Call('q1', CallKind.generate, 'b', 'POST', '/', '', b'', customer='c')
    http = HttpAnswer(request, 'q1', lambda: None)
    relay = StreamRelay(
        call,
        http,
        lambda call, outcome, answer: ended.append(outcome),
        lambda request_id, reason: cancelled.append(reason),
    )
    relay.begin(BeginAnswer(AnswerHead('q1.1', 200, 'text/event-stream', 'r1')))
    return request, relay, cancelled, ended


def test_broken_stream_ends_with_an_error_event_and_a_dropped_connection():
    request, relay, _cancelled, ended = make_relay()
    relay.send_part(ForwardPart(b'a ', 1))
    relay.finish(FinishRequest(Outcome.unknown, 'agent-lost'))
    assert b'event: error' in request.written
    assert b'"done"' not in request.written
    assert request.dropped
    assert not request.finished
    assert ended == [Outcome.unknown]


def test_slow_reader_is_cancelled_when_its_buffer_is_full():
    request, relay, cancelled, _ended = make_relay()
    request.producer.pauseProducing()
    written = len(request.written)
    for _ in range(1 + MAX_UNREAD_BYTES // 1000):
        relay.send_part(ForwardPart(b'x' * 1000, 1))
    assert len(request.written) == written
    assert cancelled[0] == 'reader-too-slow'
