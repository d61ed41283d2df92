"""Options of a listening port, and the reasons for which a request is refused by its size."""

from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from jackdawsail.budget.limits import make_limits
from jackdawsail.budget.process_budget import ProcessBudget
from jackdawsail.clocks import Clock
from jackdawsail.http1.exchange import Exchange
from jackdawsail.site.document import CallerLimits

LINE_OVERHEAD_BYTES = 4  # separator and line end
# Limits of the server itself, where the site sets none.
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
REFUSAL_REASONS = {
    408: b'request came too slowly',
    413: b'body is too large',
    503: b'too much is held for other callers',
}


@dataclass(slots=True)
class ServerOptions:
    """Options that all connections of a listening port share.

    While ``closing`` is true, each answer closes its connection. ``limits`` may be
    replaced while connections are open; an open connection keeps its limit for
    incomplete heads. ``budget`` is that of the process; without one the port has its own.
    """

    handler: Callable[[Exchange], None]
    clock: Clock
    limits: CallerLimits = field(default_factory=CallerLimits)
    closing: bool = False
    budget: ProcessBudget = None  # type: ignore[assignment]

    def __post_init__(self) -> None:
        """Makes a budget with the default limits if the process has none."""
        if self.budget is None:
            self.budget = ProcessBudget(make_limits(0, 0), self.clock.seconds)


def refusal_of(
    head: h11.Request, size_bytes: int, options: ServerOptions
) -> tuple[int, bytes] | None:
    """Returns the status and the text with which a request is refused by its head, or None."""
    headers = dict(head.headers)
    if b'transfer-encoding' in headers and b'content-length' in headers:
        return 400, b'both a length and chunks'
    if size_bytes > (options.limits.head_bytes or MAX_HEAD_BYTES):
        return 431, b'head is too large'
    body_bytes = int(headers.get(b'content-length', b'0'))
    if body_bytes > body_limit(options.limits):
        return 413, REFUSAL_REASONS[413]
    return None if options.budget.admits(body_bytes) else (503, REFUSAL_REASONS[503])


def body_limit(limits: CallerLimits) -> int:
    """Returns the largest body that is accepted."""
    return limits.body_bytes or MAX_BODY_BYTES


def head_bytes(head: h11.Request) -> int:
    """Returns the size of a head as sent; h11 limits only heads that are still incomplete."""
    lines = [head.method + head.target, *(name + value for name, value in head.headers)]
    return sum(len(line) + LINE_OVERHEAD_BYTES for line in lines)
