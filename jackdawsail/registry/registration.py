"""What an upstream says of itself, and the book that merges it from many sources.

A registration is ordered by the start of its sender (``born_milliseconds``) and
its own ``sequence``. An address belongs to one incarnation: the youngest that
claims it. A registration of an older one that arrives late changes nothing.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

TOMBSTONE_SECONDS = 60.0  # an upstream that left may be reported late for about so long
SILENCE_HEARTBEATS = 3.5  # missed heartbeats after which an upstream counts as silent


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A model whose weights an upstream holds, and their version."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Registration:
    """One heartbeat of an upstream.

    ``cold_seconds`` is how much longer it is slow after its start. ``sequence``
    counts the heartbeats of one incarnation. ``leaving`` means that it takes
    nothing new and ends soon; ``gone`` that it has said goodbye.
    """

    upstream: str
    service: str
    address: str
    zone: str
    places: int
    leaving: bool
    cold_seconds: float
    born_milliseconds: int
    sequence: int
    models: tuple[ModelVersion, ...] = ()
    gone: bool = False

    @property
    def order(self) -> tuple[int, bool, int]:
        """Returns what decides which of two registrations of an upstream is newer."""
        return self.born_milliseconds, self.gone, self.sequence


@dataclass(frozen=True, slots=True)
class Heard:
    """A registration and when it was received, by the holder's clock."""

    registration: Registration
    heard_seconds: float


@dataclass(slots=True)
class RegistrationBook:
    """The newest registration of each upstream."""

    _heard: dict[str, Heard] = field(default_factory=dict)

    def update(self, registration: Registration, heard_seconds: float) -> bool:
        """Takes a registration that is newer than the one held; tells whether it was."""
        held = self._heard.get(registration.upstream)
        if held is not None and registration.order <= held.registration.order:
            return False
        if held is not None and _turns_back(held.registration, registration):
            registration = replace(registration, leaving=True)
        self._heard[registration.upstream] = Heard(registration, heard_seconds)
        return True

    def leave(self, upstream: str, heard_seconds: float) -> Registration | None:
        """Notes that an upstream has said goodbye; returns its last registration."""
        held = self._heard.get(upstream)
        if held is None:
            return None
        left = replace(held.registration, leaving=True, gone=True)
        self._heard[upstream] = Heard(left, heard_seconds)
        return left

    def get(self, upstream: str) -> Heard | None:
        """Returns what was last heard of an upstream."""
        return self._heard.get(upstream)

    def all(self) -> Iterator[Heard]:
        """Yields what was last heard of each upstream."""
        yield from list(self._heard.values())

    def forget_old(self, now_seconds: float) -> None:
        """Drops upstreams that have been silent for long."""
        oldest_seconds = now_seconds - TOMBSTONE_SECONDS
        self._heard = {
            name: heard
            for name, heard in self._heard.items()
            if heard.heard_seconds > oldest_seconds
        }

    def holders(self) -> dict[str, Registration]:
        """Returns the youngest incarnation at each address, leaving ones included."""
        holders: dict[str, Registration] = {}
        for heard in self._heard.values():
            one = heard.registration
            other = holders.get(one.address)
            if other is None or one.born_milliseconds > other.born_milliseconds:
                holders[one.address] = one
        return holders


def _turns_back(held: Registration, new: Registration) -> bool:
    """Tells whether an incarnation that was leaving claims that it is not."""
    return held.leaving and held.born_milliseconds == new.born_milliseconds and not new.leaving
