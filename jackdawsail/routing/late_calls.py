"""Gives calls that can still meet their latency objective precedence over late ones.

This matters when for some seconds more streams arrive than the engines have slots, and
refused callers retry. A retried call has missed its objective already. Each slot
that it takes makes a call late that could still be in time, whose caller then retries
as well. So while calls in time are being refused, late ones get a slot only at an
engine with ample room. The number of calls served stays the same, and most of them are
in time.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawsail.routing.upstreams import Upstream

PRESSURE_SECONDS = 2.0  # after a refusal; refused callers retry within this time
AMPLE_ROOM_SHARE = 0.75  # of an engine's slots that are in use; below it there is ample room
LATE_SHARE = 0.5  # of the objective; a call that has used more can no longer be in time
REMEMBERED_SECONDS = 4.0  # callers wait about six seconds in all and retry within a third of that
MAX_REMEMBERED = 20_000  # refusals; bounds the memory to a few megabytes
FINGERPRINT_BYTES = 8


def call_fingerprint(*parts: bytes) -> bytes:
    """Returns a digest that a call shares with its retries, and with few other calls.

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
    """Fingerprints of the calls that any entry refused recently, to recognise retries.

    ``unsent`` holds refusals of this entry that were not sent to the other entries yet.
    """

    unsent: list[bytes] = field(default_factory=list)
    _first_refused_seconds: dict[bytes, float] = field(default_factory=dict)

    def record_local(self, fingerprint: bytes, now_seconds: float) -> None:
        """Records a refusal of this entry, which is also sent to the others."""
        self.unsent.append(fingerprint)
        self.record(fingerprint, now_seconds)

    def record(self, fingerprint: bytes, now_seconds: float) -> None:
        """Records a refusal of any entry; later ones of the same call do not replace it."""
        self._drop_expired(now_seconds)
        if len(self._first_refused_seconds) < MAX_REMEMBERED:
            self._first_refused_seconds.setdefault(fingerprint, now_seconds)

    def take_unsent(self) -> list[bytes]:
        """Returns and clears the refusals to send to the other entries."""
        fingerprints = self.unsent
        self.unsent = []
        return fingerprints

    def seconds_since_refusal(self, fingerprint: bytes, now_seconds: float) -> float:
        """Returns how long ago a call was first refused; 0 if it was not refused recently."""
        first_seconds = self._first_refused_seconds.get(fingerprint)
        if first_seconds is None or now_seconds - first_seconds >= REMEMBERED_SECONDS:
            return 0
        return now_seconds - first_seconds

    def _drop_expired(self, now_seconds: float) -> None:
        # A dictionary keeps the order of insertion, so the oldest refusal is the first.
        while self._first_refused_seconds:
            oldest = next(iter(self._first_refused_seconds))
            if now_seconds - self._first_refused_seconds[oldest] < REMEMBERED_SECONDS:
                return
            del self._first_refused_seconds[oldest]


@dataclass(slots=True)
class Pressure:
    """Records when this entry last refused a call of a service that could be in time."""

    last_refused_seconds: float | None = None

    def record_refusal(self, now_seconds: float) -> None:
        """Records the refusal of a call that could have been in time."""
        self.last_refused_seconds = now_seconds

    def is_active(self, now_seconds: float) -> bool:
        """Returns whether such a call was refused within PRESSURE_SECONDS."""
        if self.last_refused_seconds is None:
            return False
        return now_seconds - self.last_refused_seconds < PRESSURE_SECONDS


def is_late(used_seconds: float, target_seconds: float) -> bool:
    """Returns whether a call that has used so much time can no longer meet its objective."""
    return used_seconds > LATE_SHARE * target_seconds


def has_ample_room(
    candidates: Iterable[Upstream], default_slots: int, now_seconds: float, entries: int
) -> bool:
    """Returns whether an engine has enough free slots for a late call to displace no other.

    ``default_slots`` applies to engines whose registration does not give a number of slots.
    """
    for upstream in candidates:
        slots = max(1, upstream.registration.places or default_slots)
        if upstream.active_calls(now_seconds, entries) < AMPLE_ROOM_SHARE * slots:
            return True
    return False
