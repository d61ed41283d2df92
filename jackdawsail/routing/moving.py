"""Decides when a running stream moves off an engine that is about to load other weights.

This matters when half of a service's engines change over at the same time. Each accepts
no new call until its last stream has ended, so a single long stream keeps all other slots
empty for seconds while the remaining engines are full. Moving a stream that has much left
costs another engine little: it processes the prompt once more. Several prompts in one
pass would pause every stream of that engine, so moves are spread over time. Where a stream
is, it ends before the load, so it is not moved to wait where it could be recalled.
"""

import math
from dataclasses import dataclass

from jackdawsail.routing.placement import CONTINUE_WAIT_SECONDS
from jackdawsail.routing.shares import EntryShares

MIN_REMAINING_EVENTS = 3  # a shorter remainder ends before another engine has processed the prompt
MOVES_PER_SECOND = 4.0  # to one engine from all entries; it runs about fifteen passes a second


def should_move(
    forwarded_events: int, likely_events: float, seconds_until_recall: float = math.inf
) -> bool:
    """Returns whether a stream has so much left that moving it is worthwhile.

    ``likely_events`` is the length of the whole answer that its caller expects, or the
    usual one. A stream that has exceeded it already is assumed to continue.
    ``seconds_until_recall`` is for how long it may wait at an engine on its weights.

    Example::

        should_move(4, 20) is True
        should_move(19, 20) is False
        should_move(4, 20, seconds_until_recall=0.5) is False
    """
    if seconds_until_recall < CONTINUE_WAIT_SECONDS:
        return False
    remaining_events = likely_events - forwarded_events
    return remaining_events >= MIN_REMAINING_EVENTS or remaining_events < 0


@dataclass(slots=True)
class MoveShare:
    """This entry's share of the moves that the engines of a service can absorb."""

    service: str
    next_seconds: float = 0

    def take(self, shares: EntryShares, engines: int, now_seconds: float) -> bool:
        """Takes one move from the share; returns False when it is too early for another.

        It is always too early for an entry whose part of the moves in a second is 0.
        """
        own_part = shares.part_of(MOVES_PER_SECOND * max(1, engines), self.service, '')
        if own_part == 0 or now_seconds < self.next_seconds:
            return False
        self.next_seconds = now_seconds + 1 / own_part
        return True
