"""Cuts an event stream into whole events, so that only whole ones are passed on.

Example::

    frames = EventFrames()
    for frame in frames.feed(received):
        caller.write(frame.body)
"""

import re
from dataclasses import dataclass

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class EventFrame:
    """One event as it was received; ``number`` is its id, 0 when it has none."""

    body: bytes
    number: int


class EventFrames:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, received: bytes) -> list[EventFrame]:
        """Takes more bytes and returns the events that are whole now."""
        self._rest += received
        found = []
        position = 0
        for end in _END.finditer(self._rest):
            found.append(_frame(self._rest[position : end.end()]))
            position = end.end()
        self._rest = self._rest[position:]
        return found

    @property
    def rest(self) -> bytes:
        """Returns the bytes behind the last whole event."""
        return self._rest


def _frame(body: bytes) -> EventFrame:
    found = _ID.search(body)
    return EventFrame(body, int(found.group(1)) if found else 0)
