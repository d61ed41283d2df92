"""Workers that fetch pieces beside each other, more of them if a fetch hangs.

A fetch hangs until its limits on time end it once the origin or a relay has failed. Pieces that
other relays hold are fetched meanwhile.
"""

from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail.clocks import Clock

CONCURRENT_FETCHES = 1  # more would queue on this host's link ahead of the prompts of live calls
# After an outage of the origin a fetch mostly waits for a piece that the relay does not hold yet.
CONCURRENT_AFTER_STALL = 3
HANG_SECONDS = 0.7  # of one fetch, until another one is started beside it
MAX_WORKERS = 6  # about as many as the pieces in progress at relays whose source has failed


@dataclass(slots=True)
class FetchWorkers:
    """Runs ``work`` several times at once; ``on_hang`` is called for each fetch that hangs.

    Example::

        workers = FetchWorkers(clock, fetch_pending, on_hang=lambda: None)
        await workers.run(count=1)
    """

    clock: Clock
    work: Callable[[], Coroutine[Any, Any, None]]
    on_hang: Callable[[], None]
    _running: list[Deferred[None]] = field(default_factory=list)

    async def run(self, count: int) -> None:
        """Starts the workers and waits for them, and for those that are added meanwhile."""
        for _ in range(count):
            self._add()
        for worker in self._running:
            await worker

    @contextmanager
    def guard(self) -> Iterator[None]:
        """Adds a worker if the fetch in the context takes longer than ``HANG_SECONDS``."""
        timer: Any = self.clock.callLater(HANG_SECONDS, self._add_for_hanging)
        try:
            yield
        finally:
            if timer.active():
                timer.cancel()

    def _add(self) -> None:
        if len(self._running) < MAX_WORKERS:
            self._running.append(Deferred.fromCoroutine(self.work()))

    def _add_for_hanging(self) -> None:
        self.on_hang()
        self._add()
