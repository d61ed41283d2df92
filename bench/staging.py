"""Time of new weights to the engines of a site, by its links, in simulated time.

For each site: until the first, the middle and the last engine has all pieces, against the bound
of one copy over the narrowest link; copies over the busiest border and from the origin, and what
the busiest entry sent.
"""

from bench.emulator.origin_outages import OUTAGES
from bench.emulator.staging_play import SCENARIOS, StagingPlay
from jackdawsail.events import configure_logging


def run(only: str = '') -> int:
    """Prints a line for each site whose name contains ``only``."""
    configure_logging('bench', 'staging', 'error')
    for scenario in (*SCENARIOS, *OUTAGES):
        if only not in scenario.name:
            continue
        figures = StagingPlay(scenario).run()
        staged = figures.staged_seconds
        print(  # noqa: T201
            f'{scenario.name:41} first {staged[0]:5.2f} s, half {staged[len(staged) // 2]:5.2f} s, '
            f'last {staged[-1]:5.2f} s, bound {figures.bound_seconds:.2f} s '
            f'(x {staged[-1] / figures.bound_seconds:.2f}); copies: border '
            f'{figures.border_copies:.2f}, origin {figures.origin_copies:.2f}, '
            f'busiest entry {figures.busiest_copies:.2f}; '
            f'unserved {figures.unserved_seconds:.2f} s'
        )
    return 0
