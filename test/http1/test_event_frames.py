"""Events are found whatever their line ends and however their bytes are split, at linear cost."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.http1 import event_frames
from jackdawsail.http1.event_frames import MAX_EVENT_BYTES, EventFrames

PIECE = b'x' * 4096


class CountingPattern:
    """Counts the bytes that a pattern searches."""

    def __init__(self, pattern):
        self.pattern, self.searched_bytes = pattern, 0

    def search(self, buffer, position=0):
        self.searched_bytes += len(buffer) - position
        return self.pattern.search(buffer, position)


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_events_are_found_with_every_line_end(line_end):
    stream = line_end.join([b'id: 1', b'data: a', b'', b'data: b', b'id: 2', b'', b'data: c'])
    frames = EventFrames()
    assert [frame.number for frame in frames.feed(stream)] == [1, 2]
    assert frames.remainder == b'data: c'
    assert frames.unfinished_bytes == 7


@given(
    st.lists(st.sampled_from([b'id: 7', b'data: x', b'', b': c', b'\r']), max_size=30),
    st.sampled_from([b'\n', b'\r\n', b'\r']),
    st.lists(st.integers(1, 9), max_size=40),
)
def test_no_byte_is_lost_or_changed_however_the_stream_is_split(lines, line_end, cuts):
    rest = stream = line_end.join(lines)
    frames, received = EventFrames(), b''
    for cut in [*cuts, len(stream)]:
        piece, rest = rest[:cut], rest[cut:]
        received += b''.join(frame.body for frame in frames.feed(piece))
    assert received + frames.remainder == stream
    unsplit = EventFrames()
    unsplit.feed(stream)
    assert bool(frames.unfinished_bytes) == bool(unsplit.unfinished_bytes)


@pytest.mark.parametrize(
    ('body', 'has_fields'),
    [(b'id: 1\n\n', True), (b': alive\n\n', False), (b'\n\n', False), (b': c\ndata\n\n', True)],
)
def test_comments_and_blank_lines_are_no_event(body, has_fields):
    (frame,) = EventFrames().feed(body)
    assert frame.has_fields is has_fields


def test_an_id_beyond_any_number_of_events_is_no_number():
    (frame,) = EventFrames().feed(b'id: ' + b'9' * 5000 + b'\n\n')
    assert frame.number == 0


def test_an_event_without_an_end_is_searched_once(monkeypatch):
    counting = CountingPattern(event_frames._EVENT_END)
    monkeypatch.setattr(event_frames, '_EVENT_END', counting)
    frames = EventFrames()
    fed_bytes = 0
    while not frames.is_too_long:
        frames.feed(PIECE)
        fed_bytes += len(PIECE)
    assert fed_bytes <= MAX_EVENT_BYTES + len(PIECE)
    assert counting.searched_bytes < 2 * fed_bytes
