"""The policies that can be compared: the product's, and those that it replaced.

``product`` is what the programs do. With ``repeated-reports``, engines report ten
times a second, and five times to entries of other regions, instead of at each change
of their state. With ``no-memory``, a caller that retries after a refusal is treated
like a new one. With ``no-moves``, streams stay on engines that change over. With
``one-rank``, all calls are treated as equally urgent, with ``queues-only`` only the queues of
engines count, not their pace and the sizes of calls.
``first`` combines ``repeated-reports``, ``no-memory`` and ``no-moves``.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from jackdawsail.proxy import selection
from jackdawsail.routing import placement
from jackdawsail.staging.program import ENGINE_POLL_SECONDS

REPEATED_REPORT_SECONDS = 0.1
REPEATED_FAR_EVERY = 2


@dataclass(frozen=True, slots=True)
class Policy:
    """How entries choose an engine, what they remember, and how often engines report.

    Entries of other regions receive every ``far_every``-th report.
    """

    name: str
    choose: Callable[..., Any] = placement.choose_engine
    remembers_refusals: bool = True
    moves_streams: bool = True
    uses_ranks: bool = True
    report_seconds: float = ENGINE_POLL_SECONDS
    far_every: int = 1

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Patches the product's selection to use this policy within the block."""
        original = selection.choose_engine
        selection.choose_engine = self.choose
        try:
            yield
        finally:
            selection.choose_engine = original


def choose_by_queues(call: placement.PlacedCall, *arguments: Any) -> Any:
    """Chooses an engine as if the size of the call were not known."""
    return placement.choose_engine(replace(call, size=None), *arguments)


_REPEATED = {'report_seconds': REPEATED_REPORT_SECONDS, 'far_every': REPEATED_FAR_EVERY}

POLICIES = {
    policy.name: policy
    for policy in (
        Policy('product'),
        Policy('repeated-reports', **_REPEATED),  # type: ignore[arg-type]
        Policy('no-memory', remembers_refusals=False),
        Policy('no-moves', moves_streams=False),
        Policy('queues-only', choose=choose_by_queues),
        Policy('one-rank', uses_ranks=False),
        Policy('first', remembers_refusals=False, moves_streams=False, **_REPEATED),  # type: ignore[arg-type]
    )
}
