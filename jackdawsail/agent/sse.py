"""Incremental parser of an engine's server-sent events.

Example::

    events = SseParser()
    events.feed(b'data: ...')
"""

import json
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from jackdawsail.http1.event_frames import EventFrames

_DATA = b'data:'


@dataclass(frozen=True, slots=True)
class TextEvent:
    """Generated text; ``position`` is the number of tokens generated up to its end."""

    text: str
    position: int


@dataclass(frozen=True, slots=True)
class DoneEvent:
    """The engine's last event, which confirms that its answer is complete."""

    tokens: int
    release: str


StreamEvent = TextEvent | DoneEvent


class SseParser:
    """Parses received bytes into events; malformed input is a failure, never an exception."""

    def __init__(self) -> None:
        self._frames = EventFrames()

    def feed(self, received: bytes) -> Result[list[StreamEvent], str]:
        """Adds bytes and returns the events that are now complete."""
        blocks = [frame.body for frame in self._frames.feed(received)]
        if self._frames.is_too_long:
            return Failure('event is too long')
        return _parse_blocks(blocks)


def _parse_blocks(blocks: list[bytes]) -> Result[list[StreamEvent], str]:
    events: list[StreamEvent] = []
    for block in blocks:
        lines = [line for line in block.splitlines() if line.startswith(_DATA)]
        if not lines:
            continue
        parsed = _parse_event(b''.join(line[len(_DATA) :] for line in lines))
        if parsed is None:
            return Failure('event is malformed')
        events.append(parsed)
    return Success(events)


def _parse_event(body: bytes) -> StreamEvent | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    if document.get('done') is True:
        return _done_event(document)
    text, position = document.get('text'), document.get('position')
    if not isinstance(text, str) or not isinstance(position, int):
        return None
    return TextEvent(text, position)


def _done_event(document: dict[str, object]) -> DoneEvent | None:
    tokens, release = document.get('tokens'), document.get('release', '')
    if not isinstance(tokens, int) or not isinstance(release, str):
        return None
    return DoneEvent(tokens, release)
