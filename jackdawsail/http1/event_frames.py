"""Splits a stream of server-sent events, so that only complete events are forwarded.

Example::

    frames = EventFrames()
    for frame in frames.feed(received):
        caller.write(frame.body)
"""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576  # far above any event of an engine

_LINE_END = rb'(?>\r\n|\r|\n)'
_EVENT_END = re.compile(_LINE_END + _LINE_END)
_EVENT_END_OVERLAP_BYTES = 3  # of an event end that may continue with the next bytes
_EVENT_ID = re.compile(rb'(?:\A|[\r\n])id:[ ]?(\d{1,18})(?!\d)')
_FIELD = re.compile(rb'(?:\A|[\r\n])[^:\r\n]')


@dataclass(frozen=True, slots=True)
class EventFrame:
    """One event as received; ``number`` is its id, 0 if it has none."""

    body: bytes
    number: int

    @property
    def has_fields(self) -> bool:
        """Returns whether the event is more than comments and blank lines."""
        return _FIELD.search(self.body) is not None


class EventFrames:
    """Buffers received bytes until they form complete events.

    Each byte is copied and searched a fixed number of times, however the bytes are split.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0

    def feed(self, received: bytes) -> list[EventFrame]:
        """Adds received bytes and returns the events that are now complete."""
        self._buffer += received
        frames = []
        start = 0
        while end := _EVENT_END.search(self._buffer, self._searched_bytes):
            frames.append(_make_frame(bytes(self._buffer[start : end.end()])))
            start = end.end()
            self._searched_bytes = start
        del self._buffer[:start]
        self._searched_bytes = max(0, len(self._buffer) - _EVENT_END_OVERLAP_BYTES)
        return frames

    @property
    def is_too_long(self) -> bool:
        """Returns whether the incomplete event is longer than MAX_EVENT_BYTES."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def remainder(self) -> bytes:
        """Returns the bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def unfinished_bytes(self) -> int:
        """Returns the size of an incomplete event; blank lines between events are none."""
        return len(self._buffer.strip(b'\r\n'))


def _make_frame(body: bytes) -> EventFrame:
    event_id = _EVENT_ID.search(body)
    return EventFrame(body, int(event_id.group(1)) if event_id else 0)
