"""When a running stream leaves an engine that is about to load other weights.

Load: half of a service's engines change over at once. Each takes nothing new until
its last stream has ended, and a single long stream keeps all its places empty for
seconds while the other engines are full. A stream that has long to go costs another
engine little: its prompt is read once more. Several prompts read in one pass make a
pause in every stream of that engine, so moves are spread over time.
"""

from dataclasses import dataclass

LEAST_LEFT_EVENTS = 3  # fewer end sooner than another engine has read the prompt
MOVES_PER_SECOND = 4.0  # to one engine from all entries; it makes some fifteen passes in it


def should_move(passed_events: int, likely_events: float) -> bool:
    """Tells whether a stream has so much left that it is better moved.

    ``likely_events`` is what its caller expects of the whole answer, or what is usual.
    One that is longer than that already is taken to go on.

    Example::

        should_move(4, 20) is True
        should_move(19, 20) is False
    """
    left_events = likely_events - passed_events
    return left_events >= LEAST_LEFT_EVENTS or left_events < 0


@dataclass(slots=True)
class MoveShare:
    """This entry's part of the moves that the engines of a service can take."""

    next_seconds: float = 0

    def take(self, entries: int, engines: int, now_seconds: float) -> bool:
        """Takes one move; False when it is too early for another."""
        if now_seconds < self.next_seconds:
            return False
        self.next_seconds = now_seconds + max(1, entries) / (MOVES_PER_SECOND * max(1, engines))
        return True
