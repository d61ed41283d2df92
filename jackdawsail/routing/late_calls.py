"""Which calls get a place while more is asked for than the engines can do.

Load: more streams than the engines have places for, over seconds, while callers that
were refused come back. Whoever comes back has missed its objective already; each
place that it takes makes a call late that could still be in time, and that caller
comes back in its turn. So while calls in time are being refused, late ones get a
place only at an engine with ample room. As many calls are served in the end, and
most of them in time.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawsail.routing.upstreams import Upstream

PRESSURE_SECONDS = 2.0  # after a refusal; callers come back within it
ROOM_SHARE = 0.75  # of an engine's places that are taken; below it there is ample room
USED_SHARE = 0.5  # of the objective; a call that has used more cannot be in time any more
REMEMBERED_SECONDS = 4.0  # callers come back after at most a third of some six seconds
MOST_REMEMBERED = 20_000  # refusals; bounds the memory at some megabytes
FINGERPRINT_BYTES = 8


def call_fingerprint(*parts: bytes) -> bytes:
    """Returns what a call has in common with its next attempt, and with few others.

    Example::

        call_fingerprint(b'key', b'POST', b'/draft', b'body')
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.digest()


@dataclass(slots=True)
class RefusedCalls:
    """The calls that were refused lately by any entry, to tell callers that come back.

    ``unsent`` are those refused here that the other entries have not been told of.
    """

    unsent: list[bytes] = field(default_factory=list)
    _first_seconds: dict[bytes, float] = field(default_factory=dict)

    def record_local(self, fingerprint: bytes, now_seconds: float) -> None:
        """Notes a refusal of this entry."""
        self.unsent.append(fingerprint)
        self.record(fingerprint, now_seconds)

    def record(self, fingerprint: bytes, now_seconds: float) -> None:
        """Notes a refusal of any entry; the first one of a call counts."""
        self._forget(now_seconds)
        if len(self._first_seconds) < MOST_REMEMBERED:
            self._first_seconds.setdefault(fingerprint, now_seconds)

    def take_unsent(self) -> list[bytes]:
        """Returns the refusals to tell the other entries of."""
        taken = self.unsent
        self.unsent = []
        return taken

    def seconds_since_refusal(self, fingerprint: bytes, now_seconds: float) -> float:
        """Returns how long ago a call was first refused; 0 if it was not lately."""
        first_seconds = self._first_seconds.get(fingerprint)
        if first_seconds is None or now_seconds - first_seconds >= REMEMBERED_SECONDS:
            return 0
        return now_seconds - first_seconds

    def _forget(self, now_seconds: float) -> None:
        # In the order of their times, as a dictionary keeps the order of insertion.
        while self._first_seconds:
            oldest = next(iter(self._first_seconds))
            if now_seconds - self._first_seconds[oldest] < REMEMBERED_SECONDS:
                return
            del self._first_seconds[oldest]


@dataclass(slots=True)
class Pressure:
    """Whether calls in time are being refused at a service, as one entry sees it."""

    refused_seconds: float | None = None

    def refused(self, now_seconds: float) -> None:
        """Notes that a call was refused that could have been in time."""
        self.refused_seconds = now_seconds

    def lasts(self, now_seconds: float) -> bool:
        """Tells whether one was refused lately."""
        if self.refused_seconds is None:
            return False
        return now_seconds - self.refused_seconds < PRESSURE_SECONDS


def is_late(used_seconds: float, target_seconds: float) -> bool:
    """Tells whether a call that has used so much time can no longer meet its objective."""
    return used_seconds > USED_SHARE * target_seconds


def has_ample_room(
    candidates: Iterable[Upstream], places: int, now_seconds: float, entries: int
) -> bool:
    """Tells whether an engine has so much room that a late call takes no other's place."""
    for upstream in candidates:
        own_places = max(1, upstream.registration.places or places)
        if upstream.active_calls(now_seconds, entries) < ROOM_SHARE * own_places:
            return True
    return False
