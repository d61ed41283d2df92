"""Decides when an engine stops accepting calls before its last pieces have arrived.

An engine loads new weights only once its running streams have ended, which takes about as
long as the last pieces need to arrive. An engine that stops accepting calls that much
earlier can load as soon as they are complete.
"""

import math
from dataclasses import dataclass

DRAIN_SECONDS = 1.0  # until most of the streams that run at an engine have ended
MAX_AHEAD_SECONDS = 2.0  # an engine serves again if its pieces are still incomplete by then


@dataclass(slots=True)
class StagingPace:
    """How fast the pieces of one version arrive.

    Example::

        pace = StagingPace(started_seconds=10.0, arrived=20)
        pace.remaining_seconds(missing=10, now_seconds=12.0) == 1.0
    """

    started_seconds: float = 0
    arrived: int = 0

    def remaining_seconds(self, missing: int, now_seconds: float) -> float:
        """Predicts the time until the missing pieces have arrived; infinite before the first."""
        if not self.arrived:
            return math.inf
        return missing * (now_seconds - self.started_seconds) / self.arrived


@dataclass(slots=True)
class DrainAhead:
    """Whether an engine accepts no calls because the rest of a version will arrive soon.

    It does so once for a version, and for at most ``MAX_AHEAD_SECONDS``, since pieces may
    stop to arrive.
    """

    version: int = 0
    until_seconds: float = -math.inf

    def update(self, version: int, remaining_seconds: float, now_seconds: float) -> None:
        """Starts to drain if the rest arrives within the time that running streams take to end."""
        if version != self.version and remaining_seconds <= DRAIN_SECONDS:
            self.version = version
            self.until_seconds = now_seconds + MAX_AHEAD_SECONDS

    def is_active(self, now_seconds: float) -> bool:
        """Returns whether the engine accepts no calls now."""
        return now_seconds < self.until_seconds

    def end(self) -> None:
        """Ends it, as the version is complete or cannot be completed now."""
        self.until_seconds = -math.inf
