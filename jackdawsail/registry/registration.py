"""Registrations of upstreams, and the table that merges them from several sources.

Registrations of an upstream are ordered by the start of its incarnation
(``born_milliseconds``) and their ``sequence``; its deregistration is after all of them.
An address belongs to the youngest incarnation that claims it. A registration of an older
one that arrives late does not take the address back.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

TOMBSTONE_SECONDS = 60.0  # late reports of an upstream that has left arrive for about as long
MAX_KNOWN_LEAVING = 1024  # incarnations; several replacements of all engines of a large site
SILENCE_HEARTBEATS = 3.5  # missed heartbeats after which an upstream counts as silent


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """A model whose weights an upstream holds, and their version."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Registration:
    """One heartbeat of an upstream.

    ``cold_seconds`` is how much longer it is slow after its start. ``sequence`` counts
    the heartbeats of one incarnation. ``leaving`` means that it accepts no new calls and
    ends soon, ``gone`` that it has deregistered. ``places`` is the number of its slots, 0 if
    it gives none.
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
    def sort_key(self) -> tuple[int, bool, int]:
        """Returns a key that orders the registrations of an upstream, the newest last."""
        return self.born_milliseconds, self.gone, self.sequence


@dataclass(frozen=True, slots=True)
class ReceivedRegistration:
    """A registration and when it was received, by the clock of its holder."""

    registration: Registration
    received_seconds: float


@dataclass(slots=True)
class RegistrationTable:
    """The newest registration of each upstream."""

    _received: dict[str, ReceivedRegistration] = field(default_factory=dict)
    _known_leaving: OrderedDict[tuple[str, int], None] = field(default_factory=OrderedDict)

    def update(self, registration: Registration, received_seconds: float) -> bool:
        """Stores a registration if it is newer than the one held; returns whether it was.

        An incarnation that was leaving stays so, whatever its later heartbeats contain.
        """
        held = self._received.get(registration.upstream)
        if held is not None and registration.sort_key <= held.registration.sort_key:
            return False
        if held is not None and _revokes_leaving(held.registration, registration):
            registration = replace(registration, leaving=True)
        if _incarnation(registration) in self._known_leaving:
            registration = replace(registration, leaving=True)
        self._received[registration.upstream] = ReceivedRegistration(
            registration, received_seconds
        )
        return True

    def mark_leaving(self, registration: Registration) -> None:
        """Marks an incarnation as leaving, whatever its heartbeats contain and when they arrive."""
        incarnation = _incarnation(registration)
        self._known_leaving[incarnation] = None
        if len(self._known_leaving) > MAX_KNOWN_LEAVING:
            self._known_leaving.popitem(last=False)
        held = self._received.get(registration.upstream)
        if held is not None and _incarnation(held.registration) == incarnation:
            left = replace(held.registration, leaving=True)
            self._received[registration.upstream] = replace(held, registration=left)

    def mark_gone(self, upstream: str, received_seconds: float) -> Registration | None:
        """Marks an upstream as gone; returns its registration, None if it is unknown."""
        held = self._received.get(upstream)
        if held is None:
            return None
        deregistered = replace(held.registration, leaving=True, gone=True)
        self._received[upstream] = ReceivedRegistration(deregistered, received_seconds)
        return deregistered

    def get(self, upstream: str) -> ReceivedRegistration | None:
        """Returns the last registration of an upstream, None if it is unknown."""
        return self._received.get(upstream)

    def all(self) -> Iterator[ReceivedRegistration]:
        """Yields the last registration of each upstream."""
        yield from list(self._received.values())

    def gone(self) -> Iterator[ReceivedRegistration]:
        """Yields the last registration of each upstream that has deregistered."""
        for received in self.all():
            if received.registration.gone:
                yield received

    def forget_old(self, now_seconds: float) -> None:
        """Removes upstreams that have been silent for TOMBSTONE_SECONDS."""
        oldest_seconds = now_seconds - TOMBSTONE_SECONDS
        self._received = {
            name: received
            for name, received in self._received.items()
            if received.received_seconds > oldest_seconds
        }

    def holders(self) -> dict[str, Registration]:
        """Returns the youngest incarnation at each address, including leaving ones."""
        holders: dict[str, Registration] = {}
        for received in self._received.values():
            registration = received.registration
            holder = holders.get(registration.address)
            if holder is None or registration.born_milliseconds > holder.born_milliseconds:
                holders[registration.address] = registration
        return holders


def _incarnation(registration: Registration) -> tuple[str, int]:
    return registration.upstream, registration.born_milliseconds


def _revokes_leaving(held: Registration, new: Registration) -> bool:
    """Returns whether an incarnation that was leaving reports that it is not."""
    return held.leaving and held.born_milliseconds == new.born_milliseconds and not new.leaving
