"""Polls a condition until it holds or a timeout passes."""

import time
from collections.abc import Callable
from typing import Any, TypeVar

POLL_SECONDS = 0.05
ValueT = TypeVar('ValueT')


class WaitTimeoutError(Exception):
    """The condition did not hold in time; the message holds the last result."""


def wait_until(
    probe: Callable[[], ValueT],
    timeout_seconds: float,
    what: str,
    poll_seconds: float = POLL_SECONDS,
) -> ValueT:
    """Calls the probe until its result is true, and returns that result.

    Raises ``WaitTimeoutError``, in which ``what`` names the condition.
    """
    deadline = time.monotonic() + timeout_seconds
    last_result: Any = None
    while time.monotonic() < deadline:
        last_result = probe()
        if last_result:
            return last_result  # type: ignore[no-any-return]
        time.sleep(poll_seconds)
    raise WaitTimeoutError(
        f'{what}: timed out after {timeout_seconds} s; last result: {last_result!r}'
    )
