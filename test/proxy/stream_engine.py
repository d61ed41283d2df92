"""An engine that sends a stream to an entry, or fails, as a test tells it."""

import re

from test.http1.ends import close, reset
from test.proxy.world import sent_on

EVENTS = 5  # of a whole answer
MAX_EVENT_BYTES = 1_048_576
READ_BYTES = 65_536
ENGINE_ACTIONS = {
    'event': 45,
    'part': 14,
    'comment': 4,
    'head': 6,
    'end': 25,
    'reset': 5,
    'close': 4,
    'refuse': 6,
    'refuse_without_end': 2,
    'fail': 4,
    'fail_without_end': 2,
    'fail_at_length': 0.7,
    'garbage': 3,
    'oversize': 0.7,
}
WITH_OWN_HEAD = {'refuse', 'refuse_without_end', 'fail', 'fail_without_end', 'fail_at_length'}


class Engine:
    """One engine that got the request; what it sends waits while its channel is not read."""

    def __init__(self, channel, version, unframed):
        request = sent_on(channel)
        last = re.search(rb'Last-Event-Id: (\d+)', request)
        self.channel = channel
        self.name = channel.peer
        self.version = version
        self.unframed = unframed
        self.next_event = 1 + int(last.group(1)) if last else 1
        self.rest = b''
        self.has_head = False
        self.begun_events = 0
        self.sent_events = 0
        self.acts = True
        self.failed = False
        self.not_run = False
        self.ended = False
        self.went_on_and_failed = False
        self._waiting = []

    @property
    def is_live(self):
        """Returns whether the engine has the stream and is not known to have failed."""
        transport = self.channel.transport
        return not (self.failed or self.ended or transport.aborted or self.channel.is_closed)

    @property
    def is_paused(self):
        return self.channel.transport.producerState == 'paused'

    def flush(self):
        events_before = self.sent_events
        while self._waiting and not self.is_paused:
            deliver, changes = self._waiting.pop(0)
            if not self.channel.transport.aborted and not self.channel.is_closed:
                for name, state in changes.items():
                    setattr(self, name, state)
                deliver()
        has_gone_on = self.sent_events > events_before
        self.went_on_and_failed = self.went_on_and_failed or (has_gone_on and self.failed)

    def act(self, action):
        """Does one action, if it is possible now; returns whether it was."""
        if action in WITH_OWN_HEAD and self.has_head:
            return False
        if action == 'garbage' and self.has_head and self.unframed:
            return False
        if action == 'end' and (self.rest or self.next_event <= EVENTS):
            return False
        if action in {'event', 'part', 'comment'} and self.next_event > EVENTS:
            return False
        getattr(self, f'_{action}')()
        self.flush()
        return True

    @property
    def closes_as_whole(self):
        """Returns whether a close now cannot be told from the end of a whole answer."""
        return self.unframed and self.has_head and self.begun_events > 0 and not self.rest

    def _send(self, sent, **changes):
        self._waiting.append((lambda: self.channel.dataReceived(sent), changes))

    def _lose(self, lose, **changes):
        self.acts = False
        self._waiting.append((lambda: lose(self.channel), changes))

    def _body(self, body, **changes):
        self._head()
        sent = body if self.unframed else b'%x\r\n%s\r\n' % (len(body), body)
        self._send(sent, **changes)

    def _head(self):
        if not self.has_head:
            self.has_head = True
            framing = b'' if self.unframed else b'Transfer-Encoding: chunked\r\n'
            head = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nWeight-Versions: %d\r\n%s\r\n'
            self._send(head % (self.version, framing))

    def _event(self):
        number = self.next_event
        rest = self.rest or b'id: %d\ndata: x%d v%d\n\n' % (number, number, self.version)
        self.rest = b''
        self.next_event += 1
        self.begun_events += 1
        self._body(rest, sent_events=self.begun_events)

    def _part(self):
        number = self.next_event
        rest = self.rest or b'id: %d\ndata: x%d v%d\n\n' % (number, number, self.version)
        if len(rest) > 4:
            self.rest = rest[3:]
            self._body(rest[:3])

    def _comment(self):
        if not self.rest:
            self._body(b': waits\n\n')

    def _end(self):
        self._head()
        if self.unframed:
            self._lose(close, ended=True)
        else:
            self.acts = False
            self._send(b'0\r\n\r\n', ended=True)

    def _reset(self):
        self._lose(reset, failed=True)

    def _close(self):
        self._lose(close, failed=True)

    def _answer(self, status, headers, body, length):
        self.acts = False
        head = b'HTTP/1.1 %d X\r\nAttempt-Id: a1\r\n%sContent-Length: %d\r\n\r\n'
        not_run = b'Not-Executed' in headers
        self._send(head % (status, headers, length) + body, failed=True, not_run=not_run)

    def _refuse(self):
        self._answer(503, b'Not-Executed: 1\r\n', b'full', 4)

    def _refuse_without_end(self):
        self._answer(503, b'Not-Executed: 1\r\n', b'full', 9)

    def _fail(self):
        self._answer(500, b'', b'oops', 4)

    def _fail_without_end(self):
        self._answer(500, b'', b'oops', 9)

    def _fail_at_length(self):
        self._answer(500, b'', b'x' * 270_000, 300_000)

    def _garbage(self):
        self.acts = False
        self._send(b'\x00\x01 garbage\r\n\r\n' * 2, failed=True)

    def _oversize(self):
        self.acts = False
        piece = b'x' * READ_BYTES
        for _ in range(MAX_EVENT_BYTES // READ_BYTES + 2):
            self._body(piece, failed=True)
