"""Blame of parts by time-decaying sketches, to compare with the bounded table of the product.

For every part the duplicate-insensitive sliding-window sketch of ``bench.usage`` counts the
ends of engines that the part was involved in. A sketch can take nothing back, so sound answers
do not speak for a part, and it does not know which calls an end involved.
"""

from collections import OrderedDict
from collections.abc import Iterable

from bench.usage import Observation, WindowSketch
from jackdawsail.routing.trait_blame import MAX_ENDS
from jackdawsail.wire.trait_messages import SuspectCall

SIZE = 16  # observations of one level; ten times the ends that decide
MAX_PARTS = 2048
MULTIPLIER, OFFSET = 6_364_136_223_846_793, 1_442_695_040_888_963
MIN_ENDS = 4


class SketchBlame:
    """Counts the ends of each part in a window; has the methods that a play uses."""

    def __init__(self) -> None:
        self.blocked: list[str] = []
        self.sketches: OrderedDict[str, WindowSketch] = OrderedDict()
        self._numbers: dict[str, int] = {}

    def record_end(
        self, engine: str, ended_seconds: float, calls: Iterable[SuspectCall], now_seconds: float
    ) -> None:
        """Adds one observation to the sketch of each part."""
        number = self._numbers.setdefault(engine, len(self._numbers) % (MAX_ENDS * 8))
        parts = {part for call in calls for part in call.traits}
        for part in parts:
            sketch = self.sketches.setdefault(part, WindowSketch(SIZE, MULTIPLIER, OFFSET))
            sketch.observe(Observation(0, 1, ended_seconds, number))
            self.sketches.move_to_end(part)
        while len(self.sketches) > MAX_PARTS:
            self.sketches.popitem(last=False)

    def find_bad(self, now_seconds: float) -> list[str]:
        """Blocks each part that was involved in MIN_ENDS ends of the window."""
        bad = [
            part
            for part, sketch in self.sketches.items()
            if part not in self.blocked and sketch.total(now_seconds) >= MIN_ENDS
        ]
        self.blocked.extend(bad)
        return bad

    def blocked_among(self, parts: Iterable[str]) -> str:
        """Returns the first blocked part."""
        return next((part for part in parts if part in self.blocked), '')

    def suspected_among(self, parts: Iterable[str]) -> list[str]:
        """Returns no part, as nothing can speak for one."""
        return []

    def is_risky(self, call: SuspectCall) -> bool:
        """Returns False, as a sketch does not know the calls."""
        return False

    def snapshot_bytes(self) -> int:
        """Returns the size of all sketches as they would be sent."""
        return sum(len(sketch.encode()) + len(part) for part, sketch in self.sketches.items())
