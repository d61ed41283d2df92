"""Sites whose origin is unreachable for a time while new weights are announced."""

from itertools import product

from bench.emulator.staging_hosts import PieceShape
from bench.emulator.staging_play import StagingScenario

OUTAGES_SECONDS = (2, 6, 12)
TENTHS = tuple(range(11))
NEXT_VERSION_SECONDS = 2.0
COLD_ENGINES = 13
COPY_SECONDS = 2.82  # that the origin takes for one copy, rounded down


def make_outage(
    outage_seconds: float, tenth: int, versions: int = 1, cold_engines: int = 0
) -> StagingScenario:
    """Returns a site of 38 entries and 20 engines whose origin fails after tenths of a copy."""
    variant = f', {cold_engines} cold' if cold_engines else ''
    return StagingScenario(
        f'outage {outage_seconds:g} s, tenth {tenth}, versions {versions}{variant}',
        entries=38,
        engines=20,
        entry_megabits_per_second=20,
        engine_megabits_per_second=3.8,
        region_megabits_per_second=12.5,
        origin_megabits_per_second=5.94,
        within_seconds=10.3,
        next_version_seconds=NEXT_VERSION_SECONDS if versions == 2 else float('inf'),
        outage_from_seconds=tenth * COPY_SECONDS / 10,
        outage_seconds=outage_seconds,
        cold_engines=cold_engines,
        shape=PieceShape(64, 32_768),
    )


OUTAGES = tuple(
    make_outage(outage_seconds, tenth, versions, cold_engines)
    for (cold_engines, versions, outage_seconds, tenth) in product(
        (0, COLD_ENGINES), (1, 2), OUTAGES_SECONDS, TENTHS
    )
)
