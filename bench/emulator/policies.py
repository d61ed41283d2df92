"""The policies that can be compared: the product's, and those that it replaced.

``product`` is what the programs do. ``repeated-reports`` has engines report ten
times a second, far ones five, instead of at each change of their state.
``no-memory`` treats a caller that comes back as one that asks for the first time.
``no-moves`` lets streams end on engines that change over. ``first`` does all three.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from jackdawsail.proxy import selection
from jackdawsail.routing import placement
from jackdawsail.staging.program import ENGINE_POLL_SECONDS

REPEATED_REPORT_SECONDS = 0.1
REPEATED_FAR_EVERY = 2


@dataclass(frozen=True, slots=True)
class Policy:
    """A way to choose an engine, what entries remember, and how often engines report.

    Entries of other regions get every ``far_every``-th report.
    """

    name: str
    choose: Callable[..., Any] = placement.choose_engine
    remembers_refusals: bool = True
    moves_streams: bool = True
    report_seconds: float = ENGINE_POLL_SECONDS
    far_every: int = 1

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Lets the product's selection use this policy for as long as the block lasts."""
        before = selection.choose_engine
        selection.choose_engine = self.choose
        try:
            yield
        finally:
            selection.choose_engine = before


_REPEATED = {'report_seconds': REPEATED_REPORT_SECONDS, 'far_every': REPEATED_FAR_EVERY}

POLICIES = {
    policy.name: policy
    for policy in (
        Policy('product'),
        Policy('repeated-reports', **_REPEATED),  # type: ignore[arg-type]
        Policy('no-memory', remembers_refusals=False),
        Policy('no-moves', moves_streams=False),
        Policy('first', remembers_refusals=False, moves_streams=False, **_REPEATED),  # type: ignore[arg-type]
    )
}
