"""What callers get for random framings, endings and cuts of upstreams' answers, from seeds.

More seeds by hand: ``python -m test.proxy.test_random_answers FIRST COUNT``.
"""

import random
import sys
from dataclasses import dataclass, replace

import h11
import pytest

from test.http1.ends import close, reset
from test.proxy.world import MODEL_SERVICE, ONCE, PLAIN, STREAM, STREAM_HEADERS, World, plain_event

SEEDS = 600
SEEDS_PER_TEST = 50
ROUTES = [
    PLAIN,
    ONCE,
    STREAM,
    replace(STREAM, name='run-once', path_prefix='/o/', resumable=False),
]
PATHS = {'/p/x': 'GET', '/once/x': 'POST', '/stream/x': 'POST', '/o/x': 'POST'}
STREAMS = {'/stream/x', '/o/x'}
REPEATABLE = {'/p/x', '/stream/x'}


@dataclass
class Played:
    """One answer of an upstream and how it was broken off."""

    framing: str
    ending: str
    body: bytes
    sent_body: bytes
    is_whole: bool


def encode(framing, body):
    if framing == 'length':
        return b'Content-Length: %d\r\n\r\n' % len(body), [body]
    if framing == 'chunks':
        middle = len(body) // 2
        pieces = [piece for piece in (body[:middle], body[middle:]) if piece]
        chunks = [b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces]
        return b'Transfer-Encoding: chunked\r\n\r\n', [*chunks, b'0\r\n\r\n']
    return b'\r\n', [body]


def body_within(framing, encoded_parts, cut):
    """Returns the bytes of the body among the first ``cut`` bytes of its encoding."""
    if framing != 'chunks':
        return encoded_parts[0][:cut]
    received = b''
    for part in encoded_parts[:-1]:
        size_line, content = part.split(b'\r\n', 1)
        start = len(size_line) + 2
        received += content[:-2][: max(0, cut - start)]
        cut -= len(part)
        if cut <= 0:
            break
    return received


def play_answer(rng, world, channel, body):
    """Sends an answer, whole or cut at a random position, and ends its connection."""
    framing = rng.choice(['length', 'chunks', 'neither'])
    ending = rng.choice(['clean', 'reset', 'silence'])
    framing_head, parts = encode(framing, body)
    encoded = b''.join(parts)
    cut = len(encoded) if rng.random() < 0.4 else rng.randrange(len(encoded) + 1)
    head = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nWeight-Versions: 1\r\n' + framing_head
    rest = head + encoded[:cut]
    while rest and not channel.transport.aborted:
        size = rng.choice([1, 7, 64, len(rest)])
        channel.dataReceived(rest[:size])
        rest = rest[size:]
    framed_whole = framing != 'neither' and cut == len(encoded)
    # An empty body that ends with its connection shows nothing of its end.
    shows_end = framing == 'neither' and ending == 'clean' and bool(body)
    if not framed_whole and not channel.transport.aborted:
        {'clean': close, 'reset': reset, 'silence': lambda _channel: None}[ending](channel)
    sent_body = body_within(framing, parts, cut)
    is_whole = framed_whole or (shows_end and sent_body == body)
    return Played(framing, ending, body, sent_body, is_whole)


def received_by(caller, method, is_old):
    """Returns status, body and whether the caller takes the answer for complete."""
    core = h11.Connection(h11.CLIENT)
    core.send(h11.Request(method=method, target='/', headers=[('Host', 'a')]))
    core.send(h11.EndOfMessage())
    core.receive_data(caller.value())
    if caller.closed and not caller.aborted:
        core.receive_data(b'')
    status, body = 0, b''
    while True:
        try:
            event = core.next_event()
        except h11.RemoteProtocolError:
            return status, body, False
        if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
            return status, body, False
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body, not (is_old and caller.aborted)


def looks_whole(played, is_stream):
    """Returns whether the protocol cannot tell a cut answer from a whole one."""
    if played.framing != 'neither' or played.ending != 'clean':
        return False
    return not is_stream or played.sent_body.endswith(b'\n\n')


def play(seed):
    """Plays one call; raises AssertionError if its caller is misled or loses a whole answer."""
    rng = random.Random(seed)
    path = rng.choice(list(PATHS))
    is_stream = path in STREAMS
    world = World(2, MODEL_SERVICE if is_stream else None, routes=ROUTES)
    is_old = rng.random() < 0.2
    caller = call(world, path, is_old)
    answers = []
    for _ in range(8):
        while world.reactor.pending_connects:
            answers.append(play_next(rng, world, is_stream, answers))
        world.reactor.advance(1.0)
    status, body, is_complete = received_by(caller, PATHS[path], is_old)
    assert answers, 'no upstream was asked'
    assert len(answers) == 1 or path in REPEATABLE
    assert world.context.running == 0
    assert is_complete or caller.aborted, 'the caller was left without an end'
    if is_complete and status == 200:
        check_complete(answers, body, is_stream)
    else:
        assert not answers[-1].is_whole, 'a whole answer was lost'
        assert status in {0, 200, 502, 504}, 'an answer that may have run was refused'


def call(world, path, is_old):
    headers = STREAM_HEADERS if path in STREAMS else 'Request-Deadline: 2000\r\n'
    return world.call(
        path, headers=headers, method=PATHS[path], version='1.0' if is_old else '1.1'
    )


def play_next(rng, world, is_stream, answers):
    channel = world.accept()
    if not is_stream:
        return play_answer(
            rng, world, channel, b'<%d:%s>' % (len(answers), b'y' * rng.randrange(40))
        )
    request = channel.transport.value()
    first = 1
    if b'Last-Event-Id: ' in request:
        first = 1 + int(request.split(b'Last-Event-Id: ')[1].split(b'\r\n')[0])
    events = b''.join(plain_event(number) for number in range(first, 5))
    return play_answer(rng, world, channel, events)


def check_complete(answers, body, is_stream):
    last = answers[-1]
    assert last.is_whole or looks_whole(last, is_stream), 'a broken answer looks complete'
    if not is_stream:
        assert body == last.sent_body
        return
    numbers = [int(line[4:]) for line in body.split(b'\n') if line.startswith(b'id: ')]
    assert numbers == list(range(1, len(numbers) + 1)), 'events are missing or come twice'
    assert body == b''.join(plain_event(number) for number in numbers)
    assert numbers, 'a stream without an event looks complete'
    assert not last.is_whole or numbers[-1] == 4


@pytest.mark.parametrize('first', range(0, SEEDS, SEEDS_PER_TEST))
def test_no_caller_is_misled_by_a_broken_answer_or_loses_a_whole_one(first):
    for seed in range(first, first + SEEDS_PER_TEST):
        try:
            play(seed)
        except AssertionError as error:
            raise AssertionError(f'seed {seed}: {error}') from error


def main():
    first, count = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, first + count):
        try:
            play(seed)
        except AssertionError as error:
            failed += 1
            print(f'seed {seed}: {error}', file=sys.stderr)
    print(f'{count} seeds from {first}, {failed} failed', file=sys.stderr)


if __name__ == '__main__':
    main()
