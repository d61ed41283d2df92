"""Decides from the zones' summaries when a running release is done or has failed."""

from dataclasses import dataclass, field

from jackdawsail.control.zone_leases import ZoneView
from jackdawsail.state.commands import ReleaseFinish
from jackdawsail.state.replica import Record

MAX_SUMMARY_AGE_SECONDS = 2.0
STRAGGLER_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Progress of a release over all data centres in service, in numbers of upstreams.

    ``failed`` maps the hosts that have reported a failure to its reason.
    """

    upstreams: int
    serving: int
    on_release: int
    failed: dict[str, str]

    @property
    def is_complete(self) -> bool:
        """Returns whether every upstream serves the release or has reported a failure."""
        return self.on_release > 0 and self.on_release + len(self.failed) >= self.upstreams

    @property
    def only_stragglers_remain(self) -> bool:
        """Returns whether only upstreams that serve nothing lack the release."""
        return self.on_release > 0 and self.on_release == self.serving

    @property
    def has_failed(self) -> bool:
        """Returns whether every upstream has reported a failure."""
        return self.upstreams > 0 and len(self.failed) >= self.upstreams


def measure_progress(release: str, backend: str, zones: list[ZoneView]) -> RolloutProgress:
    """Sums the zones' summaries of a back end."""
    summaries = [zone.backends[backend] for zone in zones if backend in zone.backends]
    failed: dict[str, str] = {}
    for zone_summary in summaries:
        failed.update(zone_summary.failed)
    return RolloutProgress(
        upstreams=sum(summary.upstreams for summary in summaries),
        serving=sum(summary.serving for summary in summaries),
        on_release=sum(summary.releases.get(release, 0) for summary in summaries),
        failed=failed,
    )


@dataclass(slots=True)
class RolloutEvaluator:
    """Decides on the end of releases; tracks how long stragglers have delayed each."""

    stragglers_since_seconds: dict[str, float] = field(default_factory=dict)

    def decide(
        self, releases: dict[str, Record], zones: list[ZoneView], now_seconds: float
    ) -> list[ReleaseFinish]:
        """Returns the releases to finish; ``zones`` are the live ones in service.

        Returns none while a zone's summary is old, because the zone may be restarting.
        """
        ages = [zone.summary_age_seconds for zone in zones]
        are_fresh = [age is not None and age < MAX_SUMMARY_AGE_SECONDS for age in ages]
        if not zones or not all(are_fresh):
            return []
        running = [name for name in releases if releases[name]['status'] == 'running']
        finished = []
        for name in running:
            progress = measure_progress(name, releases[name]['backend'], zones)
            finish = self._evaluate(name, progress, now_seconds)
            if finish is not None:
                finished.append(finish)
        return finished

    def _evaluate(
        self, name: str, progress: RolloutProgress, now_seconds: float
    ) -> ReleaseFinish | None:
        if progress.has_failed:
            return ReleaseFinish(name, 'failed', _reason(progress))
        if progress.is_complete:
            return ReleaseFinish(name, 'done', _reason(progress))
        if not progress.only_stragglers_remain:
            self.stragglers_since_seconds.pop(name, None)
            return None
        stragglers_since_seconds = self.stragglers_since_seconds.setdefault(name, now_seconds)
        if now_seconds - stragglers_since_seconds < STRAGGLER_TIMEOUT_SECONDS:
            return None
        return ReleaseFinish(name, 'done', _reason(progress))


def _reason(progress: RolloutProgress) -> str:
    lacking = progress.upstreams - progress.on_release
    if not lacking:
        return ''
    failures = '; '.join(f'{host}: {why}' for host, why in sorted(progress.failed.items()))
    return f'{lacking} of {progress.upstreams} upstreams lack it. {failures}'.strip()[:900]
