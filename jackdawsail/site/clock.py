"""The clock of the programs: monotonic, and running on while the host is suspended.

The plain monotonic clock stands still during a suspension, so a lease held by
it would outlive its end.
"""

import time
from typing import Any


def boot_seconds() -> float:
    """Returns the seconds since the host was started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_clock(reactor: Any) -> None:
    """Makes a reactor take its time from the boot clock."""
    reactor.seconds = boot_seconds
