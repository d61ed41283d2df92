"""Which weight versions a relay fetches ahead of requests, and until when.

The newest announced version is fetched, and any version that agents request. An older one
that is nearly complete when a newer is announced is completed first: while the origin fails, only
what relays hold can be used.
"""

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass, field

from jackdawsail.routing.weight_rules import LAST_SEND_MARGIN_SECONDS, expiry_seconds
from jackdawsail.site.process import NodeProcess
from jackdawsail.site.view import SiteView
from jackdawsail.staging.drain import StagingPace
from jackdawsail.staging.held_pieces import HeldVersion
from jackdawsail.staging.version_choice import VersionProgress, relay_finishes_first

REQUEST_RECENT_SECONDS = 0.6  # agents that still want a version request its next piece within it
PREFETCH_SECONDS = 60.0  # after a version was announced; later it is fetched only on request
NEWEST = 0  # requests the version that the origin holds, whatever its number
VersionKey = tuple[str, int]


@dataclass(slots=True)
class FillPlan:
    """The plan of one relay; ``last_request_seconds`` is when agents requested each version."""

    process: NodeProcess
    view: SiteView
    last_request_seconds: dict[VersionKey, float] = field(default_factory=dict)
    paces: dict[VersionKey, StagingPace] = field(default_factory=dict)

    def prefetches(self) -> list[VersionKey]:
        """Returns the versions that the relays of a region fetch before any request."""
        targets_by_model = self.view.weights
        now_seconds = self.process.reactor.seconds()
        due = [
            (model, targets[-1].version)
            for model, targets in targets_by_model.items()
            if now_seconds - targets[-1].announced_seconds < PREFETCH_SECONDS
        ]
        if self.process.settings.may_bootstrap:
            due.extend(
                (model, NEWEST) for model in self.view.models() if model not in targets_by_model
            )
        return due

    def is_wanted(self, model: str, version: int) -> bool:
        """Returns whether a version is the newest or was recently requested.

        While no version of the model is announced, every version is wanted.
        """
        newest = self.view.newest_weights(model)
        if newest is None or version >= newest.version:
            return True
        requested_seconds = self.last_request_seconds.get((model, version))
        now_seconds = self.process.reactor.seconds()
        return (
            requested_seconds is not None
            and now_seconds - requested_seconds < REQUEST_RECENT_SECONDS
        )

    def fill_started(self, key: VersionKey) -> None:
        """Records that the pieces of a version begin to be fetched."""
        self.paces[key] = StagingPace(self.process.reactor.seconds())

    def piece_arrived(self, key: VersionKey) -> None:
        """Records a piece that this relay fetches ahead of requests."""
        self.paces[key].arrived += 1

    def due_fills(
        self,
        model: str,
        newest: int,
        held: Mapping[VersionKey, HeldVersion],
        running: Container[VersionKey],
    ) -> list[int]:
        """Returns the versions to fill now: the newest, or an older one that is completed first.

        The newest does not wait for an older one whose fill does not go on.
        """
        older = self.older_first(model, newest, held)
        if older is None:
            return [newest]
        return [older] if (model, older) in running else [older, newest]

    def is_filled_further(
        self, model: str, version: int, held: Mapping[VersionKey, HeldVersion]
    ) -> bool:
        """Returns whether a fill that is running goes on."""
        if self.is_wanted(model, version):
            return True
        newest = self.view.newest_weights(model)
        return newest is not None and version == self.older_first(model, newest.version, held)

    def older_first(
        self, model: str, newest: int, held: Mapping[VersionKey, HeldVersion]
    ) -> int | None:
        """Returns the older version that is completed before the newest; None if there is none."""
        rest = held.get((model, newest))
        newest_progress = _progress(newest, rest)
        for target in reversed(self.view.weights.get(model, ())):
            older = held.get((model, target.version))
            if target.version >= newest or older is None or not older.relayed:
                continue
            pace = self.paces.get((model, target.version), StagingPace())
            missing = older.missing_relayed()
            now_seconds = self.process.reactor.seconds()
            remaining_seconds = pace.remaining_seconds(missing, now_seconds)
            progress = _progress(target.version, older, self._use_seconds(model, target.version))
            if relay_finishes_first(progress, newest_progress, remaining_seconds):
                return target.version
        return None

    def _use_seconds(self, model: str, version: int) -> float:
        targets = self.view.weights.get(model, ())
        within_seconds = self.process.settings.bounds.weights_seconds
        limit_seconds = expiry_seconds(version, targets, within_seconds)
        return limit_seconds - LAST_SEND_MARGIN_SECONDS - self.process.reactor.seconds()


def _progress(
    version: int, held: HeldVersion | None, use_seconds: float = math.inf
) -> VersionProgress:
    """Returns how much of its own pieces a relay lacks; all count until their list is known."""
    if held is None or not held.relayed:
        return VersionProgress(version, _UNLISTED, _UNLISTED, use_seconds)
    return VersionProgress(version, held.missing_relayed(), len(held.relayed), use_seconds)


_UNLISTED = 1_000_000  # pieces; more than any list has
