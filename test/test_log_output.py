"""Log output never blocks on its reader, and its volume is limited."""

import os

from twisted.internet.task import Clock

from jackdawsail.log_output import MAX_QUEUED_BYTES, LineLimiter, LogOutput

LINE = 'x' * 999 + '\n'


def make_pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    clock = Clock()
    return reader, LogOutput(writer, clock), clock


def read_all(reader):
    received = b''
    while True:
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            return received


def test_lines_are_written_after_the_flush_delay():
    reader, output, clock = make_pipe()
    output.write('one\n')
    output.write('two\n')
    assert read_all(reader) == b''
    clock.advance(0.1)
    assert read_all(reader) == b'one\ntwo\n'


def test_stalled_reader_does_not_block_and_loses_only_the_newest_lines():
    reader, output, clock = make_pipe()
    lines = 2 * MAX_QUEUED_BYTES // len(LINE)
    for number in range(lines):
        output.write(f'{number:06d} {LINE}')
        clock.advance(0.01)
    received = read_all(reader)
    for _ in range(200):
        clock.advance(0.1)
        received += read_all(reader)
    numbers = [int(line[:6]) for line in received.splitlines() if not line.startswith(b'{')]
    assert numbers == list(range(len(numbers)))
    assert 0 < len(numbers) < lines
    assert b'"event":"log lines dropped"' in received


def test_lines_per_event_and_second_are_limited_and_the_rest_counted():
    limiter = LineLimiter(3)
    admitted = [limiter.admit(420, 10.5) for _ in range(8)]
    assert admitted == [0, 0, 0, None, None, None, None, None]
    assert limiter.admit(421, 10.6) == 0
    assert limiter.admit(420, 11.0) == 5
    assert limiter.admit(420, 11.1) == 0
