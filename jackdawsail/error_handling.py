"""Ends a call in whose handling an error is raised, so that its caller gets an answer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from twisted.python.failure import Failure

from jackdawsail import events


@contextmanager
def ending_on_error(end: Callable[[], None]) -> Iterator[None]:
    """Logs an error that is raised inside, and ends the call by ``end``.

    It surrounds what the reactor calls for one call, such as its timers, where nothing else would
    end the call after an error.
    """
    try:
        yield
    except Exception:  # noqa: BLE001 - any error must end this call only
        events.log_failure(Failure())
        end()
