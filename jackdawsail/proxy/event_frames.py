"""Splits a stream of server-sent events, so that only complete events are forwarded.

Example::

    frames = EventFrames()
    for frame in frames.feed(received):
        caller.write(frame.body)
"""

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class EventFrame:
    """One event as received; ``number`` is its id, 0 if it has none."""

    body: bytes
    number: int


class EventFrames:
    """Buffers received bytes until they form complete events."""

    def __init__(self) -> None:
        self._remainder = b''

    def feed(self, received: bytes) -> list[EventFrame]:
        """Adds received bytes and returns the events that are now complete."""
        self._remainder += received
        frames = []
        position = 0
        for end in _EVENT_END.finditer(self._remainder):
            frames.append(_make_frame(self._remainder[position : end.end()]))
            position = end.end()
        self._remainder = self._remainder[position:]
        return frames

    @property
    def remainder(self) -> bytes:
        """Returns the bytes after the last complete event."""
        return self._remainder

    @property
    def unfinished_bytes(self) -> int:
        """Returns the size of an incomplete event; blank lines between events are none."""
        return len(self._remainder.strip(b'\r\n'))


def _make_frame(body: bytes) -> EventFrame:
    event_id = _EVENT_ID.search(body)
    return EventFrame(body, int(event_id.group(1)) if event_id else 0)
