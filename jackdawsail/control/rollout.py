"""Decides when a running release is done or has failed, from the zones' summaries."""

from dataclasses import dataclass, field

from jackdawsail.control.zone_leases import ZoneView
from jackdawsail.state.commands import ReleaseFinish
from jackdawsail.state.replica import Record

SUMMARY_FRESH_SECONDS = 2.0
STRAGGLERS_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """One release over every data centre in service; counts are of upstreams."""

    upstreams: int
    serving: int
    on_release: int
    failed: dict[str, str]

    @property
    def is_complete(self) -> bool:
        """Tells whether every upstream serves the release or has reported a failure."""
        return self.on_release > 0 and self.on_release + len(self.failed) >= self.upstreams

    @property
    def only_stragglers_lack_it(self) -> bool:
        """Tells whether all that serve are on the release and the rest do not serve."""
        return self.on_release > 0 and self.on_release == self.serving

    @property
    def has_failed(self) -> bool:
        """Tells whether every upstream has reported a failure."""
        return self.upstreams > 0 and len(self.failed) >= self.upstreams


def measure(release: str, backend: str, zones: list[ZoneView]) -> RolloutProgress:
    """Adds up a back end's summaries."""
    summaries = [zone.backends[backend] for zone in zones if backend in zone.backends]
    failed: dict[str, str] = {}
    for reported in summaries:
        failed.update(reported.failed)
    return RolloutProgress(
        upstreams=sum(summary.upstreams for summary in summaries),
        serving=sum(summary.serving for summary in summaries),
        on_release=sum(summary.releases.get(release, 0) for summary in summaries),
        failed=failed,
    )


@dataclass(slots=True)
class RolloutJudge:
    """Remembers since when only stragglers lack a release."""

    since_seconds: dict[str, float] = field(default_factory=dict)

    def decide(
        self, releases: dict[str, Record], zones: list[ZoneView], now_seconds: float
    ) -> list[ReleaseFinish]:
        """Returns the ends of releases; ``zones`` are the live ones in service.

        A zone whose summary is old decides nothing: it may be restarting.
        """
        ages = [zone.summary_age_seconds for zone in zones]
        fresh = [age is not None and age < SUMMARY_FRESH_SECONDS for age in ages]
        if not zones or not all(fresh):
            return []
        running = [name for name in releases if releases[name]['status'] == 'running']
        finished = []
        for name in running:
            progress = measure(name, releases[name]['backend'], zones)
            finish = self._judge(name, progress, now_seconds)
            if finish is not None:
                finished.append(finish)
        return finished

    def _judge(
        self, name: str, progress: RolloutProgress, now_seconds: float
    ) -> ReleaseFinish | None:
        if progress.has_failed:
            return ReleaseFinish(name, 'failed', _reason(progress))
        if progress.is_complete:
            return ReleaseFinish(name, 'done', _reason(progress))
        if not progress.only_stragglers_lack_it:
            self.since_seconds.pop(name, None)
            return None
        since_seconds = self.since_seconds.setdefault(name, now_seconds)
        if now_seconds - since_seconds < STRAGGLERS_SECONDS:
            return None
        return ReleaseFinish(name, 'done', _reason(progress))


def _reason(progress: RolloutProgress) -> str:
    lacking = progress.upstreams - progress.on_release
    if not lacking:
        return ''
    told = '; '.join(f'{host}: {why}' for host, why in sorted(progress.failed.items()))
    return f'{lacking} of {progress.upstreams} upstreams lack it. {told}'.strip()[:900]
