"""Waits until a condition holds, with a deadline."""

import time
from collections.abc import Callable
from typing import Any, TypeVar

POLL_SECONDS = 0.05
ValueT = TypeVar('ValueT')


class WaitTimeoutError(Exception):
    """The condition did not hold in time; the message says what was seen last."""


def wait_until(
    probe: Callable[[], ValueT],
    timeout_seconds: float,
    what: str,
    poll_seconds: float = POLL_SECONDS,
) -> ValueT:
    """Calls the probe until it returns something true, and returns that."""
    deadline = time.monotonic() + timeout_seconds
    seen: Any = None
    while time.monotonic() < deadline:
        seen = probe()
        if seen:
            return seen  # type: ignore[no-any-return]
        time.sleep(poll_seconds)
    raise WaitTimeoutError(f'{what}: not within {timeout_seconds} s; last seen: {seen!r}')
