"""Decides which of several announced weight versions is fetched next (pure).

With one version announced there is nothing to decide: the newest is fetched. Once a second one
is announced before the first is in use, or the pieces of the newest cannot be obtained, an older
version may be in use sooner. It is finished first if that leaves an engine for a shorter time
without a version that calls may use.

A version is stalled while no source has any of its missing pieces: the origin does not answer,
and the relays hold no more. What the relays hold counts as obtainable, what only the origin has
does not.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

WORTH_LOADING_SECONDS = 2.0  # of remaining use; loading for less delays the newer version more
NEARLY_STAGED_SHARE = 0.1  # of the pieces; if no more are missing, they are fetched first
CHANGEOVER_SECONDS = 1.0  # without new calls: running streams end, and the engine loads
MIN_GAIN_SECONDS = 1.0  # engines that fetch different versions slow each other at the relays
MAX_DELAY_SECONDS = 1.0  # by which relays let an older version delay the newest


@dataclass(frozen=True, slots=True)
class VersionProgress:
    """How much of a version is missing, and for how long calls may still use it.

    ``use_seconds`` counts from now, without end for the newest. ``is_stalled`` is whether
    none of the missing pieces can be obtained now.
    """

    version: int
    missing: int
    pieces: int
    use_seconds: float = math.inf
    is_stalled: bool = False

    def whole_seconds(self, seconds_per_piece: float) -> float:
        """Predicts the time until the version is whole; infinite while it is stalled."""
        if not self.missing:
            return 0
        return math.inf if self.is_stalled else self.missing * seconds_per_piece

    def is_useful(self, seconds_per_piece: float) -> bool:
        """Returns whether it will be whole early enough to be worth loading."""
        left_seconds = self.use_seconds - self.whole_seconds(seconds_per_piece)
        return left_seconds > WORTH_LOADING_SECONDS


@dataclass(frozen=True, slots=True)
class EngineOutlook:
    """What the choice of an agent rests on besides the versions.

    ``served_seconds`` is for how long calls may still use the loaded version, 0 for an engine
    without weights. ``seconds_per_piece`` is the pace of the last fetches, 0 if unknown.
    """

    served_seconds: float
    seconds_per_piece: float


def is_finished_first(
    older: VersionProgress, newest: VersionProgress, outlook: EngineOutlook
) -> bool:
    """Returns whether an agent finishes an older version before it fetches the newest.

    Example::

        newest = VersionProgress(3, missing=64, pieces=64, is_stalled=True)
        older = VersionProgress(2, missing=10, pieces=64, use_seconds=8.0)
        is_finished_first(older, newest, EngineOutlook(6.0, 0.07)) is True
    """
    pace = outlook.seconds_per_piece
    if older.is_stalled and newest.is_stalled:
        # Whatever returns will serve both.
        older, newest = replace(older, is_stalled=False), replace(newest, is_stalled=False)
    if not older.is_useful(pace):
        return False
    if older.missing <= NEARLY_STAGED_SHARE * older.pieces and not older.is_stalled:
        return True
    if newest.whole_seconds(pace) == math.inf:
        return True
    newest_gap_seconds = _gap_seconds([newest], outlook)
    older_gap_seconds = _gap_seconds([older, newest], outlook)
    return newest_gap_seconds - older_gap_seconds > MIN_GAIN_SECONDS


def _gap_seconds(plan: Iterable[VersionProgress], outlook: EngineOutlook) -> float:
    """Returns for how long the engine serves nothing if it takes these versions in turn."""
    gap_seconds: float = 0
    whole_seconds: float = 0
    served_seconds = outlook.served_seconds
    for progress in plan:
        whole_seconds += progress.whole_seconds(outlook.seconds_per_piece)
        gap_seconds += max(0, whole_seconds - served_seconds) + CHANGEOVER_SECONDS
        served_seconds = progress.use_seconds
    return gap_seconds


def relay_finishes_first(
    older: VersionProgress, newest: VersionProgress, remaining_seconds: float
) -> bool:
    """Returns whether a relay fetches the rest of an older version before the newest.

    ``remaining_seconds`` is the predicted time for its rest. The relay does not know which
    version the agents will want if the origin fails, so it keeps the one that is nearer
    to its end, unless that delays the newest noticeably.
    """
    if not older.missing or older.missing >= newest.missing:
        return False
    left_seconds = older.use_seconds - remaining_seconds
    return remaining_seconds <= MAX_DELAY_SECONDS and left_seconds > WORTH_LOADING_SECONDS
